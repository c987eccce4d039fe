#include "gossip_socket.h"

#include <algorithm>

#include <arpa/inet.h>
#include <unistd.h>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr std::uint32_t percent = 100;

} // namespace

gossip_socket::gossip_socket(event_base* base, const link_address& listen, authenticator& auth,
                             std::uint32_t loss_percent)
    : socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)), auth(auth),
      loss_percent(loss_percent)
{
    const sockaddr_in own = to_socket_address(listen);
    if (bind(this->socket, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
        throw user_error("listen", listen.address + ":" + std::to_string(listen.port),
                         "cannot bind the UDP port for gossip");
    }
    const auto on_readable = [](evutil_socket_t, short, void* self) {
        static_cast<gossip_socket*>(self)->read();
    };
    this->readable.reset(event_new(base, this->socket, EV_READ | EV_PERSIST, on_readable, this));
    event_add(this->readable.get(), nullptr);
}

gossip_socket::~gossip_socket()
{
    this->readable.reset();
    close(this->socket);
}

bool gossip_socket::withdraw_budget(std::size_t bytes, bool sheddable, instant now)
{
    if (this->budget_at != instant{}) {
        const double elapsed_s = std::chrono::duration<double>(now - this->budget_at).count();
        this->budget =
            std::min(gossip_burst_bytes, this->budget + elapsed_s * gossip_bytes_per_second);
    }
    this->budget_at = now;
    const auto needed = static_cast<double>(bytes);
    if (sheddable && this->budget < needed) return false;
    this->budget = std::max(-gossip_burst_bytes, this->budget - needed);
    return true;
}

void gossip_socket::send(const outgoing_gossip& datagram, instant now)
{
    const auto bytes = write_datagram(this->auth, datagram.message);
    if (!bytes) {
        ++this->counts.datagrams_shed;
        return;
    }
    const bool sheddable = std::holds_alternative<notice>(datagram.message.body) &&
                           datagram.message.sender.state == member_state::alive;
    if (!this->withdraw_budget(bytes->size(), sheddable, now)) {
        ++this->counts.datagrams_shed;
        return;
    }
    this->counts.bytes_sent += bytes->size();
    ++this->counts.datagrams_sent;
    if (this->random() % percent < this->loss_percent) return;
    const sockaddr_in target = to_socket_address({datagram.address, datagram.port});
    sendto(this->socket, bytes->data(), bytes->size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

void gossip_socket::read()
{
    std::array<std::uint8_t, 2 * max_datagram_bytes> bytes{};
    for (;;) {
        const ssize_t length = recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (length < 0) return;
        try {
            this->on_message.emit(read_datagram(
                this->auth, std::span(bytes).first(static_cast<std::size_t>(length))));
        } catch (const peer_error& fault) {
            ++this->counts.datagrams_refused;
            log_event(log_level::warn, "datagram_refused",
                      {{"step", fault.step}, {"why", fault.what()}});
        }
    }
}

} // namespace worksshift
