/** \file
 * Passive health check of a server, from the results of one VM's own attempts.
 *
 * The registry is updated late, and a server's own health check may be wrong, so results of
 * requests decide. A server that is unreachable or fails many of its requests gets none for a
 * pause, and then one trial request at a time.
 */
#pragma once

#include <algorithm>
#include <cmath>

#include "ids.h"

namespace worksshift {

class server_health {
public:
    /** The weight of past results decays to 1/e in this time, long enough for a few requests of one
     * VM. */
    static constexpr duration outcome_decay_time = seconds(3);
    /** Minimum weight of results for the failure rate to be used. */
    static constexpr double min_outcome_weight = 2.5;
    /** Failure rate above which a server is paused. Healthy services fail up to one request in
     * seven; a server that fails half is useless to a request that may be sent only once. */
    static constexpr double failing_share = 0.35;
    static constexpr duration initial_pause = milliseconds(1000); ///< doubles with further failures
    static constexpr duration max_pause = seconds(4);

    /** Whether a request may be sent: no pause, or it is over and no trial is in flight. */
    [[nodiscard]] bool usable(instant now) const
    {
        return !this->paused || (now >= this->paused_until && !this->trial);
    }

    void on_sent(instant now)
    {
        if (this->paused && now >= this->paused_until) this->trial = true;
    }

    void on_success(instant now)
    {
        this->add(now, 0);
        if (this->paused && this->trial) {
            // The trial is newer than the results from before the pause, which are dropped.
            this->failures = 0;
            this->total = 1;
            this->paused = false;
            this->next_pause = initial_pause;
        }
        this->trial = false;
    }

    void on_failure(instant now)
    {
        this->add(now, 1);
        const bool failing =
            this->total >= min_outcome_weight && this->failures > failing_share * this->total;
        if (this->trial || failing) this->start_pause(now);
    }

    /** The connection was refused or timed out; one such failure starts a pause. */
    void on_unreachable(instant now)
    {
        this->add(now, 1);
        this->start_pause(now);
    }

    /** The attempt ended without a result that says anything about the server's health. */
    void on_neutral() { this->trial = false; }

private:
    /** \p failure: 1 for a failed attempt, 0 for a successful one. */
    void add(instant now, double failure)
    {
        const double span = std::chrono::duration<double>(now - this->last_result_at).count();
        const double decay =
            std::exp(-span / std::chrono::duration<double>(outcome_decay_time).count());
        this->failures = this->failures * decay + failure;
        this->total = this->total * decay + 1;
        this->last_result_at = now;
    }

    void start_pause(instant now)
    {
        this->trial = false;
        if (this->paused && now < this->paused_until) return;
        this->paused_until = now + this->next_pause;
        this->next_pause = this->paused ? std::min(this->next_pause * 2, max_pause) : initial_pause;
        this->paused = true;
    }

    double failures = 0;                 ///< decayed weight
    double total = 0;                    ///< decayed weight of all results
    instant last_result_at{};            ///< time of the last result
    bool paused = false;                 ///< until a trial succeeds
    bool trial = false;                  ///< a trial request is in flight
    instant paused_until{};              ///< end of the pause, when a trial may begin
    duration next_pause = initial_pause; ///< length of the next pause
};

} // namespace worksshift
