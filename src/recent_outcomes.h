/** \file
 * How one server answered lately: by the attempts of this VM, and by those that near VMs tell of.
 *
 * In a fleet of hundreds one VM asks a server every few seconds, which is too rare to see that it
 * is slow or sheds; fifty VMs together see it within a second.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "ids.h"

namespace worksshift {

class recent_outcomes {
public:
    /** Weight of past outcomes fades to 1/e in this time: short against a server that turns slow,
     * and a few times the time in which outcomes are told. */
    static constexpr duration plain_fade = milliseconds(1500);
    /** Of an engine, which the VMs of one data centre ask about twice a second together. */
    static constexpr duration engine_fade = seconds(3);

    void set_fade(duration given) { this->fades_in = given; }

    /** \p answered attempts took \p mean each; \p failed ones got no answer of use. */
    void add(std::uint32_t answered, std::uint32_t failed, duration mean, instant now)
    {
        this->fade(now);
        this->answers += answered;
        this->failures += failed;
        this->time_s += answered * std::chrono::duration<double>(mean).count();
    }

    void fade(instant now)
    {
        const std::chrono::duration<double> span = now - this->at;
        const double kept = std::exp(-span / std::chrono::duration<double>(this->fades_in));
        this->answers *= kept;
        this->failures *= kept;
        this->time_s *= kept;
        this->at = now;
    }

    /** Of answered attempts, as of the last `fade` or `add`. */
    [[nodiscard]] double weight() const { return this->answers; }
    [[nodiscard]] double seconds_in_all() const { return this->time_s; }
    [[nodiscard]] double failed() const { return this->failures; }
    /** Attempts of which something is known. */
    [[nodiscard]] double tries() const { return this->answers + this->failures; }

    /** Seconds until an answer of use, with attempts until there is one. A failure counts like an
     * answer's time, however soon it came. Begins at \p usual_s, which counts as one answer. */
    [[nodiscard]] double expected_s(double usual_s) const
    {
        constexpr double most_failing = 0.95;
        const double tries = this->answers + this->failures + 1;
        const double failing = std::min(this->failures / tries, most_failing);
        return (this->time_s + usual_s) / (this->answers + 1) / (1 - failing);
    }

private:
    duration fades_in = plain_fade;
    double answers = 0;
    double failures = 0;
    double time_s = 0;
    instant at{};
};

} // namespace worksshift
