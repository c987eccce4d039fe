/** \file
 * One worksshiftd process: connects sockets, timers and signals to the decisions of `node`.
 */
#pragma once

#include "config_writer.h"
#include "engine_client.h"
#include "gossip_socket.h"
#include "graceful_stop.h"
#include "http_frontend.h"
#include "link_hub.h"
#include "node.h"
#include "process.h"
#include "server_calls.h"
#include "settings.h"

namespace worksshift {

class admin_api;

class daemon {
public:
    explicit daemon(const settings& process_settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /** Runs until a stop is complete. Returns the process's exit status: 0 if no work was aborted,
     * 1 otherwise. */
    int run();

private:
    void connect_signals();
    void release_memory();
    void schedule_tick();
    void tick();
    void execute(const action& next_action);
    void execute_one(const send_message& command);
    void execute_one(const start_call& command);
    void execute_one(const cancel_call& command);
    void execute_one(const bind_attempt& command);
    void execute_one(const complete_request& command);
    void execute_one(const fail_request& command);
    void execute_one(const replay_request& command);
    void execute_one(const drop_request& command);
    void release_request(std::uint64_t request);
    void execute_one(const object_call& command);
    void execute_one(const start_order& order);

    void send(const vm_id& to, link_message message);
    void receive(const vm_id& from, link_message message);
    void accept_request(accepted_request accepted);
    void refuse_late(const request_row& row, instant time);
    void return_credit(std::uint64_t request, std::uint32_t bytes);

    void start_discovery();
    void list_vms();
    void watch_config();
    void handle_manifest(const object_result& result);
    void poll_loads();
    void poll_load(const gate_row& gate);

    void stop();
    void continue_stop(instant time);
    void end_requests();
    std::string format_metrics() const;

    settings options;
    event_ptr<event_base> base;
    authenticator auth;
    metrics telemetry;
    node core;
    link_hub links;
    gossip_socket gossip;
    memory_account memory; ///< of what callers and operators hold
    heap_trimmer heap;
    http_frontend front;
    server_calls calls;
    http_client http;
    engine_client engines;
    platform_client platform;
    shard_fetcher fetcher;
    config_writer writer;
    std::unique_ptr<admin_api> admin;

    timer next_tick;
    timer tick_timer;
    timer vm_list_timer;
    timer load_poll_timer;
    timer watch_timer;
    signal_handler on_term;
    signal_handler on_int;

    std::unordered_map<std::uint64_t, bool> streams; ///< whether the request asked for a stream
    /** Bytes written to the caller of each request and not yet returned to the gate as credit. */
    std::unordered_map<std::uint64_t, std::uint32_t> credits;
    std::uint64_t manifest_version = 0;
    std::uint64_t published_revision = 0; ///< of the configuration that `front` uses
    bool watch_in_flight = false;
    bool tick_scheduled = false;
    graceful_stop shutdown;
    instant busy_at{}; ///< when a stopping VM last accepted connections or had work in progress
    int exit_status = 0;
};

} // namespace worksshift
