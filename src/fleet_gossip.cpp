#include "fleet_gossip.h"

#include <algorithm>

#include <arpa/inet.h>

#include "errors.h"
#include "log.h"
#include "process.h"
#include "visitor.h"

namespace worksshift {

namespace {

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
      socket(base, listen,
             [this](std::uint32_t from, std::string_view bytes) { this->receive(from, bytes); })
{
}

link_address fleet_gossip::address_of(const fleet_vm& vm) const
{
    return {to_text(vm.address), this->own.port};
}

void fleet_gossip::add_seeds(std::span<const link_address> seeds)
{
    this->rounds.add_seeds(all_to_host_order(seeds), now());
}

void fleet_gossip::tick(instant time, bool reads_store,
                        const std::function<local_state()>& describe)
{
    if (const auto notice = this->rounds.next_notice(reads_store, time)) this->send(*notice);
    if (!this->rounds.due(time)) return;
    for (const outgoing_digest& digest : this->rounds.next(describe(), time))
        this->send(digest);
}

void fleet_gossip::send(const outgoing_digest& message)
{
    for (const std::uint32_t address : message.to)
        this->socket.send(address, message.bytes);
    this->sent_bytes += message.bytes.size() * message.to.size();
}

void fleet_gossip::receive(std::uint32_t from, std::string_view bytes)
{
    try {
        std::visit(
            visitor{[&](fleet_digest&& digest) { this->apply_digest(from, std::move(digest)); },
                    [&](const store_reader_notice& notice) {
                        this->rounds.fleet().apply_notice(from, notice, now());
                    }},
            decode_datagram(bytes, to_text(from)));
    } catch (const error& fault) {
        log_event(log_level::warn, "digest_refused",
                  {{"peer", to_text(from)}, {"reason", fault.what()}});
    }
}

void fleet_gossip::apply_digest(std::uint32_t from, fleet_digest digest)
{
    fleet_table& fleet = this->rounds.fleet();
    const auto entry = fleet.vms().find(from);
    const bool known = entry != fleet.vms().end() && entry->second.last_received_at != instant{};
    const fleet_vm* sender = fleet.apply_digest(from, std::move(digest), now());
    if (sender == nullptr) return;
    if (!known) log_event(log_level::info, "vm_found", {{"peer", to_text(from)}});
    this->on_digest.emit(*sender);
}

} // namespace worksshift
