#include "request_path.h"

#include <algorithm>
#include <array>

#include "log.h"
#include "visitor.h"

namespace worksshift {

namespace {

constexpr unsigned attempt_bits = 8;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int server_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int ok = 200;
constexpr std::array not_run_statuses{408, 421, too_many_requests, unavailable};
constexpr std::string_view event_stream_type = "text/event-stream";

instant now()
{
    return std::chrono::steady_clock::now();
}

duration as_duration(double seconds_given)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds_given));
}

std::int64_t in_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/** Weighted choice of a target service by request id, the same for all attempts of a request. */
const service_id& pick_target(const route& chosen, const std::string& request_id)
{
    std::uint64_t total = 0;
    for (const route_target& target : chosen.targets)
        total += target.weight;
    std::uint64_t offset = total == 0 ? 0 : hash_of(request_id) % total;
    for (const route_target& target : chosen.targets) {
        if (offset < target.weight) return target.service;
        offset -= target.weight;
    }
    return chosen.targets.front().service;
}

} // namespace

request_path::request_path(caller_connections& callers, server_connections& servers,
                           server_table& table, const protocol& adapter, metrics& telemetry)
    : callers(callers), servers(servers), table(table), admission_control(table), adapter(adapter),
      telemetry(telemetry)
{
    callers.on_request.connect(
        [this](caller_request request) { this->on_request(std::move(request)); });
    callers.on_disconnect.connect([this](std::uint64_t request) { this->leave(request); });
    servers.on_head.connect(
        [this](std::uint64_t attempt, const http_head& head, const response_metadata& facts) {
            this->on_response_head(attempt, head, facts);
        });
    servers.on_body.connect([this](std::uint64_t attempt, std::string_view bytes) {
        this->on_response_body(attempt, bytes);
    });
    servers.on_end.connect([this](const attempt_outcome& end) { this->on_attempt_end(end); });
    servers.on_checked.connect([this](std::uint32_t server, bool exited) {
        this->on_server_checked(server_incarnation{server}, exited);
    });
}

request_path::~request_path() = default;

void request_path::set_config(router_config_ptr given)
{
    this->config = std::move(given);
    this->callers.set_limits(this->config->limits);
    for (const auto& [service, objective] : this->config->min_latency_objective)
        this->table.set_objective(service, objective);
    for (const auto& [service, traits] : this->config->services)
        this->table.set_traits(service, traits);
    for (const std::uint64_t id : std::exchange(this->awaiting_config, {})) {
        const auto found = this->requests.find(id);
        if (found != this->requests.end() && !found->second->ended) this->begin(*found->second);
    }
}

void request_path::on_request(caller_request request)
{
    auto made = std::make_unique<live_request>();
    live_request& item = *made;
    item.id = request.id;
    item.arrived = now();
    this->last_arrival_at = item.arrived;
    item.facts = this->adapter.decode_request(request.head);
    for (const std::string_view name : item.facts.ignored_headers) {
        this->telemetry.count("worksshift_ignored_headers_total{header=\"" + std::string(name) +
                              "\"}");
    }
    item.head = std::move(request.head);
    item.body = std::move(request.body);
    this->requests.emplace(item.id, std::move(made));
    if (this->config == nullptr) {
        item.deadline = item.arrived + first_config_timeout;
        this->awaiting_config.push_back(item.id);
    } else {
        this->begin(item);
    }
}

void request_path::begin(live_request& item)
{
    item.config = this->config;
    if (this->resolve_route(item)) this->dispatch(item);
}

/** Determines route, account and deadline. If there is no route or the key is unknown, answers the
 * caller and returns false. */
