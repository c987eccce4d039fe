/** \file
 * Circuit breaker of one server, driven by the outcomes of its calls. It opens after consecutive
 * failures for a time that doubles up to a maximum, then is half open: one trial request is
 * allowed, whose outcome closes the breaker or opens it again.
 */
#pragma once

#include <algorithm>

#include "ids.h"

namespace worksshift {

class breaker {
public:
    static constexpr int failures_to_open = 3;
    static constexpr duration initial_pause = seconds(2);
    static constexpr duration max_pause = seconds(60);

    /** Whether a request may be sent now. While half open, only one at a time. */
    [[nodiscard]] bool allows(instant now) const
    {
        return !this->open || (now >= this->open_until && !this->trial_in_flight);
    }

    void on_sent(instant now)
    {
        if (this->open && now >= this->open_until) this->trial_in_flight = true;
    }

    void on_success() { *this = breaker{}; }

    /** \p may_open: false while too many servers of the service are already ejected. */
    void on_failure(instant now, bool may_open)
    {
        ++this->failures;
        if (this->trial_in_flight ||
            (!this->open && this->failures >= failures_to_open && may_open)) {
            this->open = true;
            this->open_until = now + this->next_pause;
            this->next_pause = std::min(this->next_pause * 2, max_pause);
        }
        this->trial_in_flight = false;
    }

    /** A request ended without evidence about the server, for instance because its caller
     * disconnected; another trial is allowed. */
    void on_neutral() { this->trial_in_flight = false; }

private:
    bool open = false;
    bool trial_in_flight = false;
    int failures = 0;
    instant open_until{}; ///< when the breaker becomes half open
    duration next_pause = initial_pause;
};

} // namespace worksshift
