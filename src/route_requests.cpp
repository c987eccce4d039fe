#include "route_requests.h"

#include <algorithm>
#include <ranges>

#include "home.h"
#include "placement.h"

namespace worksshift {

namespace {

constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unprocessable = 422;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_timeout = 504;
constexpr std::uint32_t default_retry_after_ms = 1000;
constexpr duration claim_resend_interval = seconds(1);

request_row* find_by_attempt(tables& t, const attempt_id& id)
{
    const auto found = t.request_by_attempt.find(id);
    if (found == t.request_by_attempt.end()) return nullptr;
    const auto request = t.requests.find(found->second);
    return request == t.requests.end() ? nullptr : &request->second;
}

/** The VM that stores the claims of a key: the live VM that ranks first for its claim bucket. */
vm_id claim_store_vm(const tables& t, const std::string& key)
{
    return home_of(t, claim_bucket(key) + 1);
}

void send_claim_outcome(tables& t, const request_row& request, outcome result, std::uint16_t status,
                        const std::string& body)
{
    if (!request.claimed) return;
    claim_outcome message{request.claim_holder, request.claim_key, result, status, body};
    t.send(claim_store_vm(t, request.claim_key), std::move(message));
}

/** Removes the row of a request that has had its final response, or whose caller is gone. */
void erase_request(tables& t, const request_row& request)
{
    t.request_by_attempt.erase(request.attempt);
    const auto running = t.account_running.find(request.account);
    if (running != t.account_running.end() && --running->second == 0) {
        t.account_running.erase(running);
    }
    t.requests.erase(request.id);
}

void fail(tables& t, const request_row& request, fail_request failure)
{
    failure.request = request.id;
    // After an attempt with an unknown outcome, a later refusal no longer proves that the request
    // was not executed.
    if (request.may_have_run) failure.result = outcome::unknown;
    if (failure.result == outcome::not_run) refund_quota(t, request);
    send_claim_outcome(t, request, failure.result, failure.status, {});
    t.out.emplace_back(std::move(failure));
    erase_request(t, request);
}

fail_request make_not_run_error(std::uint16_t status, std::string code, std::string message)
{
    fail_request failure;
    failure.result = outcome::not_run;
    failure.status = status;
    failure.code = std::move(code);
    failure.message = std::move(message);
    failure.step = "route";
    return failure;
}

void send_attempt(tables& t, request_row& request, const server_id& server, const vm_id& gate,
                  std::uint32_t resume_from, instant now)
{
    t.request_by_attempt.erase(request.attempt);
    request.attempt = t.new_attempt_id();
    request.server = server;
    request.gate = gate;
    t.request_by_attempt[request.attempt] = request.id;

    open_attempt open;
    open.id = request.attempt;
    open.request_id = request.request_id;
    open.service = request.service;
    open.server = server;
    open.account = request.account;
    open.chat = request.chat;
    open.returning = request.returning;
    open.directed = request.directed;
    open.is_final_attempt = request.hops >= t.settings.max_hops;
    open.urgency = request.urgency;
    const auto time_left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    open.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, time_left.count()));
    open.cost = request.cost;
    open.resume_from = resume_from;
    open.version = request.version;
    open.tried = request.tried;
    open.method = request.payload->method;
    open.path = request.payload->path;
    open.headers = request.payload->headers;
    open.body = request.payload->body;
    t.out.emplace_back(bind_attempt{request.id, request.attempt, gate});
    t.send(gate, std::move(open));
}

/** The next server to try: for the first attempt of a chat its home server, if that accepts work;
 * otherwise the first in rank among the accepting servers that were not tried. If there is none,
 * the home server for the first attempt and an empty id for later ones. */
server_id choose_server(tables& t, const request_row& request, const service_row& service)
{
    if (service.config.kind == service_kind::chat && request.tried.empty()) {
        const server_id home = home_server(service, request.chat);
        const auto row = t.servers.find(home);
        if (row != t.servers.end() && row->second.load.accepting) return home;
    }
    const std::uint64_t key = service.config.kind == service_kind::chat
                                  ? static_cast<std::uint64_t>(request.chat)
                                  : t.random();
    const server_id untried = first_ranked(t, service, key, request.tried);
    if (!untried.empty()) return untried;
    return request.tried.empty() ? home_server(service, request.chat) : server_id{};
}

