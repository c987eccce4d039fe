/** \file
 * An evhttp server whose connections, heads and bodies are bounded, by number and by the account of
 * what callers hold. evhttp itself bounds each message, but neither their sum nor the connections.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "link_address.h"
#include "memory_account.h"

namespace worksshift {

/** Limits of one port. */
struct http_bounds {
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024;
    std::size_t connections = 64; ///< the one that began its request first is closed beyond that
    duration idle_timeout = seconds(60);
    /** Sent as it is before the connection of a request that found no room is closed; empty: none.
     */
    std::string no_room_response;
};

class http_listener {
public:
    /** \p purpose: of the port, for logs and errors. The account must live longer.
     * \throws user_error if the address cannot be bound. */
    http_listener(event_base* base, const link_address& at, std::string purpose,
                  const http_bounds& bounds, memory_account& memory);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    using handler = std::function<void(evhttp_request*)>;
    /** Calls \p handle with each request for \p path that was received in full. From then on
     * whoever answers it counts what it holds, and its connection is not closed to make room. */
    void on_request(const char* path, handler handle);
    /** The same for all other paths. */
    void on_other_request(handler handle);
    [[nodiscard]] evhttp* server() const { return this->http.get(); }
    /** Frees closed connections. To be called regularly. */
    void sweep();
    /** Stops accepting connections. */
    void close();

    /** Connections that were closed to make room. */
    [[nodiscard]] std::uint64_t closed_for_room() const { return this->room_closed; }

private:
    struct connection_state;
    struct route {
        http_listener* owner;
        handler handle;
    };

    static void dispatch(evhttp_request* request, void* context);
    void note_received(evhttp_request* request);
    bufferevent* accept();
    void handle_input(connection_state& connection, std::size_t bytes);
    void make_room(instant now);
    void close_for_room(connection_state& connection, std::string_view reason);

    event_base* base;
    std::string purpose;
    http_bounds bounds;
    memory_account& memory;
    event_ptr<evhttp> http;
    evhttp_bound_socket* socket = nullptr; ///< owned by `http`
    std::vector<std::unique_ptr<connection_state>> entries;
    std::vector<std::unique_ptr<route>> routes;
    std::uint64_t room_closed = 0;
};

} // namespace worksshift
