#include "admission.h"

#include <algorithm>
#include <cmath>

namespace worksshift {

namespace {

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** Age of the known engine loads, in seconds. */
double load_age_s(const service_load& load)
{
    const bool reported_by_most = load.reporting_engines * 2 >= load.engines;
    return reported_by_most ? load.age_s : as_seconds(load_sums_staleness);
}

} // namespace

admission_decision admission::decide(placement_request wanted, bool may_refuse, instant now)
{
    if (wanted.engine) wanted.engines = this->engine_count_for(wanted, now);
    const placement_result placement = this->table.choose(wanted, now);
    if (placement.row == nullptr) {
        const std::optional<instant> opens = this->table.opens_at(wanted, now);
        return no_server{opens ? std::max(*opens - now, duration::zero()) : duration::zero()};
    }
    if (!wanted.engine) return this->decide_plain(wanted, placement, may_refuse, now);
    service_state& state = this->services[wanted.service];
    state.mean_priority += (wanted.priority - state.mean_priority) / mean_priority_requests;
    const admission_inputs inputs = this->measure_load(wanted.service, now);
    const bool refused =
        placement.all_engines_full ||
        this->exceeds_share(inputs.admitted_share * state.priority_boost(wanted), inputs);
    if (refused && may_refuse) {
        const duration retry_after = state.overload.refuse(now, this->random, wanted.remaining);
        return retry_later{placement, retry_after, inputs};
    }
    state.admitted.on_request(now);
    return admit_to{placement};
}

/** A request that was sent before is not refused: a rejection by one server need not mean that all
 * are full, and a request that may not be repeated is refused before it is sent or not at all. */
admission_decision admission::decide_plain(const placement_request& wanted,
                                           const placement_result& placement, bool may_refuse,
                                           instant now)
{
    const double target = this->table.policy.plain_response_share;
    if (target <= 0) return admit_to{placement};
    service_state& state = this->services[wanted.service];
    state.mean_priority += (wanted.priority - state.mean_priority) / mean_priority_requests;
    const duration objective = wanted.objective > duration::zero()
                                   ? wanted.objective
                                   : this->table.objective_of(wanted.service);
    state.plain.update(this->table.accepting_servers(wanted.service), objective, target, now);
    const bool decided = !may_refuse || !wanted.tried.empty();
    if (decided ||
        state.plain.admit(state.mean_priority - wanted.priority, wanted.remaining, objective, now))
        return admit_to{placement};
    const plain_load& load = state.plain.load();
    admission_inputs inputs;
    inputs.admitted_share = state.plain.admitted_share();
    inputs.demand_per_s = load.demand_per_s;
    inputs.service_rate_per_s = load.slots / load.service_s;
    inputs.slot_utilisation = load.slots > 0 ? load.requests / load.slots : 0;
    inputs.plain = load;
    return retry_later{placement,
                       state.plain.refuse(wanted.remaining, objective, now, this->random), inputs};
}

/** Random decision to refuse a request of whose priority the \p share is admitted. */
bool admission::exceeds_share(double share, const admission_inputs& inputs)
{
    // Priorities matter only while some requests have to be refused.
    if (inputs.admitted_share >= 1) return false;
    return std::uniform_real_distribution<double>(0, 1)(this->random) > share;
}

double admission::service_state::priority_boost(const placement_request& wanted) const
{
    const double urgency = this->mean_priority - wanted.priority;
    return std::clamp(1 + priority_boost_per_step * urgency, min_priority_boost,
                      max_priority_boost);
}

/** Number of engines over which the prompt is spread, so that its requests take at most
 * `hot_prompt_share` of the slots of each. */
std::size_t admission::engine_count_for(const placement_request& wanted, instant now) const
{
    const service_load load = this->table.load_of(wanted.service);
    if (wanted.affinity == 0 || load.engines == 0 || load.slots <= 0) return 1;
    const double demand_per_s = this->prompts.rate(wanted.affinity, now) * this->fleet_multiple;
    const double share = this->table.policy.hot_prompt_share;
    if (share <= 0) return 1;
    const double slots = share * load.slots / static_cast<double>(load.engines);
    const auto engines = static_cast<std::size_t>(std::ceil(demand_per_s * load.span_s / slots));
    return std::clamp<std::size_t>(engines, 1, load.engines);
}

/** Measures demand and load of the service. While nearly all slots are in use, the admitted share
 * is the fraction of the demand that the engines can serve; otherwise it is 1. */
admission_inputs admission::measure_load(const service_id& service, instant now)
{
    const service_load load = this->table.load_of(service);
    admission_inputs inputs;
    if (load.slots <= 0 || load.span_s <= 0) return inputs;
    const service_state& state = this->services[service];
    inputs.demand_per_s = state.demand.rate(now) * this->fleet_multiple;
    inputs.service_rate_per_s = load.slots / load.span_s;
    const double admitted = state.admitted.rate(now) * this->fleet_multiple;
    const double growth = std::max(admitted - inputs.service_rate_per_s, 0.0) * load_age_s(load);
    inputs.slot_utilisation = (load.requests + growth) / load.slots;
    const placement_policy& policy = this->table.policy;
    const bool mostly_free = load.requests < policy.free_share * load.slots;
    if (policy.busy_from <= 0 || mostly_free || inputs.slot_utilisation < policy.busy_from ||
        inputs.demand_per_s <= 0) {
        return inputs;
    }
    // Admits less than the service rate while requests are queued, to drain the queue, and more
    // while slots are free, to fill them.
    const double excess = loads_are_exact(load, policy)
                              ? (inputs.slot_utilisation - load.fill) * forecast_rate_gain
                              : inputs.slot_utilisation - 1;
    const double correction = std::clamp(1 - excess, min_rate_correction, max_rate_correction);
    inputs.admitted_share =
        std::min(1.0, inputs.service_rate_per_s / inputs.demand_per_s * correction);
    return inputs;
}

double admission::engine_requests_per_s(instant now) const
{
    double sum = 0;
    for (const auto& [service, state] : this->services)
        sum += state.demand.rate(now);
    return sum;
}

} // namespace worksshift
