#include "store_outage.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

void store_outage::update(const std::optional<failed_call>& failing, instant answered_here,
                          const store_status& elsewhere, bool cut_off)
{
    // A call made before the store's return failed in the outage that is already over.
    const instant last_return = std::max(this->last_recovered_at, elsewhere.recovered_at);
    const bool new_failure =
        failing && failing != this->failing && failing->requested_at > last_return;
    if (new_failure) {
        this->failure_noticed_at = failing->failed_at;
        this->was_cut_off = false;
    }
    this->failing = failing;
    if (this->failure_noticed_at) {
        this->was_cut_off = this->was_cut_off || cut_off;
        const bool answered_others =
            elsewhere.confirmed_at > *this->failure_noticed_at + max_report_delay;
        if (answered_others) {
            this->end(elsewhere.confirmed_at);
        } else if (answered_here > *this->failure_noticed_at) {
            this->end(answered_here);
        }
    }
    this->answered = std::max({this->answered, answered_here, elsewhere.confirmed_at});
}

void store_outage::end(instant answered_again)
{
    const duration unanswered_for = answered_again - this->answered;
    const bool store_was_down = unanswered_for >= min_outage && !this->was_cut_off;
    if (store_was_down) this->last_recovered_at = answered_again;
    log_event(log_level::info, "store_outage_over",
              {{"outcome", store_was_down ? "store_back" : "own_way"},
               {"cut_off", this->was_cut_off ? 1 : 0},
               {"unanswered_ms", unanswered_for / milliseconds(1)}});
    this->failure_noticed_at.reset();
}

} // namespace worksshift