bool request_path::resolve_route(live_request& item)
{
    const std::string* host = item.head.find("host");
    item.matched_route = host == nullptr ? nullptr : item.config->find(*host, item.head.target);
    if (item.matched_route == nullptr) {
        this->answer_locally(item, not_found, "no route");
        return false;
    }
    item.priority = item.matched_route->priority;
    if (!item.matched_route->is_public) {
        const auto account = item.config->account_by_key.find(item.facts.api_key);
        if (account == item.config->account_by_key.end()) {
            this->answer_locally(item, unauthorized, "unknown key");
            return false;
        }
        item.account = account->second.name;
        item.account_regions = account->second.allowed_regions;
        item.priority = account->second.priority.value_or(item.priority);
    }
    item.service = pick_target(*item.matched_route, item.facts.id);
    const auto traits = item.config->services.find(item.service);
    item.engine = traits != item.config->services.end() && traits->second.engine;
    item.affinity = affinity_of(item.facts.prompt);
    item.content = content_of(item.matched_route->host, item.head.target, item.account, item.body);
    duration span = item.matched_route->timeout;
    if (item.facts.deadline) span = std::min<duration>(span, *item.facts.deadline);
    item.deadline = item.arrived + span;
    // On other routes a server that resumed would return only the tail of its response, which the
    // caller could not tell from a complete one.
    if (item.matched_route->resumable) {
        item.events.set_last_event_id(item.facts.last_event_id);
    } else if (item.facts.last_event_id) {
        this->telemetry.count("worksshift_ignored_resumptions_total");
    }
    this->budgets[item.service].on_request(item.arrived);
    if (item.engine) this->admission_control.on_request(item.service, item.affinity, item.arrived);
    return true;
}

/** Whether the request's content is blocked because servers crashed while processing it. Sending it
 * would crash another server and lose all other requests there, so the caller is answered at once.
 */
bool request_path::is_blocked(live_request& item)
{
    const instant time = now();
    const std::optional<block> found = this->suspect_contents.blocked(item.content, time);
    if (!found) return false;
    if (found->trial_due && this->is_trial_vm(item.content)) {
        this->suspect_contents.begin_trial(item.content, time);
        return false;
    }
    this->telemetry.count("worksshift_blocked_total");
    item.retry_after_hint = found->until_trial;
    this->fail(item, "blocked", "servers ended under it");
    return true;
}

void request_path::dispatch(live_request& item)
{
    if (this->is_blocked(item)) return;
    placement_request wanted{item.service, item.engine, item.affinity, item.tried_servers,
                             item.priority};
    wanted.repeatable =
        item.matched_route->repeatable() && item.runs + 1 < item.matched_route->attempts;
    wanted.allowed_regions = {item.matched_route->allowed_regions, item.account_regions};
    const admission_decision decided =
        this->admission_control.decide(wanted, item.runs == 0 && !item.response_begun, now());
    std::visit(visitor{[&](const admit_to& to) { this->send(item, to.where); },
                       [&](const retry_later& answer) { this->refuse(item, answer); },
                       [&](const no_server& none) {
                           item.retry_after_hint = none.available_in;
                           this->fail(item, "choose", "no server");
                       }},
               decided);
}

/** Answers a request that no engine can start in time with 503 and a Retry-After. */
void request_path::refuse(live_request& item, const retry_later& answer)
{
    item.where = answer.where;
    log_event(log_level::info, "refused",
              {{"request", item.facts.id},
               {"service", item.service.text},
               {"crowded", static_cast<int>(answer.where.crowded)},
               {"load", answer.where.load},
               {"mean_load", answer.where.mean_load},
               {"wait_ms", in_ms(answer.where.wait)},
               {"share", answer.view.share},
               {"asked_per_s", answer.view.asked},
               {"served_per_s", answer.view.served},
               {"taken", answer.view.taken},
               {"loads_ms", in_ms(now() - this->table.peers_summed_at)},
               {"retry_after_ms", in_ms(answer.retry_after)}});
    this->telemetry.count("worksshift_refused_total");
    this->answer_locally(item, unavailable, "not run: all engines are busy", answer.retry_after);
}