void try_server(tables& t, request_row& request, std::uint32_t resume_from, instant now)
{
    const auto service = t.services.find(request.service);
    const server_id server =
        service == t.services.end() ? server_id{} : choose_server(t, request, service->second);
    const vm_id gate = server.empty() ? vm_id{} : gate_of(t.servers.at(server));
    if (gate.empty()) {
        fail_request failure =
            make_not_run_error(status_unavailable, "no_server",
                               "no server of " + request.service.text + " takes work");
        if (!request.last_peer.empty()) {
            failure.step = request.last_step;
            failure.peer = request.last_peer;
        }
        failure.retry_after_ms = default_retry_after_ms;
        fail(t, request, std::move(failure));
        return;
    }
    send_attempt(t, request, server, gate, resume_from, now);
}

/** Claims the request's idempotency key, if it has one, before the first attempt is sent. */
void claim_and_send(tables& t, request_row& request, instant now)
{
    if (request.claim_key.empty()) {
        try_server(t, request, 0, now);
        return;
    }
    request.claim_holder = t.new_attempt_id();
    const claim_request message{request.claim_holder, request.claim_key, request.fingerprint};
    t.claim_requests[request.claim_holder] = {request.id, message, now};
    t.send(claim_store_vm(t, request.claim_key), message);
}

void start_request(tables& t, request_row arrival, instant now)
{
    const account_config* account = t.config->accounts.find(arrival.account);
    const std::uint64_t id = arrival.id;
    std::uint32_t& running = t.account_running[arrival.account];
    ++running;
    const bool over_limit =
        account != nullptr && account->concurrency > 0 && running > account->concurrency;
    request_row& request = t.requests[id] = std::move(arrival);
    if (over_limit) {
        fail_request failure = make_not_run_error(status_too_many_requests, "account_limit",
                                                  "the account has too many requests in flight");
        failure.retry_after_ms = default_retry_after_ms;
        fail(t, request, std::move(failure));
        return;
    }
    if (const auto service = t.services.find(request.service); service != t.services.end()) {
        service->second.retries.on_request();
    }
    const std::uint64_t rate = account == nullptr ? 0 : account->tokens_per_minute;
    if (pay_quota(t, request, rate, now) == quota_state::paid) claim_and_send(t, request, now);
}

/** Ends a request that exceeds its account's token rate, without a retry. */
void refuse_over_rate(tables& t, request_row& request, std::uint32_t retry_after_ms)
{
    ++t.counters.over_account_rate;
    fail_request failure = make_not_run_error(status_too_many_requests, "account_rate",
                                              "the account's tokens per minute are used up");
    failure.retry_after_ms = retry_after_ms;
    fail(t, request, std::move(failure));
}

void apply_quota_outcome(tables& t, const quota_outcome& outcome, instant now)
{
    for (const std::uint64_t id : outcome.paid) {
        if (const auto row = t.requests.find(id); row != t.requests.end()) {
            claim_and_send(t, row->second, now);
        }
    }
    for (const auto& [id, retry_after_ms] : outcome.refused) {
        if (const auto row = t.requests.find(id); row != t.requests.end()) {
            refuse_over_rate(t, row->second, retry_after_ms);
        }
    }
}

void handle_claim_reply(tables& t, const claim_reply& reply, instant now)
{
    const auto found = t.claim_requests.find(reply.id);
    if (found == t.claim_requests.end()) return;
    const pending_claim pending = found->second;
    t.claim_requests.erase(found);
    const auto row = t.requests.find(pending.request);
    if (row == t.requests.end()) {
        // The request ended before the claim was granted and nothing was sent, so the key is
        // released.
        if (reply.state == claim_state::granted) {
            const std::string& key = pending.message.key;
            t.send(claim_store_vm(t, key), claim_outcome{reply.id, key, outcome::not_run, 0, {}});
        }
        return;
    }
    request_row& request = row->second;
    switch (reply.state) {
    case claim_state::granted:
        request.claimed = true;
        try_server(t, request, 0, now);
        return;
    case claim_state::repeated:
        t.out.emplace_back(replay_request{request.id, reply.status, reply.body});
        erase_request(t, request);
        return;
    case claim_state::in_doubt: {
        fail_request failure =
            make_not_run_error(status_conflict, "in_doubt",
                               "an earlier request with this key was sent and its outcome "
                               "is not known; it will not be sent again");
        failure.result = outcome::unknown;
        fail(t, request, std::move(failure));
        return;
    }
    case claim_state::mismatch:
        fail(t, request,
             make_not_run_error(status_unprocessable, "key_reused",
                                "the idempotency key was used for a different request"));
        return;
    case claim_state::unavailable: {
        fail_request failure = make_not_run_error(status_unavailable, "claims_unavailable",
                                                  "the key could not be claimed; nothing was sent");
        failure.step = "claim";
        failure.peer = "platform";
        failure.retry_after_ms = default_retry_after_ms;
        fail(t, request, std::move(failure));
        return;
    }
    }
}

