#include "support/loopback_listener.h"

#include <stdexcept>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace support {

using namespace worksshift;

namespace {

constexpr int usual_backlog = 128;

} // namespace

loopback_listener::loopback_listener(event_base* base, std::function<void(evutil_socket_t)> accept)
    : base(base), accept(std::move(accept))
{
    this->listen();
}

loopback_listener::~loopback_listener()
{
    this->release_queue();
}

void loopback_listener::listen()
{
    sockaddr_in at = to_socket_address(this->address());
    this->listener.reset(evconnlistener_new_bind(
        this->base,
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

void loopback_listener::limit_unread_bytes(int bytes)
{
    set_receive_buffer(evconnlistener_get_fd(this->listener.get()), bytes);
}

void loopback_listener::close()
{
    this->release_queue();
    this->listener.reset();
}

void loopback_listener::hold()
{
    if (this->listener == nullptr) this->listen();
    evconnlistener_disable(this->listener.get());
    // A backlog of 0 leaves room for one connection; the system drops the packets of further ones.
    ::listen(evconnlistener_get_fd(this->listener.get()), 0);
    constexpr std::size_t connections_to_fill = 2;
    const sockaddr_in to = to_socket_address(this->address());
    while (this->queue.size() < connections_to_fill) {
        this->queue.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        // In progress or not: the result does not matter, the queue is full afterwards.
        static_cast<void>(
            ::connect(this->queue.back(), reinterpret_cast<const sockaddr*>(&to), sizeof to));
    }
}

void loopback_listener::reopen()
{
    this->release_queue();
    if (this->listener == nullptr) {
        this->listen();
        return;
    }
    ::listen(evconnlistener_get_fd(this->listener.get()), usual_backlog);
    evconnlistener_enable(this->listener.get());
}

void loopback_listener::release_queue()
{
    for (const evutil_socket_t socket : std::exchange(this->queue, {}))
        ::close(socket);
}

void close_by_reset(evutil_socket_t socket)
{
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    if (socket >= 0)
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
}

} // namespace support
