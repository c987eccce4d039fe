/** \file
 * How late the first events of one engine came lately, as one VM saw it.
 *
 * Shows an engine that runs at a fraction of its pace although its health is good and its slots are
 * free. An engine that is avoided gives no news, so what was seen fades and it is tried again.
 */
#pragma once

#include <cmath>

#include "ids.h"

namespace worksshift {

class first_event_delay {
public:
    /** Weight of a new delay against those before. An engine that reads a long prompt for the first
     * time is late once, one that is slow is late each time, so a shorter delay counts for more. */
    static constexpr double weight_of_longer = 0.15;
    static constexpr double weight_of_shorter = 0.6;
    /** Without news, what was seen fades to 1/e in this time. */
    static constexpr duration fades_in = seconds(5);

    void add(duration delay, instant now)
    {
        const double kept = this->at(now);
        const double change = as_seconds(delay) - kept;
        this->value = kept + (change > 0 ? weight_of_longer : weight_of_shorter) * change;
        this->seen = now;
    }

    [[nodiscard]] bool known() const { return this->seen != instant{}; }
    [[nodiscard]] duration recent(instant now) const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(this->at(now)));
    }

private:
    static double as_seconds(duration span) { return std::chrono::duration<double>(span).count(); }
    [[nodiscard]] double at(instant now) const
    {
        return this->value * std::exp(-as_seconds(now - this->seen) / as_seconds(fades_in));
    }

    double value = 0; ///< seconds
    instant seen{};
};

} // namespace worksshift
