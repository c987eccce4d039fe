#include "fleet_table.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "rendezvous.h"

namespace worksshift {

namespace {

constexpr duration age_unit = milliseconds(100);

/** Rank of a VM among the candidates for delegates; the highest come first. */
std::pair<std::uint64_t, std::uint32_t> delegate_rank(std::uint32_t address)
{
    constexpr std::uint64_t delegate_rank_key = 0x64656c;
    return {rendezvous_weight(delegate_rank_key, address), address};
}

/** Age in units of 100 ms, rounded up: if it were rounded down, a liveness report that is forwarded
 * repeatedly would never age. */
std::uint8_t to_age(duration span)
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint8_t>::max();
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>(span / age_unit + 1, 0, max_age));
}

/** Age of \p at in units of \p unit, rounded up. The maximum stands for longer ago, and for the
 * epoch (never). */
template <class Number>
Number to_age(instant at, duration unit, instant now)
{
    constexpr std::int64_t max_age = std::numeric_limits<Number>::max();
    if (at == instant{}) return max_age;
    return static_cast<Number>(std::clamp<std::int64_t>((now - at) / unit + 1, 0, max_age));
}

/** Time of an event of the given age; the epoch if the age is the maximum. */
template <class Number>
instant from_age(Number age, duration unit, instant now)
{
    return age == std::numeric_limits<Number>::max() ? instant{} : now - age * unit;
}

} // namespace

void store_status::describe(fleet_digest& digest, instant now) const
{
    digest.store_restored_age =
        to_age<std::uint16_t>(this->recovered_at, store_restored_age_unit, now);
    digest.store_confirmed_age =
        to_age<std::uint8_t>(this->confirmed_at, store_confirmed_age_unit, now);
}

fleet_table::fleet_table(const identity& self, std::span<const std::uint32_t> new_seeds,
                         instant now)
    : own(self), started_at(now), last_digest_at(now)
{
    this->add_seeds(new_seeds, now);
}

void fleet_table::add_seeds(std::span<const std::uint32_t> new_seeds, instant now)
{
    for (const std::uint32_t seed : new_seeds) {
        if (std::ranges::find(this->seeds, seed) == this->seeds.end()) this->seeds.push_back(seed);
        this->record_vm(seed, 0, instant{}, now);
    }
}

void fleet_table::record_vm(std::uint32_t address, std::uint32_t data_centre, instant alive,
                            instant now)
{
    if (address == 0 || address == this->own.address) return;
    const auto [found, added] = this->table.try_emplace(address);
    fleet_vm& vm = found->second;
    if (added) {
        vm.address = address;
        vm.known_since = now;
    }
    const bool was_local = vm.data_centre == this->own.data_centre;
    if (data_centre != 0) vm.data_centre = data_centre;
    if (!was_local && vm.data_centre == this->own.data_centre) this->local_vm_discovered_at = now;
    vm.alive_at = std::max(vm.alive_at, alive);
}

const fleet_vm* fleet_table::apply_digest(std::uint32_t from, fleet_digest digest, instant now)
{
    this->record_vm(from, digest.data_centre, now, now);
    const auto found = this->table.find(from);
    if (found == this->table.end()) return nullptr;
    fleet_vm& vm = found->second;
    const bool same_incarnation = vm.last.incarnation == digest.incarnation;
    if (same_incarnation && digest.sequence <= vm.last.sequence) return nullptr;
    if (!same_incarnation) {
        vm.reads_store_at = {};
        vm.stopped_reading_at = {};
        vm.sends_notices = false;
        vm.own_loads = {};
        vm.centre_loads = {};
        vm.remote_loads = {};
    }
    vm.last_received_at = now;
    if (this->receives_nothing(now)) this->receiving_since = now;
    this->last_digest_at = now;
    if (this->first_digest_at == instant{}) this->first_digest_at = now;
    this->reported.add(digest.fleet_vms, now);
    this->reported_store.merge(
        {from_age(digest.store_restored_age, store_restored_age_unit, now),
         from_age(digest.store_confirmed_age, store_confirmed_age_unit, now)});
    this->max_servers_revision = std::max(this->max_servers_revision, digest.servers_revision);
    vm.answer_pending = digest.joining;
    for (const vm_liveness_report& report : digest.vms)
        this->record_vm(report.address, report.data_centre, now - report.age * age_unit, now);
    for (const store_reader_report& report : digest.store_readers)
        this->apply_report(report, now);
    vm.own_loads.apply(std::exchange(digest.own_loads, {}), now);
    vm.centre_loads.apply(std::exchange(digest.centre_loads, {}), now);
    vm.remote_loads.apply(std::exchange(digest.remote_loads, {}), now);
    if (!digest.joining && this->informed_at == instant{}) this->informed_at = now;
    vm.last = std::move(digest);
    this->update_share(now);
    return &vm;
}

void fleet_table::remove_dead_vms(instant now)
{
    std::erase_if(this->table, [&](const auto& entry) {
        const instant last = std::max(entry.second.alive_at, entry.second.known_since);
        return now - last > dead_vm_retention &&
               std::ranges::find(this->seeds, entry.first) == this->seeds.end();
    });
}

