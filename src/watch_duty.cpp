#include "watch_duty.h"

#include <algorithm>

namespace worksshift {

void watch_duty::update(const fleet_table& fleet, instant now)
{
    const auto heard_in_time = [now](const fleet_vm& item) {
        const duration span = milliseconds(item.last.period_ms) * watcher_periods;
        return now - item.heard_at < std::max<duration>(watcher_heard_within, span);
    };
    std::vector<const fleet_vm*> before = fleet.near(now);
    const bool one_group = before.size() + 1 >= fleet.alive(now);
    const std::size_t wanted = one_group ? watchers_of_fleet : watchers_of_data_centre;
    std::erase_if(before, [&](const fleet_vm* item) {
        return item->last.leaving || !heard_in_time(*item) ||
               item->last.incarnation >= fleet.self().incarnation;
    });
    const auto watching = static_cast<std::size_t>(std::ranges::count_if(
        before, [](const fleet_vm* item) { return item->last.watches_store; }));
    if (watching >= wanted) {
        this->missing_since = instant{};
        if (this->watched_since == instant{}) this->watched_since = now;
        if (now - this->watched_since > watched_enough_for) this->active = false;
        return;
    }
    this->watched_since = instant{};
    if (this->missing_since == instant{}) this->missing_since = now;
    const auto in_front = static_cast<int>(before.size() - watching);
    const duration wait = std::min<duration>(turn * in_front, longest_turn);
    if (now - this->missing_since >= wait) this->active = true;
}

} // namespace worksshift
