#include "server_calls.h"

#include <algorithm>

#include "log.h"
#include "response_check.h"
#include "response_relay.h"

namespace worksshift {

namespace {

constexpr duration connect_timeout = seconds(2);
constexpr std::size_t max_idle_connections_per_server = 64;
constexpr duration max_connection_idle_time = seconds(20);
/** Response header by which a server states that it refused the request without executing it. */
constexpr const char* not_run_header = "X-Not-Run";
/** Request header with the model version on which the engine must run the request. */
constexpr const char* model_version_header = "X-Model-Version";

/** The request that a server gets for a call, without its body's bytes. */
outgoing_request make_request(const start_call& parameters)
{
    const open_attempt& open = *parameters.request;
    outgoing_request request{open.method, open.path, {}, open.body};
    request.headers.push_back({"Host", parameters.server.address});
    std::ranges::copy_if(
        open.headers, std::back_inserter(request.headers), [](const header& extra) {
            return !is_hop_by_hop_header(extra.name) && !header_names_equal(extra.name, "host");
        });
    request.headers.push_back({"X-Request-Id", open.request_id});
    if (!parameters.version.empty())
        request.headers.push_back({model_version_header, parameters.version});
    if (open.resume_from > 0)
        request.headers.push_back({"X-Resume-From", std::to_string(open.resume_from)});
    return request;
}

} // namespace

/** One call of a server. */
struct server_calls::call {
    start_call parameters;
    connection_ptr connection;
    instant started{};
    instant last_received{}; ///< when the last bytes arrived, or reading was resumed
    bool refused = false;    ///< the server stated that it did not execute the request
    bool stream = false;
    bool length_known = false;
    bool end_marker_seen = false;
    bool paused = false;
    bool has_ended = false;
    std::uint32_t sequence = 0;
    std::uint32_t window = data_window_bytes;
    std::string pending; ///< read but not sent: incomplete events, or data beyond the window
};

server_calls::server_calls(event_base* base, duration idle_timeout)
    : base(base), idle_timeout(idle_timeout)
{
}

server_calls::~server_calls() = default;

server_calls::connection_ptr server_calls::get_connection(const server_config& server)
{
    std::vector<pooled_connection>& pool = this->idle[server.id];
    while (!pool.empty()) {
        connection_ptr connection = std::move(pool.back().connection);
        pool.pop_back();
        if (connection->reusable()) return connection;
    }
    return std::make_unique<client_connection>(this->base,
                                               link_address{server.address, server.port});
}

void server_calls::set_callbacks(call& server_call)
{
    call* target = &server_call;
    server_call.connection->on_head = [this, target](const http_head& head) {
        if (!target->has_ended) this->handle_head(*target, head);
    };
    server_call.connection->on_body = [this, target](std::string_view bytes) {
        if (!target->has_ended) this->handle_data(*target, bytes);
    };
    server_call.connection->on_end = [this, target](const exchange_end& end) {
        if (!target->has_ended) this->handle_end(*target, end);
    };
}

void server_calls::start(const start_call& parameters, instant started)
{
    this->now = started;
    auto owned = std::make_unique<call>();
    call* server_call = owned.get();
    this->calls[parameters.request->id] = std::move(owned);
    server_call->parameters = parameters;
    server_call->started = started;
    server_call->last_received = started;
    server_call->connection = this->get_connection(parameters.server);
    this->set_callbacks(*server_call);
    server_call->connection->send(make_request(parameters));
}

void server_calls::handle_head(call& server_call, const http_head& head)
{
    server_call.last_received = this->now;
    if (head.find(not_run_header) != nullptr) {
        server_call.refused = true;
        return;
    }
    const std::string* type = head.find("Content-Type");
    const bool bodiless = is_bodiless(head.status);
    server_call.stream = type != nullptr && type->starts_with("text/event-stream");
    server_call.length_known = bodiless || head.find("Content-Length") != nullptr ||
                               head.find("Transfer-Encoding") != nullptr;
    attempt_head message;
    message.id = server_call.parameters.request->id;
    message.server = server_call.parameters.server.id;
    message.status = static_cast<std::uint16_t>(head.status);
    message.version = server_call.parameters.version;
    std::ranges::copy_if(
        head.headers, std::back_inserter(message.headers), [bodiless](const header& extra) {
            // The caller of a response without a body could wait for one of this length.
            const bool wrong_length = bodiless && header_names_equal(extra.name, "content-length");
            return !is_hop_by_hop_header(extra.name) && !wrong_length;
        });
    this->on_frame.emit(server_call.parameters.entry, std::move(message));
}

void server_calls::handle_data(call& server_call, std::string_view bytes)
{
    server_call.last_received = std::chrono::steady_clock::now();
    if (server_call.refused) return;
    server_call.pending += bytes;
    this->flush(server_call);
}

/** Sends what the window allows: complete events of a stream, any bytes of other responses. */
void server_calls::flush(call& server_call)
{
    while (!server_call.pending.empty() && server_call.window > 0) {
        std::size_t length = std::min(server_call.pending.size(), max_data_frame_bytes);
        if (server_call.stream) {
            const std::size_t end = server_call.pending.rfind("\n\n", length);
            if (end == std::string::npos || end + 2 > length) {
                const std::size_t first = server_call.pending.find("\n\n");
                if (first == std::string::npos) break;
                length = first + 2;
            } else {
                length = end + 2;
            }
        }
        attempt_data message;
        message.id = server_call.parameters.request->id;
        message.sequence = server_call.sequence++;
        message.bytes = server_call.pending.substr(0, length);
        server_call.pending.erase(0, length);
        if (server_call.stream) server_call.end_marker_seen = message.bytes.ends_with(stream_end);
        server_call.window -=
            std::min<std::uint32_t>(server_call.window, static_cast<std::uint32_t>(length));
        this->on_frame.emit(server_call.parameters.entry, std::move(message));
    }
    const bool pause = server_call.window == 0;
    if (pause == server_call.paused) return;
    server_call.paused = pause;
    if (!pause) server_call.last_received = std::chrono::steady_clock::now();
    server_call.connection->set_reading(!pause);
}

void server_calls::handle_end(call& server_call, const exchange_end& end)
{
    switch (end.result) {
    case exchange_result::complete:
        this->handle_complete(server_call);
        return;
    case exchange_result::not_sent:
        this->end(server_call, outcome::not_run, true, "connect", "no connection to the server");
        return;
    case exchange_result::broken:
        break;
    }
    if (end.step == parse_step) {
        ++this->malformed;
        log_event(log_level::info, "malformed_response",
                  {{"request", server_call.parameters.request->request_id},
                   {"server", server_call.parameters.server.id.text},
                   {"reason", end.detail}});
    }
    this->end(server_call, outcome::unknown, true, end.step, end.detail);
}

void server_calls::handle_complete(call& server_call)
{
    if (server_call.refused) {
        this->end(server_call, outcome::not_run, false, "server", "the server refused it unrun");
        return;
    }
    // Data beyond the window is sent as well, since it was already read.
    server_call.window = std::max<std::uint32_t>(
        server_call.window, static_cast<std::uint32_t>(server_call.pending.size() + 1));
    this->flush(server_call);
    if (!server_call.length_known) {
        this->end(server_call, outcome::unknown, true, "read", "the answer has no length");
        return;
    }
    if (server_call.stream && (!server_call.end_marker_seen || !server_call.pending.empty())) {
        this->end(server_call, outcome::unknown, true, "read", "the stream has no end marker");
        return;
    }
    this->end(server_call, outcome::done, false, "read", "");
}

void server_calls::end(call& server_call, outcome result, bool server_fault, std::string_view step,
                       const std::string& detail)
{
    server_call.has_ended = true;
    const attempt_id id = server_call.parameters.request->id;
    if (result != outcome::not_run) {
        this->on_frame.emit(server_call.parameters.entry,
                            attempt_ended{id, server_call.sequence, result, std::string(step),
                                          server_call.parameters.server.id.text, detail});
    }
    this->on_ended.emit({id, result, server_fault, std::string(step), detail});
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) return;
    this->finished.push_back(std::move(found->second));
    this->calls.erase(found);
}

