/** \file
 * Request rate as an exponentially decaying mean.
 */
#pragma once

#include <cmath>

#include "ids.h"

namespace worksshift {

class demand_meter {
public:
    /** The weight of past requests decays to 1/e in this time. Short compared to an overload of
     * seconds, and long enough for an error of at most a third at ten requests per second. */
    static constexpr duration decay_time = milliseconds(700);

    void on_request(instant now)
    {
        this->weight = this->decayed(now) + 1;
        this->last_request_at = now;
    }

    /** Requests per second. */
    [[nodiscard]] double rate(instant now) const
    {
        return this->decayed(now) / std::chrono::duration<double>(decay_time).count();
    }

private:
    [[nodiscard]] double decayed(instant now) const
    {
        const std::chrono::duration<double> span = now - this->last_request_at;
        return this->weight * std::exp(-span / std::chrono::duration<double>(decay_time));
    }

    double weight = 0; ///< decayed number of requests as of `last_request_at`
    instant last_request_at{};
};

} // namespace worksshift
