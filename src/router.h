/** \file
 * One worksshift-router process: callers on one side, servers on the other, the platform's store
 * and the other VMs beside.
 *
 * The tick runs named passes over the tables; requests and pieces of answers pass at once.
 */
#pragma once

#include <functional>

#include "caller_links.h"
#include "fleet_gossip.h"
#include "metrics.h"
#include "object_watch.h"
#include "registry_follower.h"
#include "request_path.h"
#include "router_settings.h"
#include "server_links.h"
#include "server_table.h"

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
    void follow_store();
    void start_serving();
    void take_config_document(const std::string& document, std::string_view source);
    void take_digest(const fleet_gossip::peer& from);
    void sum_peer_loads(instant now);
    void describe_self(fleet_digest& digest) const;
    void fetch_config(instant now);
    void spread_config_watch(instant now);
    void serve_peers();
    void serve_readiness();
    void serve_metrics();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string metrics_text() const;
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
    object_watch config_watch;
    registry_follower registry;
    event_ptr<evhttp> peer_http;
    event_ptr<evhttp> readiness_http;
    event_ptr<evhttp> metrics_http;
    timer ticker;
    signal_watch on_term;
    signal_watch on_int;
    signal_watch on_hup;

    router_config_ptr config;
    bool loads_changed = false;
    instant summed_at{};
    std::uint64_t newest_heard = 0; ///< version of the configuration at another VM
    instant newer_since{};
    bool fetching = false;
    std::string settings_text; ///< of the file, as last read
    instant settings_read{};
    bool serving = false; ///< configuration and servers are known
    bool stopping = false;
    instant stop_since{};
    int exit_status = 0;
};

} // namespace worksshift
