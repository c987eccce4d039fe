#include "watcher_selection.h"

#include <algorithm>
#include <array>
#include <utility>

#include "log.h"
#include "rendezvous.h"

namespace worksshift {

namespace {

/** Interval between two checks of the delegates, which change when VMs start or stop; that takes
 * about a second to be noticed. */
constexpr duration delegate_check_interval = milliseconds(250);

/** Part of `replacement_delay` by which a VM waits longer, different for each. */
duration random_delay(const fleet_table& fleet)
{
    constexpr std::uint64_t replacement_key = 0x72706c;
    constexpr std::int64_t steps = 4;
    const std::uint64_t weight = rendezvous_weight(replacement_key, fleet.self().incarnation);
    return watcher_selection::replacement_delay * static_cast<std::int64_t>(weight % steps) / steps;
}

} // namespace

std::optional<read_mode> watcher_selection::mode() const
{
    if (this->role != reader_role::none) return read_mode::linearizable;
    return this->standby ? std::optional(read_mode::stale) : std::nullopt;
}

void watcher_selection::update(const fleet_table& fleet, const store_access& access, instant now)
{
    if (this->started == instant{}) {
        this->started = now;
        this->standby_since = now;
    }
    this->update_delegates(fleet, now);
    const bool stood_by = this->standby;
    this->update_standby(fleet, now);
    if (this->standby && !stood_by) this->standby_since = now;
    this->update_reading(fleet, access, now);
}

void watcher_selection::update_delegates(const fleet_table& fleet, instant now)
{
    if (now - this->delegates_checked_at < delegate_check_interval) return;
    this->delegates_checked_at = now;
    this->delegates = fleet.delegates(now);
}

bool watcher_selection::is_delegate(std::uint32_t address) const
{
    return std::ranges::find(this->delegates, address) != this->delegates.end();
}

/** Decides whether this VM reads linearizably. A VM that does so continues until enough VMs that
 * are to do so rather than it are known to: those of a higher rank may have just started. */
void watcher_selection::update_reading(const fleet_table& fleet, const store_access& access,
                                       instant now)
{
    if (access.reads_linearizably) this->answered_linearizably_at = now;
    if (!access.answered) {
        this->answered_since = instant{};
    } else if (this->answered_since == instant{}) {
        this->answered_since = now;
    }
    const std::vector<std::uint32_t> readers = fleet.store_readers(now);
    const bool enough = readers.size() >= delegates_per_fleet;
    if (enough) {
        this->readers_missing_since = instant{};
    } else if (this->readers_missing_since == instant{}) {
        this->readers_missing_since = now;
    }
    if (this->is_delegate(fleet.self().address)) {
        this->set_role(reader_role::delegate, "delegate", readers.size(), now);
        return;
    }
    if (this->role == reader_role::delegate) {
        const reader_role next =
            access.reads_linearizably ? reader_role::replacement : reader_role::none;
        this->set_role(next, "no_delegate", readers.size(), now);
    }
    if (this->role == reader_role::none) {
        const duration wait =
            min_missing_period +
            replacement_delay * static_cast<std::int64_t>(this->preceding_watchers) +
            random_delay(fleet);
        if (!enough && now - this->readers_missing_since >= wait && this->may_replace(now))
            this->set_role(reader_role::replacement, "readers_missing", readers.size(), now);
        return;
    }
    const auto preferred = std::ranges::count_if(readers, [&](std::uint32_t address) {
        return this->is_delegate(address) || fleet.precedes_self(address);
    });
    const instant last_answer = std::max(this->role_since, this->answered_linearizably_at);
    const bool unanswered = !access.answered || now - last_answer > max_unanswered_period;
    if (static_cast<std::size_t>(preferred) >= delegates_per_fleet) {
        this->set_role(reader_role::none, "others_read", readers.size(), now);
    } else if (unanswered) {
        this->answered_since = instant{};
        this->set_role(reader_role::none, "not_answered", readers.size(), now);
    }
}

/** Whether this VM may read linearizably in place of others. */
bool watcher_selection::may_replace(instant now) const
{
    return this->standby && now - this->standby_since >= min_stale_period &&
           now - this->started >= min_uptime && this->answered_since != instant{} &&
           now - this->answered_since >= min_answered_period;
}

void watcher_selection::set_role(reader_role next, std::string_view reason,
                                 std::size_t other_readers, instant now)
{
    if (std::exchange(this->role, next) == next) return;
    this->role_since = now;
    constexpr std::array names{"none", "delegate", "replacement"};
    log_event(log_level::info, "store_reader_role",
              {{"role", names.at(static_cast<std::size_t>(next))},
               {"reason", reason},
               {"other_readers", other_readers}});
}

void watcher_selection::update_standby(const fleet_table& fleet, instant now)
{
    const auto is_recent = [now](const fleet_vm& item) {
        const duration span = milliseconds(item.last.period_ms) * max_missed_periods;
        return now - item.last_received_at < std::max<duration>(min_watcher_timeout, span);
    };
    std::vector<const fleet_vm*> preceding = fleet.local_vms(now);
    const bool one_group = preceding.size() + 1 >= fleet.alive_count(now);
    const std::size_t wanted =
        one_group ? standby_watchers_per_fleet : standby_watchers_per_data_centre;
    std::erase_if(preceding, [&](const fleet_vm* item) {
        return item->last.leaving || !is_recent(*item) ||
               item->last.incarnation >= fleet.self().incarnation;
    });
    const auto watching = static_cast<std::size_t>(std::ranges::count_if(
        preceding, [](const fleet_vm* item) { return item->last.watches_store; }));
    this->preceding_watchers = watching;
    if (watching >= wanted) {
        this->missing_since = instant{};
        if (this->watched_since == instant{}) this->watched_since = now;
        if (now - this->watched_since > step_down_delay) this->standby = false;
        return;
    }
    this->watched_since = instant{};
    if (this->missing_since == instant{}) this->missing_since = now;
    const auto not_watching = static_cast<int>(preceding.size() - watching);
    const duration wait = std::min<duration>(takeover_delay * not_watching, max_takeover_delay);
    if (now - this->missing_since >= wait) this->standby = true;
}

} // namespace worksshift