void request_path::send(live_request& item, const placement_result& where)
{
    const instant time = now();
    server_entry& row = *where.row;
    ++item.sends;
    item.attempt = (item.id << attempt_bits) | item.sends;
    item.row = &row;
    item.where = where;
    item.loads_age = time - this->table.peers_summed_at;
    item.attempt_started_at = time;
    item.sent = time;
    item.last_byte = time;
    item.refused = false;
    item.tried_servers.push_back(row.record.id);
    if (row.in_flight++ == 0) row.in_flight_since = time;
    row.health.on_sent(time);
    row.cold.on_sent(time);
    row.trial.on_sent(time);
    forward_metadata facts;
    facts.expected_server = row.record.id.text;
    facts.account = item.account.text;
    facts.remaining = std::chrono::duration_cast<milliseconds>(item.deadline - time);
    facts.resume_after = item.events.last_id();
    if (item.engine) facts.priority = item.priority;
    const std::string source =
        where.cached_at == nullptr ? std::string() : to_string(where.cached_at->record.address);
    facts.fetch_from = source;
    attempt_request order;
    order.attempt = item.attempt;
    order.server = row.record.id;
    order.address = row.record.address;
    order.request_id = item.facts.id;
    order.head = this->adapter.encode_request(item.head, facts, item.body.size());
    order.body = item.body;
    order.no_response_body = item.head.method == "HEAD";
    order.repeatable = item.matched_route->repeatable();
    this->servers.start(order);
}

live_request* request_path::find_attempt(std::uint64_t attempt)
{
    const auto found = this->requests.find(attempt >> attempt_bits);
    if (found == this->requests.end() || found->second->attempt != attempt) return nullptr;
    return found->second.get();
}

void request_path::on_response_head(std::uint64_t attempt, const http_head& head,
                                    const response_metadata& facts)
{
    live_request* item = this->find_attempt(attempt);
    if (item == nullptr) return;
    item->last_byte = now();
    item->row->last_received_at = item->last_byte;
    item->told_load = facts.load;
    if (facts.load) {
        item->row->state(*facts.load, item->last_byte);
        item->row->reported_here = true;
    }
    item->refused = facts.not_executed || head.status == misdirected;
    const std::string* type = head.find("content-type");
    item->streaming = item->matched_route->kind == route_kind::event_stream && head.status == ok &&
                      type != nullptr && type->starts_with(event_stream_type);
    // A resumed response keeps the head of the first server.
    if (!item->response_begun) item->answer = head;
    item->buffered_body.clear();
    if (head.status == misdirected) {
        this->table.mark_replaced(item->row->record.id);
    } else {
        this->apply_server_hints(*item, head.status, facts);
    }
    item->events.resume();
    item->cannot_resume = item->response_begun && !item->streaming;
}

/** Applies the shutdown and Retry-After hints of a response. They override the registry, whose
 * updates are delayed while the store is unavailable; without them, requests would still be sent to
 * a server that is shutting down. */
void request_path::apply_server_hints(const live_request& item, int status,
                                      const response_metadata& facts)
{
    server_entry& row = *item.row;
    if (facts.leaving && this->table.mark_leaving(row)) {
        log_event(
            log_level::info, "server_leaving",
            {{"server", row.record.id.text}, {"request", item.facts.id}, {"source", "its answer"}});
    }
    if (status != unavailable || !facts.retry_after) return;
    // The server would refuse requests before then. Other servers can take them, or the caller can
    // retry later.
    this->table.mark_backing_off(row, *facts.retry_after, item.last_byte);
    log_event(log_level::info, "server_resting",
              {{"server", row.record.id.text},
               {"request", item.facts.id},
               {"for_ms", in_ms(*facts.retry_after)}});
}

void request_path::on_response_body(std::uint64_t attempt, std::string_view bytes)
{
    live_request* item = this->find_attempt(attempt);
    if (item == nullptr) return;
    item->last_byte = now();
    item->row->last_received_at = item->last_byte;
    if (item->caller_left) return;
    if (!item->streaming) {
        if (item->response_begun) {
            if (!item->cannot_resume) this->callers.add(item->id, bytes);
            return;
        }
        item->buffered_body.append(bytes);
        const bool pass_on =
            item->buffered_body.size() > max_buffered_response_bytes && !item->refused;
        if (!pass_on) return;
        item->response_begun = true;
        this->callers.begin(item->id, item->answer, item->buffered_body);
        item->buffered_body.clear();
        return;
    }
    const std::string_view events = item->events.take(bytes);
    if (events.empty()) return;
    if (item->sent != instant{}) {
        item->row->first_delay.add(item->last_byte - item->sent, item->last_byte);
        item->sent = {};
    }
    if (item->response_begun) {
        this->callers.add(item->id, events);
        return;
    }
    item->response_begun = true;
    item->first_event = item->last_byte;
    this->callers.begin(item->id, item->answer, events);
}

