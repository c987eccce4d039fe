#include "http_frontend.h"

#include <algorithm>
#include <random>

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include "log.h"

namespace worksshift {

namespace {

constexpr std::size_t max_request_header_bytes = std::size_t{64} * 1024;
/** Copies of a request's body: parsed, for its attempts, and on its way to a server. */
constexpr std::size_t body_copies = 3;
constexpr std::uint32_t no_room_retry_after_ms = 500;
/** As `send_error` answers for lack of memory, without its body. */
constexpr std::string_view no_room_response =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nX-Worksshift-Outcome: not_run\r\n"
    "Retry-After: 1\r\nRetry-After-Ms: 500\r\nContent-Length: 0\r\n\r\n";
constexpr int milliseconds_per_second = 1000;

const char* method_name(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_POST:
        return "POST";
    default:
        return "OTHER";
    }
}

std::vector<header> copy_headers(const evkeyvalq* list)
{
    std::vector<header> copied;
    for (const evkeyval* entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        copied.push_back({entry->key, entry->value});
    }
    return copied;
}

const char* outcome_name(outcome result)
{
    switch (result) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "";
}

void send_text(evhttp_request* request, int status, const char* type, const std::string& text)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", type);
    event_ptr<evbuffer> body(evbuffer_new());
    evbuffer_add(body.get(), text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, body.get());
}

void send_error(evhttp_request* request, const fail_request& failure)
{
    const nlohmann::json body{
        {"error",
         {{"message", failure.message},
          {"type", failure.result == outcome::not_run ? "not_run" : "unknown"},
          {"code", failure.code},
          {"step", failure.step},
          {"peer", failure.peer}}}};
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Worksshift-Outcome", outcome_name(failure.result));
    if (failure.retry_after_ms > 0) {
        const auto retry_after_s =
            (failure.retry_after_ms + milliseconds_per_second - 1) / milliseconds_per_second;
        evhttp_add_header(headers, "Retry-After", std::to_string(retry_after_s).c_str());
        evhttp_add_header(headers, "Retry-After-Ms",
                          std::to_string(failure.retry_after_ms).c_str());
    }
    send_text(request, failure.status, "application/json",
              body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

http_bounds bounds_for_callers(const settings& options, const memory_account& memory)
{
    http_bounds bounds;
    bounds.head_bytes = max_request_header_bytes;
    // evhttp's own error lacks the headers of send_error, so its limit is above the one that
    // handle_http_request checks.
    bounds.body_bytes = std::size_t{2} * options.max_request_body_bytes;
    bounds.connections = memory.bounds().connections;
    bounds.idle_timeout = seconds(options.idle_timeout_s);
    bounds.no_room_response = no_room_response;
    return bounds;
}

void send_bad_request(evhttp_request* request, const bad_request& rejected)
{
    fail_request failure;
    failure.status = rejected.status;
    failure.code = rejected.code;
    failure.message = rejected.message;
    failure.step = "parse";
    failure.peer = "caller";
    send_error(request, failure);
}

} // namespace

/** A caller's request that has not ended, with its connection. */
struct http_frontend::pending_request {
    http_frontend* owner = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    evbuffer_cb_entry* drain_callback = nullptr;
    event_ptr<event> disconnect_event;
    bool head_sent = false;
    service_id service;
    client_account_id account;
    instant started{};
    instant last_chunk_at{};
    memory_charge charge;
    metrics::series* between_pieces = nullptr; ///< cached, since each token is recorded
};

http_frontend::http_frontend(event_base* base, const settings& options, metrics& telemetry,
                             memory_account& memory)
    : base(base), options(options), telemetry(telemetry), memory(memory),
      listener(base, options.front, "callers", bounds_for_callers(options, memory), memory)
{
    evhttp_set_allowed_methods(this->listener.server(), EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                                            EVHTTP_REQ_POST | EVHTTP_REQ_PATCH);
    this->listener.on_other_request(
        [this](evhttp_request* request) { this->handle_http_request(request); });
    std::random_device device;
    this->id_prefix = options.vm.text + "-" + std::to_string(device()) + "-";
}

http_frontend::~http_frontend()
{
    for (auto& [id, pending] : this->pending_requests)
        this->detach(*pending);
}

http_frontend::pending_request* http_frontend::find(std::uint64_t id)
{
    const auto found = this->pending_requests.find(id);
    return found == this->pending_requests.end() ? nullptr : found->second.get();
}

void http_frontend::handle_http_request(evhttp_request* request)
{
    raw_request raw;
    raw.method = method_name(evhttp_request_get_command(request));
    raw.path = evhttp_request_get_uri(request);
    raw.headers = copy_headers(evhttp_request_get_input_headers(request));
    this->announce_close(request);
    if (raw.path == "/healthz") {
        send_text(request, this->leaving ? 503 : 200, "text/plain",
                  this->leaving ? "leaving\n" : "ok\n");
    } else if (raw.path == "/metrics") {
        const std::string extra = this->extra_metrics ? this->extra_metrics() : std::string();
        send_text(request, 200, "text/plain; version=0.0.4", this->telemetry.text() + extra);
    } else if (request->major == 1 && request->minor == 0) {
        // HTTP/1.0 has no chunked encoding, so a broken response would look complete.
        send_bad_request(request, {505, "http_version", "HTTP/1.1 is needed"});
    } else if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) >
               this->options.max_request_body_bytes) {
        send_bad_request(request, {413, "body_too_large", "the body is over the limit"});
    } else if (this->config == nullptr) {
        fail_request failure;
        failure.code = "no_configuration";
        failure.message = "this node has no configuration yet";
        failure.step = "start";
        failure.peer = "platform";
        failure.retry_after_ms = milliseconds_per_second;
        send_error(request, failure);
    } else if (raw.path == "/v1/models") {
        this->send_models(request, raw);
    } else {
        this->handle_api_request(request, raw);
    }
}

