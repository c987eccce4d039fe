/** \file
 * The servers as one VM sees them, and the selection of a server for a request.
 *
 * Model engines are selected by rendezvous hashing with bounded loads. The key is the part of the
 * prompt that is shared with other requests, so all VMs compute the same ranking without asking
 * each other, and the tokens of that part are processed once in the whole fleet. The highest-ranked
 * engine below the load bound is taken. Servers of plain services are selected by load, recent
 * response times and data centre.
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
#include "first_event_forecast.h"
#include "fleet_digest.h"
#include "load_estimate.h"
#include "placement_policy.h"
#include "protocol.h"
#include "rejection_limit.h"
#include "server_entry.h"
#include "server_notices.h"
#include "service_reach.h"
#include "slot_forecast.h"
#include "stream_origins.h"
#include "version_history.h"

namespace worksshift {

/** An engine may take a request if its load stays within this multiple of the mean load of its
 * service plus `load_bound_offset` requests. The specified bound is twice the mean plus three; the
 * margin covers requests that other VMs have sent and not yet reported. Raising the values from
 * 1.35 and 2 to these reduced the shared tokens that were processed again on a day without faults
 * from 1.30 to 0.85 million, with unchanged delays of first tokens. */
constexpr double load_bound_multiple = 1.7;
constexpr double load_bound_offset = 2.5; ///< requests
/** A server whose load reaches this share of its load bound is reported to other VMs as busy. */
constexpr double busy_load_share = 0.7;

/** What the selection needs to know of a request. */
struct placement_request {
    service_id service;
    bool engine = false;
    std::uint64_t affinity = 0;       ///< hash of the shared part of the prompt; 0: none
    std::span<const server_id> tried; ///< servers that earlier attempts went to; not selected again
    unsigned priority = 0;            ///< 0 is the most urgent
    std::size_t engines = 1; ///< number of highest-ranked engines that share the prompt's requests
    bool repeatable = false; ///< may be sent to another server if the first attempt fails
    /** Regions in which the request may be served: the route's list and the client account's list.
     * An empty list allows all regions; a region must be allowed by both. */
    std::array<std::span<const region_id>, 2> allowed_regions{};
    /** The only version of the software that may serve it, as it wrote the first events of the
     * stream; std::nullopt: any version may. */
    std::optional<software_version> version{};

    // For admission control, see first_event_forecast.h and plain_admission.h.
    duration objective{};            ///< of its route; zero: the shortest of its service
    duration remaining{};            ///< until its deadline; zero: not known
    std::uint32_t prompt_tokens = 0; ///< all tokens of its prompt
};

/** The selected server, and the figures behind the selection. */
struct placement_result {
    server_entry* row = nullptr; ///< nullptr: no server of the service accepts the request
    std::size_t rank = 0;        ///< of the selected server; 0: the highest-ranked
    std::size_t candidates = 0;
    std::uint32_t load = 0; ///< requests at the selected server, without this one
    double mean_load = 0;
    duration wait{};               ///< forecast waiting time for a slot of the selected server
    bool all_engines_full = false; ///< no engine is below its bounds on load and slot wait
    double expected_s = 0;         ///< expected time to a successful response; plain servers only
    /** Server that probably has the shared part of the prompt cached if the selected one does not;
     * nullptr if there is none. */
    const server_entry* cached_at = nullptr;

    // Forecast of its first event; zero where `first_event_share` is 0.
    duration objective{};  ///< with which the forecast was compared
    duration start_time{}; ///< expected from the slot to the first event
    double fill = 1;       ///< share of the slots that admission fills
};

/** Totals over the engines of a service that accept requests. Engines that are failing,
 * unresponsive, cold or backing off are left out. */
struct service_load {
    std::size_t engines = 0;
    double slots = 0;
    double requests = 0;
    double span_s = 0;                 ///< mean time for which a request occupies a slot
    std::size_t reporting_engines = 0; ///< engines with a current load report of their own
    double age_s = 0;                  ///< mean age of these reports
    double fill = 1; ///< share of the slots to fill so that first events come in time
};