/** Detaches the finished attempt and decrements its server's in-flight count. */
void request_path::release(live_request& item)
{
    if (item.row == nullptr) return;
    --item.row->in_flight;
    item.row = nullptr;
    item.attempt = 0;
}

void request_path::on_attempt_end(const attempt_outcome& end)
{
    live_request* found = this->find_attempt(end.attempt);
    if (found == nullptr) return;
    live_request& item = *found;
    server_entry& row = *item.row;
    const instant time = now();
    this->record_outcome(item, end, time);
    this->release(item);
    if (item.refused || end.result == send_progress::not_sent) {
        if (end.result == send_progress::not_sent) {
            row.health.on_unreachable(time);
            this->table.mark_unreachable(row, time);
        } else {
            row.health.on_neutral();
        }
        this->on_refused_attempt(item, end);
        return;
    }
    ++item.runs;
    this->record_broken_attempt(item, row.record, end, time);
    const bool whole = end.result == send_progress::answered && !item.cannot_resume &&
                       !item.events.has_partial_event();
    if (!whole) {
        row.health.on_failure(time);
        this->retry_or_fail(item, true, end.step, end.detail);
        return;
    }
    if (item.answer.status >= server_error && !item.streaming) {
        row.health.on_failure(time);
        // If no retry is possible, the server's own error response is passed on.
        if (!item.response_begun && item.answer.status != gateway_timeout &&
            this->may_retry(item, true)) {
            this->log_attempt(item, "retried", "answer", std::to_string(item.answer.status));
            this->dispatch(item);
            return;
        }
    } else {
        row.health.on_success(time);
        if (item.streaming && item.first_event != instant{})
            this->table.on_finished(row, time - item.first_event);
    }
    this->finish_answer(item);
}

/** Records the attempt's outcome in its server's statistics. */
void request_path::record_outcome(const live_request& item, const attempt_outcome& end,
                                  instant time)
{
    if (item.caller_left || item.answer.status == misdirected) return;
    // An engine that refuses a request is full, which its load already shows. Unreachability is
    // tracked by each VM separately, since it may affect only that VM.
    if (item.engine && (item.refused || end.result == send_progress::not_sent)) return;
    const bool failed =
        item.refused || end.result != send_progress::answered || item.answer.status >= server_error;
    server_table::on_answered(*item.row, time - item.sent, failed, time);
}

/** Updates crash suspicion for the request's content. A server that closed the connection early may
 * have crashed or only lost the response, so a connection check is started. */
void request_path::record_broken_attempt(const live_request& item, const server_record& server,
                                         const attempt_outcome& end, instant time)
{
    if (end.result == send_progress::answered) {
        this->suspect_contents.on_answered(item.content, time);
        return;
    }
    if (!end.peer_closed) return;
    const server_incarnation incarnation = incarnation_of(server);
    this->suspect_contents.on_attempt_broken(item.content, incarnation, time);
    this->servers.check(static_cast<std::uint32_t>(incarnation), server.id, server.address);
}

/** Result of a connection check. If nothing listens at the server's address any more, the server
 * has exited and is marked unreachable at once. */
void request_path::on_server_checked(server_incarnation incarnation, bool exited)
{
    const instant time = now();
    this->suspect_contents.on_checked(incarnation, exited, time);
    server_entry* row = this->table.find(incarnation);
    if (row == nullptr) return;
    log_event(log_level::info, "server_checked",
              {{"server", row->record.id.text},
               {"ended", exited ? 1 : 0},
               {"in_flight", row->in_flight}});
    if (!exited) return;
    row->health.on_unreachable(time);
    this->table.mark_unreachable(*row, time);
}

/** Cancels the current attempt, whose server sent nothing in time, and counts it as a failure. */
void request_path::abandon_silent_attempt(live_request& item, instant time)
{
    item.row->health.on_failure(time);
    server_table::on_answered(*item.row, time - item.sent, true, time);
    this->servers.cancel(item.attempt);
    this->release(item);
}

