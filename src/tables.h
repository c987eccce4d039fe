/** \file
 * The state of one node, the events it consumes and the actions it produces.
 *
 * Entities are rows of tables; systems (one file each, listed in node.cpp) process them each tick.
 * A system consumes its events from the inbox, updates rows and appends actions to the outbox.
 * Nothing here opens a socket or reads a clock, so the daemon and the tests run the same code.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "account_quota.h"
#include "breaker.h"
#include "chat_directory.h"
#include "claims.h"
#include "engine_orders.h"
#include "fair_queue.h"
#include "fleet_config.h"
#include "fleet_lease.h"
#include "gate_share.h"
#include "messages.h"
#include "retry_budget.h"

namespace worksshift {

/** Times of one tick. The wall clock is used only for the age of servers and claims. */
struct tick_time {
    instant now{};
    std::uint64_t unix_s = 0;
};

/** Limits and tuning parameters of a node; see docs/operate/settings.md. */
struct node_settings {
    std::size_t queue_capacity = 256;               ///< requests waiting at one gate, at most
    duration max_queue_wait = seconds(10);          ///< in a gate's queue
    std::size_t chat_capacity = 100'000;            ///< entries of the chat directory
    duration max_chat_age = std::chrono::hours(12); ///< entries without a newer turn expire
    std::uint64_t ramp_time_s = 600;                ///< see `server_config::added_at_s`
    duration load_interval = milliseconds(250);     ///< between load summaries
    std::size_t max_hops = 4;                       ///< refusals after which gates queue a request
    std::size_t max_tries = 3;            ///< attempts of one request, not counting redirects
    double max_ejected_share = 0.34;      ///< of a service's servers, that breakers may exclude
    std::size_t claims_per_slice = 256;   ///< see claim_slices.h
    std::size_t max_concurrent_loads = 4; ///< model versions loading at a time, over all engines
    bool balance_new_chats = true;
    bool remember_chats = true;
};

/** The caller's request as it is forwarded to a server. */
struct request_payload {
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::string body;
};

/** Entry role: a request between its arrival and its final response. */
struct request_row {
    std::uint64_t id = 0;
    std::string request_id;
    service_id service;
    client_account_id account;
    chat_key chat{};
    bool returning = false;
    bool idempotent = true;
    std::string claim_key; ///< empty without an idempotency key
    std::uint64_t fingerprint = 0;
    priority urgency = priority::interactive;
    instant deadline{};
    std::uint32_t cost = 1;
    std::shared_ptr<const request_payload> payload;

    attempt_id attempt;
    server_id server;
    vm_id gate;
    std::vector<server_id> tried;
    std::size_t hops = 0; ///< refusals since the last retry of an ended attempt
    std::size_t tries = 0;
    bool directed = false;
    bool claimed = false;
    attempt_id claim_holder;   ///< the attempt that claimed the key
    bool may_have_run = false; ///< an earlier attempt ended with outcome `unknown`
    bool resumed = false;      ///< the caller has received the first `resume_from` tokens
    std::uint32_t resume_from = 0;
    std::string version;                    ///< of the model that generated the response so far
    std::uint64_t quota_tokens_charged = 0; ///< tokens charged to the account's rate
    std::string last_step; ///< of the latest refusal, reported in the final response
    std::string last_peer;
};

/** A request in flight at a server. */
struct running_attempt {
    attempt_id id;
    vm_id entry;
    client_account_id account;
    std::uint32_t cost = 0;
    std::string version; ///< of the model; may be empty
};

/** Load as reported by a server. */
struct load_report {
    server_id server;
    std::uint32_t running = 0;
    instant sent{}; ///< when the report was requested
    std::uint32_t own_running_at_request = 0;
    engine_versions versions;
};

/** Gate role: a server of which this VM is, was or may become the gate. */
struct gate_row {
    server_id server;
    service_id service;
    double share = 0;
    instant first_since{}; ///< when this VM became the highest ranked for the server
    bool is_first_ranked = false;
    instant leased_since{}; ///< start of the current lease; the epoch: no lease is held
    instant reported_at{};  ///< when the latest load report was requested
    std::unordered_map<attempt_id, running_attempt> running;
    std::uint64_t cost = 0;            ///< of `running`
    std::uint32_t foreign_running = 0; ///< requests in flight at the server that other gates sent
    fair_queue queue{0};
    std::unordered_map<attempt_id, std::shared_ptr<const open_attempt>> queued_attempts;
    std::unordered_map<attempt_id, vm_id> queued_entry_vms;
    breaker circuit_breaker;
    engine_versions versions;     ///< as last reported
    double served_cost_per_s = 0; ///< service rate while busy, smoothed; cost tokens per second
    instant busy_since{};
    double served_cost = 0;
};

/** A configured server, as every VM knows it. */
struct server_row {
    server_config config;
    service_id service;
    std::vector<vm_id> gates; ///< the highest ranked VMs that are not dead, in rank order
    load_summary load;
};

/** A service, with data precomputed for placement. */
struct service_row {
    service_config config;
    std::vector<server_id> servers;
    std::vector<std::uint64_t> hashes; ///< of `servers`, for rendezvous hashing
    std::vector<std::size_t> mature;   ///< indices of servers that get returning chats
    std::vector<std::uint64_t> mature_hashes;
    retry_budget retries;
};

/** A claim request without a reply so far. */
struct pending_claim {
    std::uint64_t request = 0;
    claim_request message;
    instant sent{};
};

