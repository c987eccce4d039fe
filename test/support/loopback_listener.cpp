#include "support/loopback_listener.h"

#include <stdexcept>

#include <sys/socket.h>

namespace support {

using namespace worksshift;

loopback_listener::loopback_listener(event_base* base, std::function<void(evutil_socket_t)> accept)
    : accept(std::move(accept))
{
    sockaddr_in at = to_socket_address({"127.0.0.1", 0});
    this->listener.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<loopback_listener*>(self)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr*>(&at), sizeof at));
    if (this->listener == nullptr) throw std::runtime_error("no free loopback port");
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(this->listener.get()), reinterpret_cast<sockaddr*>(&at),
                &size);
    this->port = ntohs(at.sin_port);
}

void close_by_reset(evutil_socket_t socket)
{
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    if (socket >= 0)
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
}

} // namespace support