void http_frontend::refuse_for_room(evhttp_request* request, std::size_t body_bytes)
{
    this->telemetry.count("worksshift_input_refused_total{reason=\"no_memory\"}");
    log_event(log_level::info, "request_refused",
              {{"step", "read"},
               {"reason", "no_memory"},
               {"received", body_bytes},
               {"held", this->memory.held()},
               {"bound", this->memory.bounds().memory}});
    fail_request failure;
    failure.status = 503;
    failure.result = outcome::not_run;
    failure.code = "no_memory";
    failure.message = "this VM has no memory for the request";
    failure.step = "read";
    failure.peer = "caller";
    failure.retry_after_ms = no_room_retry_after_ms;
    send_error(request, failure);
}

/** Lets the response's connection close after it if this VM is leaving. */
void http_frontend::announce_close(evhttp_request* request) const
{
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (this->leaving && evhttp_find_header(headers, "Connection") == nullptr)
        evhttp_add_header(headers, "Connection", "close");
}

void http_frontend::send_models(evhttp_request* request, const raw_request& raw)
{
    if (raw.method != "GET") {
        send_bad_request(request, {405, "wrong_method", "use GET"});
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const service_config& service : this->config->services) {
        if (service.kind != service_kind::chat) continue;
        list.push_back({{"id", service.id.text}, {"object", "model"}, {"owned_by", "worksshift"}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", list}};
    send_text(request, 200, "application/json", body.dump() + "\n");
}

void http_frontend::handle_api_request(evhttp_request* request, raw_request& raw)
{
    const instant now = std::chrono::steady_clock::now();
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    const std::size_t needed = request_bytes + body_copies * size;
    if (!this->memory.has_room(needed, size >= large_body_bytes)) {
        this->refuse_for_room(request, size);
        return;
    }
    raw.body = read_all(input);
    // evhttp would keep it until the response is complete.
    evbuffer_drain(input, size);
    auto parsed = parse_request(raw, *this->config, now, this->options.default_deadline_ms);
    if (const auto* rejected = std::get_if<bad_request>(&parsed)) {
        this->telemetry.count("worksshift_bad_requests_total");
        send_bad_request(request, *rejected);
        return;
    }
    accepted_request accepted{std::move(std::get<parsed_request>(parsed).row),
                              std::get<parsed_request>(parsed).stream};
    auto owned = std::make_unique<pending_request>();
    pending_request* pending = owned.get();
    pending->owner = this;
    pending->id = this->next_id++;
    pending->request = request;
    pending->connection = evhttp_request_get_connection(request);
    pending->service = accepted.row.service;
    pending->account = accepted.row.account;
    pending->started = now;
    pending->charge = memory_charge(this->memory, memory_use::request);
    pending->charge.set(needed);
    pending->between_pieces = &this->telemetry.find_or_create(latency::between_pieces,
                                                              pending->service, pending->account);
    this->pending_requests[pending->id] = std::move(owned);

    const auto closed = [](evhttp_connection*, void* context) {
        auto* disconnected = static_cast<pending_request*>(context);
        disconnected->owner->handle_closed(*disconnected);
    };
    evhttp_connection_set_closecb(pending->connection, closed, pending);
    bufferevent* socket = evhttp_connection_get_bufferevent(pending->connection);
    set_no_delay(bufferevent_getfd(socket));
    const auto drained = [](evbuffer*, const evbuffer_cb_info* info, void* context) {
        const auto* drained_request = static_cast<pending_request*>(context);
        if (info->n_deleted > 0) {
            drained_request->owner->on_drained.emit(drained_request->id,
                                                    static_cast<std::uint32_t>(info->n_deleted));
        }
    };
    pending->drain_callback = evbuffer_add_cb(bufferevent_get_output(socket), drained, pending);
    // evhttp does not read while a request is served, so it does not notice a disconnect.
    const auto on_closed_by_caller = [](evutil_socket_t, short, void* context) {
        auto* disconnected = static_cast<pending_request*>(context);
        disconnected->owner->handle_disconnect(*disconnected);
    };
    pending->disconnect_event.reset(
        event_new(this->base, bufferevent_getfd(socket), EV_CLOSED, on_closed_by_caller, pending));
    event_add(pending->disconnect_event.get(), nullptr);

    accepted.row.id = pending->id;
    accepted.row.request_id = this->id_prefix + std::to_string(pending->id);
    this->on_request.emit(accepted);
}

void http_frontend::send_head(std::uint64_t request, std::uint16_t status,
                              std::span<const header> headers)
{
    pending_request* pending = this->find(request);
    if (pending == nullptr || pending->head_sent) return;
    pending->head_sent = true;
    pending->last_chunk_at = std::chrono::steady_clock::now();
    this->telemetry.observe(latency::first_byte, pending->service, pending->account,
                            pending->last_chunk_at - pending->started);
    this->announce_close(pending->request);
    evkeyvalq* out = evhttp_request_get_output_headers(pending->request);
    for (const header& extra : headers) {
        evhttp_add_header(out, extra.name.c_str(), extra.value.c_str());
    }
    evhttp_send_reply_start(pending->request, status, nullptr);
}

void http_frontend::send_data(std::uint64_t request, std::string_view bytes)
{
    pending_request* pending = this->find(request);
    if (pending == nullptr) return;
    const instant now = std::chrono::steady_clock::now();
    pending->between_pieces->add(now - pending->last_chunk_at);
    pending->last_chunk_at = now;
    event_ptr<evbuffer> chunk(evbuffer_new());
    evbuffer_add(chunk.get(), bytes.data(), bytes.size());
    evhttp_send_reply_chunk(pending->request, chunk.get());
    flush_output(evhttp_connection_get_bufferevent(pending->connection));
}

/** Removes this request's callbacks from the connection, which stays open for the caller's next
 * request. */
void http_frontend::detach(pending_request& pending)
{
    pending.disconnect_event.reset();
    bufferevent* socket = evhttp_connection_get_bufferevent(pending.connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(socket), pending.drain_callback);
    evhttp_connection_set_closecb(pending.connection, nullptr, nullptr);
}

void http_frontend::complete(std::uint64_t request)
{
    pending_request* pending = this->find(request);
    if (pending == nullptr) return;
    this->telemetry.count("worksshift_answers_done_total");
    this->telemetry.observe(latency::total, pending->service, pending->account,
                            std::chrono::steady_clock::now() - pending->started);
    this->detach(*pending);
    evhttp_send_reply_end(pending->request);
    this->pending_requests.erase(request);
}

void http_frontend::fail(const fail_request& failure)
{
    pending_request* pending = this->find(failure.request);
    if (pending == nullptr) return;
    this->telemetry.count(std::string("worksshift_answers_") + outcome_name(failure.result) +
                          "_total");
    log_event(log_level::info, "request_failed",
              {{"request", this->id_prefix + std::to_string(failure.request)},
               {"outcome", outcome_name(failure.result)},
               {"code", failure.code},
               {"step", failure.step},
               {"peer", failure.peer},
               {"account", pending->account.text}});
    this->detach(*pending);
    if (pending->head_sent) {
        evhttp_connection_free(pending->connection);
        this->listener.sweep();
    } else {
        this->announce_close(pending->request);
        send_error(pending->request, failure);
    }
    this->pending_requests.erase(failure.request);
}

void http_frontend::replay(const replay_request& recorded)
{
    pending_request* pending = this->find(recorded.request);
    if (pending == nullptr) return;
    this->detach(*pending);
    this->announce_close(pending->request);
    evkeyvalq* headers = evhttp_request_get_output_headers(pending->request);
    evhttp_add_header(headers, "X-Worksshift-Replayed", "true");
    send_text(pending->request, recorded.status, "application/json", recorded.body);
    this->pending_requests.erase(recorded.request);
}

/** Close callback: evhttp is freeing the connection. */
void http_frontend::handle_closed(pending_request& pending)
{
    pending.disconnect_event.reset();
    bufferevent* socket = evhttp_connection_get_bufferevent(pending.connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(socket), pending.drain_callback);
    // evhttp detaches an unfinished request from a failed connection; it must then be freed here.
    if (evhttp_request_get_connection(pending.request) == nullptr)
        evhttp_request_free(pending.request);
    const std::uint64_t id = pending.id;
    this->pending_requests.erase(id);
    this->telemetry.count("worksshift_callers_gone_total");
    this->on_disconnect.emit(id);
}

/** The caller closed the connection while its request was served. */
void http_frontend::handle_disconnect(pending_request& pending)
{
    evhttp_connection* connection = pending.connection;
    const std::uint64_t id = pending.id;
    this->detach(pending);
    this->pending_requests.erase(id);
    this->telemetry.count("worksshift_callers_gone_total");
    evhttp_connection_free(connection);
    this->listener.sweep();
    this->on_disconnect.emit(id);
}

} // namespace worksshift
