/** \file
 * How long requests may queue at the engines of one service so that their first events come within
 * their objectives, learnt from the first events that this VM observes.
 *
 * The time to first event is the wait for a slot, which `slot_forecast.h` estimates, plus the time
 * from the slot to the first event: reading the prompt between the steps of the other requests, and
 * the first step. The latter depends on the size of the prompt and on how full the engines are, so
 * it is measured per size class. A request may wait for the part of its objective that remains.
 *
 * Estimates are wrong when the work or the engines' speed change. Where first events come late
 * nevertheless, less of the engines' slots is filled until they come in time again.
 */
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "ids.h"

namespace worksshift {

/** A first event that an engine sent. */
struct first_event_sample {
    std::uint32_t prompt_tokens = 0;
    duration delay{};     ///< since the request was sent
    duration wait{};      ///< for a slot, as forecast when it was sent
    duration objective{}; ///< for the time to first event; zero: none
};

class first_event_forecast {
public:
    /** Number of requests of a class after which the weight of an earlier one has decayed to 1/e.
     * A VM observes 5 to 20 first events per second. */
    static constexpr double decay_requests = 16;
    /** Smallest share of the slots to which late first events reduce the target. */
    static constexpr double min_fill = 0.8;
    /** Changes of the target by a late first event and by one in time. They balance when 3% are
     * late. */
    static constexpr double fill_decrease = 0.01;
    static constexpr double fill_increase = 0.0003;
    /** Time without requests after which the objective of a priority is forgotten. */
    static constexpr duration objective_lifetime = seconds(10);

    void on_first_event(const first_event_sample& sample);
    /** A request with this objective asks for an engine. */
    void on_request(unsigned priority, duration objective, instant now);

    /** Expected time from getting a slot to the first event; zero while none is known. */
    [[nodiscard]] duration start_time(std::uint32_t prompt_tokens) const;
    /** The shortest objective among the requests that are at least as urgent. Less urgent requests
     * take up the same slots, so they must not fill a queue that makes more urgent ones late. */
    [[nodiscard]] duration objective_for(unsigned priority, duration objective, instant now) const;
    /** Share of the slots that admission should fill: 1, or less while first events are late. */
    [[nodiscard]] double fill() const { return this->fill_target; }

private:
    /** Prompts of a class differ in size by a factor of four at most. */
    static constexpr std::size_t classes = 12;
    struct size_class {
        double mean_s = 0;
        double samples = 0; ///< in the mean, at most `decay_requests`
    };
    struct known_objective {
        duration objective{};
        instant seen_at{};
    };

    static std::size_t class_of(std::uint32_t prompt_tokens);

    std::array<size_class, classes> by_size{};
    std::map<unsigned, known_objective> by_priority;
    double fill_target = 1;
};

} // namespace worksshift
