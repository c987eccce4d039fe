/** \file
 * Recent results of attempts at one server, by this VM and as reported by VMs of its data centre.
 *
 * In a fleet of hundreds of VMs, one VM sends to a given server every few seconds, too seldom to
 * detect that it is slow or rejects requests. Fifty VMs together detect it within a second.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "ids.h"

namespace worksshift {

class recent_outcomes {
public:
    /** The weight of past results decays to 1/e in this time. Short enough to notice a server that
     * becomes slow, and a few times the interval at which results are exchanged. */
    static constexpr duration plain_decay_time = milliseconds(1500);
    /** The same for an engine, which gets about two requests a second from the VMs of one data
     * centre. */
    static constexpr duration engine_decay_time = seconds(3);

    /** The same for this VM's own attempts, from which admission to a plain service detects an
     * overload before other VMs report it. */
    static constexpr duration own_decay_time = milliseconds(400);

    explicit recent_outcomes(duration decay_time = plain_decay_time) : decay_time(decay_time) {}

    void set_decay_time(duration time) { this->decay_time = time; }

    /** Adds \p answered attempts with a mean time of \p mean, and \p failed ones without a usable
     * response. */
    void add(std::uint32_t answered, std::uint32_t failed, duration mean, instant now)
    {
        this->decay(now);
        this->answers += answered;
        this->failures += failed;
        this->time_s += answered * std::chrono::duration<double>(mean).count();
    }

    /** Decays the weights to the time \p now. */
    void decay(instant now)
    {
        const std::chrono::duration<double> span = now - this->decayed_at;
        const double factor = std::exp(-span / std::chrono::duration<double>(this->decay_time));
        this->answers *= factor;
        this->failures *= factor;
        this->time_s *= factor;
        this->decayed_at = now;
    }

    /** Weight of the attempts with a response, as of the last `decay` or `add`; so are the others
     * below. */
    [[nodiscard]] double weight() const { return this->answers; }
    [[nodiscard]] double total_seconds() const { return this->time_s; }
    [[nodiscard]] double failed() const { return this->failures; }
    /** Weight of all attempts. */
    [[nodiscard]] double tries() const { return this->answers + this->failures; }

    /** Expected time to a usable response in seconds, with retries until there is one. A failed
     * attempt is taken to last as long as a successful one, however soon it failed. \p prior_s:
     * prior for the response time, with the weight of one response. */
    [[nodiscard]] double expected_s(double prior_s) const
    {
        constexpr double max_failure_rate = 0.95;
        const double tries = this->answers + this->failures + 1;
        const double failure_rate = std::min(this->failures / tries, max_failure_rate);
        return (this->time_s + prior_s) / (this->answers + 1) / (1 - failure_rate);
    }

private:
    duration decay_time;
    double answers = 0;
    double failures = 0;
    double time_s = 0;
    instant decayed_at{};
};

} // namespace worksshift
