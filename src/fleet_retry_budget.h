/** \file
 * How many repeats one VM may send to a service.
 *
 * The whole fleet may repeat a share of the requests to a service, and a fixed number more, in any
 * window. Each VM keeps to the same share of its own requests and to its part of the fixed number,
 * so the sum holds without a message between VMs, also while they cannot reach each other.
 */
#pragma once

#include <algorithm>
#include <deque>

#include "ids.h"

namespace worksshift {

struct fleet_retry_settings {
    double ratio = 0.2; ///< repeats for each request, over the fleet
    duration window = seconds(10);
    double slack = 50; ///< repeats beyond the ratio, over the fleet and window
};

class fleet_retry_budget {
public:
    /** Part of what the bound allows that is used. VMs count by their own clocks, and requests that
     * never arrive here count in nobody's favour. */
    static constexpr double used_share = 0.7;

    void on_request(instant now) { this->requests.push_back(now); }

    /** Takes one repeat out of the budget if it holds one. \p vms is the size of the fleet. */
    bool take(instant now, const fleet_retry_settings& settings, std::size_t vms)
    {
        this->expire(now - settings.window);
        const double share = settings.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
        const double allowed =
            used_share * (settings.ratio * static_cast<double>(this->requests.size()) + share);
        if (static_cast<double>(this->repeats.size()) + 1 > allowed) return false;
        this->repeats.push_back(now);
        return true;
    }

private:
    void expire(instant before)
    {
        const auto drop = [before](std::deque<instant>& times) {
            while (!times.empty() && times.front() < before)
                times.pop_front();
        };
        drop(this->requests);
        drop(this->repeats);
    }

    std::deque<instant> requests;
    std::deque<instant> repeats;
};

} // namespace worksshift
