/** \file
 * How long callers that are refused should stay away.
 *
 * Nobody knows how long an overload lasts. One that has lasted for a while is likely to last about
 * as long again, so callers are told to come back after the time that it has lasted, spread by half
 * to either side, so that those refused together do not return together.
 */
#pragma once

#include <algorithm>
#include <random>

#include "ids.h"

namespace worksshift {

class overload_watch {
public:
    /** Without a refusal for so long, an overload is over. */
    static constexpr duration over_after = milliseconds(1500);
    static constexpr duration shortest_stay = milliseconds(200);
    static constexpr duration longest_stay = seconds(10);

    /** A request is refused. Returns when its caller should come back. */
    template <class Random>
    duration refuse(instant now, Random& random)
    {
        if (now - this->last > over_after) this->since = now;
        this->last = now;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const auto stay =
            std::chrono::duration_cast<duration>((now - this->since) * spread(random));
        return std::clamp(stay, shortest_stay, longest_stay);
    }

    [[nodiscard]] bool active(instant now) const { return now - this->last <= over_after; }

private:
    instant since{};
    instant last{};
};

} // namespace worksshift
