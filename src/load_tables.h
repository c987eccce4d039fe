/** \file
 * A table of loads that one VM tells another in parts, and the copy that the other keeps.
 *
 * Each datagram tells one part of the table whole, so a lost one is made up for when the part's
 * turn comes again, and every busy server beside, since only these decide where a request goes.
 */
#pragma once

#include <span>
#include <vector>

#include "fleet_digest.h"

namespace worksshift {

/** Loads by server, in the order of their ids. */
using load_table = std::vector<load_entry>;

/** Sorts and merges entries of the same server. */
void normalize(load_table& table);

/** Requests at a server; 0 when it is not named. \p table is in order. */
std::uint32_t load_at(std::span<const load_entry> table, std::uint32_t server);

/** Cuts a table into parts, one for each round. */
class load_publisher {
public:
    /** Entries of a part: a table of up to this many is told whole in each round. A fleet of eight
     * VMs before 22 servers stays below; at 80 VMs before 93 servers a table has about 25. */
    static constexpr std::size_t entries_per_part = 24;
    static constexpr std::size_t parts_at_most = 16;

    /** The part whose turn it is, with the entries of \p busy servers (in order) beside. */
    load_part next(std::span<const load_entry> table, std::span<const std::uint32_t> busy);

private:
    std::size_t round = 0;
};

/** What another VM told of its table. */
class load_copy {
public:
    void take(const load_part& part);
    [[nodiscard]] std::span<const load_entry> entries() const { return this->table; }

private:
    load_table table;
};

} // namespace worksshift
