/** \file
 * Test server that sends scripted responses over time and reports when each one or its connection
 * has ended.
 */
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "link_address.h"
#include "support/loopback_listener.h"

namespace soak {

/** What happens to the connection after a response. */
enum class response_end : std::uint8_t { keep, close, reset, send_nothing };

/** A part of a response, sent at a given time. */
struct response_chunk {
    worksshift::duration after{}; ///< since the request was received
    std::string bytes;
};

struct response_plan {
    std::vector<response_chunk> pieces;
    response_end end = response_end::keep;
};

class soak_server {
public:
    /** Plans the response to a request. */
    using script = std::function<response_plan(const std::string& request)>;
    /** Called with a request's text when its response or its connection has ended. */
    using listener = std::function<void(const std::string& request)>;

    soak_server(event_base* base, script answer, listener ended);
    ~soak_server();
    soak_server(const soak_server&) = delete;
    soak_server& operator=(const soak_server&) = delete;
    soak_server(soak_server&&) = delete;
    soak_server& operator=(soak_server&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->acceptor.address(); }
    /** Sends the response parts that are due and frees ended connections. */
    void tick(worksshift::instant now);

private:
    struct connection;

    void accept(evutil_socket_t socket);
    void read(connection& open_connection);
    void finish(connection& open_connection);

    event_base* base;
    script answer;
    listener ended;
    support::loopback_listener acceptor;
    std::list<std::unique_ptr<connection>> connections;
};

} // namespace soak
