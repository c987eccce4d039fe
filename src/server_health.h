/** \file
 * What one VM's own attempts say of a server: whether it can be reached and how often it fails.
 *
 * The registry's word is late and a server's own health check may be wrong, so outcomes decide. A
 * server that cannot be reached, or fails many of its requests, is left alone for a pause, and then
 * tried with one request at a time.
 */
#pragma once

#include <algorithm>
#include <cmath>

#include "ids.h"

namespace worksshift {

class server_health {
public:
    /** Weight of past outcomes fades to 1/e in this time; long enough for a few requests a VM. */
    static constexpr duration outcomes_fade_in = seconds(3);
    /** Below this weight of outcomes nothing is concluded from failures. */
    static constexpr double outcomes_needed = 2.5;
    /** Share of failures from which a server is left alone. Services fail up to one request in
     * seven by themselves; a server at half is of no use to a caller with one try. */
    static constexpr double failing_share = 0.35;
    static constexpr duration first_pause = milliseconds(1000);
    static constexpr duration longest_pause = seconds(4);

    [[nodiscard]] bool usable(instant now) const
    {
        return !this->paused || (now >= this->until && !this->trial);
    }

    void on_sent(instant now)
    {
        if (this->paused && now >= this->until) this->trial = true;
    }

    void on_success(instant now)
    {
        this->add(now, 0);
        if (this->paused && this->trial) {
            // The trial tells more than what came before the pause.
            this->failures = 0;
            this->total = 1;
            this->paused = false;
            this->pause = first_pause;
        }
        this->trial = false;
    }

    void on_failure(instant now)
    {
        this->add(now, 1);
        const bool failing =
            this->total >= outcomes_needed && this->failures > failing_share * this->total;
        if (this->trial || failing) this->start_pause(now);
    }

    /** No connection within its timeout: one such failure is enough. */
    void on_unreachable(instant now)
    {
        this->add(now, 1);
        this->start_pause(now);
    }

    /** The attempt ended without saying anything about the server. */
    void on_neutral() { this->trial = false; }

private:
    void add(instant now, double failure)
    {
        const double span = std::chrono::duration<double>(now - this->at).count();
        const double kept =
            std::exp(-span / std::chrono::duration<double>(outcomes_fade_in).count());
        this->failures = this->failures * kept + failure;
        this->total = this->total * kept + 1;
        this->at = now;
    }

    void start_pause(instant now)
    {
        this->trial = false;
        if (this->paused && now < this->until) return;
        this->until = now + this->pause;
        this->pause = this->paused ? std::min(this->pause * 2, longest_pause) : first_pause;
        this->paused = true;
    }

    double failures = 0;
    double total = 0;
    instant at{};
    bool paused = false;
    bool trial = false;
    instant until{};
    duration pause = first_pause;
};

} // namespace worksshift
