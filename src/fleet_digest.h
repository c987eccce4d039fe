/** \file
 * Wire format of the digest, the gossip datagram by which a VM reports its state to other VMs: the
 * versions that it has in force, whether it watches the store, liveness of other VMs, and one part
 * of its load tables.
 *
 * A fleet sends thousands of digests per second, so the encoding is compact: counts take one byte,
 * and names are sent as four-byte hashes.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Number of requests in flight at one server. */
struct load_entry {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint16_t requests = 0;

    bool operator==(const load_entry&) const = default;
};

/** Maximum number of load entries in one datagram, so that it fits into one packet. */
constexpr std::size_t max_load_entries = 96;

/** One part of a load table: all servers with `server % parts == part`, and busy servers of any
 * other part. A server of this part that has no entry is idle. */
struct load_part {
    std::uint8_t part = 0;
    std::uint8_t parts = 0; ///< 0: only the listed servers are covered
    std::vector<load_entry> entries;

    /** Whether the digest carries no part of the table. */
    [[nodiscard]] bool empty() const { return this->parts == 0 && this->entries.empty(); }
    [[nodiscard]] bool covers(std::uint32_t server) const
    {
        return this->parts > 0 && server % this->parts == this->part;
    }
};

/** Load that a server reported in a response to the sender. */
struct reported_load {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint16_t requests = 0;
    std::uint8_t age = 0; ///< in units of `reported_age_unit`
    /** Pace that the server stated with it, see `encode_pace`; 0: none. Encoded apart from the
     * other figures, at the end of the digest. */
    std::uint8_t pace = 0;
};
constexpr duration reported_age_unit = milliseconds(10);
/** Maximum number of reported loads in one digest; the newest are kept. */
constexpr std::size_t max_reported_loads = 24;

/** Results of the sender's attempts at one server. Model engines are included only after failures.
 */
struct outcome_counts {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint8_t answered = 0;
    std::uint8_t failed = 0; ///< without a usable response
    std::uint8_t mean = 0; ///< response time of answered attempts, in units of `outcome_time_unit`
};
constexpr duration outcome_time_unit = milliseconds(4);
/** Maximum number of servers with outcomes in one digest. In a large fleet, a VM has outcomes of
 * one or two servers to report per digest. */
constexpr std::size_t max_outcome_counts = 12;

/** Rejections of the sender's requests by one server that crashes when it has to reject too many.
 * Its service stated the limit to the sender recently. */
struct rejection_report {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint8_t count = 0;   ///< rejections; may be 0
    std::uint16_t limit = 0;  ///< rejections per second that a server of the service survives
};
/** Maximum number of servers with rejections in one digest. */
constexpr std::size_t max_rejection_reports = 8;

/** Limit of rejections that the servers of one service stated to some VM. */
struct service_limit {
    std::uint32_t service = 0; ///< low half of the hash of its name
    std::uint16_t per_s = 0;   ///< rejections per second that one of its servers survives
    std::uint8_t age = 0;      ///< since a server last stated it, in units of `limit_age_unit`
};
constexpr duration limit_age_unit = milliseconds(100);
/** Maximum number of limits in one digest; the newest are kept. */
constexpr std::size_t max_service_limits = 8;

/** Requests of the sender in flight at the engines of one service. */
struct service_requests {
    std::uint32_t service = 0; ///< low half of the hash of its name
    std::uint16_t requests = 0;
};
/** Maximum number of services with these in one digest. */
constexpr std::size_t max_service_requests = 8;

/** A server crashed while a request was in flight there. */
struct crash_report {
    std::uint64_t content = 0; ///< hash of the request's content
    std::uint32_t server = 0;  ///< low half of the hash of the server's incarnation

    auto operator<=>(const crash_report&) const = default;
};
/** Maximum number of crash reports in one digest. */
constexpr std::size_t max_crash_reports = 8;

/** Request content that is blocked from all servers, or that was unblocked. */
struct blocked_content {
    std::uint64_t content = 0; ///< hash of the request's content
    std::uint8_t trials = 0;   ///< trial attempts in which another server crashed
    bool cleared = false;      ///< requests with this content may be sent again
    std::uint16_t age = 0;     ///< time in this state, in units of `blocked_age_unit`
};
constexpr duration blocked_age_unit = milliseconds(100);
/** Maximum number of blocked contents in one digest; the newest are kept. */
constexpr std::size_t max_blocked_contents = 16;

/** Maximum number of servers in one digest that announced that they leave. */
constexpr std::size_t max_leaving_servers = 16;

/** Maximum number of evacuated data centres in one digest. */
constexpr std::size_t max_evacuated_data_centres = 32;

