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
        const double previous_s = this->decayed_average_s(now);
        const double change_s = as_seconds(delay) - previous_s;
        this->average_s =
            previous_s + (change_s > 0 ? weight_of_increase : weight_of_decrease) * change_s;
        this->last_sample_at = now;
    }

    [[nodiscard]] bool known() const { return this->last_sample_at != instant{}; }
    /** Decayed average; meaningless unless `known`. */
    [[nodiscard]] duration recent(instant now) const
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(this->decayed_average_s(now)));
    }

private:
    static double as_seconds(duration span) { return std::chrono::duration<double>(span).count(); }
    [[nodiscard]] double decayed_average_s(instant now) const
    {
        return this->average_s *
               std::exp(-as_seconds(now - this->last_sample_at) / as_seconds(decay_time));
    }

    double average_s = 0;     ///< as of `last_sample_at`
    instant last_sample_at{}; ///< time of the latest sample; the epoch: none
};

} // namespace worksshift
