/** \file
 * Number of VMs among which limits of the whole fleet are divided.
 */
#pragma once

#include <algorithm>
#include <cstddef>

#include "ids.h"

namespace worksshift {

struct fleet_size {
    std::size_t vms = 0;   ///< 0: not known yet
    instant known_since{}; ///< meaningless if `vms` is 0
};

/** Largest count of the last one to two hours. VMs that cannot see each other for a while keep the
 * size that they knew, so that their parts of a limit do not grow. */
class recent_maximum {
public:
    static constexpr duration period = std::chrono::hours(1);

    void add(std::size_t count, instant now)
    {
        if (now - this->period_begin > period) {
            const bool adjacent = now - this->period_begin <= period * 2;
            this->previous = adjacent ? this->current : 0;
            this->current = 0;
            this->period_begin = now;
        }
        this->current = std::max(this->current, count);
    }
    [[nodiscard]] std::size_t value() const { return std::max(this->current, this->previous); }

private:
    instant period_begin{};
    std::size_t current = 0;
    std::size_t previous = 0;
};

} // namespace worksshift
