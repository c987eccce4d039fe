/** \file
 * Decides when to ask another VM for a newer state that digests have announced.
 */
#pragma once

#include "ids.h"

namespace worksshift {

class peer_fetch_schedule {
public:
    /** Pause between two requests, so that a VM which cannot answer is not asked all the time. */
    static constexpr duration min_interval = milliseconds(100);
    static constexpr duration call_timeout = milliseconds(800);

    /** \p behind: another VM has a newer state. \p grace: time within which that state should
     * arrive without asking. */
    void update(bool behind, duration grace, instant now)
    {
        if (!behind) {
            this->since = instant{};
        } else if (this->since == instant{}) {
            this->since = now;
        }
        this->grace_period = grace;
    }

    /** Whether a request is to be made now. */
    [[nodiscard]] bool due(instant now) const
    {
        return this->since != instant{} && !this->asking &&
               now - this->since >= this->grace_period && now - this->answered >= min_interval;
    }

    /** Whether another VM has had a newer state for longer than \p span. */
    [[nodiscard]] bool behind_for(duration span, instant now) const
    {
        return this->since != instant{} && now - this->since > span;
    }

    void begin() { this->asking = true; }
    void end(instant now)
    {
        this->asking = false;
        this->answered = now;
    }

private:
    instant since{}; ///< since when another VM has a newer state; the epoch: none has
    duration grace_period{};
    bool asking = false;
    instant answered{};
};

} // namespace worksshift