fail_request make_refusal_error(const attempt_refused& refused)
{
    switch (refused.reason) {
    case refusal::queue_full:
    case refusal::over_bound:
        return make_not_run_error(status_too_many_requests, "overloaded",
                                  "no server has a free place in time");
    case refusal::deadline:
        return make_not_run_error(status_timeout, "deadline",
                                  "the deadline passed before the request ran");
    default:
        return make_not_run_error(status_unavailable, "unavailable",
                                  "no server could take the request");
    }
}

void fail_refused(tables& t, request_row& request, const attempt_refused& refused)
{
    fail_request failure = make_refusal_error(refused);
    failure.step = refused.step;
    failure.peer = refused.peer;
    failure.retry_after_ms =
        refused.retry_after_ms > 0 ? refused.retry_after_ms : default_retry_after_ms;
    fail(t, request, std::move(failure));
}

void handle_refusal(tables& t, request_row& request, const attempt_refused& refused, instant now)
{
    request.last_step = refused.step;
    request.last_peer = refused.peer;
    const bool final = refused.reason == refusal::queue_full || refused.reason == refusal::deadline;
    ++request.hops;
    if (final || request.hops > 2 * t.settings.max_hops || now >= request.deadline) {
        fail_refused(t, request, refused);
        return;
    }
    const bool same_server = refused.next_server == request.server;
    const bool server_failed =
        refused.reason == refusal::connect_failed || refused.reason == refusal::server_refused;
    if (!same_server) request.tried.push_back(request.server);
    if (server_failed) {
        const auto service = t.services.find(request.service);
        const bool within_budget =
            service != t.services.end() && service->second.retries.withdraw();
        if (++request.tries >= t.settings.max_tries || !within_budget) {
            fail_refused(t, request, refused);
            return;
        }
        ++t.counters.retried;
    }
    const auto next = t.servers.find(refused.next_server);
    if (next == t.servers.end()) {
        try_server(t, request, request.resume_from, now);
        return;
    }
    const vm_id known_gate = gate_of(next->second);
    const vm_id gate = refused.next_gate.empty() ? known_gate : refused.next_gate;
    // A VM that refuses because it is not the gate, but names itself as the gate, is between two
    // membership views. Waiting to retry there would delay the request, so another server is tried.
    if (gate.empty() || (same_server && gate == request.gate)) {
        if (same_server) request.tried.push_back(request.server);
        try_server(t, request, request.resume_from, now);
        return;
    }
    request.directed = request.directed || !same_server;
    send_attempt(t, request, refused.next_server, gate, request.resume_from, now);
}

void end_attempt(tables& t, request_row& request, const attempt_result& result, instant now)
{
    if (result.end.result == outcome::done) {
        send_claim_outcome(t, request, outcome::done, result.status, result.body);
        t.out.emplace_back(complete_request{request.id});
        erase_request(t, request);
        return;
    }
    request.may_have_run = true;
    const auto service = t.services.find(request.service);
    retry_budget default_budget;
    retry_budget& budget = service == t.services.end() ? default_budget : service->second.retries;
    request.last_step = result.end.step;
    request.last_peer = result.end.peer;
    const next_step step = now >= request.deadline
                               ? next_step::give_up
                               : choose_next_step(request, result, t.settings, budget);
    if (step == next_step::give_up) {
        fail_request failure;
        failure.result = outcome::unknown;
        failure.status = status_bad_gateway;
        failure.code = "broken";
        failure.message = "the answer broke off: " + result.end.detail;
        failure.step = result.end.step;
        failure.peer = result.end.peer;
        fail(t, request, std::move(failure));
        return;
    }
    ++request.tries;
    request.tried.push_back(request.server);
    request.hops = 0;
    if (step == next_step::resume) {
        ++t.counters.resumed;
        request.resumed = true;
        request.resume_from = result.tokens_forwarded;
        request.version = result.version;
    } else {
        ++t.counters.retried;
    }
    try_server(t, request, request.resume_from, now);
}

