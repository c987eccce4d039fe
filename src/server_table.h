/** \file
 * The servers as one VM sees them, and the choice of one for a request.
 *
 * Model engines are chosen by the prompt: all VMs rank the servers alike for the part of the prompt
 * that is shared with other requests, so the tokens of that part are read once in the whole fleet
 * and no VM has to ask another. The first in rank that is below the load bound is taken. Plain
 * services go by load and distance.
 */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "crash_suspects.h"
#include "fleet_digest.h"
#include "placement_policy.h"
#include "protocol.h"
#include "server_entry.h"
#include "server_words.h"
#include "slot_forecast.h"

namespace worksshift {

/** A server takes a request if its load stays below this multiple of the mean of its service, plus
 * the spare below. The users' bound is twice the mean and three; the distance to it covers what the
 * VMs do not know of each other yet. From 1.35 and 2 to these values the shared tokens that were
 * read again on a calm day fell from 1.30 to 0.85 million, with first tokens as early as before. */
constexpr double load_bound_multiple = 1.7;
constexpr double load_bound_spare = 2.5;
/** From this share of its bound on a server is busy. */
constexpr double busy_share = 0.7;
struct placing {
    service_id service;
    bool engine = false;
    std::uint64_t affinity = 0; ///< hash of the shared part of the prompt; 0: none
    std::span<const server_id> tried;
    unsigned priority = 0;   ///< 0 is the most urgent
    std::size_t engines = 1; ///< that the prompt is spread over, the first in rank
    bool repeatable = false; ///< it may be sent to another server when the first one fails
    /** Where the request may be served: one list of the route and one of the client account, each
     * empty for anywhere. Both bind. */
    std::array<std::span<const region_id>, 2> allowed_regions{};
};

struct placed {
    server_entry* row = nullptr; ///< nullptr: no server of the service takes work
    std::size_t rank = 0;        ///< 0: the first choice
    std::size_t candidates = 0;
    std::uint32_t load = 0; ///< of the chosen one, before this request
    double mean_load = 0;
    duration wait{};       ///< for a slot of the chosen one, as forecast
    bool crowded = false;  ///< no engine has a slot for the request in time
    double expected_s = 0; ///< until an answer of use, for plain servers
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
    /** A server's own answer says that it leaves. Returns whether it was not known. */
    bool mark_leaving(server_entry& row);
    /** Another VM was told so. Likewise. */
    bool mark_leaving(server_life life);
    /** Servers that leave by their own word while the registry lists them as ready: lives of the
     * first so many. */
    [[nodiscard]] std::vector<std::uint32_t> leaving_early(std::size_t count) const;
    /** The server turned a request of this VM away, and wants nothing of it for so long. */
    void mark_resting(server_entry& row, duration span, instant now);
    /** A connection to the server was refused or timed out: it may be about to start again. */
    void mark_unreachable(server_entry& row, instant now);
    /** The data centres, by the low half of their names' hashes, whose servers take no requests. */
    void set_evacuated(std::set<std::uint32_t> places, instant now);
    /** Regions of the data centres; of others it is not known. */
    void set_regions(std::map<data_centre_id, region_id> known);
    void set_traits(const service_id& service, const service_traits& traits);
    /** Compares how often the engines of a service failed lately; once a tick. One that fails much
     * more often than the others is left alone by all VMs but one of each data centre, which tries
     * it with a request now and then, as the others hear how that ended. */
    void mark_failing(const fleet_members& members, instant now);
    /** Works out what this VM may send to each cold server; once a tick. */
    void share_cold(const fleet_members& members, instant now);
    [[nodiscard]] std::size_t cold_servers(instant now) const;
    /** When a server that is cold or rests takes a request of this VM; nothing: none is or does. */
    [[nodiscard]] std::optional<instant> opens_at(const placing& wanted, instant now) const;
    [[nodiscard]] server_entry* find(const server_id& id);
    /** nullptr when another life of the server is known, or none. */
    [[nodiscard]] server_entry* find(server_life life);
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
    cold_tolerance cold; ///< of the users' bound
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
    /** An attempt at a server ended. \p failed: it got no answer of use. */
    static void on_answered(server_entry& row, duration span, bool failed, instant now);
    /** Another VM tells of its attempts at a server. */
    void take_outcomes(const told_outcomes& item, instant now);
    /** This VM's attempts at servers since the last call, the failed ones first. Of engines that
     * have not failed lately nothing is told, so that they cost no bytes. */
    std::vector<told_outcomes> take_outcome_news();
    /** Stated loads that are too old count no more. */
    void expire_stated(instant now);
    /** Compares the engines' recent delays; once a tick. */
    void mark_slow(instant now);
    /** Frees rows that are gone and idle, and forgets rests that are over. */
    void sweep(instant now = {});