/** The servers that this VM knows, by id, with their load and health. */
class server_table {
public:
    /** \p here: the VM's own data centre. \p seed: of the random numbers, for reproducible runs. */
    explicit server_table(data_centre_id here, unsigned seed = std::random_device{}())
        : here(std::move(here)), random(seed)
    {
    }

    /** Adds or updates the entry of a server. A server that restarted under its id is a new
     * incarnation with a new row; the row of the previous incarnation is kept until the attempts
     * sent to it have ended. A record of an older entry than the known one is ignored. Returns true
     * if the server is new or listed again, or its service or draining state changed. */
    bool put(const server_record& record, instant now = {});
    /** Whether the record is that of an older entry of the server than the known one. */
    [[nodiscard]] bool is_outdated(const server_record& record) const;
    /** The registry no longer lists the server. Returns whether it was listed before. */
    bool remove(const server_id& id);
    /** Another server answered at the address of this one. */
    void mark_replaced(const server_id& id);
    /** A response said that the server is leaving: it will stop. Returns whether this is new. */
    bool mark_leaving(server_entry& row);
    /** Another VM reported that the server is leaving. Returns whether this is new. */
    bool mark_leaving(server_incarnation incarnation);
    /** Incarnations of leaving servers that the registry still lists as ready; at most \p count of
     * them. */
    [[nodiscard]] std::vector<std::uint32_t> leaving_but_listed(std::size_t count) const;
    /** The server rejected a request and asked this VM to send nothing for \p span. */
    void mark_backing_off(server_entry& row, duration span, instant now);
    /** A response of a server of the service, perhaps through another VM, stated the limit of
     * rejections per second that the service's servers survive; std::nullopt: it stated none. */
    void note_rejection_limit(const service_id& service, std::optional<std::uint32_t> limit,
                              instant now);
    /** Another VM refused a request because of the limit. */
    void confirm_rejection_limit(const service_id& service, instant now);
    /** A response of the server stated that requests wait in its queue, beside \p running ones. */
    void note_queue(server_entry& row, std::uint32_t running, instant now);
    /** The server rejected a request because it is full. */
    void on_rejected(server_entry& row, instant now);
    /** An attempt was cancelled whose time limit at the server is \p deadline. The server may work
     * on it for a while. */
    void on_given_up(server_entry& row, instant deadline, instant now);
    /** Applies the rejections and the limit that another VM reports. */
    void apply_rejections(const rejection_report& report, instant now);
    /** Returns the limits that servers stated to this VM just now, and the rejections of its
     * requests since the last call. */
    std::vector<rejection_report> drain_rejections(instant now);
    /** The limits in force, for other VMs. */
    [[nodiscard]] std::vector<service_limit> limits_in_force(instant now) const;
    /** Applies a limit that another VM reported. */
    void apply_limit(const service_limit& reported, instant received_at, instant now);
    /** Computes what this VM may send to servers whose rejections are limited. Called once per
     * tick. \p reporting_vms: VMs whose rejections are known, this one included. */
    void update_rejection_limits(const fleet_members& members, std::size_t reporting_vms,
                                 instant now);
    /** While rejections are limited and this VM has no free slot: VMs of its data centre that may
     * have one, without those \p tried. Empty otherwise. */
    [[nodiscard]] std::vector<std::uint32_t>
    slot_owners(const service_id& service, std::span<const std::uint32_t> tried, instant now) const;
    [[nodiscard]] bool rejections_limited(const service_id& service) const;
    /** A connection to the server was refused or timed out. It may be restarting, so it is treated
     * as cold. */
    void mark_unreachable(server_entry& row, instant now);
    /** A connection to the server was opened. */
    static void mark_reachable(server_entry& row, instant now);
    /** Decides for each service whether this VM is cut off from its servers. Called once per tick.
     * Returns the services for which that changed. */
    std::vector<service_id> update_reach(instant now);
    /** Servers to which a connection should be tried now, see `service_reach`. */
    std::vector<const server_entry*> next_reach_checks(instant now);
    /** Whether the server with this short hash of its id belongs to the service. */
    [[nodiscard]] bool is_of_service(std::uint32_t server, const service_id& service) const;
    /** nullptr if the service has no servers. */
    [[nodiscard]] service_reach* reach_of(const service_id& service);
    /** Number of services from whose servers this VM is cut off. */
    [[nodiscard]] std::size_t services_cut_off() const;
    /** Number of servers to which no connection can be opened. */
    [[nodiscard]] std::size_t unreachable_servers() const;
    /** Number of those that answered another VM since. */
    [[nodiscard]] std::size_t servers_lost_here_only() const;
    /** Sets the data centres whose servers get no new requests, by the low 32 bits of the hashes of
     * their names. */
    void set_evacuated(std::set<std::uint32_t> data_centres, instant now);
    /** Sets the region of each data centre. The region of a data centre not listed is unknown. */
    void set_regions(std::map<data_centre_id, region_id> known);
    void set_traits(const service_id& service, const service_traits& traits);
    /** Compares the recent failure rates of the engines of each service. Called once per tick. An
     * engine that fails much more often than the others is avoided by all VMs except one in each
     * data centre, which sends it an occasional trial request and reports the result to
     * the others. */
    void mark_failing(const fleet_members& members, instant now);
    /** Computes how many requests this VM may send to each cold server. Called once per tick. */
    void update_cold_shares(const fleet_members& members, instant now);
    [[nodiscard]] std::size_t cold_servers(instant now) const;
    /** The earliest time at which a server that is cold or backing off accepts a request of this
     * VM; std::nullopt if no server of the service is in such a state. */
    [[nodiscard]] std::optional<instant> opens_at(const placement_request& wanted,
                                                  instant now) const;
    [[nodiscard]] server_entry* find(const server_id& id);
    /** nullptr if the incarnation is unknown or no longer the current one of its server. */
    [[nodiscard]] server_entry* find(server_incarnation incarnation);
    /** The version of the software that all servers of the service have had for as long as streams
     * can be taken up; std::nullopt if there were several, or if this VM has not known the service
     * for so long. */
    [[nodiscard]] std::optional<software_version> only_version(const service_id& service,
                                                               instant now) const;
    /** Whether servers of the service are known to have had several versions of the software within
     * the time for which streams can be taken up. */
    [[nodiscard]] bool has_had_several_versions(const service_id& service, instant now) const;
    /** Whether a server that seems healthy accepts the request now. */
    [[nodiscard]] bool has_healthy_candidate(const placement_request& wanted, instant now) const;
    /** This VM sends a request to the server. */
    static void on_sent(server_entry& row, instant now);
    /** Selects a server for the request. */
    placement_result choose(const placement_request& wanted, instant now);
    /** A request occupied a slot of the server for \p span. */
    void on_finished(const server_entry& row, duration span)
    {
        // The forecast holds the span at the usual pace, so that it applies to all servers.
        this->services[row.record.service].forecast.on_finished(
            std::chrono::duration_cast<duration>(span / row.expected_pace));
    }
    /** An engine sent a first event. One that is slow compared to the others gives no sample: the
     * selection avoids it, and the others need not fill fewer slots because of it. */
    void on_first_event(const server_entry& row, const first_event_sample& sample)
    {
        if (!row.slow) this->services[row.record.service].first_events.on_first_event(sample);
    }
    /** Target for the time until an engine sends the first event of a response. */
    void set_objective(const service_id& service, duration objective)
    {
        this->services[service].objective = objective;
    }
    // For admission to plain services, see plain_admission.h.
    /** Zero if none is set. */
    [[nodiscard]] duration objective_of(const service_id& service) const;
    /** The servers of the service that accept requests. */
    [[nodiscard]] std::vector<server_entry*> accepting_servers(const service_id& service) const;
    placement_policy policy;
    /** What the specified bound on requests to cold servers allows. */
    cold_tolerance cold_request_tolerance;
    /** Totals as of the last call of `sum_loads`. */
    [[nodiscard]] service_load load_of(const service_id& service) const;
    /** Computes the load totals of each service. Called once per tick. */
    void sum_loads(instant now);
    /** Servers near their load bound, which are reported to other VMs first. */
    [[nodiscard]] std::vector<const server_entry*> busy() const;
    /** Applies the load of a server that another VM received from it. */
    void apply_reported_load(const reported_load& report, instant received_at);
    /** Returns the loads that servers reported to this VM since the last call, the newest first. */
    std::vector<reported_load> drain_reported_loads(instant now);
    /** An attempt at a server ended. \p failed: without a usable response. */
    static void on_attempt_ended(server_entry& row, duration span, bool failed, instant now);
    /** Applies the results that another VM reports of its attempts at a server. \p covered: the
     * time before \p now in which they were obtained. */
    void apply_outcomes(const outcome_counts& report, instant now, duration covered = {});
    /** Returns the results of this VM's attempts since the last call, servers with the most
     * failures first. Engines without recent failures are left out to save bandwidth. */
    std::vector<outcome_counts> drain_outcomes();
    /** This VM's requests in flight at the engines of each service, for other VMs. */
    [[nodiscard]] std::vector<service_requests> requests_in_flight(instant now) const;
    /** Estimates how much of the reported loads remains. Called several times per second. \p peers:
     * what the other VMs of the data centre reported last, one entry per VM and service. */
    void update_load_estimates(std::span<const service_requests> peers, instant now);
    /** Stops using reported loads older than `reported_load_lifetime`. Called once per tick. */
    void expire_reported_loads(instant now);
    /** Marks engines with recent delays far above those of the others. Called once per tick. */
    void mark_slow(instant now);
    /** A response of the server stated its pace. */
    static void note_pace(server_entry& row, double figure, instant now);
    /** Computes the expected paces and marks the servers that are slow. Called once per tick,
     * before `sum_loads`. */
    void update_paces(instant now);
    /** Mean pace of each service whose servers state it. */
    [[nodiscard]] std::map<service_id, double> mean_paces() const;
    [[nodiscard]] std::size_t slow_servers() const;
    /** Removes rows that are no longer listed and have no request in flight, and expired back-off
     * periods. */
    void sweep(instant now = {});

