/** \file
 * A listening socket on a free port of the loopback address, for test servers.
 */
#pragma once

#include <functional>
#include <vector>

#include "event_loop.h"
#include "link_address.h"

namespace support {

class loopback_listener {
public:
    /** \p accept: called with each accepted socket, which it owns. \throws std::runtime_error if no
     * port is free. */
    loopback_listener(event_base* base, std::function<void(evutil_socket_t)> accept);

    [[nodiscard]] worksshift::link_address address() const { return {"127.0.0.1", this->port}; }
    ~loopback_listener();
    loopback_listener(const loopback_listener&) = delete;
    loopback_listener& operator=(const loopback_listener&) = delete;
    loopback_listener(loopback_listener&&) = delete;
    loopback_listener& operator=(loopback_listener&&) = delete;

    /** Limits the bytes that each later connection holds unread. */
    void limit_unread_bytes(int bytes);
    /** Stops listening; later connections are refused. */
    void close();
    /** Later connections are neither accepted nor refused: the system drops their packets, as those
     * to an unreachable host, because the queue of new connections is full. */
    void hold();
    /** Listens again, on the same port, after `close` or `hold`. */
    void reopen();

private:
    void listen();
    void release_queue();

    event_base* base;
    std::function<void(evutil_socket_t)> accept;
    worksshift::event_ptr<evconnlistener> listener;
    std::uint16_t port = 0;
    std::vector<evutil_socket_t> queue; ///< fill the queue of new connections while it is held
};

/** Makes a later close of the socket reset the connection, so that many closed connections do not
 * exhaust the ports, and the peer can tell that the connection was aborted. */
void close_by_reset(evutil_socket_t socket);

} // namespace support
