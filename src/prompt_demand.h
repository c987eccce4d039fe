/** \file
 * Which prompts are asked for so often that one engine cannot serve them.
 *
 * All VMs rank the engines of a prompt alike, and each knows late what the others send. A prompt
 * that is much of the traffic would fill its first engine, then its second, faster than the news
 * spreads, so it is spread over as many engines as its own rate needs before the first is full.
 */
#pragma once

#include <cmath>
#include <cstdint>
#include <unordered_map>

#include "ids.h"

namespace worksshift {

class prompt_demand {
public:
    /** Weight of past requests fades to 1/e in this time. */
    static constexpr duration fades_in = seconds(3);
    /** Prompts that are remembered; beyond it the faded ones are dropped. */
    static constexpr std::size_t prompts_at_most = 4096;

    void on_request(std::uint64_t prompt, instant now)
    {
        if (this->prompts.size() >= prompts_at_most) this->drop_faded(now);
        entry& item = this->prompts[prompt];
        item.weight = item.faded(now) + 1;
        item.at = now;
    }

    /** Requests per second at this VM that are sure beyond chance: one request is none. */
    [[nodiscard]] double rate(std::uint64_t prompt, instant now) const
    {
        const auto found = this->prompts.find(prompt);
        if (found == this->prompts.end()) return 0;
        const double weight = found->second.faded(now);
        const double sure = weight - std::sqrt(weight);
        return sure <= 0 ? 0 : sure / std::chrono::duration<double>(fades_in).count();
    }

private:
    struct entry {
        double weight = 0;
        instant at{};

        [[nodiscard]] double faded(instant now) const
        {
            const std::chrono::duration<double> span = now - this->at;
            return this->weight * std::exp(-span / std::chrono::duration<double>(fades_in));
        }
    };

    void drop_faded(instant now)
    {
        constexpr double negligible = 0.1;
        std::erase_if(this->prompts,
                      [&](const auto& item) { return item.second.faded(now) < negligible; });
        // All of them are in use: their rates are low, or there were fewer.
        if (this->prompts.size() >= prompts_at_most) this->prompts.clear();
    }

    std::unordered_map<std::uint64_t, entry> prompts;
};

} // namespace worksshift
