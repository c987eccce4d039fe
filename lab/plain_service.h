/** \file
 * Discrete-event simulation of a plain service under load: servers with few slots and a short
 * queue, and VMs that choose a server with the product's code and receive each other's updates with
 * the delay of a fleet of their size.
 *
 * Runs in one thread on a simulated clock, without a network. The same seed gives the same run.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ids.h"
#include "placement_policy.h"

namespace lab {

/** Load on a plain service and faults of its servers. */
struct plain_pattern {
    std::string name;
    std::size_t vms = 8;
    std::size_t data_centres = 4; ///< servers and VMs are spread over them round robin
    std::size_t servers = 4;
    std::uint32_t slots = 6;
    std::size_t queue = 24;   ///< requests that may wait at a server; it sheds further ones
    double work_ms = 30;      ///< mean service time of a request
    double utilisation = 0.6; ///< offered load as a share of the capacity of all slots
    /** Factor on the request rate of the VMs of the first data centre. */
    double first_centre_rate_multiple = 1;
    /** Factor on the service time of the first server after a third of the run. */
    double slow_server_multiple = 1;
    std::size_t slow_servers = 0; ///< the first ones; their service times have this factor:
    double slow_servers_multiple = 4;
    /** Standard deviation of the logarithm of each server's pace, whose mean is 1 and which changes
     * ten times a second; 0: constant. */
    double pace_spread = 0;
    /** Responses state load and pace; a server that sheds all states the lowest pace. */
    bool states_pace = false;
    double slow_pace = worksshift::placement_policy{}.slow_pace;
    /** The first server sheds all requests after a third of the run. */
    bool sheds_all = false;
    /** Number of rejections per second above which a server crashes; 0: servers do not crash. The
     * responses state it from `limit_stated_at_s` on. */
    std::uint32_t rejection_limit = 0;
    /** Requests that may wait at a server from `queue_shortened_at_s` on, if servers crash. */
    std::size_t short_queue = 0;
    /** Factors on request rate and service times from `peak_from_s` to `peak_until_s`. */
    double peak_rate_multiple = 1;
    double peak_work_multiple = 1;
    double propagation_delay_s = 0.15; ///< delay until other VMs learn of an event
    double seconds = 20;
    double late_threshold_ms = 150; ///< a response that takes longer than this counts as late

    // Admission control of the product, with `late_threshold_ms` as the objective.
    bool admission = false;
    double deadline_ms = 1500; ///< callers retry within a third of what remains of it
    double wave_multiple = 1;  ///< factor on the request rate from `wave_from_s` for `wave_s`
    double wave_s = 0;
    /** Callers that were refused retry at the next full second, not after the time stated. */
    bool synchronised_retries = false;
    /** The last ones of the servers do not respond from `wave_from_s` for `silent_s`. */
    std::size_t silent_servers = 0;
    double silent_s = 0;
    /** Outcomes count for requests that arrived in this period. */
    double measured_from_s = 0;
    double measured_until_s = 1e9;
};

constexpr double wave_from_s = 8;

constexpr double limit_stated_at_s = 2;
constexpr double queue_shortened_at_s = 5;
constexpr double peak_from_s = 8;
constexpr double peak_until_s = 14;
/** A server that crashed is back after this time. */
constexpr double restart_time_s = 3;
/** A caller whose request the router refused retries once, after this time. */
constexpr double caller_retry_after_s = 0.4;

/** Method of choosing a server. */
enum class server_selection : std::uint8_t {
    product,      ///< the product's server table
    uniform,      ///< at random
    single_queue, ///< one queue in front of all slots: the optimum, out of reach of any router
};

struct plain_outcome {
    std::size_t asked = 0;
    std::size_t shed = 0; ///< attempts that the server rejected
    std::size_t unserved = 0;
    std::size_t late = 0;
    std::size_t crashes = 0; ///< of servers
    std::size_t refused = 0; ///< requests refused at their first attempt
    std::size_t served = 0;
    double in_time_of_capacity = 0; ///< rate served within the objective / capacity of all slots
    double p99_ms = 0;
    double mean_ms = 0;
    /** Largest ratio of a server's responses to its fair share, which is in proportion to its
     * speed. Without faults that begin during the run. */
    double busiest_share = 0;

    [[nodiscard]] double share(std::size_t part) const
    {
        return static_cast<double>(part) / static_cast<double>(this->asked);
    }
};

/** Runs the pattern once. */
plain_outcome run_simulation(const plain_pattern& given, server_selection chooser,
                             std::uint64_t seed);

} // namespace lab
