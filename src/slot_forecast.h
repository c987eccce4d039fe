/** \file
 * How long one more request would wait for a slot of a model engine.
 *
 * An engine runs as many requests at once as it has slots, and queues the others. A request holds
 * its slot from its first event to its last, so an engine that is full frees one slot every span /
 * slots. The span is learnt from the requests of this VM: it grows and shrinks with what callers
 * ask for and with the engines' pace.
 */
#pragma once

#include <algorithm>
#include <cstdint>

#include "ids.h"

namespace worksshift {

class slot_forecast {
public:
    /** Requests after which the weight of an earlier one has faded to 1/e. A VM finishes 10 to 50
     * a second, so the mean follows a change within a few seconds, and one long answer moves it by
     * a few hundredths only. */
    static constexpr double fades_in = 32;

    /** A request held its slot for \p span. */
    void on_finished(duration span)
    {
        const double seconds_held = std::chrono::duration<double>(span).count();
        this->finished = std::min(this->finished + 1, fades_in);
        this->mean += (seconds_held - this->mean) / this->finished;
    }

    /** Until one more request gets a slot; zero while nothing is known of the spans. */
    [[nodiscard]] duration wait(double load, std::uint32_t slots) const
    {
        const double ahead = load + 1 - slots;
        if (ahead <= 0 || slots == 0) return {};
        const std::chrono::duration<double> span(ahead * this->mean / slots);
        return std::chrono::duration_cast<duration>(span);
    }

    [[nodiscard]] duration span() const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(this->mean));
    }

private:
    double mean = 0; ///< seconds
    double finished = 0;
};

} // namespace worksshift
