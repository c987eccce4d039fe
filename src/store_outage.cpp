#include "store_outage.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

void store_outage::update(const std::optional<failed_call>& failing, instant own_response_at,
                          const store_status& reported, bool isolated)
{
    // A call made before the store's return failed in the outage that is already over.
    const instant last_return = std::max(this->last_recovered_at, reported.recovered_at);
    const bool new_failure =
        failing && failing != this->failing && failing->requested_at > last_return;
    if (new_failure) {
        this->failure_noticed_at = failing->failed_at;
        this->was_isolated = false;
    }
    this->failing = failing;
    if (this->failure_noticed_at) {
        this->was_isolated = this->was_isolated || isolated;
        const bool answered_others =
            reported.confirmed_at > *this->failure_noticed_at + max_report_delay;
        if (answered_others) {
            this->end(reported.confirmed_at);
        } else if (own_response_at > *this->failure_noticed_at) {
            this->end(own_response_at);
        }
    }
    this->answered = std::max({this->answered, own_response_at, reported.confirmed_at});
}

void store_outage::end(instant response_at)
{
    const duration unanswered_for = response_at - this->answered;
    const bool store_was_down = unanswered_for >= min_outage && !this->was_isolated;
    if (store_was_down) this->last_recovered_at = response_at;
    log_event(log_level::info, "store_outage_over",
              {{"outcome", store_was_down ? "store_back" : "own_way"},
               {"cut_off", this->was_isolated ? 1 : 0},
               {"unanswered_ms", unanswered_for / milliseconds(1)}});
    this->failure_noticed_at.reset();
}

} // namespace worksshift
