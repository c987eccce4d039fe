/** \file
 * Limits the retries that one VM may send to a service.
 *
 * In any window, the whole fleet may retry a share of the requests to a service, plus a fixed
 * number. Each VM applies the share to its own requests and takes an equal part of the fixed
 * number, so the fleet-wide limit holds without communication, also when VMs cannot reach each
 * other.
 */
#pragma once

#include <algorithm>
#include <deque>

#include "ids.h"

namespace worksshift {

struct fleet_retry_settings {
    double ratio = 0.2; ///< retries per request, over the whole fleet
    duration window = seconds(10);
    double slack = 50; ///< retries beyond the ratio, per window over the whole fleet
};

class fleet_retry_budget {
public:
    /** Fraction of the allowance that is used. VMs count windows by their own clocks, and requests
     * that never arrive here add to no VM's allowance. */
    static constexpr double allowance_safety_factor = 0.7;

    void on_request(instant now) { this->requests.push_back(now); }

    /** Retries that may be sent now. \p vms: size of the fleet. */
    double available(instant now, const fleet_retry_settings& settings, std::size_t vms)
    {
        this->expire(now - settings.window);
        const double own_slack =
            settings.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
        const double allowed =
            allowance_safety_factor *
            (settings.ratio * static_cast<double>(this->requests.size()) + own_slack);
        return allowed - static_cast<double>(this->retries.size());
    }

    /** Takes one retry out of the budget. Returns false if there is none. */
    bool withdraw(instant now, const fleet_retry_settings& settings, std::size_t vms)
    {
        if (this->available(now, settings, vms) < 1) return false;
        this->retries.push_back(now);
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
        drop(this->retries);
    }

    std::deque<instant> requests;
    std::deque<instant> retries;
};

} // namespace worksshift
