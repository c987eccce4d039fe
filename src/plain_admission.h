/** \file
 * Admission control of a plain service: limits the rate of this VM's requests while responses show
 * that its servers are overloaded.
 *
 * Plain servers do not report their load, and a VM of a large fleet has less than one slot of a
 * service with few servers, so a limit of concurrent requests per VM has no use. In an overload
 * each VM is served in proportion to its demand, so the rate of the responses that it receives is
 * its share of the capacity. It limits its requests to somewhat less, and then corrects the limit
 * slowly by the queueing time that the VMs of its data centre observe: those figures are up to two
 * seconds old, in which time a rate 10% above the capacity fills a queue of 200 ms.
 */
#pragma once

#include <algorithm>
#include <random>
#include <span>

#include "server_entry.h"

namespace worksshift {

/** What a decision on a plain service is based on. */
struct plain_load {
    double response_s = 0;     ///< mean response time that VMs of the data centre observed
    double own_response_s = 0; ///< that this VM observed lately
    double service_s = 0;      ///< response time without queueing
    double target_s = 0;       ///< mean response time that keeps most responses in the objective
    double utilisation = 0;    ///< share of the slots in use, from requests and response times
    double served_per_s = 0;   ///< responses that this VM receives
    double demand_per_s = 0;   ///< requests that this VM receives
    double limit_per_s = 0;    ///< requests that this VM may send; 0: not limited
    double slots = 0;          ///< of the servers that respond
    double requests = 0;       ///< of all VMs at these servers, as far as known
};

class plain_admission {
public:
    /** Updates the limit. \p servers: those of the service that accept requests. \p target: share
     * of the \p objective that the mean response time may reach; 0: nothing is refused. */
    void update(std::span<server_entry* const> servers, duration objective, double target,
                instant now);
    /** Decides on a request that no server has been sent yet, and counts it if it is admitted.
     * \p urgency: priority levels by which it is more urgent than the mean request. \p remaining:
     * time until its deadline. A request with less of it than others have, by so much that its
     * response would be late, is that of a client that returns. It gets what others leave: its
     * response has lost most of its value, and with equal treatment at 1.0 times the capacity, 27%
     * of the served requests were late, nearly all of them returned. */
    bool admit(double urgency, duration remaining, duration objective, instant now);
    /** Records a refused request with \p remaining time until its deadline. Returns the time after
     * which its client should retry. */
    duration refuse(duration remaining, duration objective, instant now, std::minstd_rand& random);

    /** Recent share of the requests that were admitted. */
    [[nodiscard]] double admitted_share() const { return this->share; }
    [[nodiscard]] const plain_load& load() const { return this->measured; }

private:
    void measure(std::span<server_entry* const> servers, double span_s, instant now);
    void update_service_time(double span_s);
    void update_limit(duration objective, double span_s, instant now);
    [[nodiscard]] bool limited() const { return this->measured.limit_per_s > 0; }
    void set_limit(double per_s, instant now);

    plain_load measured;
    demand_meter demand;
    double weight = 0;     ///< responses that `measured.response_s` is based on
    double own_weight = 0; ///< the same for `measured.own_response_s`
    double mean_use = 0;   ///< recent mean number of requests per slot
    double tokens = 0;     ///< requests that may be sent at once while limited
    double share = 1;
    double usual_remaining_s = 0; ///< longest recent time until a request's deadline, decaying
    double peak_use = 0;          ///< highest recent number of requests per slot, decaying
    instant usual_remaining_at{};
    instant updated_at{};
    instant cut_at{}; ///< when the limit was last set from the served rate
    instant limited_since{};
    instant last_refusal{};
};

} // namespace worksshift
