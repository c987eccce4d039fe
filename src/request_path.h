/** \file
 * Request processing: resolves route and account, selects a server, sends and retries attempts, and
 * answers the caller.
 *
 * Two invariants hold throughout. A request that may have run is sent again only if its route
 * allows it, within the route's number of attempts and the fleet's retry budget. "Not run" (503) is
 * returned only for a request that provably ran nowhere; other failures are a 502 or 504.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission.h"
#include "caller_connections.h"
#include "crash_suspects.h"
#include "fleet_retry_budget.h"
#include "graceful_stop.h"
#include "live_request.h"
#include "metrics.h"
#include "origin_exchange.h"
#include "relay_selection.h"
#include "server_connections.h"
#include "server_table.h"

namespace worksshift {

/** Upper limit on sends of one request, including refused ones, independent of its route. */
constexpr unsigned max_sends_per_request = 4;
/** A repeatable request is retried on another server when its server has sent nothing for this
 * multiple of the route's latency objective, and for at least `min_silence_timeout`. */
constexpr int silence_timeout_objective_multiple = 2;
constexpr duration min_silence_timeout = milliseconds(600);
/** No retry when less time than this remains until the deadline: it could not complete in time. */
constexpr duration min_remaining_time_to_retry = milliseconds(60);
/** Body bytes of a non-streaming response that are buffered until it is complete, so that a broken
 * response can still be retried or reported as an error. Larger bodies are forwarded as they
 * arrive. */
constexpr std::size_t max_buffered_response_bytes = std::size_t{64} * 1024;
/** Minimum Retry-After when a request fails without having run: about the time in which a short
 * burst is drained. */
constexpr duration refusal_retry_after = milliseconds(400);
/** Retry-After of responses sent while this VM has no configuration. */
constexpr duration no_config_retry_after = milliseconds(500);
/** How long requests that arrive before the first configuration wait for it. It arrives 45 ms after
 * the process starts; a refused caller would retry only after half a second. */
constexpr duration first_config_timeout = milliseconds(300);

/** Retry-After of requests that come too late in a shutdown: another VM can take them at once. */
constexpr duration stop_retry_after = milliseconds(20);

/** Reason for refusing a request of another VM while the slots of its service are divided among the
 * VMs, and this one has none free. */
constexpr std::string_view no_slot_reason = "no free slot";

/** Maximum number of requests of other VMs in progress here. Further ones are refused, and relayed
 * through other VMs. They take about 20 KB each. */
constexpr std::size_t max_relayed_requests = 512;

class request_path {
public:
    request_path(caller_connections& callers, server_connections& servers, server_table& table,
                 const protocol& adapter, metrics& telemetry);
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;
    request_path(request_path&&) = delete;
    request_path& operator=(request_path&&) = delete;

    /** Relays requests over \p connections while this VM is cut off from the servers. \p port: at
     * which the other VMs accept them. */
    void enable_relay(server_connections& connections, std::uint16_t port);
    /** The VMs through which requests may be relayed. */
    void set_relay_vms(std::vector<relay_vm> vms) { this->relay_vms.set_vms(std::move(vms)); }
    /** Number of requests that have arrived. */
    [[nodiscard]] std::uint64_t arrivals() const { return this->arrived; }
    /** Requests of other VMs in progress. */
    [[nodiscard]] std::size_t relayed() const { return this->relayed_in_progress; }

    void set_config(router_config_ptr new_config);
    void set_retry_budget(const fleet_retry_settings& settings)
    {
        this->budget_settings = settings;
    }
    void set_fleet_size(const fleet_size& size) { this->fleet = size; }

