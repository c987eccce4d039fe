/** \file
 * Limits the retries that one VM may send to a service.
 *
 * In any window, the whole fleet may retry a share of the requests to a service, plus a fixed
 * number. Each VM keeps a token bucket: it earns retries by its own requests, and its part of the
 * fixed number as time passes. A process that starts has earned nothing, and what it can have saved
 * up and what it earns in a window are together its allowance. So the limit holds without
 * communication however often VMs restart, and while they cannot reach each other.
 */
#pragma once

#include <algorithm>
#include <deque>

#include "fleet_size.h"

namespace worksshift {

struct fleet_retry_settings {
    double ratio = 0.2; ///< retries per request, over the whole fleet
    duration window = seconds(10);
    double slack = 50; ///< retries beyond the ratio, per window over the whole fleet
};

class fleet_retry_budget {
public:
    /** Part of the allowance of a window that is earned in a window, and that can be saved up.
     * Together less than one, because a retry arrives later than it was allowed. */
    static constexpr double earned_share = 0.6;
    static constexpr double saved_share = 0.37;
    /** Part of the fixed number that is divided among the VMs. The rest covers groups of VMs that
     * all started while they could not see the others, and whose parts are therefore too large. */
    static constexpr double divided_slack = 0.5;

    void on_request(instant now, const fleet_retry_settings& settings)
    {
        this->requests.push_back(now);
        this->balance += earned_share * settings.ratio;
        this->expire(now - settings.window);
    }

    /** Retries that may be sent now. */
    double available(instant now, const fleet_retry_settings& settings, const fleet_size& fleet)
    {
        this->expire(now - settings.window);
        const double own_slack =
            fleet.vms == 0 ? 0 : divided_slack * settings.slack / static_cast<double>(fleet.vms);
        if (fleet.vms != 0) {
            const std::chrono::duration<double> earning(
                now - std::max(this->slack_earned_at, fleet.known_since));
            const std::chrono::duration<double> window(settings.window);
            this->balance += earned_share * own_slack * (earning / window);
        }
        this->slack_earned_at = now;
        const double saved = saved_share * (settings.ratio * this->request_count() + own_slack);
        // A VM with few requests saves up one whole retry, as far as the undivided slack covers it.
        this->balance = std::min(this->balance, saved + std::clamp(1 - saved, 0.0, own_slack));
        return this->balance;
    }

    /** Takes one retry out of the budget. Returns false if there is none. */
    bool withdraw(instant now, const fleet_retry_settings& settings, const fleet_size& fleet)
    {
        if (this->available(now, settings, fleet) < 1) return false;
        this->balance -= 1;
        return true;
    }

    /** The VM was suspended for \p span, which its clock did not count. */
    void on_suspended(duration span)
    {
        for (instant& at : this->requests)
            at -= span;
    }

private:
    [[nodiscard]] double request_count() const
    {
        return static_cast<double>(this->requests.size());
    }

    void expire(instant before)
    {
        while (!this->requests.empty() && this->requests.front() < before)
            this->requests.pop_front();
    }

    std::deque<instant> requests; ///< of the last window
    double balance = 0;           ///< retries earned and not used
    instant slack_earned_at{};    ///< until when the part of the fixed number was earned
};

} // namespace worksshift
