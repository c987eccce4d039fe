/** \file
 * What one VM tells another of itself, in one datagram: which versions it has in force, whether it
 * follows the store, which VMs it knows to live, and a part of a table of loads.
 *
 * Counts are one byte each and ids four, since a fleet sends thousands of these a second.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Requests under way at one server. */
struct load_entry {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint16_t requests = 0;

    bool operator==(const load_entry&) const = default;
};

/** Entries at most in one datagram, so that it fits into one packet. */
constexpr std::size_t load_entries_at_most = 96;

/** A part of a table of loads: all servers whose id leaves the remainder `part` when divided by
 * `parts`, and any others that are busy. A server of that remainder that is not named is idle. */
struct load_part {
    std::uint8_t part = 0;
    std::uint8_t parts = 0; ///< 0: nothing is said of any server but those named
    std::vector<load_entry> entries;

    [[nodiscard]] bool covers(std::uint32_t server) const
    {
        return this->parts > 0 && server % this->parts == this->part;
    }
};

/** Load that a server stated with an answer to the sender. */
struct stated_load {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint16_t requests = 0;
    std::uint8_t age = 0; ///< in units of `stated_age_unit`
};
constexpr duration stated_age_unit = milliseconds(10);
/** Statements in one digest at most: the newest. */
constexpr std::size_t stated_loads_at_most = 24;

/** How attempts of the sender at a plain server ended. */
struct told_outcomes {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint8_t answered = 0;
    std::uint8_t failed = 0; ///< without an answer of use
    std::uint8_t mean = 0;   ///< time of an answered one, in units of `told_time_unit`
};
constexpr duration told_time_unit = milliseconds(4);
/** Servers in one digest at most. A VM of a large fleet has one or two between its digests. */
constexpr std::size_t told_outcomes_at_most = 12;

/** A server ended while a request was under way there. */
struct crash_report {
    std::uint64_t content = 0; ///< of the request
    std::uint32_t server = 0;  ///< low half of the hash of one life of the server

    auto operator<=>(const crash_report&) const = default;
};
/** Reports in one digest at most. */
constexpr std::size_t crash_reports_at_most = 8;

/** A content of requests that is not sent to servers, or is again. */
struct blocked_content {
    std::uint64_t content = 0;
    std::uint8_t trials = 0; ///< in which another server ended
    bool cleared = false;    ///< it may be sent again
    std::uint16_t age = 0;   ///< of this state, in units of `blocked_age_unit`
};
constexpr duration blocked_age_unit = milliseconds(100);
/** Blocked contents in one digest at most: the newest. */
constexpr std::size_t blocked_contents_at_most = 16;

/** Servers in one digest at most that leave by their own word. */
constexpr std::size_t leaving_servers_at_most = 16;

/** Evacuated data centres in one digest at most. */
constexpr std::size_t evacuated_at_most = 32;

constexpr duration store_back_unit = milliseconds(10);
constexpr duration store_confirmed_unit = milliseconds(100);

/** A VM that somebody heard. */
struct vm_rumour {
    std::uint32_t address = 0;     ///< IPv4, host order
    std::uint32_t data_centre = 0; ///< low half of the hash of its name
    std::uint8_t age = 0;          ///< since it was heard, in tenths of a second
};

/** State of one VM, as it tells it itself. */
struct fleet_digest {
    std::uint8_t format = 8;
    std::uint32_t incarnation = 0; ///< random for each start of the process
    std::uint32_t sequence = 0;
    std::uint32_t data_centre = 0;
    std::uint16_t period_ms = 0; ///< until the sender's next digest
    std::uint64_t config_version = 0;
    std::uint64_t servers_revision = 0; ///< of the newest change of the registry that it knows
    /** Of the store, of which the sender knows the evacuated data centres; 0: it does not. */
    std::uint64_t evacuations_revision = 0;
    std::vector<std::uint32_t> evacuated; ///< low halves of the hashes of their names
    /** Time since the store last came back to some VM that was without it, as far as the sender
     * knows; in units of `store_back_unit`, the highest for longer ago or never. */
    std::uint16_t store_back = 65535;
    /** Time since the store last answered a linearizable call of some VM, in units of
     * `store_confirmed_unit`, the highest likewise. */
    std::uint8_t store_confirmed = 255;
    bool watches_store = false; ///< asks the store for changes, which answers it
    bool leaving = false;
    bool joining = false;    ///< knows few VMs yet: whoever hears it should answer
    load_part own_loads;     ///< requests of the sender
    load_part centre_loads;  ///< requests of all VMs of the sender's data centre
    load_part distant_loads; ///< requests of the other data centres, as the sender was told
    std::vector<stated_load> stated_loads;   ///< new since the sender's last digest
    std::vector<told_outcomes> outcomes;     ///< likewise
    std::uint16_t requests_per_s = 0;        ///< that ask the sender for a model engine, in tenths
    std::vector<crash_report> crash_reports; ///< new to the sender
    std::vector<blocked_content> blocked;
    /** Servers that leave by their own word, which the registry lists as ready: lives of them. */
    std::vector<std::uint32_t> leaving_servers;
    std::vector<vm_rumour> vms;
};

std::string encode(const fleet_digest& digest);
/** \throws peer_error when the bytes are not a digest of this format. */
fleet_digest decode_digest(std::string_view bytes, const std::string& peer);

} // namespace worksshift
