/** \file
 * A server whose answers come over time, and that notices when the router leaves before they end.
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

/** How a connection goes on behind an answer. */
enum class answer_end : std::uint8_t { keep, close, reset, say_nothing };

struct answer_piece {
    worksshift::duration after{}; ///< since the request came
    std::string bytes;
};

struct answer_plan {
    std::vector<answer_piece> pieces;
    answer_end end = answer_end::keep;
};

class soak_server {
public:
    using script = std::function<answer_plan(const std::string& request)>;
    /** Called with a request's text when its answer has ended, or its connection has. */
    using listener = std::function<void(const std::string& request)>;

    soak_server(event_base* base, script answer, listener ended);
    ~soak_server();
    soak_server(const soak_server&) = delete;
    soak_server& operator=(const soak_server&) = delete;
    soak_server(soak_server&&) = delete;
    soak_server& operator=(soak_server&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->acceptor.address(); }
    /** Sends what is due and frees connections that have ended. */
    void tick(worksshift::instant now);

private:
    struct connection;

    void accept(evutil_socket_t socket);
    void read(connection& item);
    void finish(connection& item);

    event_base* base;
    script answer;
    listener ended;
    support::loopback_listener acceptor;
    std::list<std::unique_ptr<connection>> open;
};

} // namespace soak
