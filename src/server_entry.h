/** \file
 * One server as one VM sees it: its entry in the registry, its load, and how it answered.
 */
#pragma once

#include "cold_servers.h"
#include "crash_suspects.h"
#include "first_event_delay.h"
#include "protocol.h"
#include "recent_outcomes.h"
#include "server_health.h"

namespace worksshift {

/** A stated load is used for so long. With 1 s, engines counted as idle between two statements, and
 * prompts were copied to them (14 s of a wave before 112 engines: 1,684 GB, and 892 GB with 3 s).
 */
constexpr duration stated_load_for = milliseconds(3000);
/** How attempts at one server ended. */
struct outcome_sum {
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    duration time{}; ///< of the answered ones together
};

struct server_entry {
    server_record record;
    std::uint64_t hash = 0; ///< of its id, for ranking
    server_life life{};
    instant listed_at{};               ///< when this life of the server was first listed
    std::uint32_t in_flight = 0;       ///< attempts of this VM
    std::uint32_t peers_in_flight = 0; ///< of the other VMs, as they last told
    /** Requests of all VMs by the server's own word, to this VM or a near one. */
    std::uint32_t stated = 0;
    instant stated_at{};
    std::uint32_t in_flight_when_stated = 0;
    bool stated_is_fresh = false; ///< as of the last tick
    bool stated_here = false;     ///< to this VM, and not yet told to others
    server_health health;
    region_id region;       ///< of its data centre; empty: not known
    bool evacuated = false; ///< its data centre is
    cold_gate cold;
    bool gone = false;     ///< not in the registry any more; kept until idle
    bool replaced = false; ///< another server answered at its address
    bool leaving = false;  ///< by its own answers, to this VM or another
    instant rests_until{}; ///< it turned this VM away, and wants nothing of it so long

    instant heard_at{};    ///< a byte of an answer came
    instant waited_from{}; ///< attempts are under way without a pause since

    /** Recent time from a send to the first event, faded by the time since it was seen. */
    first_event_delay first_delay;
    /** How attempts of this VM and of near ones ended. */
    recent_outcomes outcomes;
    outcome_sum untold;   ///< of this VM's, not yet told to others
    bool failing = false; ///< against the other engines of its service, see `mark_failing`
    cold_gate trial;      ///< while it is failing: when this VM may try it
    bool slow = false;    ///< against the other engines of its service, see `mark_slow`

    /** Nothing came for so long although attempts are under way: the server may be out of reach,
     * which its connections do not show. Requests go elsewhere until it sends something. Engines
     * send every few tens of ms. With a third of the engines silent twice for 4 s, requests that
     * were late in those seconds fell from 160 to 100, and none ran into its deadline (34 before).
     */
    static constexpr duration quiet_after = milliseconds(450);

    [[nodiscard]] bool quiet(instant now) const
    {
        return this->in_flight > 0 &&
               now - std::max(this->heard_at, this->waited_from) > quiet_after;
    }
    /** A server's own word counts all VMs' requests and is told by near VMs at once; sums of the
     * other VMs' requests pass three of them and are a second late in a large fleet. */
    [[nodiscard]] std::uint32_t load() const
    {
        if (!this->stated_is_fresh) return this->in_flight + this->peers_in_flight;
        // Own requests that came or went since are known exactly.
        const std::uint32_t total = this->stated + this->in_flight;
        return std::max(this->in_flight, total - std::min(total, this->in_flight_when_stated));
    }
    /** The server had \p requests under way at the time \p at. An older word is passed over. */
    void state(std::uint32_t requests, instant at)
    {
        if (at <= this->stated_at) return;
        this->stated = requests;
        this->stated_at = at;
        this->in_flight_when_stated = this->in_flight;
        this->stated_is_fresh = true;
    }
    [[nodiscard]] bool rests(instant now) const { return now < this->rests_until; }
    /** Left alone, as it fails, unless it is for this VM to try it. */
    [[nodiscard]] bool avoided(instant now) const
    {
        return this->failing && !this->trial.open(now);
    }
    [[nodiscard]] bool over() const { return this->gone && this->in_flight == 0; }
    [[nodiscard]] bool takes_work() const
    {
        return !this->gone && !this->replaced && !this->leaving && !this->record.draining &&
               !this->evacuated;
    }
};

} // namespace worksshift
