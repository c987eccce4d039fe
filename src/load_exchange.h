/** \file
 * Two-level exchange of server loads, so that traffic per VM does not grow with the whole fleet.
 *
 * Each VM sends its own loads to the VMs of its data centre. The servers are divided into slices.
 * For each slice, two VMs of each data centre, chosen by rendezvous rank, are aggregators: they
 * send the sums of their data centre to the aggregators of the other data centres, and forward the
 * sums that they receive to the VMs of their own. There are two, so that the loss of one leaves no
 * gap. In a fleet of one data centre, only the first step takes place.
 */
#pragma once

#include <map>
#include <vector>

#include "fleet_table.h"

namespace worksshift {

/** Approximate number of servers in one slice. The number of slices is a power of two, so that VMs
 * whose registries differ by a few servers use the same slices. */
constexpr std::size_t target_servers_per_slice = 16;
constexpr std::size_t max_slices = 16;
/** Aggregators of each slice in each data centre. */
constexpr std::size_t aggregators_per_slice = 2;
/** Sums of another data centre are ignored when they are older than both this and three periods,
 * also if an aggregator of the own data centre forwards them. */
constexpr duration remote_sums_timeout = seconds(2);

/** Load sums to be sent to one VM of another data centre. */
struct remote_message {
    std::uint32_t address = 0;
    load_part centre_loads;
};

class load_exchange {
public:
    explicit load_exchange(fleet_table& fleet) : fleet(fleet) {}

    /** \p own: requests from this VM. \p servers: number of servers in the registry. \p busy: ids
     * of busy servers, in any order. */
    void set_own(load_table own, std::size_t servers, std::vector<std::uint32_t> busy);
    void set_period(duration span) { this->period = span; }

    /** Chooses the aggregators of this round and computes their sums. Call it before `describe` and
     * `make_remote_messages`. */
    void begin_round(instant now);
    /** Adds loads to the digest for the VMs of the same data centre. */
    void describe(fleet_digest& local_digest);
    /** Messages to the aggregators of other data centres; empty if this VM is not an aggregator. */
    std::vector<remote_message> make_remote_messages();

    /** Requests from all other VMs, as far as they reported them. */
    [[nodiscard]] load_table loads_of_others(instant now) const;

private:
    [[nodiscard]] std::size_t slice_of(std::uint32_t server) const;
    [[nodiscard]] load_table centre_sums(instant now) const;
    [[nodiscard]] bool is_current(const load_replica& sums, instant now) const;
    [[nodiscard]] load_table remote_sums(instant now) const;
    void choose_aggregators(instant now);

    fleet_table& fleet;
    duration period = milliseconds(150);
    load_table own;
    std::size_t slices = 1;
    std::vector<std::uint32_t> busy;
    load_publisher own_publisher;
    load_publisher centre_publisher;
    load_publisher remote_publisher;
    std::vector<std::size_t> own_slices; ///< of which this VM is an aggregator
    /** Slices of each aggregator of another data centre, by its address. */
    std::map<std::uint32_t, std::vector<std::size_t>> remote_aggregators;
    load_table own_centre_sums;   ///< sums of this data centre in this round, own slices only
    load_table other_centre_sums; ///< sums of the other data centres in this round, own slices only
};

} // namespace worksshift
