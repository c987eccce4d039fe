/** \file
 * The servers as one VM sees them, and the choice of one for a request.
 *
 * Model engines are chosen by the prompt: all VMs rank the servers alike for the part of the prompt
 * that is shared with other requests, so the tokens of that part are read once in the whole fleet
 * and no VM has to ask another. The first in rank that is below the load bound is taken. Plain
 * services go by load and distance.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "first_event_delay.h"
#include "fleet_digest.h"
#include "placement_policy.h"
#include "protocol.h"
#include "server_health.h"
#include "slot_forecast.h"

namespace worksshift {

struct server_entry {
    server_record record;
    std::uint64_t hash = 0;            ///< of its id, for ranking
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
    bool gone = false;     ///< not in the registry any more; kept until idle
    bool replaced = false; ///< another server answered at its address

    instant heard_at{};    ///< a byte of an answer came
    instant waited_from{}; ///< attempts are under way without a pause since

    /** Recent time from a send to the first event, faded by the time since it was seen. */
    first_event_delay first_delay;
    bool slow = false; ///< against the other engines of its service, see `mark_slow`

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
    [[nodiscard]] bool over() const { return this->gone && this->in_flight == 0; }
    [[nodiscard]] bool takes_work() const
    {
        return !this->gone && !this->replaced && !this->record.draining;
    }
};

/** A server takes a request if its load stays below this multiple of the mean of its service, plus
 * the spare below. The users' bound is twice the mean and three; the distance to it covers what the
 * VMs do not know of each other yet. From 1.35 and 2 to these values the shared tokens that were
 * read again on a calm day fell from 1.30 to 0.85 million, with first tokens as early as before. */
constexpr double load_bound_multiple = 1.7;
constexpr double load_bound_spare = 2.5;
/** A stated load is used for so long. With 1 s, engines counted as idle between two statements, and
 * prompts were copied to them (14 s of a wave before 112 engines: 1,684 GB, and 892 GB with 3 s).
 */
constexpr duration stated_load_for = milliseconds(3000);
/** From this share of its bound on a server is busy. */
constexpr double busy_share = 0.7;
/** A plain server in another data centre counts as this much of its slots busier than it is: calls
 * stay near unless the near ones are a quarter busier. */
constexpr double distance_penalty = 0.25;

struct placing {
    service_id service;
    bool engine = false;
    std::uint64_t affinity = 0; ///< hash of the shared part of the prompt; 0: none
    std::span<const server_id> tried;
    unsigned priority = 0;   ///< 0 is the most urgent
    std::size_t engines = 1; ///< that the prompt is spread over, the first in rank
};

struct placed {
    server_entry* row = nullptr; ///< nullptr: no server of the service takes work
    std::size_t rank = 0;        ///< 0: the first choice
    std::size_t candidates = 0;
    std::uint32_t load = 0; ///< of the chosen one, before this request
    double mean_load = 0;
    duration wait{};      ///< for a slot of the chosen one, as forecast
    bool crowded = false; ///< no engine has a slot for the request in time
    /** Likely holds the shared part of the prompt when the chosen one does not; nullptr: none. */
    const server_entry* cached_at = nullptr;
};

/** The engines of a service together, those that are failing or out of reach left out. */
struct service_load {
    std::size_t engines = 0;
    double slots = 0;
    double requests = 0;
    double span_s = 0;      ///< for which a request holds a slot, mean
    std::size_t stated = 0; ///< engines whose own word is known
    double age_s = 0;       ///< of what they stated, mean
};

class server_table {
public:
    /** \p seed: of what is drawn, so that a run can be repeated. */
    explicit server_table(data_centre_id here, unsigned seed = std::random_device{}())
        : here(std::move(here)), random(seed)
    {
    }

    /** Adds or updates. A server that started again under its id is a new one: attempts at its
     * former life stay with a row of their own until they end. What is told of a life before the
     * one that is known changes nothing. Returns whether anything changed. */
    bool put(const server_record& record, instant now = {});
    /** Whether the record tells of a life of the server before the one that is known. */
    [[nodiscard]] bool is_former(const server_record& record) const;
    /** The registry does not list the server any more. Returns whether it did before. */
    bool remove(const server_id& id);
    /** Another server answered at the address. */
    void mark_replaced(const server_id& id);
    [[nodiscard]] server_entry* find(const server_id& id);
    placed choose(const placing& wanted, instant now);
    /** A request held a slot of the server for \p span. */
    void on_finished(const server_entry& row, duration span)
    {
        this->services[row.record.service].forecast.on_finished(span);
    }
    /** Engines should begin with requests to the service within this time. */
    void set_objective(const service_id& service, duration objective)
    {
        this->services[service].objective = objective;
    }
    placement_policy policy;
    /** As of the last `sum_loads`. */
    [[nodiscard]] service_load load_of(const service_id& service) const;
    /** Adds the loads of each service up; once a tick. */
    void sum_loads(instant now);
    /** Servers near their load bound: what other VMs need to know of first. */
    [[nodiscard]] std::vector<const server_entry*> busy() const;
    /** Another VM was told the load of a server. */
    void take_stated(const stated_load& item, instant heard_at);
    /** The newest loads that servers stated to this VM since the last call. */
    std::vector<stated_load> take_news(instant now);
    /** Stated loads that are too old count no more. */
    void expire_stated(instant now);
    /** Compares the engines' recent delays; once a tick. */
    void mark_slow(instant now);
    /** Frees rows that are gone and idle. */
    void sweep();

    /** When the loads of the other VMs were last added up. */
    instant peers_summed_at{};

    [[nodiscard]] std::map<server_id, server_entry>& rows() { return this->table; }
    [[nodiscard]] const std::map<server_id, server_entry>& rows() const { return this->table; }

private:
    using row_list = std::vector<server_entry*>;

    row_list candidates(const placing& wanted, instant now);
    placed choose_engine(const placing& wanted, const row_list& rows);
    [[nodiscard]] const server_entry* find_cached(const placing& wanted, const server_entry& chosen,
                                                  instant now) const;
    placed choose_plain(row_list& rows);

    data_centre_id here;
    using row_map = std::map<server_id, server_entry>;
    row_map table; ///< references to rows stay valid
    /** Rows of servers that started again, until what was sent to them before has ended. */
    std::vector<row_map::node_type> former;
    /** The servers of one service and what they have in common. */
    struct service_state {
        row_list rows;
        slot_forecast forecast;
        service_load sum;
        duration objective{}; ///< to the first event, the shortest of its routes; zero: none

        [[nodiscard]] duration wait_at(const server_entry& row) const
        {
            return this->forecast.wait(row.load(), row.record.slots);
        }
    };

    [[nodiscard]] bool has_slot(const service_state& group, const server_entry& row, bool near,
                                double spread) const;
    [[nodiscard]] double load_bound_of(const service_state& group, double mean) const;
    [[nodiscard]] duration wait_limit(const service_state& group) const;
    void shuffle_first(std::vector<std::uint64_t>& weights, std::size_t count);
    void mark_slow(service_state& group, instant now) const;

    /** Takes the row out of the table, and keeps it until it is idle. */
    void retire(server_entry& row);

    std::unordered_map<service_id, service_state> services;
    std::unordered_map<std::uint32_t, server_entry*> by_short_hash;
    std::minstd_rand random;
};

/** What requests that share cached tokens have in common: the last part but the request's own.
 * 0 when the prompt has no shared part. */
std::uint64_t affinity_of(std::span<const prompt_part> prompt);

} // namespace worksshift
