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

    /** Callers wait at most this share of the time that remains until their deadline. */
    static constexpr double max_share_of_remaining = 1.0 / 3;

    /** Records a refused request. Returns the time after which its caller should retry.
     * \p remaining: until its deadline; zero: not known. */
    template <class Random>
    duration refuse(instant now, Random& random, duration remaining = {})
    {
        const duration retry_after = this->without_deadline(now, random);
        if (remaining <= duration::zero()) return retry_after;
        const auto limit = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(remaining) * max_share_of_remaining);
        if (retry_after <= limit) return retry_after;
        // Spread, as callers refused together would otherwise return together.
        std::uniform_real_distribution<double> share(0.8, 1);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(limit) *
                                                    share(random));
    }

    /** Whether there is an overload: the last refusal is recent. */
    [[nodiscard]] bool active(instant now) const
    {
        return now - this->last_refusal <= overload_gap;
    }

private:
    template <class Random>
    duration without_deadline(instant now, Random& random)
    {
        if (now - this->last_refusal > overload_gap) this->since = now;
        this->last_refusal = now;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const auto retry_after =
            std::chrono::duration_cast<duration>((now - this->since) * spread(random));
        return std::clamp(retry_after, min_overload_retry_after, max_overload_retry_after);
    }

    instant since{}; ///< first refusal of the current overload
    instant last_refusal{};
};

} // namespace worksshift