void cancel_request(tables& t, request_row& request)
{
    if (!request.gate.empty()) t.send(request.gate, cancel_attempt{request.attempt});
}

/** Ends a request whose attempt, if it has one, is still in progress. \p status_if_sent: of a
 * request that may have run. */
void abandon(tables& t, request_row& request, fail_request failure, std::uint16_t status_if_sent)
{
    cancel_request(t, request);
    failure.step = request.gate.empty() ? "claim" : "run";
    failure.peer = request.server.text;
    if (!request.gate.empty() || request.may_have_run) {
        failure.result = outcome::unknown;
        failure.status = status_if_sent;
    }
    fail(t, request, std::move(failure));
}

} // namespace

next_step choose_next_step(const request_row& request, const attempt_result& result,
                           const node_settings& settings, retry_budget& budget)
{
    if (!request.idempotent || request.tries + 1 >= settings.max_tries) {
        return next_step::give_up;
    }
    const bool resume = result.head_forwarded || request.resumed;
    if (resume && !result.resumable) return next_step::give_up;
    if (!budget.withdraw()) return next_step::give_up;
    return resume ? next_step::resume : next_step::retry;
}

void start_requests(tables& t, const tick_time& time)
{
    for (request_row& arrival : std::exchange(t.in.arrivals, {})) {
        start_request(t, std::move(arrival), time.now);
    }
}

void handle_quota_replies(tables& t, const tick_time& time)
{
    apply_quota_outcome(t, process_quota_replies(t, time), time.now);
}

void handle_claim_replies(tables& t, const tick_time& time)
{
    for (const claim_reply& reply : std::exchange(t.in.claim_replies, {})) {
        handle_claim_reply(t, reply, time.now);
    }
    // A claim is identified by its attempt id, so a resent claim counts once, also at another VM.
    for (auto& [id, pending] : t.claim_requests) {
        if (time.now - pending.sent < claim_resend_interval) continue;
        pending.sent = time.now;
        t.send(claim_store_vm(t, pending.message.key), pending.message);
    }
    std::erase_if(t.claim_requests, [&](const auto& entry) {
        return !t.requests.contains(entry.second.request) &&
               time.now - entry.second.sent > claim_resend_interval / 2;
    });
}

void handle_refusals(tables& t, const tick_time& time)
{
    for (const attempt_id& id : std::exchange(t.in.undelivered, {})) {
        request_row* request = find_by_attempt(t, id);
        if (request == nullptr) continue;
        attempt_refused refused;
        refused.id = id;
        refused.reason = refusal::connect_failed;
        refused.step = "link";
        refused.peer = request->gate.text;
        handle_refusal(t, *request, refused, time.now);
    }
    for (const auto& [from, message] : std::exchange(t.in.refused, {})) {
        request_row* request = find_by_attempt(t, message.id);
        if (request != nullptr) handle_refusal(t, *request, message, time.now);
    }
}

void end_attempts(tables& t, const tick_time& time)
{
    for (const attempt_result& result : std::exchange(t.in.ended, {})) {
        request_row* request = find_by_attempt(t, result.end.id);
        if (request != nullptr) end_attempt(t, *request, result, time.now);
    }
}

void expire_requests(tables& t, const tick_time& time)
{
    for (const std::uint64_t id : std::exchange(t.in.disconnects, {})) {
        const auto found = t.requests.find(id);
        if (found == t.requests.end()) continue;
        cancel_request(t, found->second);
        // The claim of a request that was sent is not released, since the request may have run.
        const bool unsent = found->second.gate.empty();
        if (unsent) send_claim_outcome(t, found->second, outcome::not_run, 0, {});
        t.out.emplace_back(drop_request{id});
        erase_request(t, found->second);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, request] : t.requests) {
        if (request.deadline <= time.now) expired.push_back(id);
    }
    for (const std::uint64_t id : expired) {
        abandon(t, t.requests.at(id),
                make_not_run_error(status_timeout, "deadline", "the deadline passed"),
                status_timeout);
    }
}

std::size_t end_requests(tables& t)
{
    std::vector<std::uint64_t> ids;
    std::ranges::copy(t.requests | std::views::keys, std::back_inserter(ids));
    for (const std::uint64_t id : ids)
        abandon(t, t.requests.at(id), make_stop_error(), status_bad_gateway);
    return ids.size();
}

fail_request make_stop_error()
{
    return make_not_run_error(status_unavailable, "stopping", "the VM is stopping");
}

} // namespace worksshift
