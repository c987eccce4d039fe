/** \file
 * Decides when to ask another VM for a newer state that digests have announced.
 */
#pragma once

#include "ids.h"

namespace worksshift {

class peer_fetch_schedule {
public:
    /** Pause between two requests, so that a VM which cannot answer is not asked continuously. */
    static constexpr duration min_interval = milliseconds(100);
    static constexpr duration call_timeout = milliseconds(800);

    /** \p behind: another VM has a newer state. \p grace: time within which that state should
     * arrive without asking. */
    void update(bool behind, duration grace, instant now)
    {
        if (!behind) {
            this->behind_since = instant{};
        } else if (this->behind_since == instant{}) {
            this->behind_since = now;
        }
        this->grace_period = grace;
    }

    /** Whether a request is to be made now. */
    [[nodiscard]] bool due(instant now) const
    {
        return this->behind_since != instant{} && !this->request_pending &&
               now - this->behind_since >= this->grace_period &&
               now - this->last_response_at >= min_interval;
    }

    /** Whether another VM has had a newer state for longer than \p span. */
    [[nodiscard]] bool behind_for(duration span, instant now) const
    {
        return this->behind_since != instant{} && now - this->behind_since > span;
    }

    void begin() { this->request_pending = true; }
    void end(instant now)
    {
        this->request_pending = false;
        this->last_response_at = now;
    }

private:
    instant behind_since{}; ///< since when another VM has a newer state; the epoch: none has
    duration grace_period{};
    bool request_pending = false;
    instant last_response_at{};
};

} // namespace worksshift
