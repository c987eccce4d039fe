#include "fleet_gossip.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "errors.h"
#include "log.h"
#include "process.h"

namespace worksshift {

namespace {

constexpr std::size_t max_datagram_bytes = std::size_t{4} * 1024;

instant now()
{
    return std::chrono::steady_clock::now();
}

std::uint32_t to_host_order(const link_address& address)
{
    return ntohl(to_socket_address(address).sin_addr.s_addr);
}

std::vector<std::uint32_t> all_to_host_order(std::span<const link_address> vms)
{
    std::vector<std::uint32_t> addresses(vms.size());
    std::ranges::transform(vms, addresses.begin(), to_host_order);
    return addresses;
}

fleet_table::identity identify(const link_address& listen, const data_centre_id& data_centre)
{
    return {to_host_order(listen), static_cast<std::uint32_t>(data_centre.hash()),
            static_cast<std::uint32_t>(random_process_id())};
}

} // namespace

fleet_gossip::fleet_gossip(event_base* base, const link_address& listen,
                           const data_centre_id& data_centre, std::span<const link_address> seeds)
    : own(listen), rounds(identify(listen, data_centre), all_to_host_order(seeds), now()),
      socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const sockaddr_in listen_address = to_socket_address(listen);
    if (this->socket < 0 || ::bind(this->socket, reinterpret_cast<const sockaddr*>(&listen_address),
                                   sizeof listen_address) != 0) {
        throw user_error("listen", to_string(listen), "the address for other VMs cannot be bound");
    }
    const auto on_readable = [](evutil_socket_t, short, void* self) {
        static_cast<fleet_gossip*>(self)->receive();
    };
    this->read_event.reset(event_new(base, this->socket, EV_READ | EV_PERSIST, on_readable, this));
    event_add(this->read_event.get(), nullptr);
}

fleet_gossip::~fleet_gossip()
{
    this->read_event.reset();
    if (this->socket >= 0) ::close(this->socket);
}

link_address fleet_gossip::address_of(const fleet_vm& vm) const
{
    return {to_text(vm.address), this->own.port};
}

void fleet_gossip::add_seeds(std::span<const link_address> seeds)
{
    this->rounds.add_seeds(all_to_host_order(seeds), now());
}

void fleet_gossip::tick(instant time, const std::function<local_state()>& describe)
{
    if (!this->rounds.due(time)) return;
    for (const outgoing_digest& digest : this->rounds.next(describe(), time)) {
        for (const std::uint32_t address : digest.to)
            this->send(address, digest.bytes);
    }
}

void fleet_gossip::send(std::uint32_t address, const std::string& bytes)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(this->own.port);
    to.sin_addr.s_addr = htonl(address);
    // A failed send is treated like a lost datagram: the next digest replaces it.
    ::sendto(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);
    this->sent_bytes += bytes.size();
}

void fleet_gossip::receive()
{
    std::array<char, max_datagram_bytes> bytes{};
    constexpr int max_datagrams_per_call = 32;
    for (int i = 0; i < max_datagrams_per_call; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t count = ::recvfrom(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr*>(&from), &size);
        if (count <= 0) return;
        this->apply_digest(ntohl(from.sin_addr.s_addr),
                           {bytes.data(), static_cast<std::size_t>(count)});
    }
}

void fleet_gossip::apply_digest(std::uint32_t from, std::string_view bytes)
{
    try {
        fleet_table& fleet = this->rounds.fleet();
        const auto entry = fleet.vms().find(from);
        const bool known =
            entry != fleet.vms().end() && entry->second.last_received_at != instant{};
        const fleet_vm* sender =
            fleet.apply_digest(from, decode_digest(bytes, to_text(from)), now());
        if (sender == nullptr) return;
        if (!known) log_event(log_level::info, "vm_found", {{"peer", to_text(from)}});
        this->on_digest.emit(*sender);
    } catch (const error& fault) {
        log_event(log_level::warn, "digest_refused",
                  {{"peer", to_text(from)}, {"reason", fault.what()}});
    }
}

} // namespace worksshift