    /** The VM was suspended for \p span, which the clock used for deadlines did not count. */
    void on_suspended(duration span);
    /** A new process has written the server's entry. */
    void on_server_restarted(const server_id& server);
    /** Expires requests past their deadline and retries repeatable requests of unresponsive
     * servers. */
    void tick(instant now);
    [[nodiscard]] admission& admissions() { return this->admission_control; }
    /** The shutdown of this VM. */
    [[nodiscard]] graceful_stop& shutdown() { return this->stop; }
    [[nodiscard]] const graceful_stop& shutdown() const { return this->stop; }
    /** Requests suspected of crashing servers, as known to this VM. */
    [[nodiscard]] crash_suspects& suspects() { return this->suspect_contents; }
    [[nodiscard]] const crash_suspects& suspects() const { return this->suspect_contents; }
    /** What is known of the streams that callers may take up again. */
    [[nodiscard]] origin_exchange& stream_versions() { return this->origins; }
    [[nodiscard]] const origin_exchange& stream_versions() const { return this->origins; }
    /** Address of another VM that got answers from servers of the service recently; std::nullopt if
     * none is known. */
    std::function<std::optional<std::uint32_t>(const service_id&)> find_serving_vm =
        [](const service_id&) { return std::nullopt; };
    /** Whether this VM is the one that makes trial sends of the blocked content. */
    std::function<bool(content_key)> is_trial_vm = [](content_key) { return false; };
    /** Finds out the only software version that servers of the service have had since a stream that
     * is taken up by the request can have begun. The result is passed to `on_only_version`, later
     * or at once. */
    std::function<void(const service_id&, std::uint64_t request)> ask_only_version =
        [this](const service_id&, std::uint64_t request) {
            this->on_only_version(request, std::nullopt);
        };
    /** \p version: std::nullopt if there were several or it is not known. */
    void on_only_version(std::uint64_t request, std::optional<software_version> version);
    [[nodiscard]] std::size_t active() const { return this->requests.size(); }
    /** Ends all requests, as the process is about to exit: callers learn that theirs was not run,
     * or that its response is lost. Returns their number. */
    std::size_t end_requests();

private:
    void on_request(caller_request incoming);
    static void update_charge(live_request& request);
    void begin(live_request& request);
    bool resolve_route(live_request& request);
    [[nodiscard]] bool refuse_late(live_request& request);
    void dispatch(live_request& request);
    void on_no_server(live_request& request, const no_server& none);
    [[nodiscard]] static placement_request placement_of(const live_request& request);
    [[nodiscard]] bool has_alternative(const live_request& request, instant now);
    [[nodiscard]] bool is_blocked(live_request& request);
    bool refuse_blocked(live_request& request, content_key key, const block_state& state);
    void cancel_blocked(instant time);
    void note_begun(live_request& request, instant time);
    [[nodiscard]] bool is_suspect(const live_request& request, instant time) const;
    void record_broken_attempt(live_request& request, const server_record& server,
                               const attempt_outcome& end, instant time);
    void on_server_checked(server_incarnation server, check_result result);
    void refuse(live_request& request, const retry_later& refusal);
    void count_decision(const live_request& request, std::string_view decision);
    void send(live_request& request, const placement_result& placement);
    void on_response_head(std::uint64_t attempt, const http_head& head,
                          const response_metadata& metadata);
    void apply_server_hints(const live_request& request, int status,
                            const response_metadata& metadata);
    void begin_attempt_response(live_request& request, const http_head& head);
    void on_response_body(std::uint64_t attempt, std::string_view bytes);
    void forward_body(live_request& request, std::string_view bytes);
    void record_first_event(const live_request& request);
    void on_attempt_end(const attempt_outcome& end);
    void count_malformed(std::string_view from);
    void record_outcome(const live_request& request, const attempt_outcome& end, instant time);
    void abandon_silent_attempt(live_request& request, instant time);
    void cancel_attempt(live_request& request, instant time);
    [[nodiscard]] std::vector<live_request*> requests_in_progress() const;
    void finish_answer(live_request& request);
    void send_answer(live_request& request);
    void on_refused_attempt(live_request& request, const attempt_outcome& end);
    void retry_or_fail(live_request& request, bool may_have_run, const char* step,
                       const std::string& detail);
    void retry_elsewhere(live_request& request, const char* step, const std::string& detail);
    [[nodiscard]] bool may_retry(live_request& request, bool may_have_run);
    void fail(live_request& request, const char* step, const std::string& detail);
    void respond_locally(live_request& request, int status, std::string text,
                         duration retry_after = {});
    void release(live_request& request);
    void end(live_request& request, std::string_view outcome, int status);
    void on_caller_disconnected(std::uint64_t request_id);