bool fleet_table::is_local(const fleet_vm& vm) const
{
    return vm.data_centre == this->own.data_centre || this->table.size() < max_small_fleet_vms;
}

bool fleet_table::is_responsive(const fleet_vm& vm, instant now)
{
    const duration limit = std::max<duration>(milliseconds(vm.last.period_ms) * max_silent_periods,
                                              min_vm_silence_timeout);
    return vm.last_received_at != instant{} && now - vm.last_received_at <= limit;
}

bool fleet_table::is_known(std::uint32_t address) const
{
    const auto found = this->table.find(address);
    return found != this->table.end() && found->second.alive_at != instant{};
}

bool fleet_table::is_alive(const fleet_vm& vm, instant now) const
{
    if (this->is_local(vm)) return this->is_responsive(vm, now);
    return vm.alive_at != instant{} && now - vm.alive_at <= remote_vm_timeout;
}

std::vector<const fleet_vm*> fleet_table::local_vms(instant now) const
{
    std::vector<const fleet_vm*> found;
    for (const auto& [address, vm] : this->table) {
        if (this->is_local(vm) && this->is_responsive(vm, now)) found.push_back(&vm);
    }
    return found;
}

std::vector<const fleet_vm*> fleet_table::responsive_vms(instant now) const
{
    std::vector<const fleet_vm*> found;
    for (const auto& [address, vm] : this->table) {
        if (this->is_responsive(vm, now)) found.push_back(&vm);
    }
    return found;
}

std::size_t fleet_table::alive_count(instant now) const
{
    const auto others = std::ranges::count_if(
        this->table, [&](const auto& entry) { return this->is_alive(entry.second, now); });
    return static_cast<std::size_t>(others) + 1;
}

fleet_size fleet_table::size(instant now) const
{
    const instant known_since = this->first_digest_at + fleet_size_settle_period;
    if (this->first_digest_at == instant{} || now < known_since) return {};
    return {std::max(this->counted.value(), this->reported.value()), known_since};
}

bool fleet_table::is_joining(instant now) const
{
    return now - this->started_at < joining_period || this->receives_nothing(now);
}

bool fleet_table::receives_nothing(instant now) const
{
    return this->receiving_since == instant{} || now - this->last_digest_at >= joining_period;
}

bool fleet_table::is_isolated(instant now) const
{
    return this->receiving_since != instant{} &&
           now - this->last_digest_at > min_vm_silence_timeout;
}

bool fleet_table::is_complete(instant now) const
{
    return !this->receives_nothing(now) && now - this->receiving_since >= joining_period &&
           now - this->local_vm_discovered_at >= membership_settle_period;
}

/** Whether the VM counts as a member of this data centre. A seed that was never seen may not exist.
 */
bool fleet_table::is_local_member(const fleet_vm& vm) const
{
    return vm.alive_at != instant{} && vm.data_centre == this->own.data_centre;
}

std::uint16_t fleet_table::local_members_hash() const
{
    constexpr std::uint64_t members_key = 0x6d656d;
    std::uint64_t sum = rendezvous_weight(members_key, this->own.address);
    for (const auto& [address, vm] : this->table) {
        if (this->is_local_member(vm)) sum += rendezvous_weight(members_key, address);
    }
    return std::max<std::uint16_t>(static_cast<std::uint16_t>(sum), 1);
}

/** Whether all VMs of this data centre that are alive count the same members as this VM. Then they
 * count this VM, too, and it knows all that they know. */
bool fleet_table::local_vms_agree(instant now) const
{
    const std::uint16_t own_hash = this->local_members_hash();
    return std::ranges::all_of(this->table, [&](const auto& entry) {
        const fleet_vm& vm = entry.second;
        if (!this->is_local_member(vm)) return true;
        if (is_responsive(vm, now)) return vm.last.local_members == own_hash;
        // Others see it, and its first digest is still to come.
        const bool expected =
            vm.last_received_at == instant{} && now - vm.alive_at <= remote_vm_timeout;
        return !expected;
    });
}

share_state fleet_table::next_share(instant now) const
{
    const bool never_received = this->receiving_since == instant{};
    const duration alone_after = never_received ? joining_period : share_lease;
    if (now - this->last_digest_at > alone_after) return share_state::minimal;
    if (never_received) return share_state::none;
    if (this->share == share_state::full) return share_state::full;
    const instant joined_at =
        this->is_informed() ? this->informed_at : this->started_at + joining_period;
    const instant changed_at = std::max(joined_at, this->local_vm_discovered_at);
    const bool agreed = now - changed_at >= share_delay && this->local_vms_agree(now);
    return agreed || this->is_complete(now) ? share_state::full : share_state::none;
}

void fleet_table::update_share(instant now)
{
    const share_state next = this->next_share(now);
    if (std::exchange(this->share, next) != next) this->share_since = now;
}

