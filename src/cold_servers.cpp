#include "cold_servers.h"

#include <cmath>
#include <functional>

#include "rendezvous.h"

namespace worksshift {

namespace {

duration in_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/** Mean rate of independent (Poisson) arrivals that exceeds \p max_arrivals in a second about once
 * in a million. The quantile is approximated by the mean plus six standard deviations. */
double max_poisson_mean(double max_arrivals)
{
    constexpr double deviations = 6;
    const double root = (std::sqrt(deviations * deviations + 4 * max_arrivals) - deviations) / 2;
    return root * root;
}

/** Even share of every VM of the fleet, if all data centres have as many VMs as this one. */
cold_share even_share(const cold_request_limit& bound, const fleet_members& members)
{
    const double mean = std::min(bound.per_s, max_poisson_mean(bound.max_in_any_second));
    const auto vms = static_cast<double>(members.local_vms.size() * members.data_centres.size());
    return {in_seconds(vms / mean), true};
}

/** Number of candidates that rank above \p own for the server. */
std::size_t count_above(std::uint64_t server, std::uint32_t own,
                        std::span<const std::uint32_t> candidates)
{
    const std::uint64_t weight = rendezvous_weight(server, own);
    return static_cast<std::size_t>(
        std::ranges::count_if(candidates, [server, weight](std::uint32_t candidate) {
            return rendezvous_weight(server, candidate) > weight;
        }));
}

/** Share of \p own when \p total units are divided evenly among the candidates. The remainder of
 * the division goes to those that rank highest for \p key. */
std::size_t share_by_rank(std::size_t total, std::uint64_t key, std::uint32_t own,
                          std::span<const std::uint32_t> candidates)
{
    const bool extra = count_above(key, own, candidates) < total % candidates.size();
    return total / candidates.size() + (extra ? 1 : 0);
}

} // namespace

std::string_view name_of(share_state state)
{
    switch (state) {
    case share_state::none:
        return "none";
    case share_state::minimal:
        return "minimal";
    case share_state::full:
        return "full";
    }
    return "";
}

std::size_t share_of_vm(std::size_t total, std::uint64_t key, const fleet_members& members)
{
    const std::size_t local = share_by_rank(total, key, members.data_centre, members.data_centres);
    return share_by_rank(local, key, members.self, members.local_vms);
}

std::size_t slots_of_vm(std::size_t slots, std::uint64_t key, const fleet_members& members)
{
    switch (members.share) {
    case share_state::none:
        return 0;
    case share_state::minimal:
        return std::min<std::size_t>(slots, 1);
    case share_state::full:
        return share_of_vm(slots, key, members);
    }
    return 0;
}

std::vector<std::uint32_t> local_vms_with_share(std::size_t total, std::uint64_t key,
                                                const fleet_members& members)
{
    const std::size_t local = share_by_rank(total, key, members.data_centre, members.data_centres);
    std::vector<std::uint32_t> vms = members.local_vms;
    const std::size_t count = std::min(local, vms.size());
    std::ranges::partial_sort(vms, vms.begin() + static_cast<std::ptrdiff_t>(count), std::greater{},
                              [key](std::uint32_t vm) { return rendezvous_weight(key, vm); });
    vms.resize(count);
    return vms;
}

cold_share compute_cold_share(const cold_request_limit& bound, std::uint64_t server,
                              const fleet_members& members, double used_share)
{
    if (!members.complete || bound.per_s <= 0) return {};
    if (used_share <= 0) return even_share(bound, members);
    const auto total = static_cast<std::size_t>(bound.max_in_any_second * used_share);
    const std::size_t local_total =
        share_by_rank(total, server, members.data_centre, members.data_centres);
    const std::size_t count = std::min(local_total, members.local_vms.size());
    if (count_above(server, members.self, members.local_vms) >= count) return {};
    const duration pause =
        in_seconds(static_cast<double>(total) / bound.per_s * static_cast<double>(count) /
                   static_cast<double>(local_total));
    const auto per_sender_in_a_second = static_cast<duration::rep>(local_total / count);
    return {std::max(pause, cold_window / per_sender_in_a_second), false};
}

bool is_first_in_fleet(const fleet_members& members, std::uint64_t key)
{
    return members.complete && count_above(key, members.data_centre, members.data_centres) == 0 &&
           count_above(key, members.self, members.local_vms) == 0;
}

void cold_request_limiter::set_share(const cold_share& new_share, instant now,
                                     std::minstd_rand& random)
{
    const bool may_now_send = !this->share.pause && new_share.pause;
    this->share = new_share;
    if (!may_now_send) return;
    const double fraction = std::uniform_real_distribution<double>(0, 1)(random);
    const duration wait = new_share.random_start
                              ? std::chrono::duration_cast<duration>(*new_share.pause * fraction)
                              : duration::zero();
    this->first = now + wait;
}

} // namespace worksshift
