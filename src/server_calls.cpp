#include "server_calls.h"

#include <event2/http_struct.h>
#include <strings.h>

#include "http_client.h"
#include "http_wire.h"
#include "response_relay.h"

namespace worksshift {

namespace {

constexpr duration connect_timeout = seconds(2);
constexpr std::size_t max_idle_connections_per_server = 64;
constexpr duration max_connection_idle_time = seconds(20);
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
/** Response header by which a server states that it refused the request without executing it. */
constexpr const char* not_run_header = "X-Not-Run";
/** Request header with the model version on which the engine must run the request. */
constexpr const char* model_version_header = "X-Model-Version";

evhttp_cmd_type parse_method(const std::string& method)
{
    if (method == "GET") return EVHTTP_REQ_GET;
    if (method == "HEAD") return EVHTTP_REQ_HEAD;
    if (method == "PUT") return EVHTTP_REQ_PUT;
    if (method == "DELETE") return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_POST;
}

} // namespace

/** One call of a server. */
struct server_calls::call {
    server_calls* owner = nullptr;
    start_call parameters;
    event_ptr<evhttp_connection> connection;
    evhttp_request* request = nullptr;            ///< owned by the connection
    evbuffer_cb_entry* output_callback = nullptr; ///< on the connection's output
    instant started{};
    instant last_received{};    ///< when the last bytes arrived, or reading was resumed
    bool bytes_written = false; ///< some bytes were written to the connection's output buffer
    bool head_sent = false;
    bool refused = false; ///< the server stated that it did not execute the request
    bool stream = false;
    bool length_known = false;
    bool end_marker_seen = false;
    bool paused = false;
    bool has_ended = false;
    bool reusable = false;
    std::uint32_t sequence = 0;
    std::uint32_t window = data_window_bytes;
    std::string pending; ///< read but not sent: incomplete events, or data beyond the window
};

server_calls::server_calls(event_base* base, duration idle_timeout)
    : base(base), idle_timeout(idle_timeout)
{
}

server_calls::~server_calls()
{
    // A request that is still on its connection is freed with it, and its callbacks must do
    // nothing.
    for (auto& [id, server_call] : this->calls)
        server_call->has_ended = true;
}

event_ptr<evhttp_connection> server_calls::get_connection(const server_config& server)
{
    std::vector<pooled_connection>& pool = this->idle[server.id];
    if (!pool.empty()) {
        event_ptr<evhttp_connection> connection = std::move(pool.back().connection);
        pool.pop_back();
        return connection;
    }
    event_ptr<evhttp_connection> connection(evhttp_connection_base_bufferevent_new(
        this->base, nullptr, nullptr, server.address.c_str(), server.port));
    return connection;
}

void server_calls::write_request(call& server_call, evhttp_request* request) const
{
    const open_attempt& open = *server_call.parameters.request;
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", server_call.parameters.server.address.c_str());
    for (const header& extra : open.headers) {
        if (!is_hop_by_hop_header(extra.name) && !header_names_equal(extra.name, "host")) {
            evhttp_add_header(headers, extra.name.c_str(), extra.value.c_str());
        }
    }
    evhttp_add_header(headers, "X-Request-Id", open.request_id.c_str());
    if (!server_call.parameters.version.empty()) {
        evhttp_add_header(headers, model_version_header, server_call.parameters.version.c_str());
    }
    if (open.resume_from > 0) {
        evhttp_add_header(headers, "X-Resume-From", std::to_string(open.resume_from).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), open.body.data(), open.body.size());
}

void server_calls::start(const start_call& parameters, instant started)
{
    this->now = started;
    auto owned = std::make_unique<call>();
    call* server_call = owned.get();
    this->calls[parameters.request->id] = std::move(owned);
    server_call->owner = this;
    server_call->parameters = parameters;
    server_call->started = started;
    server_call->last_received = started;
    server_call->connection = this->get_connection(parameters.server);

    const auto done = [](evhttp_request* response, void* context) {
        auto* ended = static_cast<call*>(context);
        ended->request = nullptr;
        ended->owner->handle_end(*ended, response);
    };
    const auto head = [](evhttp_request* response, void* context) {
        auto* target = static_cast<call*>(context);
        if (!target->has_ended) target->owner->handle_head(*target, response);
        return 0;
    };
    const auto data = [](evhttp_request* response, void* context) {
        auto* target = static_cast<call*>(context);
        if (!target->has_ended) target->owner->handle_data(*target, response);
    };
    const auto written = [](evbuffer*, const evbuffer_cb_info* info, void* context) {
        if (info->n_added > 0) static_cast<call*>(context)->bytes_written = true;
    };
    server_call->request = evhttp_request_new(done, server_call);
    evhttp_request_set_header_cb(server_call->request, head);
    evhttp_request_set_chunked_cb(server_call->request, data);
    bufferevent* socket = evhttp_connection_get_bufferevent(server_call->connection.get());
    server_call->output_callback =
        evbuffer_add_cb(bufferevent_get_output(socket), written, server_call);
    this->write_request(*server_call, server_call->request);
    const open_attempt& open = *parameters.request;
    if (evhttp_make_request(server_call->connection.get(), server_call->request,
                            parse_method(open.method), open.path.c_str()) != 0) {
        server_call->request = nullptr;
        this->handle_end(*server_call, nullptr);
    }
}

void server_calls::handle_head(call& server_call, evhttp_request* response)
{
    const int status = evhttp_request_get_response_code(response);
    const evkeyvalq* headers = evhttp_request_get_input_headers(response);
    server_call.last_received = this->now;
    if (evhttp_find_header(headers, not_run_header) != nullptr) {
        server_call.refused = true;
        return;
    }
    const char* type = evhttp_find_header(headers, "Content-Type");
    const char* encoding = evhttp_find_header(headers, "Transfer-Encoding");
    server_call.stream = type != nullptr && std::string_view(type).starts_with("text/event-stream");
    server_call.length_known = evhttp_find_header(headers, "Content-Length") != nullptr ||
                               (encoding != nullptr && strcasecmp(encoding, "chunked") == 0) ||
                               status == status_no_content || status == status_not_modified;
    attempt_head message;
    message.id = server_call.parameters.request->id;
    message.server = server_call.parameters.server.id;
    message.status = static_cast<std::uint16_t>(status);
    message.version = server_call.parameters.version;
    for (header& extra : copy_headers(headers)) {
        if (!is_hop_by_hop_header(extra.name)) message.headers.push_back(std::move(extra));
    }
    server_call.head_sent = true;
    this->on_frame.emit(server_call.parameters.entry, std::move(message));
}

void server_calls::handle_data(call& server_call, evhttp_request* response)
{
    server_call.last_received = std::chrono::steady_clock::now();
    if (server_call.refused) return;
    evbuffer* input = evhttp_request_get_input_buffer(response);
    server_call.pending += read_all(input);
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
    if (pause != server_call.paused && server_call.connection != nullptr &&
        server_call.request != nullptr) {
        server_call.paused = pause;
        bufferevent* socket = evhttp_connection_get_bufferevent(server_call.connection.get());
        if (pause) {
            bufferevent_disable(socket, EV_READ);
        } else {
            server_call.last_received = std::chrono::steady_clock::now();
            bufferevent_enable(socket, EV_READ);
        }
    }
}

void server_calls::handle_end(call& server_call, evhttp_request* response)
{
    if (server_call.has_ended) return;
    const bool responded = response != nullptr && evhttp_request_get_response_code(response) != 0;
    if (!responded) {
        const bool sent = server_call.bytes_written;
        this->end(server_call, sent ? outcome::unknown : outcome::not_run, true,
                  sent ? "read" : "connect",
                  sent ? "the server closed the connection" : "no connection to the server");
        return;
    }
    server_call.reusable = true;
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

void server_calls::end(call& server_call, outcome result, bool server_fault, const char* step,
                       const std::string& detail)
{
    server_call.has_ended = true;
    const attempt_id id = server_call.parameters.request->id;
    if (result != outcome::not_run) {
        this->on_frame.emit(server_call.parameters.entry,
                            attempt_ended{id, server_call.sequence, result, step,
                                          server_call.parameters.server.id.text, detail});
    }
    this->on_ended.emit({id, result, server_fault, step, detail});
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
    const bool sent = server_call.bytes_written;
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
        const bool unconnected =
            !server_call->bytes_written && time - server_call->started > connect_timeout;
        const bool receive_timed_out = server_call->bytes_written && !server_call->paused &&
                                       time - server_call->last_received > this->idle_timeout;
        if (unconnected || receive_timed_out) timed_out.push_back(server_call.get());
    }
    for (call* server_call : timed_out) {
        const bool sent = server_call->bytes_written;
        this->end(*server_call, sent ? outcome::unknown : outcome::not_run, true,
                  sent ? "read" : "connect", sent ? "the server is silent" : "no connection");
    }
    for (std::unique_ptr<call>& server_call : this->finished) {
        bufferevent* socket = evhttp_connection_get_bufferevent(server_call->connection.get());
        evbuffer_remove_cb_entry(bufferevent_get_output(socket), server_call->output_callback);
        std::vector<pooled_connection>& pool = this->idle[server_call->parameters.server.id];
        if (server_call->reusable && pool.size() < max_idle_connections_per_server) {
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
