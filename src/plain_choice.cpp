#include "plain_choice.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace worksshift {

namespace {

/** Seconds that an answer of any of the servers takes. */
double usual_time(std::span<server_entry* const> rows)
{
    double attempts = 0;
    double time_s = 0;
    for (const server_entry* row : rows) {
        attempts += row->outcomes.weight();
        time_s += row->outcomes.seconds_in_all();
    }
    return attempts > 0 ? time_s / attempts : 0;
}

/** Against the best: 1 for those that are alike, less for the others. */
std::vector<double> merits_of(std::span<const double> expected)
{
    const double best = std::ranges::min(expected);
    std::vector<double> merits(expected.size());
    std::ranges::transform(expected, merits.begin(), [best](double item) {
        const double worse = best > 0 ? item / (best * alike_within) : 1;
        return worse <= 1 ? 1 : std::max(1 / (worse * worse), least_drawn);
    });
    return merits;
}

std::size_t draw(std::span<const double> weights, std::minstd_rand& random)
{
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

double share_taken(const server_entry& row)
{
    return static_cast<double>(row.in_flight) / row.record.slots;
}

} // namespace

plain_choice choose_plain(std::span<server_entry* const> rows, const data_centre_id& here,
                          instant now, std::minstd_rand& random)
{
    for (server_entry* row : rows)
        row->outcomes.fade(now);
    const double usual = usual_time(rows);
    std::vector<double> expected(rows.size());
    std::ranges::transform(rows, expected.begin(), [usual](const server_entry* row) {
        return row->outcomes.expected_s(usual);
    });
    const std::vector<double> merits = merits_of(expected);
    std::vector<double> weights(rows.size());
    std::ranges::transform(
        rows, merits, weights.begin(), [&](const server_entry* row, double merit) {
            const double preference = row->record.data_centre == here ? near_preference : 1;
            return merit * row->record.slots * preference;
        });
    const std::size_t first = draw(weights, random);
    std::size_t chosen = first;
    if (rows.size() > 1) {
        weights[first] = 0;
        const std::size_t second = draw(weights, random);
        const bool better = merits[second] >= merits[first] &&
                            share_taken(*rows[second]) < share_taken(*rows[first]);
        if (better) chosen = second;
    }
    return {rows[chosen], expected[chosen]};
}

} // namespace worksshift