    /** Until then the fleet is so new that no stream can have begun at a version that is not seen;
     * the epoch: the fleet is not new. */
    instant fleet_is_new_until{};
    /** When the loads reported by the other VMs were last summed up. */
    instant peers_summed_at{};

    [[nodiscard]] std::map<server_id, server_entry>& rows() { return this->table; }
    [[nodiscard]] const std::map<server_id, server_entry>& rows() const { return this->table; }

private:
    using row_list = std::vector<server_entry*>;
    struct service_state;
    /** Servers that a request may be sent to now. */
    struct candidate_list {
        row_list rows;
        double mean_load = 0; ///< also over servers that are cold or backing off
        /** The mean is estimated to be lower than that of the known loads. */
        bool mean_is_lowered = false;
    };

    [[nodiscard]] candidate_list candidates(const placement_request& wanted, instant now) const;
    placement_result choose_engine(const placement_request& wanted, const candidate_list& open,
                                   instant now);
    [[nodiscard]] bool is_open(const service_state& group, const server_entry& row,
                               instant now) const;
    /** Whether the regions allowed for the request include the server's region, and the server has
     * the version that the request needs. */
    static bool is_allowed(const server_entry& row, const placement_request& wanted);
    static bool may_serve(const server_entry& row, const placement_request& wanted);
    void update_cold(server_entry& row, bool restarted, instant now);
    static void mark_cold(server_entry& row, milliseconds span, std::string_view cause,
                          instant now);
    [[nodiscard]] const server_entry* find_cached(const placement_request& wanted,
                                                  const server_entry& chosen, instant now) const;