void request_path::finish_answer(live_request& item)
{
    // Callers take these statuses to mean "not run", which the server did not state.
    const bool unproved_refusal =
        std::ranges::find(not_run_statuses, item.answer.status) != not_run_statuses.end();
    if (!item.response_begun && unproved_refusal) {
        this->answer_locally(item, bad_gateway, "the server failed");
        return;
    }
    if (item.response_begun) {
        this->callers.finish(item.id);
    } else if (!item.caller_left) {
        this->callers.send_response(item.id, item.answer, item.buffered_body);
    }
    this->end(item, "answered", item.answer.status);
}

/** Retries or fails a request that its server did not run: the server was full, a different server
 * answered at the address, or the connection failed. */
void request_path::on_refused_attempt(live_request& item, const attempt_outcome& end)
{
    const bool sent = end.result != send_progress::not_sent;
    const bool has_budget = !sent || this->may_retry(item, false);
    const bool time_left = item.deadline - now() > min_remaining_time_to_retry;
    if (!item.caller_left && has_budget && time_left && item.sends < max_sends_per_request) {
        this->log_attempt(item, "retried", end.step, sent ? "not executed" : end.detail);
        this->dispatch(item);
        return;
    }
    this->fail(item, end.step, sent ? "not executed" : end.detail);
}

bool request_path::may_retry(live_request& item, bool may_have_run)
{
    const instant time = now();
    if (item.caller_left || item.sends >= max_sends_per_request) return false;
    if (item.deadline - time <= min_remaining_time_to_retry) return false;
    if (may_have_run &&
        (!item.matched_route->repeatable() || item.runs >= item.matched_route->attempts))
        return false;
    return this->budgets[item.service].take(time, this->budget_settings, this->vms);
}

void request_path::retry_or_fail(live_request& item, bool may_have_run, const char* step,
                                 const std::string& detail)
{
    // Once the caller has part of the response, only an event stream can be resumed.
    const bool resumable = !item.response_begun || item.streaming;
    if (resumable && this->may_retry(item, may_have_run)) {
        this->log_attempt(item, item.response_begun ? "resumed" : "retried", step, detail);
        this->telemetry.count("worksshift_retries_total");
        this->dispatch(item);
        return;
    }
    this->fail(item, step, detail);
}

/** Ends the request without another attempt: aborts a response that has begun, else answers with
 * 502 if it may have run, or 503 "not run" if not. */
void request_path::fail(live_request& item, const char* step, const std::string& detail)
{
    this->log_attempt(item, "failed", step, detail);
    if (item.response_begun) {
        this->callers.abort(item.id);
        this->end(item, "broken", 0);
        return;
    }
    if (item.runs > 0) {
        this->answer_locally(item, bad_gateway, "the server's answer was lost");
        return;
    }
    this->answer_locally(item, unavailable, "not run: " + detail,
                         std::max(item.retry_after_hint, refusal_retry_after));
}

void request_path::answer_locally(live_request& item, int status, std::string text,
                                  duration retry_after)
{
    if (!item.caller_left) this->callers.answer(item.id, {status, std::move(text), retry_after});
    this->end(item, "own_answer", status);
}

void request_path::end(live_request& item, std::string_view outcome, int status)
{
    if (item.ended) return;
    item.ended = true;
    const duration span = now() - item.arrived;
    const server_id none;
    log_event(
        log_level::info, "request",
        {{"request", item.facts.id},
         {"outcome", outcome},
         {"status", status},
         {"route", item.matched_route == nullptr ? std::string() : item.matched_route->name},
         {"account", item.account.text},
         {"content", to_text(item.content)},
         {"ignored_headers", item.facts.ignored_headers.size()},
         {"server", item.tried_servers.empty() ? none.text : item.tried_servers.back().text},
         {"rank", item.where.rank},
         {"of", item.where.candidates},
         {"load", item.where.load},
         {"told_load", item.told_load ? static_cast<int>(*item.told_load) : -1},
         {"loads_ms", in_ms(item.loads_age)},
         {"mean_load", item.where.mean_load},
         {"expected_ms", in_ms(as_duration(item.where.expected_s))},
         {"sends", item.sends},
         {"runs", item.runs},
         {"events", item.events.events()},
         {"first_ms", item.first_event == instant{} ? -1 : in_ms(item.first_event - item.arrived)},
         {"total_ms", in_ms(span)},
         {"config", item.config == nullptr ? 0 : item.config->version}});
    if (item.matched_route != nullptr) {
        this->telemetry.observe(latency::whole, item.service, item.account, span);
        if (item.first_event != instant{}) {
            this->telemetry.observe(latency::first_byte, item.service, item.account,
                                    item.first_event - item.arrived);
        }
    }
    this->telemetry.count("worksshift_requests_total{outcome=\"" + std::string(outcome) +
                          "\",status=\"" + std::to_string(status) + "\"}");
    this->finished.push_back(item.id);
}

