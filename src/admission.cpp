#include "admission.h"

#include <algorithm>
#include <cmath>

namespace worksshift {

namespace {

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** Age of what is known of the engines' loads, in seconds. */
double late_by(const service_load& load)
{
    const bool told = load.stated * 2 >= load.engines;
    return told ? load.age_s : as_seconds(sums_are_late_by);
}

} // namespace

verdict admission::decide(placing wanted, bool may_refuse, instant now)
{
    if (wanted.engine) wanted.engines = this->engines_for(wanted, now);
    const placed where = this->table.choose(wanted, now);
    if (where.row == nullptr) {
        const std::optional<instant> opens = this->table.opens_at(wanted, now);
        return no_server{opens ? std::max(*opens - now, duration::zero()) : duration::zero()};
    }
    if (!wanted.engine) return send_to{where};
    service_state& state = this->services[wanted.service];
    state.usual_priority += (wanted.priority - state.usual_priority) / requests_of_usual;
    const admission_view view = this->look_at(wanted.service, now);
    const bool refused = where.crowded || this->over_rate(view.share * state.favour(wanted), view);
    if (refused && may_refuse) {
        return come_back{where, state.overload.refuse(now, this->random), view};
    }
    state.admitted.on_request(now);
    return send_to{where};
}

/** Draws whether the request is beyond the \p share that is admitted of its urgency. */
bool admission::over_rate(double share, const admission_view& view)
{
    // Whom urgency favours matters only where some have to go.
    if (view.share >= 1) return false;
    return std::uniform_real_distribution<double>(0, 1)(this->random) > share;
}

double admission::service_state::favour(const placing& wanted) const
{
    const double ahead = this->usual_priority - wanted.priority;
    return std::clamp(1 + favour_of_urgency * ahead, least_favour, most_favour);
}

/** As many as it takes for the prompt's requests to fill no more than their share of each. */
std::size_t admission::engines_for(const placing& wanted, instant now) const
{
    const service_load load = this->table.load_of(wanted.service);
    if (wanted.affinity == 0 || load.engines == 0 || load.slots <= 0) return 1;
    const double asked = this->prompts.rate(wanted.affinity, now) * this->fleet_multiple;
    const double share = this->table.policy.hot_prompt_share;
    if (share <= 0) return 1;
    const double slots = share * load.slots / static_cast<double>(load.engines);
    const auto engines = static_cast<std::size_t>(std::ceil(asked * load.span_s / slots));
    return std::clamp<std::size_t>(engines, 1, load.engines);
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
    const double grown = std::max(admitted - view.served, 0.0) * late_by(load);
    view.taken = (load.requests + grown) / load.slots;
    const placement_policy& policy = this->table.policy;
    const bool free = load.requests < policy.free_share * load.slots;
    if (policy.busy_from <= 0 || free || view.taken < policy.busy_from || view.asked <= 0) {
        return view;
    }
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
