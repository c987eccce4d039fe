/** \file
 * How many requests a second come, as a mean over the last half second or so.
 */
#pragma once

#include <cmath>

#include "ids.h"

namespace worksshift {

class demand_meter {
public:
    /** Weight of past requests fades to 1/e in this time: short against an overload of seconds,
     * long enough that ten requests a second give a rate within a third. */
    static constexpr duration fades_in = milliseconds(700);

    void on_request(instant now)
    {
        this->weight = this->faded(now) + 1;
        this->at = now;
    }

    /** Requests per second. */
    [[nodiscard]] double rate(instant now) const
    {
        return this->faded(now) / std::chrono::duration<double>(fades_in).count();
    }

private:
    [[nodiscard]] double faded(instant now) const
    {
        const std::chrono::duration<double> span = now - this->at;
        return this->weight * std::exp(-span / std::chrono::duration<double>(fades_in));
    }

    double weight = 0;
    instant at{};
};

} // namespace worksshift
