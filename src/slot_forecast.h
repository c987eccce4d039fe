/** \file
 * Estimates how long an additional request would wait for a slot of a model engine.
 *
 * An engine runs as many requests concurrently as it has slots and queues the others. A request
 * holds its slot from its first event to its last, so a full engine frees one slot every span /
 * slots. The mean span is estimated from the requests of this VM and follows changes of the
 * requested work and of the engines' speed.
 */
#pragma once

#include <algorithm>
#include <cstdint>

#include "ids.h"

namespace worksshift {

class slot_forecast {
public:
    /** Number of requests after which the weight of an earlier one has decayed to 1/e. A VM
     * completes 10 to 50 requests per second, so the mean follows a change within a few seconds,
     * and a single long answer moves it by only a few hundredths. */
    static constexpr double decay_requests = 32;

    /** Adds a request that held its slot for \p span. */
    void on_finished(duration span)
    {
        const double seconds_held = std::chrono::duration<double>(span).count();
        this->finished = std::min(this->finished + 1, decay_requests);
        this->mean += (seconds_held - this->mean) / this->finished;
    }

    /** Time until one more request gets a slot; zero if one is free or no span is known yet. */
    [[nodiscard]] duration wait(double load, std::uint32_t slots) const
    {
        const double ahead = load + 1 - slots;
        if (ahead <= 0 || slots == 0) return {};
        const std::chrono::duration<double> span(ahead * this->mean / slots);
        return std::chrono::duration_cast<duration>(span);
    }

    /** Mean time for which a request holds a slot; zero while none is known. */
    [[nodiscard]] duration span() const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(this->mean));
    }

private:
    double mean = 0;     ///< seconds
    double finished = 0; ///< requests in the mean, at most `decay_requests`
};

} // namespace worksshift