constexpr duration store_restored_age_unit = milliseconds(10);
constexpr duration store_confirmed_age_unit = milliseconds(100);

/** Liveness report: when a VM was last seen, by the sender or by VMs that reported it to the
 * sender.
 */
struct vm_liveness_report {
    std::uint32_t address = 0;     ///< IPv4, host order
    std::uint32_t data_centre = 0; ///< low half of the hash of its name
    std::uint8_t age = 0;          ///< time since it was last seen, in units of 100 ms
};

/** When a VM was last known to read the store linearizably. */
struct store_reader_report {
    std::uint32_t address = 0; ///< IPv4, host order
    std::uint8_t age = 0;      ///< in units of `store_reader_age_unit`, rounded up

    auto operator<=>(const store_reader_report&) const = default;
};
constexpr duration store_reader_age_unit = milliseconds(50);
/** Maximum number of VMs that read the store linearizably in one digest. */
constexpr std::size_t max_reported_store_readers = 4;

/** State of one VM, as reported by that VM. */
struct fleet_digest {
    std::uint8_t format = 8;
    std::uint32_t incarnation = 0; ///< random for each start of the process
    std::uint32_t sequence = 0;    ///< increases with each digest of one incarnation
    std::uint32_t data_centre = 0; ///< low half of the hash of its name
    std::uint16_t period_ms = 0;   ///< until the sender's next digest
    std::uint64_t config_version = 0;
    std::uint64_t servers_revision = 0; ///< newest change of the registry known to the sender
    /** Revision of the store to which `evacuated` applies; 0: the sender does not know it. */
    std::uint64_t evacuations_revision = 0;
    std::vector<std::uint32_t> evacuated; ///< low halves of the hashes of their names
    /** Time since the store last recovered from an outage, as far as the sender knows, in units of
     * `store_restored_age_unit`. The maximum stands for longer ago or never. */
    std::uint16_t store_restored_age = 65535;
    /** Time since the store last completed a linearizable call of any VM, in units of
     * `store_confirmed_age_unit`. The maximum stands for longer ago or never. */
    std::uint8_t store_confirmed_age = 255;
    bool watches_store = false; ///< it watches the store for changes, and the store responds
    bool leaving = false;
    bool joining = false;   ///< it knows few VMs yet: recipients should reply to it
    load_part own_loads;    ///< requests from the sender
    load_part centre_loads; ///< requests from all VMs of the sender's data centre
    load_part remote_loads; ///< requests from other data centres, as reported to the sender
    std::vector<reported_load> reported_loads; ///< reported since the sender's last digest
    std::vector<outcome_counts> outcomes;      ///< since the sender's last digest
    std::uint16_t requests_per_s = 0; ///< that the sender receives for model engines, in 0.1/s
    std::vector<crash_report> crash_reports; ///< recent; each is repeated in a few digests
    std::vector<blocked_content> blocked;
    /** Servers that announced that they leave but that the registry lists as ready: low halves of
     * the hashes of their incarnations. */
    std::vector<std::uint32_t> leaving_servers;
    std::vector<vm_liveness_report> vms;
    /** Since the sender's last digest. Encoded only if there are any, so that VMs that do not know
     * the field can decode all other digests. */
    std::vector<rejection_report> rejections;
    /** Largest number of VMs that the sender itself has counted recently; 0: not reported. Comes
     * after `rejections`, where VMs that do not know the field ignore it. */
    std::uint16_t fleet_vms = 0;
    /** Hash of the addresses of the VMs of its data centre that the sender counts; 0: not reported.
     */
    std::uint16_t local_members = 0;
    std::vector<service_limit> limits; ///< in force
    // After `limits`, the paces of `reported_loads` in their order, if any is known.
    std::vector<service_requests> engine_requests;  ///< also of services without requests in flight
    std::vector<store_reader_report> store_readers; ///< including the sender, if it is one
};

/** Tells the VMs that watch the store whether the sender reads it linearizably. Sent at short
 * intervals by those that do. */
struct store_reader_notice {
    std::uint8_t format = 128; ///< distinguishes it from a digest
    bool reads_store = false;
};

/** What VMs send each other by UDP. */
using gossip_datagram = std::variant<fleet_digest, store_reader_notice>;

std::string encode(const fleet_digest& digest);
std::string encode(const store_reader_notice& notice);
/** \throws peer_error if the bytes are not a digest of the supported format. */
fleet_digest decode_digest(std::string_view bytes, const std::string& peer);
/** \throws peer_error if the bytes are neither a notice nor a digest of the supported format. */
gossip_datagram decode_datagram(std::string_view bytes, const std::string& peer);

} // namespace worksshift
