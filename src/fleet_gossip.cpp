#include "fleet_gossip.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <arpa/inet.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "errors.h"
#include "log.h"
#include "process.h"

namespace worksshift {

namespace {

constexpr std::size_t digest_bytes_at_most = std::size_t{16} * 1024;
/** Addresses of VMs that one digest names; the next goes on with others. */
constexpr std::size_t vms_per_digest = 6;
constexpr std::uint16_t known_format = 1;

std::uint32_t parse_ipv4(const std::string& text)
{
    in_addr parsed{};
    inet_pton(AF_INET, text.c_str(), &parsed);
    return ntohl(parsed.s_addr);
}

sockaddr_in to_socket_address(std::uint32_t address, std::uint16_t port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(port);
    made.sin_addr.s_addr = htonl(address);
    return made;
}

} // namespace

fleet_gossip::fleet_gossip(event_base* base, const link_address& listen,
                           std::span<const link_address> seeds)
    : own(listen), own_address(parse_ipv4(listen.address)), incarnation(random_number())
{
    for (const link_address& seed : seeds) {
        this->seeds.push_back(parse_ipv4(seed.address));
        this->learn(this->seeds.back());
    }
    this->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in at = to_socket_address(this->own_address, listen.port);
    if (this->socket < 0 ||
        ::bind(this->socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        throw user_error("listen", listen.address + ":" + std::to_string(listen.port),
                         "the address for other VMs cannot be bound");
    }
    const auto readable = [](evutil_socket_t, short, void* self) {
        static_cast<fleet_gossip*>(self)->receive();
    };
    this->reading.reset(event_new(base, this->socket, EV_READ | EV_PERSIST, readable, this));
    event_add(this->reading.get(), nullptr);
}

fleet_gossip::~fleet_gossip()
{
    this->reading.reset();
    if (this->socket >= 0) ::close(this->socket);
}

void fleet_gossip::learn(std::uint32_t address)
{
    if (address == 0 || address == this->own_address) return;
    const auto [found, added] = this->peers.try_emplace(address);
    if (!added) return;
    found->second.address = address;
    found->second.known_since = std::chrono::steady_clock::now();
}

duration fleet_gossip::period() const
{
    const std::size_t vms = this->peers.size() + 1;
    const duration spread = digest_spacing * vms;
    const double larger = std::max(1.0, static_cast<double>(vms) / digests_full_up_to);
    return std::max<duration>(digest_period, std::chrono::duration_cast<duration>(spread * larger));
}

link_address fleet_gossip::address_of(const peer& item) const
{
    in_addr address{};
    address.s_addr = htonl(item.address);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return {text.data(), this->own.port};
}

std::vector<const fleet_gossip::peer*> fleet_gossip::heard(instant now) const
{
    std::vector<const peer*> found;
    for (const auto& [address, item] : this->peers) {
        const bool silent = now - item.heard_at > this->period() * periods_until_silent;
        if (item.heard_at != instant{} && !silent) found.push_back(&item);
    }
    return found;
}

void fleet_gossip::tick(instant now, const std::function<void(fleet_digest&)>& describe)
{
    if (now < this->next_send) return;
    this->next_send = now + this->period();
    std::erase_if(this->peers, [&](const auto& entry) {
        const instant last = std::max(entry.second.heard_at, entry.second.known_since);
        return now - last > forget_after &&
               std::ranges::find(this->seeds, entry.first) == this->seeds.end();
    });
    fleet_digest digest;
    digest.incarnation = this->incarnation;
    digest.sequence = ++this->sequence;
    const std::vector<const peer*> live = this->heard(now);
    for (std::size_t i = 0; i < std::min(vms_per_digest, live.size()); ++i) {
        digest.vms.push_back(live[this->vms_told++ % live.size()]->address);
    }
    describe(digest);
    if (digest.watches_servers) {
        this->next_send = now + std::min<duration>(this->period(), followed_period);
    }
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(digest);
    }
    const std::string bytes = stream.str();
    for (const auto& [address, item] : this->peers) {
        const sockaddr_in to = to_socket_address(address, this->own.port);
        this->sent += bytes.size();
        // A datagram that cannot be sent is as good as a lost one: the next replaces it.
        ::sendto(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
}

void fleet_gossip::receive()
{
    std::string bytes(digest_bytes_at_most, '\0');
    constexpr int datagrams_per_turn = 32;
    for (int i = 0; i < datagrams_per_turn; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t count = ::recvfrom(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr*>(&from), &size);
        if (count <= 0) return;
        try {
            std::istringstream stream(bytes.substr(0, static_cast<std::size_t>(count)));
            cereal::PortableBinaryInputArchive archive(stream);
            fleet_digest digest;
            archive(digest);
            if (digest.format == known_format) {
                this->take(ntohl(from.sin_addr.s_addr), std::move(digest));
            }
        } catch (const std::exception& fault) {
            log_event(log_level::warn, "digest_refused",
                      {{"peer", ntohl(from.sin_addr.s_addr)}, {"reason", fault.what()}});
        }
    }
}

void fleet_gossip::take(std::uint32_t from, fleet_digest digest)
{
    this->learn(from);
    const auto found = this->peers.find(from);
    if (found == this->peers.end()) return;
    peer& item = found->second;
    const bool same_life = item.last.incarnation == digest.incarnation;
    if (same_life && digest.sequence <= item.last.sequence) return;
    if (item.heard_at == instant{}) {
        log_event(log_level::info, "vm_found", {{"peer", this->address_of(item).address}});
    }
    item.heard_at = std::chrono::steady_clock::now();
    for (const std::uint32_t address : digest.vms)
        this->learn(address);
    item.last = std::move(digest);
    this->on_digest.emit(item);
}

} // namespace worksshift
