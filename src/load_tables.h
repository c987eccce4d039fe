/** \file
 * Load tables that are sent in parts, and the copies that recipients keep.
 *
 * Each datagram carries one complete part of the table, so a lost datagram is repaired when the
 * part is sent again. It also carries every busy server, since these determine where requests are
 * sent.
 */
#pragma once

#include <span>
#include <vector>

#include "fleet_digest.h"

namespace worksshift {

/** Loads of servers, sorted by server id. */
using load_table = std::vector<load_entry>;

/** Sorts the table and adds up entries of the same server. */
void normalize(load_table& table);

/** Requests at a server; 0 if it has no entry. \p table must be sorted. */
std::uint32_t load_at(std::span<const load_entry> table, std::uint32_t server);

/** Divides a table into parts and returns one of them in each round. */
class load_publisher {
public:
    /** Entries in one part: a table of up to this many is sent completely in each round. Tables in
     * a fleet of 8 VMs and 22 servers are smaller; with 80 VMs and 93 servers a table has about 25.
     */
    static constexpr std::size_t entries_per_part = 24;
    static constexpr std::size_t max_parts = 16;

    /** Next part in rotation, and the entries of the \p busy servers. Both arguments must be
     * sorted.
     */
    load_part next(std::span<const load_entry> table, std::span<const std::uint32_t> busy);

private:
    std::size_t round = 0;
};

/** Copy of another VM's table, assembled from the parts received. */
class load_replica {
public:
    /** Does nothing if the digest carried no part of the table. */
    void apply(const load_part& part, instant now);
    [[nodiscard]] std::span<const load_entry> entries() const { return this->table; }
    /** When the last part arrived; the epoch: never. */
    [[nodiscard]] instant updated_at() const { return this->last_update; }

private:
    load_table table;
    instant last_update{};
};

} // namespace worksshift