    // Slow readers and endless responses, in request_path_output.cpp.
    void connect_output_signals();
    live_request* find_open(std::uint64_t request_id);
    void pause_attempt(live_request& request);
    void resume_attempt(live_request& request);
    void on_slow_client(live_request& request, const client_output& output,
                        slow_client_reason reason);
    void take_body(live_request& request, std::string_view bytes);
    void release_bodies(std::size_t needed);
    [[nodiscard]] bool may_release_body(const live_request& request) const;
    [[nodiscard]] static bool may_be_forwarded(const live_request& request);
    void check_progress(live_request& request, instant now);
    void abandon_endless_attempt(live_request& request, std::string_view reason, instant now);

    [[nodiscard]] duration silence_timeout(const live_request& request, instant now) const;
    void check_silence(live_request& request, instant now);
    void on_deadline(live_request& request);
    live_request* find_attempt(std::uint64_t attempt);
    static bool is_not_run_status(int status);
    static std::uint64_t attempt_id_of(const live_request& request);

    // Relaying, in request_path_relay.cpp.
    [[nodiscard]] bool relay(live_request& request);
    [[nodiscard]] bool relay_for_slot(live_request& request, instant now);
    void send_to_vm(live_request& request, std::uint32_t vm);
    void on_relay_head(std::uint64_t attempt, http_head head, const response_metadata& metadata);
    void on_relay_end(const attempt_outcome& end);
    void pass_on_refusal(live_request& request);
    void release_relay(live_request& request, relay_result result);
    void cancel_relay(live_request& request, relay_result result);
    void accept_relayed(live_request& request);
    [[nodiscard]] std::string lost_servers(const service_id& service) const;
    void apply_answered_servers(const std::string& list, instant now);
    [[nodiscard]] std::string answered_servers(const live_request& request) const;
    [[nodiscard]] bool refuse_relayed(live_request& request);
    void respond_not_served(live_request& request, std::string reason);
    void add_relay_headers(const live_request& request, http_head& head) const;
    void check_reach(instant now);

    // Streams that are taken up again, in request_path_resume.cpp.
    [[nodiscard]] bool resolve_version(live_request& request);
    void find_only_version(live_request& request);
    void on_stream_version(stream_key stream, std::optional<software_version> version);
    void require_version(live_request& request, std::optional<software_version> version,
                         std::string_view source);
    [[nodiscard]] bool has_certain_version(const live_request& request) const;
    void begin_stream(live_request& request);
    [[nodiscard]] bool has_wrong_version(const live_request& request, int status) const;

    void log_attempt(const live_request& request, std::string_view outcome, std::string_view step,
                     std::string_view detail);

    caller_connections& callers;
    server_connections& servers;
    server_table& table;
    admission admission_control;
    graceful_stop stop;
    crash_suspects suspect_contents;
    const protocol& adapter;
    metrics& telemetry;
    router_config_ptr config;
    fleet_retry_settings budget_settings;
    fleet_size fleet;
    std::unordered_map<std::uint64_t, std::unique_ptr<live_request>> requests;
    std::map<service_id, fleet_retry_budget> budgets;
    std::vector<std::uint64_t> finished;        ///< erased in the next tick
    std::vector<std::uint64_t> awaiting_config; ///< requests that wait for the first configuration
    origin_exchange origins;
    /** Requests that wait for the version that began their stream. */
    std::multimap<stream_key, std::uint64_t> awaiting_version;
    server_connections* relay_connections = nullptr; ///< to other VMs; nullptr: no relaying
    std::uint16_t relay_port = 0;
    relay_selection relay_vms;
    std::size_t relayed_in_progress = 0; ///< requests of other VMs
    std::uint64_t arrived = 0;           ///< requests, also those of other VMs
};

} // namespace worksshift
