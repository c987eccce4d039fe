/** \file
 * Rendezvous hashing (highest random weight). Every VM ranks the same candidates for a key in the
 * same order without shared state, and a candidate that joins or leaves moves only its own share of
 * the keys.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "ids.h"

namespace worksshift {

/** The weight of a candidate for a key; candidates rank by descending weight. */
inline std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate)
{
    const std::uint64_t pair[2] = {key, candidate};
    return XXH3_64bits(pair, sizeof pair);
}

/** Index of the candidate with the highest weight; `candidates.size()` if there is none. */
inline std::size_t rendezvous_first(std::uint64_t key, std::span<const std::uint64_t> candidates)
{
    const auto weight = [key](std::uint64_t candidate) {
        return rendezvous_weight(key, candidate);
    };
    const auto first = std::ranges::max_element(candidates, {}, weight);
    return static_cast<std::size_t>(std::ranges::distance(candidates.begin(), first));
}

/** Indices of all candidates by descending weight. */
inline std::vector<std::size_t> rendezvous_rank(std::uint64_t key,
                                                std::span<const std::uint64_t> candidates)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> weighted(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        weighted[i] = {rendezvous_weight(key, candidates[i]), i};
    }
    std::ranges::sort(weighted, std::greater{});
    std::vector<std::size_t> order(candidates.size());
    std::ranges::transform(weighted, order.begin(), [](const auto& entry) { return entry.second; });
    return order;
}

} // namespace worksshift
