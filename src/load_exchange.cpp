#include "load_exchange.h"

#include <algorithm>
#include <bit>

#include "rendezvous.h"

namespace worksshift {

namespace {

void append(load_table& to, std::span<const load_entry> from)
{
    to.insert(to.end(), from.begin(), from.end());
}

/** Merges two sorted tables; a server in both gets the larger load. */
load_table merge_by_max(const load_table& left, std::span<const load_entry> right)
{
    load_table merged;
    merged.reserve(left.size() + right.size());
    std::ranges::merge(left, right, std::back_inserter(merged), {}, &load_entry::server,
                       &load_entry::server);
    load_table result;
    for (const load_entry& entry : merged) {
        if (!result.empty() && result.back().server == entry.server) {
            result.back().requests = std::max(result.back().requests, entry.requests);
        } else {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace

void load_exchange::set_own(load_table own_loads, std::size_t servers,
                            std::vector<std::uint32_t> busy_servers)
{
    this->own = std::move(own_loads);
    normalize(this->own);
    this->busy = std::move(busy_servers);
    std::ranges::sort(this->busy);
    const std::size_t needed_slices =
        (servers + target_servers_per_slice - 1) / target_servers_per_slice;
    this->slices = std::bit_ceil(std::clamp<std::size_t>(needed_slices, 1, max_slices));
}

std::size_t load_exchange::slice_of(std::uint32_t server) const
{
    return server % this->slices;
}

void load_exchange::choose_aggregators(instant now)
{
    this->own_slices.clear();
    this->remote_aggregators.clear();
    std::map<std::uint32_t, std::vector<std::uint32_t>> by_centre;
    const std::uint32_t own_centre = this->fleet.self().data_centre;
    by_centre[own_centre].push_back(this->fleet.self().address);
    for (const auto& [address, vm] : this->fleet.vms()) {
        if (!this->fleet.is_alive(vm, now) || vm.data_centre == 0) continue;
        by_centre[this->fleet.is_local(vm) ? own_centre : vm.data_centre].push_back(address);
    }
    if (by_centre.size() < 2) return;
    std::map<std::size_t, std::vector<std::uint32_t>> remote_by_slice;
    for (std::size_t slice = 0; slice < this->slices; ++slice) {
        for (auto& [centre, members] : by_centre) {
            const std::size_t count = std::min(aggregators_per_slice, members.size());
            std::ranges::partial_sort(
                members, members.begin() + static_cast<std::ptrdiff_t>(count), std::greater{},
                [slice](std::uint32_t address) { return rendezvous_weight(slice, address); });
            const std::span<const std::uint32_t> chosen(members.data(), count);
            if (centre != own_centre) {
                remote_by_slice[slice].insert(remote_by_slice[slice].end(), chosen.begin(),
                                              chosen.end());
            } else if (std::ranges::find(chosen, this->fleet.self().address) != chosen.end()) {
                this->own_slices.push_back(slice);
            }
        }
    }
    for (const std::size_t slice : this->own_slices) {
        for (const std::uint32_t address : remote_by_slice[slice])
            this->remote_aggregators[address].push_back(slice);
    }
}

/** Requests from all VMs of this data centre. */
load_table load_exchange::centre_sums(instant now) const
{
    load_table sums = this->own;
    for (const fleet_vm* vm : this->fleet.local_vms(now))
        append(sums, vm->own_loads.entries());
    normalize(sums);
    return sums;
}

/** Whether the sums are those of a VM that aggregates at present. One that no longer does goes on
 * sending digests without sums. */
bool load_exchange::is_current(const load_replica& sums, instant now) const
{
    const duration limit = std::max<duration>(remote_sums_timeout, this->period * 3);
    return now - sums.updated_at() <= limit;
}

/** Requests from the other data centres, as their aggregators reported them to this VM. The
 * aggregators of a slice report the same load at different times, so the larger value counts. */
load_table load_exchange::remote_sums(instant now) const
{
    std::map<std::uint32_t, load_table> by_centre;
    for (const auto& [address, vm] : this->fleet.vms()) {
        if (this->fleet.is_local(vm) || !this->is_current(vm.centre_loads, now)) continue;
        load_table& centre = by_centre[vm.data_centre];
        centre = merge_by_max(centre, vm.centre_loads.entries());
    }
    load_table sums;
    for (const auto& [centre, table] : by_centre)
        append(sums, table);
    normalize(sums);
    return sums;
}

void load_exchange::begin_round(instant now)
{
    this->choose_aggregators(now);
    if (this->own_slices.empty()) {
        this->own_centre_sums.clear();
        this->other_centre_sums.clear();
        return;
    }
    const auto other_slice = [this](const load_entry& entry) {
        return std::ranges::find(this->own_slices, this->slice_of(entry.server)) ==
               this->own_slices.end();
    };
    this->own_centre_sums = this->centre_sums(now);
    std::erase_if(this->own_centre_sums, other_slice);
    this->other_centre_sums = this->remote_sums(now);
    std::erase_if(this->other_centre_sums, other_slice);
}

void load_exchange::describe(fleet_digest& local_digest)
{
    local_digest.own_loads = this->own_publisher.next(this->own, this->busy);
    if (!this->own_slices.empty()) {
        local_digest.remote_loads =
            this->remote_publisher.next(this->other_centre_sums, this->busy);
    }
}

std::vector<remote_message> load_exchange::make_remote_messages()
{
    std::vector<remote_message> messages;
    if (this->remote_aggregators.empty()) return messages;
    const load_part part = this->centre_publisher.next(this->own_centre_sums, this->busy);
    for (const auto& [address, slices_of_vm] : this->remote_aggregators) {
        remote_message message{address, {part.part, part.parts, {}}};
        std::ranges::copy_if(part.entries, std::back_inserter(message.centre_loads.entries),
                             [&](const load_entry& entry) {
                                 return std::ranges::find(slices_of_vm,
                                                          this->slice_of(entry.server)) !=
                                        slices_of_vm.end();
                             });
        messages.push_back(std::move(message));
    }
    return messages;
}

load_table load_exchange::loads_of_others(instant now) const
{
    load_table remote_all = this->remote_sums(now);
    load_table sums;
    for (const fleet_vm* vm : this->fleet.local_vms(now)) {
        append(sums, vm->own_loads.entries());
        if (this->is_current(vm->remote_loads, now))
            remote_all = merge_by_max(remote_all, vm->remote_loads.entries());
    }
    append(sums, remote_all);
    normalize(sums);
    return sums;
}

} // namespace worksshift
