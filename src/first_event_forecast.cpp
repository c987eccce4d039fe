#include "first_event_forecast.h"

#include <algorithm>
#include <bit>

namespace worksshift {

std::size_t first_event_forecast::class_of(std::uint32_t prompt_tokens)
{
    constexpr int bits_per_class = 2;
    const auto index = static_cast<std::size_t>(std::bit_width(prompt_tokens) / bits_per_class);
    return std::min(index, classes - 1);
}

void first_event_forecast::on_first_event(const first_event_sample& sample)
{
    // A request that got a slot sooner than forecast shows the time after the slot only partly.
    const duration after_slot = std::max(sample.delay - sample.wait, duration::zero());
    size_class& known = this->by_size[class_of(sample.prompt_tokens)];
    known.samples = std::min(known.samples + 1, decay_requests);
    const double observed_s = std::chrono::duration<double>(after_slot).count();
    known.mean_s += (observed_s - known.mean_s) / known.samples;
    if (sample.objective <= duration::zero()) return;
    const bool late = sample.delay > sample.objective;
    this->fill_target =
        std::clamp(this->fill_target + (late ? -fill_decrease : fill_increase), min_fill, 1.0);
}

void first_event_forecast::on_request(unsigned priority, duration objective, instant now)
{
    if (objective <= duration::zero()) return;
    const auto [found, added] = this->by_priority.try_emplace(priority);
    known_objective& known = found->second;
    if (added || objective <= known.objective || now - known.seen_at > objective_lifetime)
        known = {objective, now};
}

duration first_event_forecast::start_time(std::uint32_t prompt_tokens) const
{
    const size_class& known = this->by_size[class_of(prompt_tokens)];
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(known.mean_s));
}

duration first_event_forecast::objective_for(unsigned priority, duration objective,
                                             instant now) const
{
    duration shortest = objective;
    for (const auto& [other, known] : this->by_priority) {
        if (other > priority) break;
        if (now - known.seen_at <= objective_lifetime)
            shortest = std::min(shortest, known.objective);
    }
    return shortest;
}

} // namespace worksshift
