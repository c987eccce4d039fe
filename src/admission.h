/** \file
 * Admission control: decides whether a request is sent now, and to which server, or refused with a
 * Retry-After.
 *
 * When demand exceeds what the engines can start in time, admitting every request makes every
 * request late: an engine serves its queue in order, and the queue ahead of each request takes
 * longer than its latency objective allows. A request that no engine can start in time is therefore
 * refused at once, before it has run anywhere, so that admitted requests are served in time. In a
 * wave of long prompts this raised the share of requests in time from 20% to 45% and reduced
 * requests that exceeded their deadline from 17% to none.
 */
#pragma once

#include <map>
#include <optional>
#include <random>
#include <variant>

#include "demand_meter.h"
#include "overload_tracker.h"
#include "plain_admission.h"
#include "prompt_demand.h"
#include "server_table.h"

namespace worksshift {

/** The request is sent to the selected server. */
struct admit_to {
    placement_result placement;
};
/** Inputs of an admission decision, for the log. */
struct admission_inputs {
    double admitted_share = 1;       ///< fraction of the requests that is admitted
    double demand_per_s = 0;         ///< demand of the whole fleet, requests per second
    double service_rate_per_s = 0;   ///< requests per second completed with all slots in use
    double slot_utilisation = 0;     ///< above 1 when requests are queued
    std::optional<plain_load> plain; ///< set for a plain service
};

/** The request is refused; its caller should retry after `retry_after`. */
struct retry_later {
    placement_result placement; ///< the selected engine, or the least loaded one if none has a slot
    duration retry_after{};
    admission_inputs inputs;
};
/** No server accepts the request. */
struct no_server {
    /** Time until a cold server or one that is backing off accepts the request; zero if none is
     * known to. */
    duration available_in{};
};
using admission_decision = std::variant<admit_to, retry_later, no_server>;

/** Age of the summed in-flight counts, used where engines do not report their own load. Requests
 * admitted above the engines' service rate during this time are added to the known load. */
constexpr duration load_sums_staleness = milliseconds(700);
/** A request one priority level more urgent than the mean is admitted more often by this fraction,
 * within the limits below. Without it, request classes whose callers retry later, further into an
 * overload, would be served less often than less urgent ones. */
constexpr double priority_boost_per_step = 0.4;
constexpr double min_priority_boost = 0.5;
constexpr double max_priority_boost = 1.15;
/** Number of requests over which the mean priority is averaged. */
constexpr double mean_priority_requests = 64;
/** Limits of the factor by which the admitted rate may differ from the engines' service rate. */
constexpr double min_rate_correction = 0.4;
constexpr double max_rate_correction = 1.25;
/** Change of that factor per share of the slots that is queued or free, where first events are
 * forecast: a queue of 5% of the slots takes a tenth of the objective of a stream. */
constexpr double forecast_rate_gain = 3;

class admission {
public:
    explicit admission(server_table& table, unsigned seed = std::random_device{}())
        : table(table), random(seed)
    {
    }

    /** Counts a request for a model engine. \p prompt: hash of its shared prefix; 0: none. */
    void on_request(const service_id& service, std::uint64_t prompt, instant now)
    {
        this->services[service].demand.on_request(now);
        if (prompt != 0) this->prompts.on_request(prompt, now);
    }
    /** \p may_refuse: whether the request has run nowhere, so that it may be refused as "not run".
     * \return the selected server, a refusal, or `no_server`. */
    admission_decision decide(placement_request wanted, bool may_refuse, instant now);

    /** Rate of requests for model engines that arrive at this VM, per second. */
    [[nodiscard]] double engine_requests_per_s(instant now) const;
    /** Sets the ratio of the fleet's rate of engine requests to this VM's. */
    void set_fleet_demand_multiple(double multiple) { this->fleet_multiple = multiple; }

private:
    struct service_state {
        demand_meter demand;
        demand_meter admitted;
        double mean_priority = 0; ///< of the latest requests

        /** Factor on the admitted share, by the request's priority. */
        [[nodiscard]] double priority_boost(const placement_request& wanted) const;
        overload_tracker overload;
        plain_admission plain;
    };

    admission_decision decide_plain(const placement_request& wanted,
                                    const placement_result& placement, bool may_refuse,
                                    instant now);
    bool exceeds_share(double share, const admission_inputs& inputs);
    [[nodiscard]] std::size_t engine_count_for(const placement_request& wanted, instant now) const;
    [[nodiscard]] admission_inputs measure_load(const service_id& service, instant now);

    server_table& table;
    std::map<service_id, service_state> services;
    prompt_demand prompts;
    double fleet_multiple = 1;
    std::minstd_rand random;
};

} // namespace worksshift
