#include "load_estimate.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace worksshift {

void load_estimate::add(const sample& counted, instant now)
{
    while (!this->samples.empty() && now - this->samples.front().at > sample_lifetime)
        this->samples.pop_front();
    // The newest sample is replaced until it is a period after the one before it.
    const std::size_t count = this->samples.size();
    if (count >= 2 && now - this->samples[count - 2].at <= sample_period) {
        this->samples.back() = {now, counted};
    } else {
        this->samples.push_back({now, counted});
    }
}

double load_estimate::remaining_share(instant at, duration span) const
{
    if (this->samples.empty() || span <= duration::zero()) return 1;
    const auto newest_first = this->samples | std::views::reverse;
    const auto found = std::ranges::find_if(
        newest_first, [at](const timed_sample& known) { return known.at <= at; });
    if (found == newest_first.end()) return 1;
    const sample& then = (*found).counted;
    const timed_sample& newest = this->samples.back();
    const sample& now = newest.counted;
    if (then.requests <= 0 || then.vms == 0 || now.vms * 2 < then.vms) return 1;
    // One standard deviation of the count is not taken as a fall. Requests at engines that stopped
    // responding are no longer counted, which says nothing of the load of the others.
    const double count = now.requests + std::sqrt(now.requests);
    const double lost_engines =
        now.engines == 0
            ? 1
            : std::max(1.0, static_cast<double>(then.engines) / static_cast<double>(now.engines));
    const double share = count / static_cast<double>(now.vms) /
                         (then.requests / static_cast<double>(then.vms)) * lost_engines;
    const std::chrono::duration<double> age = newest.at - at;
    const double least = std::exp(-std::max(age / std::chrono::duration<double>(span), 0.0));
    return std::clamp(share, least, 1.0);
}

} // namespace worksshift
