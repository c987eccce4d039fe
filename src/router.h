/** \file
 * One worksshift-router process. Connects the modules that serve callers, forward requests to
 * servers, follow the platform's store and exchange digests with the other VMs.
 *
 * Requests and response data are handled as they arrive. Everything else runs in a periodic tick,
 * as a fixed sequence of passes over the tables.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "caller_connections.h"
#include "config_follower.h"
#include "datagram_socket.h"
#include "evacuation_follower.h"
#include "fleet_gossip.h"
#include "http_listener.h"
#include "metrics.h"
#include "process.h"
#include "registry_follower.h"
#include "request_path.h"
#include "router_settings.h"
#include "server_connections.h"
#include "server_table.h"
#include "store_path_check.h"
#include "suspension.h"
#include "version_log_client.h"
#include "watcher_selection.h"

namespace worksshift {

/** Owns the event loop and all modules of the process. */
class router {
public:
    /** Reads the settings again. \throws user_error when they are invalid. */
    using settings_source = std::function<router_settings()>;

    router(router_settings settings, const protocol& adapter, settings_source reload);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    /** Runs until shutdown is complete. Returns the exit status: 0 unless requests were cut off. */
    int run();

private:
    void tick();
    void connect_signals();
    void apply_placement();
    void start_serving();
    void apply_limits(const fleet_vm& from);
    void check_suspension();
    void follow_store(instant now);
    void update_version_log(instant now);
    void update_peer_loads(instant now);
    void update_load_estimates(instant time);
    void update_server_assignments(instant now);
    void enable_relay();
    void receive_origin(std::uint32_t from, std::string_view bytes);
    [[nodiscard]] std::optional<std::uint32_t> find_serving_vm(const service_id& service) const;
    void update_relay_vms(instant now);
    void announce_suspects(instant now);
    bool check_store_path(bool needed, instant now);
    double fleet_demand_ratio(std::size_t alive, instant now);
    local_state build_local_state(instant now);
    [[nodiscard]] std::unique_ptr<http_listener> listen_http(const link_address& at,
                                                             const char* purpose, std::size_t part);
    void serve_peers();
    void serve_readiness();
    void serve_metrics();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] std::string status_text() const;
    void check_settings_file(instant now);
    void reload_settings(std::string_view cause);
    void stop();
    void continue_stop(instant now);
    void end_requests();

    router_settings options;
    const protocol& adapter;
    settings_source reload;
    event_ptr<event_base> base;
    metrics telemetry;
    server_table servers;
    caller_connections callers;
    server_connections connection_pool;
    server_connections vm_connections; ///< for requests that other VMs relay
    request_path path;
    fleet_gossip gossip;
    std::optional<datagram_socket> origin_socket; ///< for `origin_exchange`, at the relay port
    http_client client;
    watcher_selection watch_role;
    store_path_check path_check;
    std::uint64_t path_checks = 0; ///< calls made
    bool reads_store = false;      ///< the store answers linearizable watches of this VM
    config_follower configuration;
    registry_follower registry;
    evacuation_follower evacuations;
    version_log_client version_history;
    std::unique_ptr<http_listener> peer_http;
    std::unique_ptr<http_listener> readiness_http;
    std::unique_ptr<http_listener> metrics_http;
    timer ticker;
    signal_handler on_term;
    signal_handler on_int;
    signal_handler on_hup;

    suspension_detector suspensions;
    heap_trimmer heap;
    bool loads_changed = false; ///< a digest arrived since the peer loads were last summed
    instant loads_summed_at{};
    instant servers_assigned_at{};
    fleet_members members; ///< of the last update of the server assignments
    instant suspects_announced_at{};
    /** Since when configuration and servers have been known; the epoch: not yet. */
    instant routable_since{};
    std::string settings_text; ///< content of the settings file when last read
    instant settings_checked_at{};
    bool serving = false; ///< requests are being routed
    int exit_status = 0;
};

} // namespace worksshift
