/** \file
 * Estimates how much of an engine's reported load remains, while the load of its service falls.
 *
 * An engine reports its load in responses, so one that gets no new request reports nothing while it
 * drains. After a burst, the mean of the reports was 1.6 to 2.3 times the true mean for up to
 * `reported_load_lifetime`, and requests were sent to engines above the load bound that the true
 * mean gives. What is known at once is how many requests the VMs of the data centre have in flight:
 * its fall since a report is applied to the load that was reported.
 */
#pragma once

#include <cstddef>
#include <deque>

#include "ids.h"

namespace worksshift {

/** Requests in flight at the engines of one service, over the last seconds. */
class load_estimate {
public:
    /** Interval of the samples; digests arrive every 150 ms or less often. */
    static constexpr duration sample_period = milliseconds(100);
    /** Samples are kept for somewhat longer than the reports that they are compared with. */
    static constexpr duration sample_lifetime = milliseconds(3500);

    struct sample {
        double requests = 0;     ///< of \p vms in flight at engines that respond
        std::size_t vms = 0;     ///< VMs whose requests are included
        std::size_t engines = 0; ///< that respond and are not leaving
    };

    void add(const sample& counted, instant now);
    /** Share that remains of a load reported at \p at, at most 1. \p span: mean time of a request
     * at an engine; the load of an engine without new requests falls by the factor e in that time,
     * and no faster. It is 1 while nothing is known, and while fewer than half of the VMs are heard
     * that were heard then: a VM that is cut off from the others knows nothing of their requests.
     */
    [[nodiscard]] double remaining_share(instant at, duration span) const;

private:
    struct timed_sample {
        instant at;
        sample counted;
    };

    std::deque<timed_sample> samples; ///< the newest last
};

} // namespace worksshift
