/** \file
 * Estimated loads of engines while the load of their service falls, see `load_estimate`.
 */
#include "server_table.h"

#include <algorithm>

namespace worksshift {

namespace {

/** While the mean load is estimated, this share of the engines, those with the least load, is below
 * the load bound in any case. Otherwise a mean that is too low would refuse requests although slots
 * are free. Three quarters of the engines can't all have more
 * than 4/3 of the mean load, so these engines are below the specified bound. */
constexpr double min_share_below_bound = 0.25;

std::uint32_t short_hash(const service_id& service)
{
    return static_cast<std::uint32_t>(service.hash());
}

} // namespace

/** Requests of this VM that count for the load of responding engines. */
load_estimate::sample server_table::count_in_flight(const service_state& group, instant now)
{
    load_estimate::sample counted;
    counted.vms = 1;
    for (const server_entry* row : group.rows) {
        if (!row->accepts_requests() || row->unresponsive(now)) continue;
        ++counted.engines;
        counted.requests += row->in_flight;
    }
    return counted;
}

std::vector<service_requests> server_table::requests_in_flight(instant now) const
{
    constexpr double max_requests = 65535;
    std::vector<service_requests> counts;
    for (const auto& [service, group] : this->services) {
        if (!group.traits.engine || counts.size() >= max_service_requests) continue;
        const double requests = count_in_flight(group, now).requests;
        counts.push_back(
            {short_hash(service), static_cast<std::uint16_t>(std::min(requests, max_requests))});
    }
    return counts;
}

void server_table::update_load_estimates(std::span<const service_requests> peers, instant now)
{
    for (auto& [service, group] : this->services) {
        if (!group.traits.engine) continue;
        if (this->policy.load_estimate <= 0) {
            for (server_entry* row : group.rows)
                row->remaining_share = 1;
            continue;
        }
        load_estimate::sample counted = count_in_flight(group, now);
        for (const service_requests& of_vm : peers) {
            if (of_vm.service != short_hash(service)) continue;
            ++counted.vms;
            counted.requests += of_vm.requests;
        }
        group.estimate.add(counted, now);
        const duration span = group.forecast.span();
        for (server_entry* row : group.rows) {
            if (!row->report_is_fresh) continue;
            row->remaining_share = group.estimate.remaining_share(row->load_reported_at, span);
        }
    }
}

/** Load bound of engines whose mean load was estimated to be lower than the mean of the loads by
 * which they are compared with the bound. */
double server_table::raise_to_least_loaded(double bound, std::span<server_entry* const> rows)
{
    std::vector<std::uint32_t> loads(rows.size());
    std::ranges::transform(rows, loads.begin(), &server_entry::load);
    const auto quartile =
        loads.begin() +
        static_cast<std::ptrdiff_t>(static_cast<double>(loads.size() - 1) * min_share_below_bound);
    std::ranges::nth_element(loads, quartile);
    return std::max(bound, *quartile + 1.0);
}

} // namespace worksshift