void server_calls::cancel(const attempt_id& id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) return;
    call& server_call = *found->second;
    server_call.has_ended = true;
    const bool sent = server_call.connection->request_written();
    this->on_ended.emit({id, sent ? outcome::unknown : outcome::not_run, false, "cancel", ""});
    this->finished.push_back(std::move(found->second));
    this->calls.erase(found);
}

void server_calls::credit(const data_credit& credit)
{
    const auto found = this->calls.find(credit.id);
    if (found == this->calls.end()) return;
    call& server_call = *found->second;
    server_call.window = std::min(data_window_bytes, server_call.window + credit.bytes);
    this->flush(server_call);
}

void server_calls::sweep(instant time)
{
    this->now = time;
    std::vector<call*> timed_out;
    for (auto& [id, server_call] : this->calls) {
        const bool sent = server_call->connection->request_written();
        const bool unconnected = !sent && time - server_call->started > connect_timeout;
        const bool receive_timed_out =
            sent && !server_call->paused && time - server_call->last_received > this->idle_timeout;
        if (unconnected || receive_timed_out) timed_out.push_back(server_call.get());
    }
    for (call* server_call : timed_out) {
        const bool sent = server_call->connection->request_written();
        this->end(*server_call, sent ? outcome::unknown : outcome::not_run, true,
                  sent ? "read" : "connect", sent ? "the server is silent" : "no connection");
    }
    for (std::unique_ptr<call>& server_call : this->finished) {
        std::vector<pooled_connection>& pool = this->idle[server_call->parameters.server.id];
        if (server_call->connection->reusable() && pool.size() < max_idle_connections_per_server) {
            pool.push_back({std::move(server_call->connection), time});
        }
    }
    this->finished.clear();
    for (auto& [server, pool] : this->idle) {
        std::erase_if(pool, [&](const pooled_connection& entry) {
            return time - entry.idle_since > max_connection_idle_time;
        });
    }
}

} // namespace worksshift
