#include "watcher_selection.h"

#include <algorithm>

namespace worksshift {

namespace {

/** Interval between two checks of the delegates, which change when VMs start or stop; that takes
 * about a second to be noticed. */
constexpr duration delegate_check_interval = milliseconds(250);

} // namespace

std::optional<read_mode> watcher_selection::mode() const
{
    if (this->delegate || (this->standby && this->unconfirmed)) return read_mode::linearizable;
    return this->standby ? std::optional(read_mode::stale) : std::nullopt;
}

void watcher_selection::update(const fleet_table& fleet, instant confirmed_at, bool answered,
                               instant now)
{
    if (this->started == instant{}) {
        this->started = now;
        this->standby_since = now;
    }
    if (now - this->delegates_checked_at >= delegate_check_interval) {
        this->delegates_checked_at = now;
        const std::vector<std::uint32_t> delegates = fleet.delegates(now);
        this->delegate = std::ranges::find(delegates, fleet.self().address) != delegates.end();
    }
    const bool stood_by = this->standby;
    this->update_standby(fleet, now);
    if (this->standby && !stood_by) this->standby_since = now;
    this->unconfirmed = answered &&
                        now - std::max(confirmed_at, this->started) > max_confirmation_age &&
                        now - this->standby_since >= min_stale_period;
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
