#include "admit_attempts.h"

#include <algorithm>
#include <cmath>

#include "placement.h"

namespace worksshift {

namespace {

constexpr double rate_smoothing = 0.3; ///< weight of the newest sample
constexpr duration rate_window = milliseconds(500);
/** Share of the time to the deadline that a request may wait, so that time is left to run it. */
constexpr double max_wait_share = 0.8;
constexpr double min_retry_after_ms = 200;
constexpr double max_retry_after_ms = 60'000;

/** Why a request cannot be sent to a server now. */
enum class obstacle : std::uint8_t { none, bound, limit, unavailable };

/** The model version on which the gate's engine would run a request. */
version_choice version_for(const tables& t, const gate_row& gate, const std::string& continued)
{
    const auto service = t.services.find(gate.service);
    if (service == t.services.end()) return {true, continued};
    return choose_version(gate, service->second.config, continued);
}

void sync_load(const tables& t, const gate_row& gate, server_row& server, instant now)
{
    server.load.running = static_cast<std::uint32_t>(gate.running.size()) + gate.foreign_running;
    server.load.cost = gate.cost;
    if (gate.foreign_running > 0) {
        // The cost of requests from another gate is unknown; the mean of this gate's is assumed.
        const double mean = gate.running.empty() ? default_answer_tokens
                                                 : static_cast<double>(gate.cost) /
                                                       static_cast<double>(gate.running.size());
        server.load.cost += static_cast<std::uint64_t>(std::llround(mean * gate.foreign_running));
    }
    server.load.accepting = !server.config.draining && gate.circuit_breaker.allows(now) &&
                            !t.leaving && version_for(t, gate, {}).available;
}

std::uint32_t shared_limit(const gate_row& gate, const server_config& server)
{
    return static_cast<std::uint32_t>(std::floor(gate.share * server.limit));
}

obstacle find_obstacle(const tables& t, const gate_row& gate, const server_row& server,
                       std::uint32_t cost, bool heavy, instant now)
{
    const bool no_version = !version_for(t, gate, {}).available;
    if (server.config.draining || t.leaving || no_version || !gate.circuit_breaker.allows(now)) {
        return obstacle::unavailable;
    }
    const std::uint32_t limit = shared_limit(gate, server.config);
    const std::uint32_t spare = heavy ? std::min(limit, spare_slots(server.config.limit)) : 0;
    if (gate.running.size() + gate.foreign_running >= limit - spare) {
        return obstacle::limit;
    }
    const service_row& service = t.services.at(server.service);
    return below_load_bound(t, service, server, cost) ? obstacle::none : obstacle::bound;
}

attempt_refused make_refusal(const attempt_id& id, refusal reason, std::string step,
                             std::string peer)
{
    attempt_refused message;
    message.id = id;
    message.reason = reason;
    message.step = std::move(step);
    message.peer = std::move(peer);
    return message;
}

void refuse(tables& t, const vm_id& entry, attempt_refused message)
{
    ++t.counters.refused;
    t.send(entry, std::move(message));
}

/** Refuses an attempt and names the server to try instead, whose load then counts the request. */
void redirect(tables& t, const vm_id& entry, const open_attempt& open, refusal reason,
              const server_id& next)
{
    server_row& server = t.servers.at(next);
    const gate_row* own_gate = t.gates.contains(next) ? &t.gates.at(next) : nullptr;
    if (own_gate == nullptr || !own_gate->is_first_ranked)
        count_redirected_request(server, open.cost);
    attempt_refused message = make_refusal(open.id, reason, "admit", open.server.text);
    message.next_server = next;
    message.next_gate = gate_of(server);
    ++t.counters.redirected;
    t.send(entry, std::move(message));
}

double account_weight(const tables& t, const client_account_id& id)
{
    const account_config* account = t.config->accounts.find(id);
    return account == nullptr ? 1 : account->weight;
}

void start_attempt(tables& t, gate_row& gate, server_row& server, const vm_id& entry,
                   std::shared_ptr<const open_attempt> open, instant now)
{
    if (gate.running.empty()) {
        gate.busy_since = now;
        gate.served_cost = 0;
    }
    const std::string version = version_for(t, gate, open->version).version;
    gate.running[open->id] = {open->id, entry, open->account, open->cost, version};
    gate.cost += open->cost;
    gate.circuit_breaker.on_sent(now);
    t.server_by_attempt[open->id] = gate.server;
    sync_load(t, gate, server, now);
    ++t.counters.admitted;
    t.out.emplace_back(start_call{server.config, entry, std::move(open), version});
}

/** Expected time until a request of this account would start, from the measured drain rate; zero
 * if no rate is measured yet. */
duration expected_wait(const gate_row& gate, const open_attempt& open, double weight, instant now)
{
    const double ahead = gate.queue.cost_ahead(open.account, weight, open.cost, now) + open.cost;
    if (gate.served_cost_per_s <= 0) return duration::zero();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(ahead / gate.served_cost_per_s));
}

std::uint32_t retry_after(const gate_row& gate)
{
    const double wait = gate.served_cost_per_s <= 0
                            ? 1000
                            : 1000 * (gate.queue.total_cost() + 1) / gate.served_cost_per_s;
    return static_cast<std::uint32_t>(std::clamp(wait, min_retry_after_ms, max_retry_after_ms));
}

void refuse_full(tables& t, const gate_row& gate, const vm_id& entry, const attempt_id& id)
{
    attempt_refused message = make_refusal(id, refusal::queue_full, "queue", gate.server.text);
    message.retry_after_ms = retry_after(gate);
    refuse(t, entry, std::move(message));
}

void remove_waiting(tables& t, gate_row& gate, const attempt_id& id)
{
    gate.queued_attempts.erase(id);
    gate.queued_entry_vms.erase(id);
    t.server_by_attempt.erase(id);
}

void enqueue(tables& t, gate_row& gate, const vm_id& entry,
             const std::shared_ptr<const open_attempt>& open, instant now)
{
    const double weight = account_weight(t, open->account);
    const duration time_left = milliseconds(open->deadline_ms);
    const duration max_wait =
        std::min(t.settings.max_queue_wait,
                 std::chrono::duration_cast<duration>(time_left * max_wait_share));
    if (expected_wait(gate, *open, weight, now) > max_wait) {
        refuse_full(t, gate, entry, open->id);
        return;
    }
    const waiting_attempt waiting{open->id,      open->account,  open->cost, weight,
                                  open->urgency, now + max_wait, now};
    gate.queued_attempts[open->id] = open;
    gate.queued_entry_vms[open->id] = entry;
    t.server_by_attempt[open->id] = gate.server;
    ++t.counters.queued;
    if (const auto shed = gate.queue.push(waiting)) {
        refuse_full(t, gate, gate.queued_entry_vms.at(shed->id), shed->id);
        remove_waiting(t, gate, shed->id);
    }
}

/** The server that holds the chat's prompt cache; std::nullopt if it is unknown, is the one that
 * was asked for, or cannot accept the request. */
std::optional<server_id> find_cached_server(tables& t, const service_row& service,
                                            const open_attempt& open, instant now)
{
    const auto known = t.chats.find(open.service, open.chat, now);
    if (!known || *known == open.server) return std::nullopt;
    const auto found = t.servers.find(*known);
    if (found == t.servers.end() || found->second.service != open.service) return std::nullopt;
    const server_row& server = found->second;
    const bool accepts = !server.config.draining && server.load.accepting &&
                         server.load.running < server.config.limit;
    if (!accepts || !below_load_bound(t, service, server, open.cost)) return std::nullopt;
    return known;
}

/** A better server for a new chat than its home: the first in rank, typically one that is still
 * ramping up, or a less loaded one. std::nullopt if there is none. */
std::optional<server_id> find_better_first_server(tables& t, const service_row& service,
                                                  const server_row& home, const open_attempt& open)
{
    const auto key = static_cast<std::uint64_t>(open.chat);
    const server_id first = first_ranked(t, service, key, {});
    if (!first.empty() && first != open.server &&
        below_load_bound(t, service, t.servers.at(first), open.cost)) {
        return first;
    }
    if (!t.settings.balance_new_chats) return std::nullopt;
    const std::vector<server_id> excluded{open.server};
    const auto other = find_alternate(t, service, open.cost, excluded, false);
    if (!other || t.servers.at(*other).load.cost >= home.load.cost) return std::nullopt;
    return other;
}

void record_chat_server(tables& t, const open_attempt& open, const server_id& server, instant now)
{
    if (t.settings.remember_chats && open.chat != chat_key{}) {
        t.chats.record(open.service, open.chat, server, now);
    }
}

/** Redirects the attempt to the server that has the chat's cache or should start the chat. Returns
 * whether it did. */
bool redirect_chat(tables& t, const service_row& service, const server_row& home, const vm_id& from,
                   const open_attempt& open, instant now)
{
    if (open.directed || open.is_final_attempt || !t.settings.remember_chats) return false;
    if (const auto cached = find_cached_server(t, service, open, now)) {
        record_chat_server(t, open, *cached, now);
        redirect(t, from, open, refusal::cached_elsewhere, *cached);
        return true;
    }
    if (open.returning || t.chats.find(open.service, open.chat, now)) return false;
    if (const auto other = find_better_first_server(t, service, home, open)) {
        record_chat_server(t, open, *other, now);
        redirect(t, from, open, refusal::over_bound, *other);
        return true;
    }
    return false;
}

void admit_attempt(tables& t, const vm_id& from, std::shared_ptr<const open_attempt> open,
                   instant now)
{
    const auto found = t.servers.find(open->server);
    if (found == t.servers.end() || found->second.service != open->service) {
        refuse(t, from,
               make_refusal(open->id, refusal::unknown_server, "admit", open->server.text));
        return;
    }
    server_row& server = found->second;
    const auto gate_found = t.gates.find(open->server);
    const bool is_gate =
        gate_found != t.gates.end() && gate_found->second.is_first_ranked && !t.leaving;
    if (!is_gate) {
        attempt_refused message = make_refusal(
            open->id, t.leaving ? refusal::leaving : refusal::wrong_gate, "admit", t.self.text);
        message.next_server = open->server;
        message.next_gate = gate_of(server);
        refuse(t, from, std::move(message));
        return;
    }
    gate_row& gate = gate_found->second;
    const service_row& service = t.services.at(server.service);
    if (service.config.kind == service_kind::chat &&
        redirect_chat(t, service, server, from, *open, now)) {
        return;
    }
    gate.queue.charge(open->account, account_weight(t, open->account), open->cost, now);
    const bool heavy = gate.queue.heavy(open->account, now);
    // A stream is resumed on the model version that began it, which the server may have unloaded.
    const obstacle blocked_by = version_for(t, gate, open->version).available
                                    ? find_obstacle(t, gate, server, open->cost, heavy, now)
                                    : obstacle::unavailable;
    if (blocked_by == obstacle::none && gate.queue.empty()) {
        record_chat_server(t, *open, open->server, now);
        start_attempt(t, gate, server, from, std::move(open), now);
        return;
    }
    std::vector<server_id> excluded = open->tried;
    excluded.push_back(open->server);
    if (!open->is_final_attempt) {
        auto next = find_alternate(t, service, open->cost, excluded, heavy);
        if (!next && blocked_by != obstacle::bound)
            next = find_least_loaded(t, service, excluded, heavy);
        if (next) {
            const refusal reason =
                blocked_by == obstacle::unavailable ? refusal::draining : refusal::over_bound;
            record_chat_server(t, *open, *next, now);
            redirect(t, from, *open, reason, *next);
            return;
        }
    }
    if (blocked_by == obstacle::unavailable) {
        attempt_refused message =
            make_refusal(open->id, refusal::draining, "admit", open->server.text);
        message.retry_after_ms = retry_after(gate);
        refuse(t, from, std::move(message));
        return;
    }
    enqueue(t, gate, from, open, now);
}

void update_drain_rate(gate_row& gate, std::uint32_t cost, instant now)
{
    gate.served_cost += cost;
    const duration span = now - gate.busy_since;
    if (span < rate_window) return;
    const double rate = gate.served_cost / std::chrono::duration<double>(span).count();
    gate.served_cost_per_s =
        gate.served_cost_per_s <= 0
            ? rate
            : gate.served_cost_per_s + rate_smoothing * (rate - gate.served_cost_per_s);
    gate.busy_since = now;
    gate.served_cost = 0;
}

/** Whether one more server may be ejected. Breakers may eject only a share of a service's servers:
 * if all fail, the cause is likely the fleet or the requests, and ejecting all would refuse every
 * request. */
bool may_eject(const tables& t, const service_row& service)
{
    const auto ejected = std::ranges::count_if(service.servers, [&](const server_id& id) {
        const server_row& server = t.servers.at(id);
        return !server.load.accepting && !server.config.draining;
    });
    return static_cast<double>(ejected + 1) <=
           std::max(1.0,
                    t.settings.max_ejected_share * static_cast<double>(service.servers.size()));
}

void update_breaker(const tables& t, gate_row& gate, const call_ended& call, instant now)
{
    if (call.result == outcome::done) {
        gate.circuit_breaker.on_success();
    } else if (call.server_fault) {
        const auto service = t.services.find(gate.service);
        gate.circuit_breaker.on_failure(now, service != t.services.end() &&
                                                 may_eject(t, service->second));
    } else {
        gate.circuit_breaker.on_neutral();
    }
}

void finish_call(tables& t, const call_ended& call, instant now)
{
    const auto server_found = t.server_by_attempt.find(call.id);
    if (server_found == t.server_by_attempt.end()) return;
    const auto gate_found = t.gates.find(server_found->second);
    if (gate_found == t.gates.end()) return;
    gate_row& gate = gate_found->second;
    const auto running = gate.running.find(call.id);
    if (running == gate.running.end()) return;
    const running_attempt attempt = running->second;
    gate.running.erase(running);
    gate.cost -= attempt.cost;
    t.server_by_attempt.erase(server_found);
    update_drain_rate(gate, attempt.cost, now);
    update_breaker(t, gate, call, now);
    if (const auto row = t.servers.find(gate.server); row != t.servers.end()) {
        sync_load(t, gate, row->second, now);
    }
    if (call.result != outcome::not_run) return; // the call itself reported its end to the entry VM
    attempt_refused message = make_refusal(
        call.id, call.step == "connect" ? refusal::connect_failed : refusal::server_refused,
        call.step, gate.server.text);
    refuse(t, attempt.entry, std::move(message));
}

void cancel_by_id(tables& t, const attempt_id& id)
{
    const auto found = t.server_by_attempt.find(id);
    if (found == t.server_by_attempt.end()) return;
    gate_row& gate = t.gates.at(found->second);
    if (gate.queue.erase(id)) {
        remove_waiting(t, gate, id);
        return;
    }
    t.out.emplace_back(cancel_call{id});
}

/** The next request of an account that has fewer requests running than it has reserved. */
std::optional<waiting_attempt> pop_reserved(const tables& t, gate_row& gate)
{
    for (const account_config* account : t.config->accounts.reserved()) {
        const auto running = std::ranges::count_if(
            gate.running, [&](const auto& entry) { return entry.second.account == account->id; });
        if (running >= static_cast<std::ptrdiff_t>(account->reserved)) continue;
        if (auto waiting = gate.queue.pop_account(account->id)) return waiting;
    }
    return std::nullopt;
}

void run_queue(tables& t, gate_row& gate, server_row& server, instant now)
{
    for (const waiting_attempt& expired : gate.queue.take_expired(now)) {
        refuse_full(t, gate, gate.queued_entry_vms.at(expired.id), expired.id);
        remove_waiting(t, gate, expired.id);
    }
    while (!gate.queue.empty()) {
        const auto can_start = [&](bool heavy) {
            return find_obstacle(t, gate, server, 1, heavy, now) == obstacle::none;
        };
        if (!can_start(false)) return;
        auto waiting = pop_reserved(t, gate);
        if (!waiting) waiting = can_start(true) ? gate.queue.pop(now) : gate.queue.pop_light(now);
        if (!waiting) return;
        const auto open = gate.queued_attempts.at(waiting->id);
        const vm_id entry = gate.queued_entry_vms.at(waiting->id);
        remove_waiting(t, gate, waiting->id);
        record_chat_server(t, *open, open->server, now);
        start_attempt(t, gate, server, entry, open, now);
    }
}

/** Refuses all queued attempts, so that they are sent elsewhere: this VM is no longer the gate, or
 * the server accepts no requests. */
void refuse_all_waiting(tables& t, gate_row& gate, const server_row* server)
{
    for (const waiting_attempt& waiting : gate.queue.take_all()) {
        attempt_refused message =
            make_refusal(waiting.id, refusal::wrong_gate, "queue", gate.server.text);
        if (server != nullptr && !server->config.draining) {
            message.next_server = gate.server;
            message.next_gate = gate_of(*server);
        }
        refuse(t, gate.queued_entry_vms.at(waiting.id), std::move(message));
        remove_waiting(t, gate, waiting.id);
    }
}

} // namespace

