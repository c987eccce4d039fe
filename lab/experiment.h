/** \file
 * Plays a pattern against the product's own decisions: VMs with their late views, emulated engines,
 * and callers who leave, come back as they are told, and value what they get by when they get it.
 *
 * One loop, a clock of its own, no network. The same seed gives the same run.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pattern.h"
#include "placement_policy.h"

namespace lab {

/** What became of the requests of one kind. */
struct kind_outcome {
    std::size_t asked = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0; ///< and not served when they came back, if they did
    std::size_t left = 0;    ///< the caller gave up
    double owed = 0;
    double earned = 0;
    std::vector<double> first_event_ms; ///< of those that were served, from the first try on
};

struct outcome {
    std::map<std::string, kind_outcome> kinds;
    std::vector<double> on_time_by_second; ///< share of the requests that were first made in it
    /** Share of all sends after the first second that met an engine with over twice the mean load
     * and three. */
    double over_bound = 0;
    engine_totals totals;

    [[nodiscard]] double earned_share() const;
    [[nodiscard]] double on_time_share() const;
    [[nodiscard]] double refused_share() const;
};

/** How decisions are made in a run. */
struct decision_maker {
    std::string name;
    worksshift::placement_policy policy;
    bool all_knowing = false; ///< one VM that sees each load at once
};

/** Those that can be named: the product's policy, each of its mechanisms off, the policy that
 * admits all, and one that knows everything. \throws worksshift::user_error for another name. */
decision_maker make_decision_maker(std::string_view name);
std::vector<std::string> decision_maker_names();

outcome play(const pattern& given, const decision_maker& decides, std::uint64_t seed);

} // namespace lab