fleet_members fleet_table::members(instant now) const
{
    fleet_members found;
    found.self = this->own.address;
    found.data_centre = this->own.data_centre;
    found.complete = this->is_complete(now);
    found.share = this->share;
    found.share_since = this->share_since;
    found.local_vms.push_back(this->own.address);
    found.data_centres.push_back(this->own.data_centre);
    for (const auto& [address, vm] : this->table) {
        if (vm.alive_at == instant{}) continue;
        if (this->is_local_member(vm)) found.local_vms.push_back(address);
        found.add_data_centre(vm.data_centre);
    }
    return found;
}

std::vector<std::uint32_t> fleet_table::delegates(instant now) const
{
    std::vector<std::uint32_t> candidates{this->own.address};
    for (const auto& [address, vm] : this->table) {
        if (!vm.last.leaving && this->is_alive(vm, now)) candidates.push_back(address);
    }
    const std::size_t count = std::min(candidates.size(), delegates_per_fleet);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater{}, delegate_rank);
    candidates.resize(count);
    return candidates;
}

void fleet_table::apply_notice(std::uint32_t from, const store_reader_notice& notice, instant now)
{
    if (!this->is_known(from)) return;
    fleet_vm& vm = this->table.at(from);
    vm.alive_at = now;
    vm.sends_notices = true;
    vm.reads_store_at = notice.reads_store ? now : instant{};
    if (!notice.reads_store) vm.stopped_reading_at = now;
}

void fleet_table::apply_report(const store_reader_report& report, instant now)
{
    const instant read_at = from_age(report.age, store_reader_age_unit, now);
    this->record_vm(report.address, 0, read_at, now);
    const auto found = this->table.find(report.address);
    if (found == this->table.end()) return;
    fleet_vm& vm = found->second;
    if (read_at > vm.stopped_reading_at + max_store_reader_report_delay)
        vm.reads_store_at = std::max(vm.reads_store_at, read_at);
}

std::vector<std::uint32_t> fleet_table::store_readers(instant now) const
{
    const duration report_timeout =
        std::clamp<duration>(this->period * max_store_reader_report_periods,
                             min_store_reader_report_timeout, max_store_reader_report_timeout);
    std::vector<std::uint32_t> readers;
    for (const auto& [address, vm] : this->table) {
        const duration timeout = vm.sends_notices ? store_reader_notice_timeout : report_timeout;
        if (vm.reads_store_at != instant{} && now - vm.reads_store_at <= timeout)
            readers.push_back(address);
    }
    return readers;
}

bool fleet_table::precedes_self(std::uint32_t address) const
{
    return delegate_rank(address) > delegate_rank(this->own.address);
}

std::vector<store_reader_report> fleet_table::store_reader_reports(bool reads_store,
                                                                   instant now) const
{
    std::vector<std::uint32_t> readers = this->store_readers(now);
    if (reads_store) readers.push_back(this->own.address);
    std::ranges::sort(readers, std::greater{}, delegate_rank);
    readers.resize(std::min(readers.size(), max_reported_store_readers));
    std::vector<store_reader_report> reports;
    std::ranges::transform(readers, std::back_inserter(reports), [&](std::uint32_t address) {
        const auto found = this->table.find(address);
        const instant read_at = found == this->table.end() ? now : found->second.reads_store_at;
        return store_reader_report{address,
                                   to_age<std::uint8_t>(read_at, store_reader_age_unit, now)};
    });
    return reports;
}

std::optional<vm_liveness_report> fleet_table::make_liveness_report(const fleet_vm& vm,
                                                                    instant now) const
{
    if (!this->is_alive(vm, now) || vm.data_centre == 0) return std::nullopt;
    return vm_liveness_report{vm.address, vm.data_centre, to_age(now - vm.alive_at)};
}

std::vector<vm_liveness_report> fleet_table::local_member_reports(instant now) const
{
    std::vector<vm_liveness_report> reports;
    for (const auto& [address, vm] : this->table) {
        if (this->is_local_member(vm))
            reports.push_back({address, vm.data_centre, to_age(now - vm.alive_at)});
    }
    return reports;
}

std::vector<vm_liveness_report>
fleet_table::liveness_reports(std::size_t count, std::span<const std::uint32_t> delegates,
                              instant now)
{
    std::vector<vm_liveness_report> reports;
    if (!delegates.empty()) {
        const auto chosen =
            this->table.find(delegates[this->liveness_report_calls++ % delegates.size()]);
        if (chosen != this->table.end()) {
            if (const auto report = this->make_liveness_report(chosen->second, now))
                reports.push_back(*report);
        }
    }
    auto next = this->table.upper_bound(this->last_reported);
    for (std::size_t visited = 0; visited < this->table.size() && reports.size() < count;
         ++visited) {
        if (next == this->table.end()) next = this->table.begin();
        const fleet_vm& vm = next->second;
        this->last_reported = vm.address;
        ++next;
        if (const auto report = this->make_liveness_report(vm, now)) reports.push_back(*report);
    }
    return reports;
}

} // namespace worksshift
