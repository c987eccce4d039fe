/** \file
 * Estimates the Retry-After time for requests that are refused during an overload.
 *
 * The duration of an overload is unknown in advance. One that has lasted for some time is likely to
 * last about as long again, so callers are asked to retry after the time that it has lasted so far.
 * A random factor between 0.5 and 1.5 keeps callers refused together from returning together.
 */
#pragma once

#include <algorithm>
#include <random>

#include "ids.h"

namespace worksshift {

class overload_tracker {
public:
    /** An overload is over after this time without a refusal. */
    static constexpr duration overload_gap = milliseconds(1500);
    static constexpr duration min_overload_retry_after = milliseconds(200);
    static constexpr duration max_overload_retry_after = seconds(10);

    /** Records a refused request. Returns the time after which its caller should retry. */
    template <class Random>
    duration refuse(instant now, Random& random)
    {
        if (now - this->last_refusal > overload_gap) this->since = now;
        this->last_refusal = now;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const auto retry_after =
            std::chrono::duration_cast<duration>((now - this->since) * spread(random));
        return std::clamp(retry_after, min_overload_retry_after, max_overload_retry_after);
    }

    /** Whether there is an overload: the last refusal is recent. */
    [[nodiscard]] bool active(instant now) const
    {
        return now - this->last_refusal <= overload_gap;
    }

private:
    instant since{}; ///< first refusal of the current overload
    instant last_refusal{};
};

} // namespace worksshift
