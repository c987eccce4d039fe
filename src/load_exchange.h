/** \file
 * How the VMs of a fleet learn the load of each server without telling everybody everything.
 *
 * Each VM tells its own loads to the VMs of its data centre. The servers are cut into slices; for
 * each slice two VMs of each data centre, chosen by rank, send the sum of their data centre to
 * those of the other data centres, and tell the VMs of their own what they are sent. Two, so that
 * the loss of one costs nothing. In a fleet of one data centre only the first step is left.
 */
#pragma once

#include <map>
#include <vector>

#include "fleet_table.h"

namespace worksshift {

/** Servers of one slice, about; the slices are a power of two, so that VMs whose registries differ
 * by a few servers cut them alike. */
constexpr std::size_t servers_per_slice = 16;
constexpr std::size_t slices_at_most = 16;
/** VMs of each data centre that exchange the sums of a slice. */
constexpr std::size_t homes_per_slice = 2;
/** Sums of another data centre that are older than this, or than three periods, count for nothing.
 */
constexpr duration distant_sums_for = seconds(2);

/** What one distant VM is sent. */
struct distant_message {
    std::uint32_t address = 0;
    load_part centre_loads;
};

class load_exchange {
public:
    explicit load_exchange(fleet_table& fleet) : fleet(fleet) {}

    /** This VM's own requests, all servers of the registry, and those of them that are busy. */
    void set_own(load_table own, std::size_t servers, std::vector<std::uint32_t> busy);
    void set_period(duration span) { this->period = span; }

    /** Chooses the homes of this round; call it before the two below. */
    void begin_round(instant now);
    void describe(fleet_digest& to_near);
    std::vector<distant_message> to_distant();

    /** Requests of all other VMs, as far as they told. */
    [[nodiscard]] load_table others(instant now) const;

private:
    [[nodiscard]] std::size_t slice_of(std::uint32_t server) const;
    [[nodiscard]] load_table centre_sums(instant now) const;
    [[nodiscard]] load_table distant_sums(instant now) const;
    void choose_homes(instant now);

    fleet_table& fleet;
    duration period = milliseconds(150);
    load_table own;
    std::size_t slices = 1;
    std::vector<std::uint32_t> busy;
    load_publisher own_publisher;
    load_publisher centre_publisher;
    load_publisher distant_publisher;
    std::vector<std::size_t> own_slices;                       ///< of which this VM is a home
    std::map<std::uint32_t, std::vector<std::size_t>> distant; ///< slices of other homes, by VM
    load_table centre;    ///< of the round: sums of this data centre, own slices only
    load_table elsewhere; ///< of the round: sums of the others, own slices only
};

} // namespace worksshift
