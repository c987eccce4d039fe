/** \file
 * Notices that the VM was suspended. The steady clock stands still meanwhile, so whatever is
 * measured by it seems younger than it is: callers have waited longer, and idle connections may be
 * closed at the other end.
 */
#pragma once

#include <optional>

#include "ids.h"

namespace worksshift {

/** Two clocks, read at the same moment. */
struct clock_pair {
    duration steady{}; ///< stands still while the VM is suspended
    duration boot{};   ///< does not
};

/** Nothing when the process was held up between the readings each time that it was tried. */
std::optional<clock_pair> read_clocks();

class suspension_watch {
public:
    /** Readings that are apart by less are not told from a pause between them. */
    static constexpr duration shortest = milliseconds(100);

    /** For how long the VM was suspended since the last call; zero: it was not. */
    duration update(const clock_pair& read)
    {
        const duration ahead = read.boot - read.steady;
        if (!this->ahead) this->ahead = ahead;
        const duration gap = ahead - *this->ahead;
        if (gap < shortest) return duration::zero();
        this->ahead = ahead;
        return gap;
    }

private:
    std::optional<duration> ahead; ///< of the clock that counts suspensions
};

} // namespace worksshift
