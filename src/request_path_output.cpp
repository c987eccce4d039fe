/** \file
 * The part of the request path that limits response data: it stops reading from the server while
 * the caller reads slowly, ends requests whose caller does not read, and closes responses of
 * servers that go on without becoming a response (`output_limits.h`).
 */
#include <algorithm>

#include "log.h"
#include "request_path.h"

namespace worksshift {

namespace {

constexpr int ok = 200;

instant now()
{
    return std::chrono::steady_clock::now();
}

std::string last_server(const live_request& request)
{
    return request.tried_servers.empty() ? std::string() : request.tried_servers.back().text;
}

} // namespace

void request_path::connect_output_signals()
{
    this->callers.on_output_full.connect([this](std::uint64_t id) {
        if (live_request* request = this->find_open(id)) this->pause_attempt(*request);
    });
    this->callers.release_bodies = [this](std::size_t needed) { this->release_bodies(needed); };
    this->callers.on_output_drained.connect([this](std::uint64_t id) {
        if (live_request* request = this->find_open(id)) this->resume_attempt(*request);
    });
    this->callers.on_long_pause.connect([this](std::uint64_t id, const client_output& output) {
        const live_request* request = this->find_open(id);
        if (request == nullptr) return;
        log_event(log_level::info, "response_paused",
                  {{"request", request->metadata.id},
                   {"server", last_server(*request)},
                   {"buffered", output.buffered},
                   {"total", this->callers.buffered_output().bytes},
                   {"unread_ms", (now() - output.read_at) / milliseconds(1)},
                   {"paused", this->callers.paused_responses()}});
    });
    this->callers.on_slow_client.connect(
        [this](std::uint64_t id, const client_output& output, slow_client_reason reason) {
            live_request* request = this->find_open(id);
            if (request != nullptr) this->on_slow_client(*request, output, reason);
        });
}

live_request* request_path::find_open(std::uint64_t request_id)
{
    const auto found = this->requests.find(request_id);
    if (found == this->requests.end() || found->second->ended) return nullptr;
    return found->second.get();
}

void request_path::pause_attempt(live_request& request)
{
    if (request.row != nullptr) {
        this->servers.pause_reading(request.attempt);
        if (!request.paused) ++request.row->paused;
    } else if (request.relay_vm) {
        this->relay_connections->pause_reading(request.attempt);
    } else {
        return;
    }
    request.paused = true;
    request.was_paused = true;
}

/** Reads the attempt's server again. The time of the pause does not count as the server's silence.
 */
void request_path::resume_attempt(live_request& request)
{
    if (!std::exchange(request.paused, false)) return;
    const instant time = now();
    request.last_byte_at = time;
    request.unproductive.reset();
    if (request.row != nullptr) {
        server_entry& row = *request.row;
        if (row.in_flight == row.paused) row.in_flight_since = time;
        --row.paused;
        this->servers.resume_reading(request.attempt);
    } else if (request.relay_vm) {
        this->relay_connections->resume_reading(request.attempt);
    }
}

/** Aborts the response of a caller that does not read, and cancels the attempt. This says nothing
 * of the server. */
void request_path::on_slow_client(live_request& request, const client_output& output,
                                  slow_client_reason reason)
{
    const instant time = now();
    log_event(log_level::info, "slow_client_closed",
              {{"request", request.metadata.id},
               {"reason", name_of(reason)},
               {"complete", 0},
               {"buffered", output.buffered},
               {"total", this->callers.buffered_output().bytes},
               {"unread_ms", (time - output.read_at) / milliseconds(1)},
               {"paused_ms", output.paused ? (time - output.paused_since) / milliseconds(1) : 0},
               {"server", last_server(request)}});
    this->cancel_attempt(request, time);
    this->callers.abort_response(request.id);
    this->end(request, "slow_client", 0);
}

/** Whether the request's body is only needed if its server states that it did not run it. */
bool request_path::may_release_body(const live_request& request) const
{
    if (request.ended || request.body == nullptr || request.body->bytes.size() < large_body_bytes ||
        request.matched_route == nullptr)
        return false;
    const bool last_run =
        !request.matched_route->repeatable() || request.runs + 1 >= request.max_runs();
    if (!last_run) return false;
    if (request.row != nullptr) return this->servers.all_sent(request.attempt);
    return request.relay_vm && this->relay_connections->all_sent(request.attempt);
}

/** Frees bodies for lack of memory, those sent first at the front. If the server of such a request
 * states that it did not run it, the caller gets a 503 in place of another attempt. */
void request_path::release_bodies(std::size_t needed)
{
    std::vector<live_request*> releasable;
    for (const auto& [id, request] : this->requests) {
        if (this->may_release_body(*request)) releasable.push_back(request.get());
    }
    std::ranges::sort(releasable, {}, &live_request::attempt_started_at);
    std::size_t freed = 0;
    for (live_request* request : releasable) {
        if (freed >= needed) return;
        const std::size_t size = request->body->bytes.size();
        freed += size;
        request->body.reset();
        request->body_released = true;
        update_charge(*request);
        this->telemetry.count("worksshift_bodies_released_total");
        log_event(log_level::info, "body_released",
                  {{"request", request->metadata.id},
                   {"bytes", size},
                   {"held", this->callers.memory_of_callers().held()},
                   {"server", last_server(*request)},
                   {"sent_ms", (now() - request->attempt_started_at) / milliseconds(1)}});
    }
}

/** Whether the bytes of a response that is not an event stream are passed on to the caller. A
 * status that means "not run" is not passed on before its end: if a server sent it without proof,
 * the caller gets a 502. A response without a length or a declared event stream is not expected on
 * a streaming route; it may be the output of a faulty server, which has no end. */
bool request_path::may_be_forwarded(const live_request& request)
{
    if (request.refused || request.cannot_resume) return false;
    if (is_not_run_status(request.response_head.status)) return false;
    const bool unexpected = request.matched_route->kind == route_kind::event_stream &&
                            request.response_head.status == ok &&
                            request.response_head.find("content-length") == nullptr;
    return !unexpected;
}

/** Handles bytes of a response body. Closes the attempt if they are part of a response without an
 * end. */
void request_path::take_body(live_request& request, std::string_view bytes)
{
    const std::uint64_t events = request.events.data_events();
    if (request.streaming || !request.refused) this->forward_body(request, bytes);
    if (request.ended) return; // its client was closed
    const bool progress =
        request.streaming ? request.events.data_events() > events : may_be_forwarded(request);
    if (progress) {
        request.unproductive.reset();
        return;
    }
    request.unproductive.add(bytes.size(), request.last_byte_at);
    this->check_progress(request, request.last_byte_at);
}

void request_path::check_progress(live_request& request, instant time)
{
    // Half of the time that the attempt had is left for another one.
    const duration limit = std::min<duration>(
        std::max(min_unproductive_time, 2 * this->silence_timeout(request, time)),
        (request.deadline - request.attempt_started_at) / 2);
    const std::optional<std::string_view> reason =
        request.streaming
            ? endless_reason(request.unproductive, max_unproductive_stream_bytes, limit, time)
            : endless_reason(request.unproductive, max_unproductive_body_bytes, std::nullopt, time);
    if (reason) this->abandon_endless_attempt(request, *reason, time);
}

/** Closes an attempt whose server sends a response without an end. Counts it as a failure of the
 * server; the request is sent again if its route allows that. */
void request_path::abandon_endless_attempt(live_request& request, std::string_view reason,
                                           instant time)
{
    log_event(log_level::warn, "endless_response",
              {{"request", request.metadata.id},
               {"server", last_server(request)},
               {"reason", reason},
               {"status", request.response_head.status},
               {"stream", request.streaming ? 1 : 0},
               {"bytes", request.unproductive.bytes},
               {"since_ms", (time - request.unproductive.since) / milliseconds(1)},
               {"relay", request.relay_vm ? to_text(*request.relay_vm) : std::string()}});
    this->telemetry.count("worksshift_endless_responses_total{reason=\"" + std::string(reason) +
                          "\"}");
    if (request.row != nullptr) {
        request.row->health.on_failure(time);
        server_table::on_attempt_ended(*request.row, time - request.sent_at, true, time);
        this->servers.cancel(request.attempt);
        this->table.on_given_up(*request.row, request.deadline, time);
        this->release(request);
    } else {
        if (request.refused) ++request.relay_refusals;
        this->cancel_relay(request,
                           request.refused ? relay_result::not_served : relay_result::served);
    }
    if (request.refused) {
        // Its head states that the request did not run, whatever follows.
        this->on_refused_attempt(request, {request.attempt, send_progress::broken, "endless", {}});
        return;
    }
    ++request.runs;
    this->retry_or_fail(request, true, "endless", std::string(reason));
}

} // namespace worksshift