void apply_load_reports(tables& t)
{
    for (const load_report& report : std::exchange(t.in.load_reports, {})) {
        const auto found = t.gates.find(report.server);
        if (found == t.gates.end()) continue;
        gate_row& gate = found->second;
        if (report.sent < gate.reported_at) continue;
        const std::uint32_t own_running = report.own_running_at_request;
        gate.foreign_running = report.running > own_running ? report.running - own_running : 0;
        gate.reported_at = report.sent;
        if (report.versions.versions_reported) gate.versions = report.versions;
    }
    for (const load_summary& load : std::exchange(t.in.loads, {})) {
        const auto gate = t.gates.find(load.server);
        const bool is_gate = gate != t.gates.end() && gate->second.is_first_ranked;
        const auto server = t.servers.find(load.server);
        if (!is_gate && server != t.servers.end()) server->second.load = load;
    }
}

void finish_calls(tables& t, const tick_time& time)
{
    for (const call_ended& call : std::exchange(t.in.calls_ended, {})) {
        finish_call(t, call, time.now);
    }
}

void cancel_attempts(tables& t)
{
    for (const auto& [from, message] : std::exchange(t.in.cancelled, {}))
        cancel_by_id(t, message.id);
    for (const vm_id& lost : t.in.lost_peers) {
        std::vector<attempt_id> orphans;
        for (const auto& [server, gate] : t.gates) {
            for (const auto& [id, attempt] : gate.running) {
                if (attempt.entry == lost) orphans.push_back(id);
            }
            for (const auto& [id, entry] : gate.queued_entry_vms) {
                if (entry == lost) orphans.push_back(id);
            }
        }
        for (const attempt_id& id : orphans)
            cancel_by_id(t, id);
    }
}

void open_attempts(tables& t, const tick_time& time)
{
    for (auto& [from, message] : std::exchange(t.in.opened, {})) {
        admit_attempt(t, from, std::make_shared<const open_attempt>(std::move(message)), time.now);
    }
}

void run_queues(tables& t, const tick_time& time)
{
    for (auto& [id, gate] : t.gates) {
        const auto found = t.servers.find(id);
        server_row* server = found == t.servers.end() ? nullptr : &found->second;
        if (server == nullptr || !gate.is_first_ranked || server->config.draining || t.leaving) {
            refuse_all_waiting(t, gate, server);
            if (server != nullptr && gate.is_first_ranked) sync_load(t, gate, *server, time.now);
            continue;
        }
        sync_load(t, gate, *server, time.now);
        run_queue(t, gate, *server, time.now);
    }
}

} // namespace worksshift
