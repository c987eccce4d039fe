/** \file
 * State of one server as one VM knows it: its registry record, its load, and the results of
 * attempts.
 */
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "cold_servers.h"
#include "crash_suspects.h"
#include "demand_meter.h"
#include "first_event_delay.h"
#include "protocol.h"
#include "recent_outcomes.h"
#include "server_health.h"
#include "server_pace.h"
#include "server_path.h"
#include "software_version.h"

namespace worksshift {

/** Maximum age at which a load reported by the server itself is used. With 1 s, engines counted as
 * idle between two reports, and prompts were copied to them: 1,684 GB in 14 s of a load peak with
 * 112 engines, against 892 GB with 3 s. */
constexpr duration reported_load_lifetime = milliseconds(3000);

/** Totals of the results of attempts at one server. */
struct outcome_sum {
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    duration time{}; ///< total time of the attempts with a response
};

struct server_entry {
    server_record record;
    std::uint64_t hash = 0;            ///< of the server's id; input of the rendezvous weights
    server_incarnation incarnation{};  ///< current incarnation of the server
    software_version software{};       ///< version of its software
    instant listed_at{};               ///< when this incarnation was first listed
    std::uint32_t in_flight = 0;       ///< attempts of this VM
    std::uint32_t peers_in_flight = 0; ///< attempts of the other VMs, as last reported
    /** Requests of all VMs at the server, as it last reported to this VM or to another of this
     * VM's data centre. */
    std::uint32_t reported_requests = 0;
    instant load_reported_at{};
    std::uint32_t in_flight_at_report = 0; ///< `in_flight` when `reported_requests` was set
    /** Whether `reported_requests` was recent enough for use at the last tick. */
    bool report_is_fresh = false;
    /** Share of the reported load that is estimated to remain, see `load_estimate`. */
    double remaining_share = 1;
    bool reported_here = false; ///< reported to this VM, and not yet passed on to others
    server_health health;
    server_path path;
    region_id region;       ///< of its data centre; empty: unknown
    bool evacuated = false; ///< its data centre is being evacuated
    cold_request_limiter cold;
    bool gone = false;       ///< no longer in the registry; kept until no attempt is in flight
    bool replaced = false;   ///< another server answered at its address
    bool leaving = false;    ///< a response to this VM or another said that it will stop
    instant backoff_until{}; ///< backing off until then; the epoch: never

    // Used while the rejections of its service are limited, see rejection_limit.h.
    instant rejection_pause_until{};     ///< nothing is sent before then, as it rejected a request
    std::uint32_t slot_share = 0;        ///< slots that this VM may use
    std::vector<instant> given_up_until; ///< attempts that were cancelled may run until then
    std::optional<std::uint32_t> full_load; ///< load at which it was full recently
    instant full_at{};                      ///< when it was
    demand_meter rejections;                ///< of requests of this VM and those that report them
    std::uint8_t unreported_rejections = 0; ///< of this VM's requests, not yet reported to others

    instant last_received_at{}; ///< when the last byte of a response arrived
    instant in_flight_since{};  ///< since then at least one attempt has been in flight and read
    /** Attempts in flight that are not read, as their clients read slowly (`output_limits.h`). */
    std::uint32_t paused = 0;

    /** Recent delay from sending a request to its first event; decays with time. */
    first_event_delay first_delay;
    /** Recent results of attempts by this VM and the others of its data centre. */
    recent_outcomes outcomes;
    /** Of this VM only and over a shorter time, for admission to a plain service. */
    recent_outcomes own_outcomes{recent_outcomes::own_decay_time};
    outcome_sum unreported_outcomes; ///< this VM's results not yet reported to others
    bool failing = false;            ///< compared to the engines of its service, see `mark_failing`
    cold_request_limiter trial; ///< while it is failing: when this VM may send it a trial request
    bool slow = false;          ///< compared to the engines of its service, see `mark_slow`

    server_pace pace; ///< from the figures that the server states
    /** Smoothed pace as of the last `update_paces`; 1 if it is unknown or not used. */
    double expected_pace = 1;
    bool slow_by_pace = false;               ///< compared to its service, see `update_paces`
    std::optional<double> unreported_pace{}; ///< stated to this VM, not yet passed on to others

    /** After this time without a byte while attempts are in flight, the server is unresponsive:
     * it may be unreachable, which open connections do not show. New requests go elsewhere until it
     * sends something. Engines send every few tens of ms. With a third of the engines unresponsive
     * twice for 4 s, this reduced late requests in that time from 160 to 100, and expired deadlines
     * from 34 to none. */
    static constexpr duration unresponsive_after = milliseconds(450);

    [[nodiscard]] bool unresponsive(instant now) const
    {
        return this->in_flight > this->paused &&
               now - std::max(this->last_received_at, this->in_flight_since) > unresponsive_after;
    }
    /** Requests of all VMs at the server. Uses the server's own report if it is recent: it counts
     * the requests of all VMs and is passed on directly within a data centre. The sums of the other
     * VMs' requests pass through three VMs, and are a second old in a large fleet. */
    [[nodiscard]] std::uint32_t load() const
    {
        if (!this->report_is_fresh) return this->in_flight + this->peers_in_flight;
        // Corrected by this VM's own requests that began or ended since the report.
        const std::uint32_t total = this->reported_requests + this->in_flight;
        return std::max(this->in_flight, total - std::min(total, this->in_flight_at_report));
    }
    /** The same, with the load that has drained since the report taken into account: at most
     * `load`. Too low for an engine that drains slower than the others. */
    [[nodiscard]] double estimated_load() const
    {
        const double total = this->load();
        return this->report_is_fresh
                   ? this->in_flight + (total - this->in_flight) * this->remaining_share
                   : total;
    }
    /** The server had \p requests in flight at \p at. Ignored if not newer than the last report. */
    void set_reported_load(std::uint32_t requests, instant at)
    {
        if (at <= this->load_reported_at) return;
        this->reported_requests = requests;
        this->load_reported_at = at;
        this->in_flight_at_report = this->in_flight;
        this->report_is_fresh = true;
        this->remaining_share = 1;
    }
    /** Whether the server is backing off: it asked this VM with Retry-After for a pause. */
    [[nodiscard]] bool backing_off(instant now) const { return now < this->backoff_until; }
    /** Whether to send it nothing because it is failing, and no trial request of this VM is due. */
    [[nodiscard]] bool avoided(instant now) const
    {
        return this->failing && !this->trial.open(now);
    }
    /** Attempts of this VM that may occupy a slot of the server. */
    [[nodiscard]] std::size_t occupied_slots(instant now) const
    {
        return this->in_flight +
               static_cast<std::size_t>(std::ranges::count_if(
                   this->given_up_until, [now](instant until) { return now < until; }));
    }
    /** Whether the row may be removed. */
    [[nodiscard]] bool is_removable() const { return this->gone && this->in_flight == 0; }
    /** Whether the server may get new requests, as far as its lifecycle goes. */
    [[nodiscard]] bool accepts_requests() const
    {
        return !this->gone && !this->replaced && !this->leaving && !this->record.draining &&
               !this->evacuated;
    }
};

} // namespace worksshift