    data_centre_id here;
    using row_map = std::map<server_id, server_entry>;
    row_map table; ///< references to rows stay valid while other rows are added or removed
    std::map<data_centre_id, region_id> regions;
    std::set<std::uint32_t> evacuated;
    /** Rows of previous incarnations of restarted servers, kept until the attempts sent to them
     * have ended. */
    std::vector<row_map::node_type> retired;
    /** The servers of one service and their shared state. */
    struct service_state {
        row_list rows;
        slot_forecast forecast;
        first_event_forecast first_events;
        load_estimate estimate;
        service_reach reach;
        rejection_limit limit;
        bool rejections_limited = false;        ///< `limit` was in force when last checked
        std::vector<std::uint32_t> slot_owners; ///< other VMs that may use some, by address
        std::uint32_t own_slots = 0;            ///< sum of the shares of this VM
        std::size_t vms = 1;                    ///< of the fleet
        std::size_t reporting_vms = 1;          ///< whose rejections are known
        service_load sum;
        version_history versions;
        service_traits traits;
        duration objective{}; ///< time to the first event, shortest of its routes; zero: none

        [[nodiscard]] double rejections_at(const server_entry& row, instant now) const;
        [[nodiscard]] duration wait_at(const server_entry& row) const
        {
            return this->wait_at(row, row.load());
        }
        /** Mean time for which a request holds a slot of the server. */
        [[nodiscard]] duration span_at(const server_entry& row) const
        {
            return std::chrono::duration_cast<duration>(row.expected_pace * this->forecast.span());
        }
        /** Forecast at \p load: a slow server frees its slots more slowly. */
        [[nodiscard]] duration wait_at(const server_entry& row, double load) const
        {
            return std::chrono::duration_cast<duration>(
                row.expected_pace * this->forecast.wait(load, row.record.slots));
        }
    };

