/** \file
 * The rounds in which a VM tells others of itself: what goes to whom, and how far rounds are apart.
 *
 * Reads no clock and opens no socket, so that fleets of any size can be run in one loop.
 */
#pragma once

#include <span>
#include <string>
#include <vector>

#include "fleet_table.h"
#include "load_exchange.h"

namespace worksshift {

/** Bytes of digests that a VM sends in a second, of the 12,000 that control may take; the rest is
 * for what VMs fetch of each other. */
constexpr double digest_bytes_per_s = 9000;
/** Between rounds: small fleets stay at the first, fleets over the budget go up to the second. */
constexpr duration shortest_period = milliseconds(150);
constexpr duration longest_period = seconds(2);
/** A round that is sent early for news comes so long after the one before at least. */
constexpr duration hastened_period = milliseconds(50);
/** Near VMs that are silent are sent to in every so many rounds. */
constexpr unsigned rounds_between_trials = 8;
/** Rumours in a digest: to all, and to a VM that is joining. */
constexpr std::size_t rumours_told = 3;
constexpr std::size_t rumours_to_joining = 16;

/** What a VM says of itself in a round. */
struct own_state {
    fleet_digest digest; ///< but for loads and rumours
    load_table loads;
    std::vector<crash_report> distant_crash_reports; ///< for VMs of other data centres
    std::size_t servers = 0;                         ///< in the registry
    std::vector<std::uint32_t> busy;                 ///< servers near their bound
};

/** One datagram and the VMs that it goes to. */
struct outgoing_digest {
    std::string bytes;
    std::vector<std::uint32_t> to; ///< IPv4 addresses, host order
};

class fleet_rounds {
public:
    fleet_rounds(const fleet_table::identity& self, std::span<const std::uint32_t> seeds,
                 instant now);
    ~fleet_rounds() = default;
    fleet_rounds(const fleet_rounds&) = delete;
    fleet_rounds& operator=(const fleet_rounds&) = delete;
    fleet_rounds(fleet_rounds&&) = delete;
    fleet_rounds& operator=(fleet_rounds&&) = delete;

    [[nodiscard]] bool due(instant now) const { return now >= this->next_round; }
    /** The datagrams of the round that is due. */
    std::vector<outgoing_digest> next(own_state state, instant now);
    /** Further VMs to begin with, as when the settings name others than before. */
    void add_seeds(std::span<const std::uint32_t> seeds, instant now);
    /** There is news: the next round comes early. */
    void hasten();

    [[nodiscard]] fleet_table& fleet() { return this->table; }
    [[nodiscard]] const fleet_table& fleet() const { return this->table; }
    /** Requests of all other VMs at each server. */
    [[nodiscard]] load_table loads_of_others(instant now) const { return this->loads.others(now); }
    [[nodiscard]] duration period() const { return this->between; }

private:
    outgoing_digest to_near(fleet_digest digest, instant now);
    void add_distant(std::vector<outgoing_digest>& all, fleet_digest digest, instant now);
    outgoing_digest to_joining(fleet_digest digest, instant now);
    void space_rounds(std::span<const outgoing_digest> sent);

    std::vector<std::uint32_t> seeds;
    fleet_table table;
    load_exchange loads;
    std::vector<std::uint32_t> delegates; ///< of the round
    std::uint32_t sequence = 0;
    duration between = shortest_period;
    instant last_round{};
    instant next_round{};
    unsigned rounds = 0;
};

} // namespace worksshift
