/** \file
 * Detects that the VM was suspended. The steady clock stops during a suspension, so times measured
 * by it are too short afterwards: callers have waited longer, and peers may have closed idle
 * connections.
 */
#pragma once

#include <optional>

#include "ids.h"

namespace worksshift {

/** Readings of two clocks, taken at nearly the same time. */
struct clock_pair {
    duration steady{}; ///< stops while the VM is suspended
    duration boot{};   ///< includes suspensions
};

/** std::nullopt if the process was delayed between the two readings in every attempt. */
std::optional<clock_pair> read_clocks();

class suspension_detector {
public:
    /** Shorter gaps cannot be distinguished from a delay between the two readings. */
    static constexpr duration min_detected_gap = milliseconds(100);

    /** How long the VM was suspended since the last call; zero if it was not. */
    duration update(const clock_pair& clocks)
    {
        const duration ahead = clocks.boot - clocks.steady;
        if (!this->ahead) this->ahead = ahead;
        const duration gap = ahead - *this->ahead;
        if (gap < min_detected_gap) return duration::zero();
        this->ahead = ahead;
        return gap;
    }

private:
    /** Boot clock minus steady clock, when first read or after the last suspension. */
    std::optional<duration> ahead;
};

} // namespace worksshift
