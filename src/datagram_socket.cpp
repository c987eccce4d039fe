#include "datagram_socket.h"

#include <array>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "errors.h"

namespace worksshift {

namespace {

constexpr std::size_t max_datagram_bytes = std::size_t{4} * 1024;
constexpr int max_datagrams_per_call = 32;

} // namespace

datagram_socket::datagram_socket(event_base* base, const link_address& listen, receiver on_datagram)
    : on_datagram(std::move(on_datagram)), port(listen.port),
      socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const sockaddr_in listen_address = to_socket_address(listen);
    if (this->socket < 0 || ::bind(this->socket, reinterpret_cast<const sockaddr*>(&listen_address),
                                   sizeof listen_address) != 0) {
        if (this->socket >= 0) ::close(this->socket);
        throw user_error("listen", to_string(listen), "the address for other VMs cannot be bound");
    }
    const auto on_readable = [](evutil_socket_t, short, void* self) {
        static_cast<datagram_socket*>(self)->receive();
    };
    this->read_event.reset(event_new(base, this->socket, EV_READ | EV_PERSIST, on_readable, this));
    event_add(this->read_event.get(), nullptr);
}

datagram_socket::~datagram_socket()
{
    this->read_event.reset();
    ::close(this->socket);
}

void datagram_socket::send(std::uint32_t address, std::string_view bytes)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(this->port);
    to.sin_addr.s_addr = htonl(address);
    ::sendto(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void datagram_socket::receive()
{
    std::array<char, max_datagram_bytes> bytes{};
    for (int i = 0; i < max_datagrams_per_call; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t count = ::recvfrom(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr*>(&from), &size);
        if (count <= 0) return;
        this->on_datagram(ntohl(from.sin_addr.s_addr),
                          {bytes.data(), static_cast<std::size_t>(count)});
    }
}

} // namespace worksshift
