/** \file
 * Discrete-time simulation of a load pattern against the product's own placement and admission
 * code: VMs with delayed views of the loads, emulated engines, and callers that leave, retry after
 * the time they are given, and value a response by when its first event comes.
 *
 * Runs in one thread on a simulated clock, without a network. The same seed gives the same run.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pattern.h"
#include "placement_policy.h"

namespace lab {

/** Results of the requests of one kind. */
struct kind_outcome {
    std::size_t asked = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    /** Of the late ones, those sent at their first attempt: a request that was refused and retried
     * has used up part of its objective. */
    std::size_t late_at_first_attempt = 0;
    std::size_t refused = 0;     ///< at the first attempt, and at the retry if there was one
    std::size_t left = 0;        ///< the caller left before the first event
    double attainable_value = 0; ///< sum of the worth of all requests
    double earned = 0;           ///< sum of the worth, or of the worth when late, of those served
    std::vector<double> first_event_ms; ///< of those that were served, since the first attempt
};

struct outcome {
    std::map<std::string, kind_outcome> kinds;
    std::vector<double> on_time_by_second; ///< share of the requests first sent in that second
    std::vector<double> in_time_per_s;     ///< requests first sent in that second, served in time
    /** Share of the sends after the first second that went to an engine whose load exceeded the
     * load bound, twice the mean load plus three. */
    double over_bound = 0;
    engine_totals totals;

    [[nodiscard]] double earned_share() const;
    [[nodiscard]] double on_time_share() const;
    [[nodiscard]] double refused_share() const;
};

/** A placement policy under its name. */
struct named_policy {
    std::string name;
    worksshift::placement_policy policy;
    bool sees_true_loads = false; ///< one VM that sees every load without delay: an upper reference
};

/** The policy with that name: the product's, the product's with one mechanism off, one that admits
 * every request, or one that sees all loads. \throws worksshift::user_error for an unknown name. */
named_policy make_named_policy(std::string_view name);
std::vector<std::string> named_policy_names();

/** Runs the pattern once. */
outcome run_simulation(const pattern& given, const named_policy& chosen_policy, std::uint64_t seed);

} // namespace lab