template <class Message>
struct from_peer {
    vm_id from;
    Message message;
};

/** The end of an attempt of this entry, and what had been forwarded to the caller by then. */
struct attempt_result {
    attempt_ended end;
    bool head_forwarded = false; ///< the response head was sent to the caller
    bool resumable = false; ///< the forwarded part ends on a token boundary and can be continued
    std::uint32_t tokens_forwarded = 0;
    std::uint16_t status = 0;
    std::string body;    ///< of a short response, to be recorded with a claim
    std::string version; ///< of the model that generated the forwarded part; may be empty
};

/** The end of a call to a server. */
struct call_ended {
    attempt_id id;
    outcome result = outcome::unknown;
    bool server_fault = false; ///< counts against the server's breaker
    std::string step;
    std::string detail;
};

/** Events since the last tick. */
struct inbox {
    std::vector<request_row> arrivals;
    std::vector<std::uint64_t> disconnects; ///< requests whose callers disconnected
    std::vector<from_peer<open_attempt>> opened;
    std::vector<from_peer<cancel_attempt>> cancelled;
    std::vector<from_peer<attempt_refused>> refused;
    std::vector<attempt_result> ended;
    std::vector<call_ended> calls_ended;
    std::vector<load_report> load_reports;
    std::vector<load_summary> loads;
    std::vector<vm_id> lost_peers;       ///< VMs whose link was lost
    std::vector<attempt_id> undelivered; ///< `open_attempt` messages of which no byte was sent
    std::vector<chat_records> chats;
    std::vector<from_peer<claim_request>> claim_requests;
    std::vector<from_peer<claim_outcome>> claim_outcomes;
    std::vector<claim_reply> claim_replies;
    /** Read by several systems; each recognises its own calls. */
    std::vector<object_result> object_results;
    std::vector<from_peer<order_request>> order_requests;
    std::vector<order_result> order_results;
    std::vector<from_peer<quota_request>> quota_requests;
    std::vector<from_peer<quota_reply>> quota_replies;
};

struct send_message {
    vm_id to;
    link_message message;
};
struct start_call {
    server_config server;
    vm_id entry;
    std::shared_ptr<const open_attempt> request;
    std::string version; ///< of the model; empty: the engine chooses
};
/** Orders an engine to load or unload a version. */
struct start_order {
    server_config server;
    order_kind kind = order_kind::load;
    std::string version;
    std::uint64_t fence = 0;
};
struct cancel_call {
    attempt_id id;
};
/** Binds the caller's request to the attempt whose frames are forwarded from now on. */
struct bind_attempt {
    std::uint64_t request = 0;
    attempt_id id;
    vm_id gate;
};
/** Final: the response is complete. */
struct complete_request {
    std::uint64_t request = 0;
};
/** Final: the request failed or its response is incomplete. */
struct fail_request {
    std::uint64_t request = 0;
    outcome result = outcome::not_run;
    std::uint16_t status = 503;
    std::string code; ///< of the JSON error
    std::string message;
    std::string step;
    std::string peer;
    std::uint32_t retry_after_ms = 0;
};
/** Final: sends the recorded response of an earlier request with the same idempotency key. */
struct replay_request {
    std::uint64_t request = 0;
    std::uint16_t status = 200;
    std::string body;
};

/** Final: the caller has disconnected; nothing more is forwarded. */
struct drop_request {
    std::uint64_t request = 0;
};

using action = std::variant<send_message, start_call, cancel_call, bind_attempt, complete_request,
                            fail_request, replay_request, drop_request, object_call, start_order>;

/** Counters of decisions, for metrics and benchmarks. */
struct node_counters {
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t redirected = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    std::uint64_t chats_handed_over = 0;
    std::uint64_t orders_given = 0;
    std::uint64_t orders_refused = 0;
    std::uint64_t over_account_rate = 0; ///< requests refused
};

struct tables {
    vm_id self;
    std::uint64_t origin = 0; ///< of the attempt ids; differs at each start of a VM
    std::uint64_t next_sequence = 0;
    node_settings settings;
    std::shared_ptr<const fleet_config> config;
    bool leaving = false;

    std::map<service_id, service_row> services;
    std::unordered_map<server_id, server_row> servers;
    std::unordered_map<server_id, gate_row> gates;
    std::unordered_map<attempt_id, server_id> server_by_attempt; ///< in flight or queued here
    std::unordered_map<std::uint64_t, request_row> requests;
    /** The request of each current attempt. */
    std::unordered_map<attempt_id, std::uint64_t> request_by_attempt;
    std::unordered_map<client_account_id, std::uint32_t> account_running; ///< at this entry
    std::unordered_map<attempt_id, pending_claim> claim_requests;
    std::vector<vm_id> homes; ///< live VMs, this one included unless it is leaving; see home.h
    std::vector<std::uint64_t> home_hashes;
    chat_directory chats{0, duration::zero()};
    claim_table claims;
    std::uint64_t next_call = 1; ///< id of the next call to the platform
    lease_row lease;
    order_table orders;        ///< requested of this VM
    bool needs_orders = false; ///< a configured service has model versions
    quota_tables quotas;
    std::mt19937_64 random;

    inbox in;
    std::vector<action> out;
    node_counters counters;

    void send(const vm_id& to, link_message message)
    {
        this->out.emplace_back(send_message{to, std::move(message)});
    }
    attempt_id new_attempt_id() { return {this->origin, this->next_sequence++}; }
};

} // namespace worksshift
