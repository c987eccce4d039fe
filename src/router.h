/** \file
 * One worksshift-router process: callers on one side, servers on the other, the platform's store
 * and the other VMs beside.
 *
 * The tick runs named passes over the tables; requests and pieces of answers pass at once.
 */
#pragma once

#include <functional>

#include "caller_links.h"
#include "config_follower.h"
#include "evacuation_follower.h"
#include "fleet_gossip.h"
#include "metrics.h"
#include "registry_follower.h"
#include "request_path.h"
#include "router_settings.h"
#include "server_links.h"
#include "server_table.h"
#include "suspension.h"
#include "watch_duty.h"

namespace worksshift {

class router {
public:
    /** Reads the settings anew; throws user_error when they are wrong. */
    using settings_source = std::function<router_settings()>;

    router(router_settings options, const protocol& dialect, settings_source reload);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    /** Runs until a stop is complete. Returns the exit status: 0 when nothing was cut off. */
    int run();

private:
    void tick();
    void connect_signals();
    void apply_placement();
    void start_serving();
    void check_suspension();
    void follow_store(instant now);
    void take_peer_loads(instant now);
    void divide_work(instant now);
    void tell_suspects(instant now);
    double demand_multiple(std::size_t alive, instant now);
    own_state describe_self(instant now);
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

    router_settings options;
    const protocol& dialect;
    settings_source reload;
    event_ptr<event_base> base;
    metrics numbers;
    server_table servers;
    caller_links callers;
    server_links links;
    request_path path;
    fleet_gossip gossip;
    http_caller caller;
    watch_duty duty;
    config_follower configuration;
    registry_follower registry;
    evacuation_follower evacuations;
    event_ptr<evhttp> peer_http;
    event_ptr<evhttp> readiness_http;
    event_ptr<evhttp> metrics_http;
    timer ticker;
    signal_watch on_term;
    signal_watch on_int;
    signal_watch on_hup;

    suspension_watch suspensions;
    bool loads_changed = false; ///< a digest came since the loads were added up
    instant summed_at{};
    instant divided_at{};
    fleet_members members; ///< as of then
    instant suspects_told_at{};
    instant routable_since{};  ///< configuration and servers are known since
    std::string settings_text; ///< of the file, as last read
    instant settings_read{};
    bool serving = false; ///< configuration and servers are known
    bool stopping = false;
    instant stop_since{};
    int exit_status = 0;
};

} // namespace worksshift
