#include "plain_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace worksshift {

namespace {

/** Mean response time over all servers, in seconds; zero if there was no response. */
double mean_response_s(std::span<server_entry* const> rows)
{
    double attempts = 0;
    double time_s = 0;
    for (const server_entry* row : rows) {
        attempts += row->outcomes.weight();
        time_s += row->outcomes.total_seconds();
    }
    return attempts > 0 ? time_s / attempts : 0;
}

/** Weight factor of each server from its expected response time: 1 for times close to the best one,
 * less for the others. */
std::vector<double> speed_factors(std::span<const double> expected)
{
    const double best = std::ranges::min(expected);
    std::vector<double> factors(expected.size());
    std::ranges::transform(expected, factors.begin(), [best](double response_s) {
        const double slowdown = best > 0 ? response_s / (best * similar_time_multiple) : 1;
        return slowdown <= 1 ? 1 : std::max(1 / (slowdown * slowdown), min_draw_share);
    });
    return factors;
}

/** Lowers the factors of servers that state a slower pace than the others do. Stated paces are not
 * affected by queueing, so small differences count. Only servers whose responses are usable and not
 * slow set the standard: one that is fast because it fails must not. */
void apply_paces(std::span<server_entry* const> rows, std::vector<double>& factors)
{
    double best = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (factors[i] >= 1) best = std::min(best, rows[i]->expected_pace);
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const double slowdown = rows[i]->expected_pace / (best * similar_pace_multiple);
        if (slowdown <= 1) continue;
        const double factor = 1 / (slowdown * slowdown * slowdown);
        factors[i] = std::min(factors[i], std::max(factor, min_draw_share));
    }
}

std::size_t draw(std::span<const double> weights, std::minstd_rand& random)
{
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

double own_utilization(const server_entry& row)
{
    return static_cast<double>(row.in_flight) / row.record.slots;
}

} // namespace

plain_choice choose_plain(std::span<server_entry* const> rows, const data_centre_id& here,
                          instant now, std::minstd_rand& random)
{
    for (server_entry* row : rows)
        row->outcomes.decay(now);
    const double mean_s = mean_response_s(rows);
    std::vector<double> expected(rows.size());
    std::ranges::transform(rows, expected.begin(), [mean_s](const server_entry* row) {
        return row->outcomes.expected_s(mean_s);
    });
    const std::vector<double> speeds = speed_factors(expected);
    std::vector<double> factors = speeds;
    apply_paces(rows, factors);
    std::vector<double> weights(rows.size());
    std::ranges::transform(
        rows, factors, weights.begin(), [&](const server_entry* row, double factor) {
            const double preference = row->record.data_centre == here ? local_weight_multiple : 1;
            return factor * row->record.slots * preference;
        });
    const std::size_t first = draw(weights, random);
    std::size_t chosen = first;
    if (rows.size() > 1) {
        weights[first] = 0;
        const std::size_t second = draw(weights, random);
        const bool similar_pace =
            rows[second]->expected_pace <= rows[first]->expected_pace * similar_time_multiple;
        const bool better = speeds[second] >= speeds[first] && similar_pace &&
                            own_utilization(*rows[second]) < own_utilization(*rows[first]);
        if (better) chosen = second;
    }
    return {rows[chosen], expected[chosen]};
}

} // namespace worksshift
