#include "request_path.h"

#include <algorithm>
#include <array>
#include <numeric>

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

duration as_duration(double value_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value_s));
}

std::int64_t in_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/** All tokens of the request's prompt, as its caller states them. */
std::uint32_t prompt_tokens_of(const request_metadata& metadata)
{
    const auto add = [](std::uint32_t sum, const prompt_part& part) { return sum + part.tokens; };
    return std::accumulate(metadata.prompt.begin(), metadata.prompt.end(), std::uint32_t{}, add);
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
    callers.on_disconnect.connect(
        [this](std::uint64_t request_id) { this->on_caller_disconnected(request_id); });
    this->connect_output_signals();
    servers.on_head.connect(
        [this](std::uint64_t attempt, const http_head& head, const response_metadata& metadata) {
            this->on_response_head(attempt, head, metadata);
        });
    servers.on_body.connect([this](std::uint64_t attempt, std::string_view bytes) {
        this->on_response_body(attempt, bytes);
    });
    servers.on_end.connect([this](const attempt_outcome& end) { this->on_attempt_end(end); });
    servers.on_connected.connect([&table](const server_id& server) {
        server_entry* row = table.find(server);
        if (row != nullptr) server_table::mark_reachable(*row, now());
    });
    this->origins.on_result = [this](stream_key stream, std::optional<software_version> version) {
        this->on_stream_version(stream, version);
    };
    servers.on_checked.connect([this](std::uint32_t server, check_result result) {
        this->on_server_checked(server_incarnation{server}, result);
    });
}

request_path::~request_path() = default;

