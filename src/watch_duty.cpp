#include "watch_duty.h"

#include <algorithm>

namespace worksshift {

void watch_duty::update(const fleet_table& fleet, instant now)
{
    const auto heard_in_time = [now](const fleet_vm& item) {
        const duration span = milliseconds(item.last.period_ms) * watcher_periods;
        return now - item.heard_at < std::max<duration>(watcher_heard_within, span);
    };
    const auto near = fleet.near(now);
    const auto others = std::ranges::count_if(near, [&](const fleet_vm* item) {
        return item->last.watches_store && !item->last.leaving && heard_in_time(*item) &&
               item->last.incarnation < fleet.self().incarnation;
    });
    const bool one_group = near.size() + 1 >= fleet.alive(now);
    const std::size_t wanted = one_group ? watchers_of_fleet : watchers_of_data_centre;
    if (static_cast<std::size_t>(others) < wanted) {
        this->watched_since = instant{};
        this->active = true;
    } else if (this->watched_since == instant{}) {
        this->watched_since = now;
    } else if (now - this->watched_since > watched_enough_for) {
        this->active = false;
    }
}

} // namespace worksshift
