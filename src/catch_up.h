/** \file
 * When to ask another VM for something newer that digests tell of.
 */
#pragma once

#include "ids.h"

namespace worksshift {

class catch_up {
public:
    /** Between two questions, so that a VM which cannot answer is not asked all the time. */
    static constexpr duration between = milliseconds(100);
    static constexpr duration call_timeout = milliseconds(800);

    /** \p behind: something newer is known elsewhere. \p patience: within which it should come by
     * itself. */
    void update(bool behind, duration patience, instant now)
    {
        if (!behind) {
            this->since = instant{};
        } else if (this->since == instant{}) {
            this->since = now;
        }
        this->waits = patience;
    }

    /** Whether to ask now. */
    [[nodiscard]] bool due(instant now) const
    {
        return this->since != instant{} && !this->asking && now - this->since >= this->waits &&
               now - this->answered >= between;
    }

    /** Whether something newer has been known elsewhere for \p span. */
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
    instant since{}; ///< something newer is known elsewhere; the epoch: nothing is
    duration waits{};
    bool asking = false;
    instant answered{};
};

} // namespace worksshift