    /** When the loads of the other VMs were last added up. */
    instant peers_summed_at{};

    [[nodiscard]] std::map<server_id, server_entry>& rows() { return this->table; }
    [[nodiscard]] const std::map<server_id, server_entry>& rows() const { return this->table; }

private:
    using row_list = std::vector<server_entry*>;
    struct service_state;
    /** Servers that a request may go to. */
    struct choice {
        row_list rows;
        double mean_load = 0; ///< with those that are too cold for the request
    };

    choice candidates(const placing& wanted, instant now);
    placed choose_engine(const placing& wanted, const choice& open);
    [[nodiscard]] bool is_open(const service_state& group, const server_entry& row,
                               instant now) const;
    /** Whether the request may be served in the server's region. */
    static bool is_allowed(const server_entry& row, const placing& wanted);
    static bool may_serve(const server_entry& row, const placing& wanted);
    void note_cold(server_entry& row, bool restarted, instant now);
    static void turn_cold(server_entry& row, milliseconds span, std::string_view cause,
                          instant now);
    [[nodiscard]] const server_entry* find_cached(const placing& wanted, const server_entry& chosen,
                                                  instant now) const;

    data_centre_id here;
    using row_map = std::map<server_id, server_entry>;
    row_map table; ///< references to rows stay valid
    std::map<data_centre_id, region_id> regions;
    std::set<std::uint32_t> evacuated;
    /** Rows of servers that started again, until what was sent to them before has ended. */
    std::vector<row_map::node_type> former;
    /** The servers of one service and what they have in common. */
    struct service_state {
        row_list rows;
        slot_forecast forecast;
        service_load sum;
        service_traits traits;
        duration objective{}; ///< to the first event, the shortest of its routes; zero: none

        [[nodiscard]] duration wait_at(const server_entry& row) const
        {
            return this->forecast.wait(row.load(), row.record.slots);
        }
    };

    [[nodiscard]] bool has_slot(const service_state& group, const server_entry& row, bool near,
                                double spread) const;
    [[nodiscard]] bool is_engine(const server_entry& row) const;
    [[nodiscard]] double load_bound_of(const service_state& group, double mean) const;
    [[nodiscard]] duration wait_limit(const service_state& group) const;
    void shuffle_first(std::vector<std::uint64_t>& weights, std::size_t count);
    void mark_slow(service_state& group, instant now) const;
    void share_cold(service_state& group, const fleet_members& members, instant now);
    void mark_failing(service_state& group, const fleet_members& members, instant now);
    void set_failing(server_entry& row, bool failing, instant now);

    /** Takes the row out of the table, and keeps it until it is idle. */
    void retire(server_entry& row);

    std::unordered_map<service_id, service_state> services;
    std::unordered_map<std::uint32_t, server_entry*> by_short_hash;
    std::unordered_map<server_life, server_entry*> by_life;
    server_words words;
    std::minstd_rand random;
};

/** The life of the server that the record tells of. */
server_life life_of(const server_record& record);

/** What requests that share cached tokens have in common: the last part but the request's own.
 * 0 when the prompt has no shared part. */
std::uint64_t affinity_of(std::span<const prompt_part> prompt);

} // namespace worksshift
