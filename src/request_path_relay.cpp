/** \file
 * The part of the request path that relays requests through another VM while this VM is cut off
 * from the servers, and answers the requests that other VMs relay to it.
 *
 * A relayed request is treated as if the other VM were its server: an attempt runs it at most once,
 * and retries are decided here. It passes at most one other VM, since a VM sends what it receives
 * from another VM to its own servers only.
 */
#include <algorithm>
#include <charconv>
#include <ranges>

#include "log.h"
#include "relay_headers.h"
#include "request_path.h"

namespace worksshift {

namespace {

constexpr int unavailable = 503;
constexpr int server_error = 500;
constexpr int bad_gateway = 502;

instant now()
{
    return std::chrono::steady_clock::now();
}

/** The version in a header of another VM; `unknown` if it is not a number. */
software_version parse_version(std::string_view text)
{
    std::uint32_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool valid = fault == std::errc{} && end == text.data() + text.size();
    return valid ? software_version{number} : software_version::unknown;
}

} // namespace

void request_path::enable_relay(server_connections& connections, std::uint16_t port)
{
    this->relay_connections = &connections;
    this->relay_port = port;
    connections.on_head.connect(
        [this](std::uint64_t attempt, const http_head& head, const response_metadata& metadata) {
            this->on_relay_head(attempt, head, metadata);
        });
    connections.on_body.connect([this](std::uint64_t attempt, std::string_view bytes) {
        live_request* request = this->find_attempt(attempt);
        if (request == nullptr) return;
        request->last_byte_at = now();
        if (!request->caller_left) this->take_body(*request, bytes);
    });
    connections.on_end.connect([this](const attempt_outcome& end) { this->on_relay_end(end); });
}

/** Relays the request if this VM is cut off from its servers, or if that may be the case and no
 * other request is finding it out. Returns false if the request is to be sent from here. */
bool request_path::relay(live_request& request)
{
    if (request.from_vm || this->relay_connections == nullptr) return false;
    const instant time = now();
    service_reach* reach = this->table.reach_of(request.service);
    if (reach == nullptr) return false;
    if (this->relay_for_slot(request, time)) return true;
    // A request that another VM did not serve goes on to the next one, also as a trial.
    const bool refused = request.relay_refusals > 0;
    const bool trial = !reach->cut_off() && reach->trial_due(time);
    if (!reach->cut_off() && !trial && !(refused && reach->mostly_lost())) return false;
    const std::optional<std::uint32_t> vm = this->relay_vms.choose(
        request.service, {request.matched_route->allowed_regions, request.account_regions}, refused,
        time);
    if (!vm) return false;
    if (trial) reach->on_trial_sent(time);
    this->send_to_vm(request, *vm);
    return true;
}

/** Relays the request if this VM has no free slot of its service, and others may have one. */
bool request_path::relay_for_slot(live_request& request, instant time)
{
    const std::optional<std::uint32_t> vm = this->relay_vms.choose_from(
        this->table.slot_owners(request.service, request.tried_vms, time), request.service,
        {request.matched_route->allowed_regions, request.account_regions}, time);
    if (!vm) return false;
    this->send_to_vm(request, *vm);
    return true;
}

void request_path::send_to_vm(live_request& request, std::uint32_t vm)
{
    const instant time = now();
    ++request.sends;
    request.attempt = attempt_id_of(request);
    request.relay_vm = vm;
    request.tried_vms.push_back(vm);
    request.attempt_started_at = time;
    request.sent_at = time;
    request.last_byte_at = time;
    request.refused = false;
    request.unproductive.reset();
    request.was_paused = false;
    request.relay_responded = false;
    http_head head = request.head;
    remove_header(head, relay_lost_header);
    remove_header(head, relay_version_header);
    if (request.required_version) {
        head.headers.push_back(
            {std::string(relay_version_header),
             std::to_string(static_cast<std::uint32_t>(*request.required_version))});
    }
    const service_reach* reach = this->table.reach_of(request.service);
    if (reach != nullptr && !reach->cut_off()) {
        const std::string lost = this->lost_servers(request.service);
        if (!lost.empty()) head.headers.push_back({std::string(relay_lost_header), lost});
    }
    forward_metadata metadata;
    metadata.remaining = std::chrono::duration_cast<milliseconds>(request.deadline - time);
    metadata.resume_after = request.events.last_id();
    attempt_request outgoing;
    outgoing.attempt = request.attempt;
    outgoing.server.text = to_text(vm);
    outgoing.address = {outgoing.server.text, this->relay_port};
    outgoing.request_id = request.metadata.id;
    outgoing.head =
        this->adapter.encode_relayed_request(head, metadata, request.body->bytes.size());
    outgoing.body = request.body;
    outgoing.no_response_body = request.head.method == "HEAD";
    outgoing.repeatable = request.matched_route->repeatable();
    this->relay_connections->start_attempt(outgoing);
}

void request_path::on_relay_head(std::uint64_t attempt, http_head head,
                                 const response_metadata& metadata)
{
    live_request* request = this->find_attempt(attempt);
    if (request == nullptr) return;
    request->last_byte_at = now();
    request->relay_responded = true;
    request->attempt_version = parse_version(remove_header(head, relay_version_header));
    if (this->has_wrong_version(*request, head.status)) {
        // A VM of an earlier release does not heed the version.
        ++request->runs;
        this->cancel_relay(*request, relay_result::not_served);
        this->fail(*request, "resume", "the other VM does not state the software version");
        return;
    }
    const std::string refusal = remove_header(head, relay_refused_header);
    request->refused = !refusal.empty();
    request->refused_for_slot = refusal == no_slot_reason;
    request->relay_server.text = remove_header(head, relay_server_header);
    if (request->refused_for_slot) {
        this->table.confirm_rejection_limit(request->service, request->last_byte_at);
    } else if (!request->relay_server.text.empty()) {
        this->table.note_rejection_limit(request->service, metadata.rejection_limit,
                                         request->last_byte_at);
    }
    this->apply_answered_servers(remove_header(head, relay_answered_header), request->last_byte_at);
    const std::uint32_t hint = parse_ipv4(remove_header(head, relay_hint_header));
    if (hint != 0) this->relay_vms.on_hint(hint, request->service, request->last_byte_at);
    this->begin_attempt_response(*request, head);
}

void request_path::on_relay_end(const attempt_outcome& end)
{
    live_request* found = this->find_attempt(end.attempt);
    if (found == nullptr) return;
    live_request& request = *found;
    const instant time = now();
    const bool not_sent = end.result == send_progress::not_sent;
    if (not_sent || request.refused) {
        const bool busy = !not_sent && request.refused_for_slot;
        if (!busy) ++request.relay_refusals;
        this->release_relay(request, not_sent ? relay_result::unreachable
                                     : busy   ? relay_result::busy
                                              : relay_result::not_served);
        this->retry_elsewhere(request, "relay", not_sent ? end.detail : "refused");
        return;
    }
    if (end.step == parse_step) this->count_malformed("vm");
    const bool answered = end.result == send_progress::answered;
    // A VM that breaks off a response has got one, and its server may have broken it off.
    const bool responded = answered || request.relay_responded;
    this->release_relay(request, responded ? relay_result::served : relay_result::unreachable);
    const int status = request.response_head.status;
    // A VM of an earlier release may pass on the status of a server that ran the request.
    const bool of_the_vm = request.relay_server.empty();
    if (answered && !request.response_begun && of_the_vm && is_not_run_status(status)) {
        this->pass_on_refusal(request);
        return;
    }
    ++request.runs;
    if (!answered || request.cannot_resume || request.events.has_partial_event()) {
        this->retry_or_fail(request, true, "relay", end.detail);
        return;
    }
    if (server_entry* row = this->table.find(request.relay_server); row != nullptr)
        row->path.on_answered_other(time);
    const bool failed = status >= server_error && !request.streaming;
    if (failed && !request.response_begun && this->may_retry(request, true)) {
        this->log_attempt(request, "retried", "relay", std::to_string(status));
        this->dispatch(request);
        return;
    }
    this->finish_answer(request);
}

/** Another VM, unlike a server, says "not run" only of a request that it sent to no server. An
 * earlier attempt may have run all the same. */
void request_path::pass_on_refusal(live_request& request)
{
    if (request.runs > 0) {
        this->respond_locally(request, bad_gateway, "the server's answer was lost");
    } else {
        this->send_answer(request);
    }
}

/** Sends a request that ran nowhere again, through another VM or from here. */
void request_path::retry_elsewhere(live_request& request, const char* step,
                                   const std::string& detail)
{
    const bool time_left = request.deadline - now() > min_remaining_time_to_retry;
    if (request.caller_left || !time_left || request.sends >= max_sends_per_request) {
        this->fail(request, step, detail);
        return;
    }
    this->log_attempt(request, "retried", step, detail);
    this->dispatch(request);
}

/** Detaches the attempt at another VM. */
void request_path::release_relay(live_request& request, relay_result result)
{
    if (!request.relay_vm) return;
    const std::uint32_t vm = *request.relay_vm;
    this->relay_vms.on_ended(vm, request.service, result, now());
    this->telemetry.count("worksshift_relayed_total{result=\"" + std::string(name_of(result)) +
                          "\"}");
    request.relayed_by = vm;
    request.paused = false;
    request.relay_vm.reset();
    request.attempt = 0;
}

/** Cancels the attempt at another VM, which then stops its server. */
void request_path::cancel_relay(live_request& request, relay_result result)
{
    if (!request.relay_vm) return;
    this->relay_connections->cancel(request.attempt);
    this->release_relay(request, result);
}

void request_path::accept_relayed(live_request& request)
{
    ++this->relayed_in_progress;
    for (std::string& id : split_list(remove_header(request.head, relay_lost_header)))
        request.asked_servers.push_back({std::move(id)});
    const std::string version = remove_header(request.head, relay_version_header);
    if (!version.empty()) request.required_version = parse_version(version);
}

/** Servers of the service that cannot be reached, those lost first at the front. */
std::string request_path::lost_servers(const service_id& service) const
{
    std::vector<const server_entry*> lost;
    for (const auto& [id, row] : this->table.rows()) {
        if (row.record.service == service && row.path.lost()) lost.push_back(&row);
    }
    std::ranges::sort(lost, {}, [](const server_entry* row) { return row->path.lost_at(); });
    std::string list;
    for (const server_entry* row : lost | std::views::take(max_relay_servers))
        list.append(list.empty() ? "" : ",").append(row->record.id.text);
    return list;
}

/** Which of the servers that the other VM asked about have answered, and how long ago. */
std::string request_path::answered_servers(const live_request& request) const
{
    const instant time = now();
    std::string list;
    for (const server_id& id : request.asked_servers) {
        const auto found = this->table.rows().find(id);
        if (found == this->table.rows().end()) continue;
        const server_entry& row = found->second;
        const instant at = std::max(row.last_received_at, row.path.last_answered_other_at());
        if (at == instant{}) continue;
        list.append(list.empty() ? "" : ",").append(id.text).append("=");
        list.append(std::to_string((time - at) / milliseconds(1)));
    }
    return list;
}

void request_path::apply_answered_servers(const std::string& list, instant time)
{
    for (const std::string& entry : split_list(list)) {
        const std::size_t separator = entry.rfind('=');
        if (separator == std::string::npos) continue;
        std::int64_t age_ms = 0;
        const char* end = entry.data() + entry.size();
        const auto parsed = std::from_chars(entry.data() + separator + 1, end, age_ms);
        server_entry* row = this->table.find(server_id{entry.substr(0, separator)});
        const bool valid = parsed.ec == std::errc{} && parsed.ptr == end && age_ms >= 0;
        if (row != nullptr && valid) row->path.on_answered_other(time - milliseconds(age_ms));
    }
}

/** Answers a request of another VM at once if it would not reach a server from here either. */
bool request_path::refuse_relayed(live_request& request)
{
    if (!request.from_vm || request.runs > 0) return false;
    const service_reach* reach = this->table.reach_of(request.service);
    if (this->relayed_in_progress > max_relayed_requests) {
        this->respond_not_served(request, "too many requests of other VMs");
    } else if (reach != nullptr && reach->mostly_lost()) {
        this->respond_not_served(request, "most servers cannot be reached");
    } else {
        return false;
    }
    return true;
}

/** Tells the VM that relayed the request to try another one. */
void request_path::respond_not_served(live_request& request, std::string reason)
{
    log_event(log_level::info, "relay_refused",
              {{"request", request.metadata.id},
               {"service", request.service.text},
               {"reason", reason},
               {"in_progress", this->relayed_in_progress}});
    if (!request.caller_left) {
        local_response response{unavailable, "not run: " + reason, refusal_retry_after, {}};
        response.headers.push_back({std::string(relay_refused_header), std::move(reason)});
        const auto serving = this->relay_vms.any_serving(request.service, now());
        if (serving)
            response.headers.push_back({std::string(relay_hint_header), to_text(*serving)});
        this->callers.send_local_response(request.id, response);
    }
    this->end(request, "relay_refused", unavailable);
}

/** Names the server in the response to another VM, and one more VM that serves. */
void request_path::add_relay_headers(const live_request& request, http_head& head) const
{
    if (!request.from_vm || request.row == nullptr) return;
    remove_header(head, relay_refused_header);
    remove_header(head, relay_server_header);
    remove_header(head, relay_hint_header);
    remove_header(head, relay_answered_header);
    remove_header(head, relay_version_header);
    const std::string answered = this->answered_servers(request);
    if (!answered.empty()) head.headers.push_back({std::string(relay_answered_header), answered});
    const auto serving = this->find_serving_vm(request.service);
    if (serving) head.headers.push_back({std::string(relay_hint_header), to_text(*serving)});
    head.headers.push_back({std::string(relay_server_header), request.row->record.id.text});
    if (this->has_certain_version(request)) {
        head.headers.push_back(
            {std::string(relay_version_header),
             std::to_string(static_cast<std::uint32_t>(request.attempt_version))});
    }
}

/** Checks servers that may have become reachable again, or whose state shows whether this VM is
 * cut off. */
void request_path::check_reach(instant time)
{
    for (const service_id& service : this->table.update_reach(time)) {
        const service_reach* reach = this->table.reach_of(service);
        const reach_counts& counts = reach->counts();
        log_event(log_level::warn, reach->cut_off() ? "cut_off" : "cut_off_over",
                  {{"service", service.text},
                   {"servers", counts.servers},
                   {"lost", counts.lost},
                   {"lost_here_only", counts.lost_here_only},
                   {"reached", counts.reached},
                   {"vms", this->relay_vms.size()}});
    }
    for (const server_entry* row : this->table.next_reach_checks(time)) {
        this->servers.check_process(static_cast<std::uint32_t>(row->incarnation), row->record.id,
                                    row->record.address);
    }
}

} // namespace worksshift
