#include "support/digest_fleet.h"

#include <algorithm>

#include "visitor.h"

namespace support {

using namespace worksshift;

namespace {

/** Same as the tick of a router. */
constexpr duration step_span = milliseconds(25);
/** Address of the first VM; the others have consecutive addresses. */
constexpr std::uint32_t first_address = 0x0a000001;
constexpr duration min_delay = std::chrono::microseconds(300);
constexpr duration max_delay = milliseconds(3);

} // namespace

digest_fleet::digest_fleet(std::size_t count, std::size_t centres, std::uint64_t seed)
    : data_centres(centres), random(seed)
{
    for (std::size_t vm = 0; vm < count; ++vm)
        this->start(vm);
}

void digest_fleet::start(std::size_t vm)
{
    fleet_table::identity self;
    self.address = first_address + static_cast<std::uint32_t>(vm);
    self.data_centre = static_cast<std::uint32_t>(this->data_centre_of(vm)) + 1;
    self.incarnation = static_cast<std::uint32_t>(this->random());
    constexpr std::array seeds{first_address, first_address + 1, first_address + 2};
    this->vms.erase(vm);
    this->vms.try_emplace(vm, self, seeds, this->now);
}

std::size_t digest_fleet::vm_at(std::uint32_t address)
{
    return address - first_address;
}

load_table digest_fleet::total_loads_without(std::size_t without) const
{
    load_table sums;
    for (const auto& [vm, item] : this->vms) {
        if (vm != without) sums.insert(sums.end(), item.loads.begin(), item.loads.end());
    }
    normalize(sums);
    return sums;
}

void digest_fleet::run(duration span)
{
    const instant end = this->now + span;
    while (this->now < end)
        this->step();
}

duration digest_fleet::run_until(const std::function<bool()>& done, duration limit)
{
    const instant begin = this->now;
    while (!done() && this->now - begin < limit)
        this->step();
    return this->now - begin;
}

void digest_fleet::step()
{
    this->now += step_span;
    while (!this->network.empty() && this->network.top().at <= this->now) {
        datagram item = this->network.top();
        this->network.pop();
        if (this->suspended.contains(item.to)) {
            item.at = this->now + step_span;
            this->network.push(item);
        } else {
            this->deliver(item);
        }
    }
    for (auto& [vm, item] : this->vms) {
        if (this->suspended.contains(vm)) continue;
        if (this->on_tick) this->on_tick(vm);
        const bool before = item.watch_role.stands_by();
        item.watch_role.update(item.rounds.fleet(), {item.store_answers, item.reads_store},
                               this->now);
        if (!before && item.watch_role.stands_by()) {
            ++item.watch_starts;
            item.rounds.send_early();
        }
        if (!this->on_tick) {
            item.reads_store =
                item.store_answers && item.watch_role.mode() == read_mode::linearizable;
            if (item.reads_store) item.store.confirmed_at = this->now;
        }
        this->send_notice(vm);
        if (item.rounds.due(this->now)) this->send_round(vm);
    }
}

store_status digest_fleet::known_store_state(const digest_vm& item)
{
    store_status known = item.rounds.fleet().store();
    known.merge(item.store);
    return known;
}

void digest_fleet::deliver(const datagram& item)
{
    const auto receiver = this->vms.find(item.to);
    if (receiver == this->vms.end()) return;
    receiver->second.bytes_received += item.bytes.size();
    fleet_table& fleet = receiver->second.rounds.fleet();
    const std::uint32_t sender = first_address + static_cast<std::uint32_t>(item.from);
    const auto apply_digest = [&](fleet_digest&& digest) {
        const fleet_vm* from = fleet.apply_digest(sender, std::move(digest), this->now);
        if (from != nullptr && this->on_digest) this->on_digest(item.to, *from);
    };
    const auto apply_notice = [&](const store_reader_notice& notice) {
        fleet.apply_notice(sender, notice, this->now);
    };
    std::visit(visitor{apply_digest, apply_notice}, decode_datagram(item.bytes, "vm"));
}

void digest_fleet::send_notice(std::size_t vm)
{
    digest_vm& item = this->vms.at(vm);
    const std::optional<outgoing_digest> notice =
        item.rounds.next_notice(item.reads_store, this->now);
    if (notice) this->send(vm, *notice);
}

void digest_fleet::send_round(std::size_t vm)
{
    digest_vm& item = this->vms.at(vm);
    local_state state;
    state.digest.config_version = item.config_version;
    state.digest.watches_store = item.watch_role.watching() && item.store_answers;
    state.digest.leaving = item.leaving;
    state.reads_store = item.reads_store;
    state.loads = item.loads;
    state.servers = this->servers;
    state.busy = item.busy;
    this->known_store_state(item).describe(state.digest, this->now);
    if (this->describe) this->describe(vm, state);
    for (const outgoing_digest& digest : item.rounds.next(std::move(state), this->now))
        this->send(vm, digest);
}

void digest_fleet::send(std::size_t vm, const outgoing_digest& message)
{
    digest_vm& item = this->vms.at(vm);
    for (const std::uint32_t address : message.to) {
        const std::size_t to = vm_at(address);
        item.bytes_sent += message.bytes.size();
        if (this->data_centre_of(to) != this->data_centre_of(vm)) {
            item.bytes_to_other_centres += message.bytes.size();
        }
        const bool lost = std::uniform_real_distribution<>()(this->random) < this->loss;
        if (lost || this->cut.contains(std::minmax(vm, to))) continue;
        const auto delay = std::uniform_int_distribution<duration::rep>(
            min_delay.count(), max_delay.count())(this->random);
        this->network.push(
            {this->now + duration(delay), this->datagrams_sent++, vm, to, message.bytes});
    }
}

} // namespace support
