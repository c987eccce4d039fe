/** \file
 * A listening socket on a free port of loopback.
 */
#pragma once

#include <functional>

#include "event_loop.h"
#include "link_address.h"

namespace support {

class loopback_listener {
public:
    /** \throws std::runtime_error when no port is free. */
    loopback_listener(event_base* base, std::function<void(evutil_socket_t)> accept);

    [[nodiscard]] worksshift::link_address address() const { return {"127.0.0.1", this->port}; }
    /** From now on connections are refused. */
    void close() { this->listener.reset(); }

private:
    std::function<void(evutil_socket_t)> accept;
    worksshift::event_ptr<evconnlistener> listener;
    std::uint16_t port = 0;
};

/** The connection ends with a reset when it is closed, so that many of them do not use up the
 * ports, and a peer sees that it was broken off. */
void close_by_reset(evutil_socket_t socket);

} // namespace support