void request_path::set_config(router_config_ptr new_config)
{
    this->config = std::move(new_config);
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

void request_path::on_request(caller_request incoming)
{
    auto owned = std::make_unique<live_request>();
    live_request& request = *owned;
    request.id = incoming.id;
    request.arrived_at = now();
    request.metadata = this->adapter.decode_request(incoming.head);
    for (const std::string_view name : request.metadata.ignored_headers) {
        this->telemetry.count("worksshift_ignored_headers_total{header=\"" + std::string(name) +
                              "\"}");
    }
    request.head = std::move(incoming.head);
    request.body = std::move(incoming.body);
    request.charge = memory_charge(this->callers.memory_of_callers(), memory_use::request);
    update_charge(request);
    request.from_vm = incoming.from_vm;
    if (request.from_vm) this->accept_relayed(request);
    ++this->arrived;
    this->requests.emplace(request.id, std::move(owned));
    if (this->config == nullptr) {
        request.deadline = request.arrived_at + first_config_timeout;
        this->awaiting_config.push_back(request.id);
    } else {
        this->begin(request);
    }
}

/** Counts what the request holds besides its head, its body and the response. */
void request_path::update_charge(live_request& request)
{
    request.charge.set((request.body_released ? request_bytes : 0) +
                       request.metadata.prompt.capacity() * sizeof(prompt_part));
}

void request_path::begin(live_request& request)
{
    request.config = this->config;
    if (this->resolve_route(request) && !this->refuse_late(request) &&
        this->resolve_version(request))
        this->dispatch(request);
}

/** Refuses a request that could be cut off by the end of this VM's shutdown. Returns whether it was
 * refused. */
bool request_path::refuse_late(live_request& request)
{
    const instant time = now();
    if (this->stop.serves(time, request.deadline)) return false;
    log_event(log_level::info, "stop_refused",
              {{"request", request.metadata.id},
               {"from_vm", request.from_vm ? 1 : 0},
               {"stopping_ms", in_ms(this->stop.elapsed(time))},
               {"left_ms", in_ms(this->stop.requests_end_at() - time)},
               {"deadline_ms", in_ms(request.deadline - time)}});
    this->telemetry.count("worksshift_stop_refused_total");
    if (request.from_vm) {
        this->respond_not_served(request, "the VM is stopping");
    } else {
        this->respond_locally(request, unavailable, "not run: the VM is stopping",
                              stop_retry_after);
    }
    return true;
}

/** Determines route, account and deadline. If there is no route or the key is unknown, answers the
 * caller and returns false. */
bool request_path::resolve_route(live_request& request)
{
    const std::string* host = request.head.find("host");
    request.matched_route =
        host == nullptr ? nullptr : request.config->find(*host, request.head.target);
    if (request.matched_route == nullptr) {
        this->respond_locally(request, not_found, "no route");
        return false;
    }
    request.priority = request.matched_route->priority;
    if (!request.matched_route->is_public) {
        const auto account = request.config->account_by_key.find(request.metadata.api_key);
        if (account == request.config->account_by_key.end()) {
            this->respond_locally(request, unauthorized, "unknown key");
            return false;
        }
        request.account = account->second.name;
        request.account_regions = account->second.allowed_regions;
        request.priority = account->second.priority.value_or(request.priority);
    }
    request.service = pick_target(*request.matched_route, request.metadata.id);
    const auto traits = request.config->services.find(request.service);
    request.engine = traits != request.config->services.end() && traits->second.engine;
    request.affinity = affinity_of(request.metadata.prompt);
    request.parts = part_keys_of(request.service, request.metadata.prompt);
    request.content = content_of(request.matched_route->host, request.head.target, request.account,
                                 request.body->text());
    duration span = request.matched_route->timeout;
    if (request.metadata.deadline) span = std::min<duration>(span, *request.metadata.deadline);
    request.deadline = request.arrived_at + span;
    // On other routes a server that resumed would return only the tail of its response, which the
    // caller could not tell from a complete one.
    if (request.matched_route->resumable) {
        request.events.set_last_event_id(request.metadata.last_event_id);
    } else if (request.metadata.last_event_id) {
        this->telemetry.count("worksshift_ignored_resumptions_total");
    }
    // The VM that relays a request counts it, so that it adds to the fleet's budget once.
    if (!request.from_vm)
        this->budgets[request.service].on_request(request.arrived_at, this->budget_settings);
    return true;
}

/** Whether the request's content, or a part of its prompt, is blocked because servers crashed while
 * processing it. Sending it would crash another server and lose all other requests there, so the
 * caller is answered at once. */
bool request_path::is_blocked(live_request& request)
{
    const instant time = now();
    if (const auto found = this->suspect_contents.blocked(request.content, time))
        return this->refuse_blocked(request, request.content, *found);
    if (const auto found = this->suspect_contents.blocked_part(request.parts, time))
        return this->refuse_blocked(request, found->first, found->second);
    return false;
}

/** Refuses the request unless it is due as a trial. Returns whether it was refused. */
bool request_path::refuse_blocked(live_request& request, content_key key, const block_state& state)
{
    const instant time = now();
    if (state.trial_due && this->is_trial_vm(key)) {
        this->suspect_contents.begin_trial(key, time);
        return false;
    }
    this->suspect_contents.on_refused(key, time);
    this->telemetry.count("worksshift_blocked_total");
    request.retry_after_hint = state.until_trial;
    this->fail(request, "blocked", "servers ended under it, key " + to_text(key));
    return true;
}

/** Ends the attempts of requests whose content, or a part of whose prompt, has just been blocked,
 * unless their servers have begun to respond. */
void request_path::cancel_blocked(instant time)
{
    const auto is_waiting = [&](const live_request& request) {
        const bool in_progress = request.row != nullptr || request.relay_vm;
        return in_progress && !request.ended && request.sent_at != instant{};
    };
    const auto is_blocked = [&](const live_request& request) {
        return this->suspect_contents.blocked(request.content, time) ||
               this->suspect_contents.blocked_part(request.parts, time);
    };
    std::vector<live_request*> found;
    for (const auto& [id, request] : this->requests) {
        if (is_waiting(*request) && is_blocked(*request)) found.push_back(request.get());
    }
    for (live_request* request : found) {
        ++request->runs;
        this->cancel_attempt(*request, time);
        this->fail(*request, "blocked", "servers ended under it");
    }
}

/** A server has begun to respond, which a part that crashes servers does not let it do. */
void request_path::note_begun(live_request& request, instant time)
{
    request.sent_at = {};
    for (const content_key part : request.parts)
        this->suspect_contents.on_answered(part, time);
}

void request_path::dispatch(live_request& request)
{
    if (request.body_released) {
        this->fail(request, "memory", "the request cannot be sent again");
        return;
    }
    if (this->is_blocked(request) || this->refuse_relayed(request) || this->relay(request)) return;
    if (request.engine && !std::exchange(request.demand_counted, true))
        this->admission_control.on_request(request.service, request.affinity, request.arrived_at);
    const admission_decision decided = this->admission_control.decide(
        placement_of(request), request.runs == 0 && !request.response_begun, now());
    std::visit(visitor{[&](const admit_to& to) {
                           this->count_decision(request, "admitted");
                           this->send(request, to.placement);
                       },
                       [&](const retry_later& refusal) { this->refuse(request, refusal); },
                       [&](const no_server& none) { this->on_no_server(request, none); }},
               decided);
}

void request_path::on_no_server(live_request& request, const no_server& none)
{
    // Another VM may have a free slot.
    if (request.from_vm && request.runs == 0 && this->table.rejections_limited(request.service)) {
        this->respond_not_served(request, std::string(no_slot_reason));
        return;
    }
    request.retry_after_hint = none.available_in;
    this->fail(request, "choose", "no server");
}

placement_request request_path::placement_of(const live_request& request)
{
    placement_request wanted{request.service, request.engine, request.affinity,
                             request.tried_servers, request.priority};
    wanted.repeatable =
        request.matched_route->repeatable() && request.runs + 1 < request.max_runs();
    wanted.allowed_regions = {request.matched_route->allowed_regions, request.account_regions};
    wanted.version = request.required_version;
    wanted.objective = request.matched_route->latency_objective;
    wanted.remaining = request.deadline - now();
    wanted.prompt_tokens = prompt_tokens_of(request.metadata);
    return wanted;
}

/** Counts the decisions on plain services, from which their admitted share follows. */
void request_path::count_decision(const live_request& request, std::string_view decision)
{
    if (request.engine) return;
    this->telemetry.count("worksshift_plain_admission_total{service=\"" + request.service.text +
                          "\",decision=\"" + std::string(decision) + "\"}");
}

/** Answers a request that no server can serve in time with 503 and a Retry-After. */
void request_path::refuse(live_request& request, const retry_later& refusal)
{
    request.placement = refusal.placement;
    this->count_decision(request, "refused");
    const plain_load plain = refusal.inputs.plain.value_or(plain_load{});
    const auto as_ms = [](double span_s) { return span_s * 1000; };
    log_event(log_level::info, "refused",
              {{"request", request.metadata.id},
               {"service", request.service.text},
               {"crowded", static_cast<int>(refusal.placement.all_engines_full)},
               {"load", refusal.placement.load},
               {"mean_load", refusal.placement.mean_load},
               {"wait_ms", in_ms(refusal.placement.wait)},
               {"start_ms", in_ms(refusal.placement.start_time)},
               {"objective_ms", in_ms(refusal.placement.objective)},
               {"fill", refusal.placement.fill},
               {"prompt_tokens", prompt_tokens_of(request.metadata)},
               {"share", refusal.inputs.admitted_share},
               {"asked_per_s", refusal.inputs.demand_per_s},
               {"served_per_s", refusal.inputs.service_rate_per_s},
               {"taken", refusal.inputs.slot_utilisation},
               {"loads_ms", in_ms(now() - this->table.peers_summed_at)},
               {"response_ms", as_ms(plain.response_s)},
               {"own_response_ms", as_ms(plain.own_response_s)},
               {"service_ms", as_ms(plain.service_s)},
               {"target_ms", as_ms(plain.target_s)},
               {"limit_per_s", plain.limit_per_s},
               {"retry_after_ms", in_ms(refusal.retry_after)}});
    this->telemetry.count("worksshift_refused_total");
    this->respond_locally(request, unavailable,
                          request.engine ? "not run: all engines are busy"
                                         : "not run: the service is overloaded",
                          refusal.retry_after);
}

void request_path::send(live_request& request, const placement_result& placement)
{
    const instant time = now();
    server_entry& row = *placement.row;
    ++request.sends;
    request.attempt = attempt_id_of(request);
    request.row = &row;
    request.placement = placement;
    request.loads_age = time - this->table.peers_summed_at;
    request.attempt_started_at = time;
    request.sent_at = time;
    request.last_byte_at = time;
    request.refused = false;
    request.unproductive.reset();
    request.was_paused = false;
    request.tried_servers.push_back(row.record.id);
    request.attempt_version = row.software;
    server_table::on_sent(row, time);
    forward_metadata metadata;
    metadata.expected_server = row.record.id.text;
    metadata.account = request.account.text;
    metadata.remaining = std::chrono::duration_cast<milliseconds>(request.deadline - time);
    metadata.resume_after = request.events.last_id();
    if (request.engine) metadata.priority = request.priority;
    const std::string source = placement.cached_at == nullptr
                                   ? std::string()
                                   : to_string(placement.cached_at->record.address);
    metadata.fetch_from = source;
    attempt_request outgoing;
    outgoing.attempt = request.attempt;
    outgoing.server = row.record.id;
    outgoing.address = row.record.address;
    outgoing.request_id = request.metadata.id;
    outgoing.head =
        this->adapter.encode_request(request.head, metadata, request.body->bytes.size());
    outgoing.body = request.body;
    outgoing.no_response_body = request.head.method == "HEAD";
    outgoing.repeatable = request.matched_route->repeatable();
    this->servers.start_attempt(outgoing);
}

/** Whether callers take the status to mean that the request did not run. */
bool request_path::is_not_run_status(int status)
{
    return std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

std::uint64_t request_path::attempt_id_of(const live_request& request)
{
    return (request.id << attempt_bits) | request.sends;
}

live_request* request_path::find_attempt(std::uint64_t attempt)
{
    const auto found = this->requests.find(attempt >> attempt_bits);
    if (found == this->requests.end() || found->second->attempt != attempt) return nullptr;
    return found->second.get();
}

void request_path::on_response_head(std::uint64_t attempt, const http_head& head,
                                    const response_metadata& metadata)
{
    live_request* request = this->find_attempt(attempt);
    if (request == nullptr) return;
    request->last_byte_at = now();
    request->row->last_received_at = request->last_byte_at;
    request->response_load = metadata.load;
    if (metadata.load) {
        request->row->set_reported_load(*metadata.load, request->last_byte_at);
        request->row->reported_here = true;
    }
    if (metadata.pace) server_table::note_pace(*request->row, *metadata.pace, now());
    request->refused = metadata.not_executed || head.status == misdirected;
    this->begin_attempt_response(*request, head);
    if (head.status == misdirected) {
        this->table.mark_replaced(request->row->record.id);
    } else {
        this->apply_server_hints(*request, head.status, metadata);
    }
}

/** Prepares for the body of an attempt's response. */
void request_path::begin_attempt_response(live_request& request, const http_head& head)
{
    const std::string* type = head.find("content-type");
    request.streaming = request.matched_route->kind == route_kind::event_stream &&
                        head.status == ok && type != nullptr &&
                        type->starts_with(event_stream_type);
    // A resumed response keeps the head of the first server.
    if (!request.response_begun) {
        request.response_head = head;
        this->add_relay_headers(request, request.response_head);
    }
    static_cast<void>(std::exchange(request.buffered_body, std::string()));
    this->callers.set_held_back(request.id, 0);
    request.events.resume();
    request.cannot_resume = request.response_begun && !request.streaming;
}

/** Applies what a response says of its server: that it is full, or has a limit of rejections, and
 * the shutdown and Retry-After hints. These override the registry, whose updates are delayed while
 * the store is unavailable; without them, requests would still be sent to a server that is shutting
 * down. */
void request_path::apply_server_hints(const live_request& request, int status,
                                      const response_metadata& metadata)
{
    server_entry& row = *request.row;
    this->table.note_rejection_limit(request.service, metadata.rejection_limit,
                                     request.last_byte_at);
    if (metadata.load && metadata.queued > 0)
        this->table.note_queue(row, *metadata.load - metadata.queued, request.last_byte_at);
    if (status == unavailable && metadata.not_executed)
        this->table.on_rejected(row, request.last_byte_at);
    if (metadata.leaving && this->table.mark_leaving(row)) {
        log_event(log_level::info, "server_leaving",
                  {{"server", row.record.id.text},
                   {"request", request.metadata.id},
                   {"source", "its answer"}});
    }
    if (status != unavailable || !metadata.retry_after) return;
    // The server would refuse requests before then. Other servers can take them, or the caller can
    // retry later.
    this->table.mark_backing_off(row, *metadata.retry_after, request.last_byte_at);
    log_event(log_level::info, "server_resting",
              {{"server", row.record.id.text},
               {"request", request.metadata.id},
               {"for_ms", in_ms(*metadata.retry_after)}});
}

void request_path::on_response_body(std::uint64_t attempt, std::string_view bytes)
{
    live_request* request = this->find_attempt(attempt);
    if (request == nullptr) return;
    request->last_byte_at = now();
    request->row->last_received_at = request->last_byte_at;
    if (!request->caller_left) this->take_body(*request, bytes);
}

/** Forwards a piece of a response to the caller: whole events of a stream, and other responses once
 * they are complete or too large to be buffered. */
void request_path::forward_body(live_request& request, std::string_view bytes)
{
    if (!request.streaming) {
        if (request.response_begun) {
            if (!request.cannot_resume) this->callers.add_response_data(request.id, bytes);
            return;
        }
        request.buffered_body.append(bytes);
        this->callers.set_held_back(request.id, request.buffered_body.capacity());
        // Less is held back while many clients read slowly.
        const std::size_t limit =
            std::min(max_buffered_response_bytes, this->callers.client_bound());
        const bool begin_forwarding =
            request.buffered_body.size() > limit && may_be_forwarded(request);
        if (!begin_forwarding) return;
        request.response_begun = true;
        // An assignment of an empty string would keep the memory.
        const std::string held_back = std::exchange(request.buffered_body, std::string());
        this->callers.begin_response(request.id, request.response_head, held_back);
        return;
    }
    const std::string_view events = request.events.filter(bytes);
    if (events.empty()) return;
    if (request.sent_at != instant{}) {
        if (request.row != nullptr) {
            request.row->first_delay.add(request.last_byte_at - request.sent_at,
                                         request.last_byte_at);
            if (request.engine) this->record_first_event(request);
        }
        this->note_begun(request, request.last_byte_at);
    }
    if (request.response_begun) {
        this->callers.add_response_data(request.id, events);
        return;
    }
    this->begin_stream(request);
    request.response_begun = true;
    request.first_event_at = request.last_byte_at;
    this->callers.begin_response(request.id, request.response_head, events);
}

/** Lets the forecast of first events learn from that of the current attempt. */
void request_path::record_first_event(const live_request& request)
{
    const duration delay = request.last_byte_at - request.sent_at;
    const duration objective = request.matched_route->latency_objective;
    this->table.on_first_event(*request.row, {prompt_tokens_of(request.metadata), delay,
                                              request.placement.wait, objective});
    if (objective > duration::zero() && delay > objective)
        this->telemetry.count("worksshift_late_first_events_total");
}

/** Detaches the finished attempt and decrements its server's in-flight count. */
void request_path::release(live_request& request)
{
    if (request.row == nullptr) return;
    if (std::exchange(request.paused, false)) --request.row->paused;
    --request.row->in_flight;
    request.row = nullptr;
    request.attempt = 0;
}

void request_path::on_attempt_end(const attempt_outcome& end)
{
    live_request* found = this->find_attempt(end.attempt);
    if (found == nullptr) return;
    live_request& request = *found;
    server_entry& row = *request.row;
    const instant time = now();
    this->record_outcome(request, end, time);
    this->release(request);
    if (request.refused || end.result == send_progress::not_sent) {
        if (end.result == send_progress::not_sent) {
            row.health.on_unreachable(time);
            this->table.mark_unreachable(row, time);
        } else {
            row.health.on_neutral();
        }
        this->on_refused_attempt(request, end);
        return;
    }
    ++request.runs;
    if (end.step == parse_step) this->count_malformed("server");
    this->record_broken_attempt(request, row.record, end, time);
    const bool complete = end.result == send_progress::answered && !request.cannot_resume &&
                          !request.events.has_partial_event();
    if (!complete) {
        // A server may break off a response that this VM did not read in time.
        if (request.was_paused) {
            row.health.on_neutral();
        } else {
            row.health.on_failure(time);
        }
        if (end.peer_closed && this->is_suspect(request, time)) {
            this->fail(request, end.step, end.detail);
            return;
        }
        this->retry_or_fail(request, true, end.step, end.detail);
        return;
    }
    if (request.response_head.status >= server_error && !request.streaming) {
        row.health.on_failure(time);
        // If no retry is possible, the server's own error response is passed on.
        if (!request.response_begun && request.response_head.status != gateway_timeout &&
            this->may_retry(request, true)) {
            this->log_attempt(request, "retried", "answer",
                              std::to_string(request.response_head.status));
            this->dispatch(request);
            return;
        }
    } else {
        row.health.on_success(time);
        if (request.streaming && request.first_event_at != instant{} && !request.was_paused)
            this->table.on_finished(row, time - request.first_event_at);
    }
    this->finish_answer(request);
}

/** \p from: what sent the malformed response, a server or another VM. */
void request_path::count_malformed(std::string_view from)
{
    this->telemetry.count("worksshift_malformed_responses_total{from=\"" + std::string(from) +
                          "\"}");
}

/** Records the attempt's outcome in its server's statistics. */
void request_path::record_outcome(const live_request& request, const attempt_outcome& end,
                                  instant time)
{
    if (request.caller_left || request.response_head.status == misdirected) return;
    if (request.was_paused) return;
    // An engine that refuses a request is full, which its load already shows. Unreachability is
    // tracked by each VM separately, since it may affect only that VM.
    if (request.engine && (request.refused || end.result == send_progress::not_sent)) return;
    const bool failed = request.refused || end.result != send_progress::answered ||
                        request.response_head.status >= server_error;
    server_table::on_attempt_ended(*request.row, time - request.sent_at, failed, time);
}

/** Updates crash suspicion for the request's content. A server that closed the connection early may
 * have crashed or only lost the response, so a connection check is started. */
void request_path::record_broken_attempt(live_request& request, const server_record& server,
                                         const attempt_outcome& end, instant time)
{
    if (end.result == send_progress::answered) {
        this->suspect_contents.on_answered(request.content, time);
        const bool begun = request.response_head.status == ok && request.sent_at != instant{};
        if (begun) this->note_begun(request, time);
        return;
    }
    if (!end.peer_closed) return;
    const server_incarnation incarnation = incarnation_of(server);
    this->suspect_contents.on_attempt_broken(request.content, incarnation, time);
    if (request.sent_at != instant{}) {
        for (const content_key part : request.parts)
            this->suspect_contents.on_attempt_broken(part, incarnation, time);
    }
    this->servers.check_process(static_cast<std::uint32_t>(incarnation), server.id, server.address);
}

/** Whether servers crashed before they began to respond to requests with a part of this one's
 * prompt, so that the next server would probably crash, too. */
bool request_path::is_suspect(const live_request& request, instant time) const
{
    return request.sent_at != instant{} &&
           std::ranges::any_of(request.parts, [this, time](content_key part) {
               return this->suspect_contents.suspicious(part, time);
           });
}

/** Result of a connection check. If nothing listens at the server's address any more, the server
 * has exited and is marked unreachable at once. */
void request_path::on_server_checked(server_incarnation incarnation, check_result result)
{
    const instant time = now();
    const bool exited = result == check_result::refused;
    this->suspect_contents.on_checked(incarnation, exited, time);
    server_entry* row = this->table.find(incarnation);
    if (row == nullptr) return;
    log_event(log_level::info, "server_checked",
              {{"server", row->record.id.text},
               {"ended", exited ? 1 : 0},
               {"in_flight", row->in_flight}});
    if (result == check_result::unanswered) row->path.on_connect_failed(time);
    if (!exited) return;
    row->health.on_unreachable(time);
    this->table.mark_unreachable(*row, time);
}

/** Cancels the current attempt, whose server sent nothing in time, and counts it as a failure. */
void request_path::abandon_silent_attempt(live_request& request, instant time)
{
    this->cancel_relay(request, relay_result::unreachable);
    if (request.row == nullptr) return;
    if (request.was_paused) {
        request.row->health.on_neutral();
    } else {
        request.row->health.on_failure(time);
        server_table::on_attempt_ended(*request.row, time - request.sent_at, true, time);
    }
    this->servers.cancel(request.attempt);
    this->table.on_given_up(*request.row, request.deadline, time);
    this->release(request);
}

/** Cancels the current attempt, if there is one, for a reason that is not its server's. */
void request_path::cancel_attempt(live_request& request, instant time)
{
    this->cancel_relay(request, relay_result::unknown);
    if (request.row == nullptr) return;
    request.row->health.on_neutral();
    this->servers.cancel(request.attempt);
    this->table.on_given_up(*request.row, request.deadline, time);
    this->release(request);
}

void request_path::finish_answer(live_request& request)
{
    // Callers take these statuses to mean "not run", which the server did not state.
    if (!request.response_begun && is_not_run_status(request.response_head.status)) {
        this->respond_locally(request, bad_gateway, "the server failed");
        return;
    }
    this->send_answer(request);
}

/** Passes the complete response on to the caller. */
void request_path::send_answer(live_request& request)
{
    if (request.response_begun) {
        this->callers.finish_response(request.id);
    } else if (!request.caller_left) {
        this->callers.send_response(request.id, request.response_head, request.buffered_body);
    }
    this->end(request, "answered", request.response_head.status);
}

/** Retries or fails a request that its server did not run: the server was full, a different server
 * answered at the address, or the connection failed. */
void request_path::on_refused_attempt(live_request& request, const attempt_outcome& end)
{
    const bool sent = end.result != send_progress::not_sent;
    const std::string detail = sent ? "not executed" : end.detail;
    if (sent && !this->may_retry(request, false)) {
        this->fail(request, end.step, detail);
        return;
    }
    this->retry_elsewhere(request, end.step, detail);
}

bool request_path::may_retry(live_request& request, bool may_have_run)
{
    const instant time = now();
    if (request.caller_left || request.sends >= max_sends_per_request) return false;
    if (request.deadline - time <= min_remaining_time_to_retry) return false;
    if (may_have_run &&
        (!request.matched_route->repeatable() || request.runs >= request.max_runs()))
        return false;
    if (this->budgets[request.service].withdraw(time, this->budget_settings, this->fleet))
        return true;
    this->telemetry.count("worksshift_retries_withheld_total");
    return false;
}

void request_path::retry_or_fail(live_request& request, bool may_have_run, const char* step,
                                 const std::string& detail)
{
    // Once the caller has part of the response, only an event stream can be resumed.
    const bool resumable = !request.response_begun || request.streaming;
    if (resumable && this->may_retry(request, may_have_run)) {
        this->log_attempt(request, request.response_begun ? "resumed" : "retried", step, detail);
        this->telemetry.count("worksshift_retries_total");
        this->dispatch(request);
        return;
    }
    this->fail(request, step, detail);
}

/** Ends the request without another attempt: aborts a response that has begun, else answers with
 * 502 if it may have run, or 503 "not run" if not. */
void request_path::fail(live_request& request, const char* step, const std::string& detail)
{
    this->log_attempt(request, "failed", step, detail);
    if (request.response_begun) {
        this->callers.abort_response(request.id);
        this->end(request, "broken", 0);
        return;
    }
    if (request.runs > 0) {
        this->respond_locally(request, bad_gateway, "the server's answer was lost");
        return;
    }
    if (request.from_vm && step == connect_step) {
        this->respond_not_served(request, "no server can be reached");
        return;
    }
    this->respond_locally(request, unavailable, "not run: " + detail,
                          std::max(request.retry_after_hint, refusal_retry_after));
}

void request_path::respond_locally(live_request& request, int status, std::string text,
                                   duration retry_after)
{
    if (!request.caller_left)
        this->callers.send_local_response(request.id, {status, std::move(text), retry_after, {}});
    this->end(request, "own_answer", status);
}

void request_path::end(live_request& request, std::string_view outcome, int status)
{
    if (request.ended) return;
    request.ended = true;
    request.body.reset();
    if (request.from_vm) --this->relayed_in_progress;
    const duration span = now() - request.arrived_at;
    const server_id none;
    log_event(
        log_level::info, "request",
        {{"request", request.metadata.id},
         {"outcome", outcome},
         {"status", status},
         {"route", request.matched_route == nullptr ? std::string() : request.matched_route->name},
         {"account", request.account.text},
         {"content", to_text(request.content)},
         {"ignored_headers", request.metadata.ignored_headers.size()},
         {"server", request.tried_servers.empty() ? none.text : request.tried_servers.back().text},
         {"rank", request.placement.rank},
         {"of", request.placement.candidates},
         {"load", request.placement.load},
         {"told_load", request.response_load ? static_cast<int>(*request.response_load) : -1},
         {"loads_ms", in_ms(request.loads_age)},
         {"mean_load", request.placement.mean_load},
         {"expected_ms", in_ms(as_duration(request.placement.expected_s))},
         {"from_vm", request.from_vm ? 1 : 0},
         {"relayed_by", request.relayed_by == 0 ? std::string() : to_text(request.relayed_by)},
         {"sends", request.sends},
         {"runs", request.runs},
         {"events", request.events.events()},
         {"first_ms", request.first_event_at == instant{}
                          ? -1
                          : in_ms(request.first_event_at - request.arrived_at)},
         {"total_ms", in_ms(span)},
         {"config", request.config == nullptr ? 0 : request.config->version}});
    // The VM to which the caller is connected measures relayed requests.
    if (request.matched_route != nullptr && !request.from_vm) {
        this->telemetry.observe(latency::total, request.service, request.account, span);
        if (request.first_event_at != instant{}) {
            this->telemetry.observe(latency::first_byte, request.service, request.account,
                                    request.first_event_at - request.arrived_at);
        }
    }
    this->telemetry.count("worksshift_requests_total{outcome=\"" + std::string(outcome) +
                          "\",status=\"" + std::to_string(status) + "\"}");
    this->finished.push_back(request.id);
}

/** The caller disconnected. A non-idempotent request is left to complete at its server; any other
 * is cancelled. */
void request_path::on_caller_disconnected(std::uint64_t request_id)
{
    const auto found = this->requests.find(request_id);
    if (found == this->requests.end() || found->second->ended) return;
    live_request& request = *found->second;
    request.caller_left = true;
    if (request.matched_route != nullptr &&
        request.matched_route->kind == route_kind::non_idempotent) {
        this->resume_attempt(request);
        return;
    }
    this->cancel_attempt(request, now());
    this->end(request, "caller_gone", 0);
}

/** How long the current attempt may send nothing before a repeatable request is sent again. */
duration request_path::silence_timeout(const live_request& request, instant time) const
{
    const duration limit =
        std::max<duration>(min_silence_timeout, request.matched_route->latency_objective *
                                                    silence_timeout_objective_multiple);
    // A server that still answers other requests is busy, not unreachable. Nothing is known of the
    // server behind another VM.
    const bool responsive = request.row == nullptr || time - request.row->last_received_at <=
                                                          server_entry::unresponsive_after;
    const double multiple = responsive ? this->table.policy.responsive_timeout_multiple : 1;
    return std::chrono::duration_cast<duration>(limit * multiple);
}

/** Whether another server or VM could take the request. If not, a server that is silent for a
 * moment is more likely to respond than a retry. */
bool request_path::has_alternative(const live_request& request, instant time)
{
    if (request.relay_vm) return this->relay_vms.size() > 1;
    const service_reach* reach = this->table.reach_of(request.service);
    if (reach != nullptr && reach->cut_off() && this->relay_vms.size() > 0) return true;
    return this->table.has_healthy_candidate(placement_of(request), time);
}

void request_path::check_silence(live_request& request, instant time)
{
    const bool in_progress = request.row != nullptr || request.relay_vm;
    if (!in_progress || request.caller_left || !request.matched_route->repeatable()) return;
    if (request.paused) return;
    const duration limit = this->silence_timeout(request, time);
    if (time - request.last_byte_at < limit) return;
    if (request.runs + 1 >= request.max_runs()) return;
    if (!this->has_alternative(request, time)) {
        request.last_byte_at = time;
        return;
    }
    // The current attempt may still run, so it is counted before the retry limit is checked.
    ++request.runs;
    if (!this->may_retry(request, true)) {
        --request.runs;
        request.last_byte_at = time;
        return;
    }
    this->abandon_silent_attempt(request, time);
    this->log_attempt(request, "retried", "silence", std::to_string(in_ms(limit)) + " ms");
    this->dispatch(request);
}

void request_path::on_deadline(live_request& request)
{
    if (request.config == nullptr) {
        this->respond_locally(request, unavailable, "no configuration yet", no_config_retry_after);
        return;
    }
    if (request.row != nullptr || request.relay_vm) {
        ++request.runs;
        this->abandon_silent_attempt(request, now());
    }
    this->log_attempt(request, "failed", "deadline", {});
    if (request.response_begun) {
        this->callers.abort_response(request.id);
        this->end(request, "broken", 0);
        return;
    }
    this->respond_locally(request, gateway_timeout, "deadline passed");
}

/** Shifts arrivals and deadlines: callers kept waiting during the suspension, and servers must not
 * be given more time than remains. */
void request_path::on_suspended(duration span)
{
    for (const auto& [id, request] : this->requests) {
        request->arrived_at -= span;
        request->deadline -= span;
    }
    for (auto& [service, budget] : this->budgets)
        budget.on_suspended(span);
}

void request_path::tick(instant time)
{
    for (const std::uint64_t id : this->finished)
        this->requests.erase(id);
    this->finished.clear();
    this->check_reach(time);
    if (this->suspect_contents.take_newly_blocked()) this->cancel_blocked(time);
    this->origins.tick(time);
    for (live_request* request : this->requests_in_progress()) {
        if (time >= request->deadline) {
            this->on_deadline(*request);
        } else {
            this->check_silence(*request, time);
        }
    }
}

/** A copy, since a response can admit the next request on its connection. */
std::vector<live_request*> request_path::requests_in_progress() const
{
    std::vector<live_request*> current;
    for (const auto& [id, request] : this->requests) {
        if (!request->ended) current.push_back(request.get());
    }
    return current;
}

std::size_t request_path::end_requests()
{
    const std::vector<live_request*> current = this->requests_in_progress();
    for (live_request* request : current) {
        if (request->config == nullptr) {
            this->respond_locally(*request, unavailable, "no configuration yet",
                                  no_config_retry_after);
            continue;
        }
        if (request->row != nullptr || request->relay_vm) ++request->runs;
        this->cancel_attempt(*request, now());
        this->fail(*request, "stop", "the grace period is over");
    }
    return current.size();
}

void request_path::log_attempt(const live_request& request, std::string_view outcome,
                               std::string_view step, std::string_view detail)
{
    const instant time = now();
    const double budget_left =
        this->budgets[request.service].available(time, this->budget_settings, this->fleet);
    log_event(log_level::info, "attempt",
              {{"request", request.metadata.id},
               {"outcome", outcome},
               {"step", step},
               {"detail", detail},
               {"content", to_text(request.content)},
               {"parts", to_text(std::span(request.metadata.prompt))},
               {"begun", request.sent_at == instant{} ? 1 : 0},
               {"ran_ms", in_ms(time - request.attempt_started_at)},
               {"relay", request.relayed_by == 0 ? std::string() : to_text(request.relayed_by)},
               {"server",
                request.tried_servers.empty() ? std::string() : request.tried_servers.back().text},
               {"send", request.sends},
               {"runs", request.runs},
               {"budget_left", budget_left},
               {"vms", this->fleet.vms},
               {"left_ms", in_ms(request.deadline - time)}});
}

} // namespace worksshift
