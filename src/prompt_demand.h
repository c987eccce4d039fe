/** \file
 * Request rate of each prompt, to detect prompts that a single engine cannot serve.
 *
 * All VMs rank the engines of a prompt alike, and each learns of the others' requests with a delay.
 * A prompt that is a large part of the traffic would fill its first engine, then its second, faster
 * than load reports spread. It is therefore spread over as many engines as its rate needs before
 * the first is full.
 */
#pragma once

#include <cmath>
#include <cstdint>
#include <unordered_map>

#include "ids.h"

namespace worksshift {

class prompt_demand {
public:
    /** The weight of past requests decays to 1/e in this time. */
    static constexpr duration decay_time = seconds(3);
    /** Maximum number of tracked prompts. When it is reached, decayed entries are evicted. */
    static constexpr std::size_t max_prompts = 4096;

    void on_request(std::uint64_t prompt, instant now)
    {
        if (this->prompts.size() >= max_prompts) this->evict_decayed(now);
        entry& tracked = this->prompts[prompt];
        tracked.weight = tracked.decayed_weight(now) + 1;
        tracked.updated_at = now;
    }

    /** Lower estimate of the prompt's rate at this VM, in requests per second: the decayed count
     * less one standard deviation, so that a single request counts as zero. */
    [[nodiscard]] double rate(std::uint64_t prompt, instant now) const
    {
        const auto found = this->prompts.find(prompt);
        if (found == this->prompts.end()) return 0;
        const double weight = found->second.decayed_weight(now);
        const double lower_bound = weight - std::sqrt(weight);
        return lower_bound <= 0 ? 0
                                : lower_bound / std::chrono::duration<double>(decay_time).count();
    }

private:
    struct entry {
        double weight = 0; ///< decayed count of requests at `updated_at`
        instant updated_at{};

        [[nodiscard]] double decayed_weight(instant now) const
        {
            const std::chrono::duration<double> span = now - this->updated_at;
            return this->weight * std::exp(-span / std::chrono::duration<double>(decay_time));
        }
    };

    void evict_decayed(instant now)
    {
        constexpr double negligible = 0.1;
        std::erase_if(this->prompts, [&](const auto& prompt) {
            return prompt.second.decayed_weight(now) < negligible;
        });
        // No entry has decayed. With this many active prompts the rate of each is low, so all are
        // dropped.
        if (this->prompts.size() >= max_prompts) this->prompts.clear();
    }

    std::unordered_map<std::uint64_t, entry> prompts;
};

} // namespace worksshift