/** The caller disconnected. A non-idempotent request is left to complete at its server; any other
 * is cancelled. */
void request_path::leave(std::uint64_t request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end() || found->second->ended) return;
    live_request& item = *found->second;
    item.caller_left = true;
    if (item.matched_route != nullptr && item.matched_route->kind == route_kind::non_idempotent)
        return;
    if (item.row != nullptr) {
        item.row->health.on_neutral();
        this->servers.cancel(item.attempt);
        this->release(item);
    }
    this->end(item, "caller_gone", 0);
}

void request_path::check_silence(live_request& item, instant time)
{
    if (item.row == nullptr || item.caller_left || !item.matched_route->repeatable()) return;
    duration limit =
        std::max<duration>(min_silence_timeout, item.matched_route->latency_objective *
                                                    silence_timeout_objective_multiple);
    // A server that still answers other requests is busy, not unreachable.
    const bool responsive = time - item.row->last_received_at <= server_entry::unresponsive_after;
    const double multiple = responsive ? this->table.policy.patience_while_heard : 1;
    limit = std::chrono::duration_cast<duration>(limit * multiple);
    if (time - item.last_byte < limit) return;
    if (item.runs + 1 >= item.matched_route->attempts) return;
    // The current attempt may still run, so it is counted before the retry limit is checked.
    ++item.runs;
    if (!this->may_retry(item, true)) {
        --item.runs;
        item.last_byte = time;
        return;
    }
    this->abandon_silent_attempt(item, time);
    this->log_attempt(item, "retried", "silence", std::to_string(in_ms(limit)) + " ms");
    this->dispatch(item);
}

void request_path::on_deadline(live_request& item)
{
    if (item.config == nullptr) {
        this->answer_locally(item, unavailable, "no configuration yet", no_config_retry_after);
        return;
    }
    if (item.row != nullptr) {
        ++item.runs;
        this->abandon_silent_attempt(item, now());
    }
    this->log_attempt(item, "failed", "deadline", {});
    if (item.response_begun) {
        this->callers.abort(item.id);
        this->end(item, "broken", 0);
        return;
    }
    this->answer_locally(item, gateway_timeout, "deadline passed");
}

/** Shifts arrivals and deadlines: callers kept waiting during the suspension, and servers must not
 * be given more time than remains. */
void request_path::on_suspended(duration span)
{
    for (const auto& [id, item] : this->requests) {
        item->arrived -= span;
        item->deadline -= span;
    }
}

void request_path::tick(instant time)
{
    for (const std::uint64_t id : this->finished)
        this->requests.erase(id);
    this->finished.clear();
    // A response can admit the next request on its connection, so `requests` may change during the
    // loop.
    std::vector<live_request*> current;
    for (const auto& [id, item] : this->requests) {
        if (!item->ended) current.push_back(item.get());
    }
    for (live_request* item : current) {
        if (time >= item->deadline) {
            this->on_deadline(*item);
        } else {
            this->check_silence(*item, time);
        }
    }
}

void request_path::log_attempt(const live_request& item, std::string_view outcome,
                               std::string_view step, std::string_view detail) const
{
    log_event(
        log_level::info, "attempt",
        {{"request", item.facts.id},
         {"outcome", outcome},
         {"step", step},
         {"detail", detail},
         {"content", to_text(item.content)},
         {"ran_ms", in_ms(now() - item.attempt_started_at)},
         {"server", item.tried_servers.empty() ? std::string() : item.tried_servers.back().text},
         {"send", item.sends},
         {"runs", item.runs},
         {"left_ms", in_ms(item.deadline - now())}});
}

} // namespace worksshift
