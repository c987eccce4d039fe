/** \file
 * Recent time to first event of one engine, as observed by one VM.
 *
 * Detects an engine that runs at a fraction of its normal speed although its health is good and its
 * slots are free. An engine that is avoided gives no new samples, so the value decays with time and
 * the engine is tried again.
 */
#pragma once

#include <cmath>

#include "ids.h"

namespace worksshift {

class first_event_delay {
public:
    /** Weights of a new sample in the moving average, when it is longer or shorter than the
     * average. An engine that processes a long prompt for the first time is late once, a slow
     * engine every time, so a shorter delay has more weight. */
    static constexpr double weight_of_increase = 0.15;
    static constexpr double weight_of_decrease = 0.6;
    /** Without new samples, the average decays to 1/e in this time. */
    static constexpr duration decay_time = seconds(5);

    void add(duration delay, instant now)
    {
        const double previous = this->at(now);
        const double change = as_seconds(delay) - previous;
        this->value = previous + (change > 0 ? weight_of_increase : weight_of_decrease) * change;
        this->seen = now;
    }

    [[nodiscard]] bool known() const { return this->seen != instant{}; }
    /** Decayed average; meaningless unless `known`. */
    [[nodiscard]] duration recent(instant now) const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(this->at(now)));
    }

private:
    static double as_seconds(duration span) { return std::chrono::duration<double>(span).count(); }
    [[nodiscard]] double at(instant now) const
    {
        return this->value * std::exp(-as_seconds(now - this->seen) / as_seconds(decay_time));
    }

    double value = 0; ///< seconds
    instant seen{};   ///< time of the latest sample; the epoch: none
};

} // namespace worksshift
