#include "store_outage.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

void store_outage::update(const std::optional<failed_call>& failing, instant answered_here,
                          const store_news& elsewhere, bool cut_off)
{
    // A call that was made before the store's return was lost in the outage that is over.
    const instant known_back = std::max(this->back, elsewhere.back_at);
    const bool lost_anew = failing && failing != this->failing && failing->asked_at > known_back;
    if (lost_anew) {
        this->noticed = failing->failed_at;
        this->was_cut_off = false;
    }
    this->failing = failing;
    if (this->noticed) {
        this->was_cut_off = this->was_cut_off || cut_off;
        const bool answered_others = elsewhere.confirmed_at > *this->noticed + told_late_by;
        if (answered_others) {
            this->end(elsewhere.confirmed_at);
        } else if (answered_here > *this->noticed) {
            this->end(answered_here);
        }
    }
    this->answered = std::max({this->answered, answered_here, elsewhere.confirmed_at});
}

void store_outage::end(instant answered_again)
{
    const duration unanswered = answered_again - this->answered;
    const bool away = unanswered >= shortest_outage && !this->was_cut_off;
    if (away) this->back = answered_again;
    log_event(log_level::info, "store_outage_over",
              {{"outcome", away ? "store_back" : "own_way"},
               {"cut_off", this->was_cut_off ? 1 : 0},
               {"unanswered_ms", unanswered / milliseconds(1)}});
    this->noticed.reset();
}

} // namespace worksshift
