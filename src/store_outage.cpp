#include "store_outage.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

void store_outage::update(std::optional<instant> failing_since, instant answered_here,
                          instant answered_elsewhere)
{
    if (failing_since && failing_since != this->failing) this->noticed = failing_since;
    this->failing = failing_since;
    if (this->noticed) {
        const bool here = answered_here > *this->noticed;
        const bool elsewhere = answered_elsewhere > *this->noticed + told_late_by;
        if (elsewhere) {
            this->end(answered_elsewhere);
        } else if (here) {
            this->end(answered_here);
        }
    }
    this->answered = std::max({this->answered, answered_here, answered_elsewhere});
}

void store_outage::end(instant answered_again)
{
    const duration unanswered = answered_again - this->answered;
    const bool away = unanswered >= shortest_outage;
    if (away) this->back = answered_again;
    log_event(log_level::info, "store_outage_over",
              {{"outcome", away ? "store_back" : "own_way"},
               {"unanswered_ms", unanswered / milliseconds(1)}});
    this->noticed.reset();
}

} // namespace worksshift
