#include "admission.h"

#include <algorithm>

namespace worksshift {

namespace {

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

verdict admission::decide(const placing& wanted, bool may_refuse, instant now)
{
    const placed where = this->table.choose(wanted, now);
    if (where.row == nullptr) return no_server{};
    if (!wanted.engine) return send_to{where};
    service_state& state = this->services[wanted.service];
    const admission_view view = this->look_at(wanted.service, now);
    std::uniform_real_distribution<double> draw(0, 1);
    const bool refused = where.crowded || draw(this->random) > view.share;
    if (refused && may_refuse) {
        return come_back{where, state.overload.refuse(now, this->random), view};
    }
    state.admitted.on_request(now);
    return send_to{where};
}

/** Share of the requests that the engines can serve while nearly all their slots are taken. */
admission_view admission::look_at(const service_id& service, instant now)
{
    const service_load load = this->table.load_of(service);
    admission_view view;
    if (load.slots <= 0 || load.span_s <= 0) return view;
    const service_state& state = this->services[service];
    view.asked = state.demand.rate(now) * this->fleet_multiple;
    view.served = load.slots / load.span_s;
    const double admitted = state.admitted.rate(now) * this->fleet_multiple;
    const double grown = std::max(admitted - view.served, 0.0) * as_seconds(loads_are_late_by);
    view.taken = (load.requests + grown) / load.slots;
    if (view.taken < busy_from || view.asked <= 0) return view;
    // What waits already is worked off, what is free is filled.
    const double correction = std::clamp(2 - view.taken, least_correction, most_correction);
    view.share = std::min(1.0, view.served / view.asked * correction);
    return view;
}

double admission::engine_requests_per_s(instant now) const
{
    double sum = 0;
    for (const auto& [service, state] : this->services)
        sum += state.demand.rate(now);
    return sum;
}

} // namespace worksshift