    // Limits of rejections, in server_table_rejections.cpp.
    void update_rejections_limited(const service_id& service, service_state& group, instant now);
    void divide_slots(const service_id& service, service_state& group, instant now) const;
    static bool has_room(const service_state& group, const server_entry& row, instant now);

    [[nodiscard]] bool has_slot(const service_state& group, const server_entry& row,
                                bool high_ranked, double spread, duration limit) const;
    [[nodiscard]] bool is_engine(const server_entry& row) const;
    [[nodiscard]] double load_bound_of(const service_state& group, double mean) const;
    static load_estimate::sample count_in_flight(const service_state& group, instant now);
    static double raise_to_least_loaded(double bound, std::span<server_entry* const> rows);
    [[nodiscard]] duration wait_limit(const service_state& group) const;
    [[nodiscard]] duration wait_limit(const service_state& group,
                                      const placement_result& forecast) const;
    void forecast_first_event(service_state& group, const placement_request& wanted,
                              placement_result& result, instant now) const;
    void shuffle_highest(std::vector<std::uint64_t>& weights, std::size_t count);
    void mark_slow(service_state& group, instant now) const;
    void update_paces(service_state& group, instant now) const;
    void update_cold_shares(service_state& group, const fleet_members& members, instant now);
    void mark_failing(service_state& group, const fleet_members& members, instant now);
    void set_failing(server_entry& row, bool failing, instant now);
    void observe_versions(service_state& group, instant now) const;

    /** Moves the row of a previous incarnation from the table to `retired`. */
    void retire(server_entry& row);

    std::unordered_map<service_id, service_state> services;
    std::unordered_map<std::uint32_t, server_entry*> by_short_hash;
    std::unordered_map<server_incarnation, server_entry*> by_incarnation;
    server_notices notices;
    fleet_members members; ///< among which slots are divided while rejections are limited
    std::minstd_rand random;
};

/** Standard deviation of the change in an engine's load since it was reported, with arrivals taken
 * as a Poisson process. */
double load_deviation(const service_load& load);

/** Standard deviation, in requests, up to which the known loads decide how many requests may queue
 * at an engine. In a fleet of 80 VMs with older loads, reducing the queues by the deviation lowered
 * the value in a wave of long prompts from 0.43 to 0.35. */
constexpr double max_exact_deviation = 2.8;
/** Whether the forecast of first events is in use and the loads are known well enough for it. */
bool loads_are_exact(const service_load& load, const placement_policy& policy);

/** The incarnation of the server that the record describes. */
server_incarnation incarnation_of(const server_record& record);

/** Hash by which requests that share cached tokens are recognized: the id of the last part before
 * the request's own, or of the only part. 0 if the prompt is empty. */
std::uint64_t affinity_of(std::span<const prompt_part> prompt);

} // namespace worksshift
