#include "server_calls.h"

#include <event2/http_struct.h>
#include <strings.h>

#include "answer_relay.h"
#include "http_client.h"
#include "http_wire.h"

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
    start_call order;
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
    for (auto& [id, item] : this->calls)
        item->has_ended = true;
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

void server_calls::write_request(call& item, evhttp_request* request) const
{
    const open_attempt& open = *item.order.request;
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", item.order.server.address.c_str());
    for (const header& extra : open.headers) {
        if (!is_hop_by_hop_header(extra.name) && !header_names_equal(extra.name, "host")) {
            evhttp_add_header(headers, extra.name.c_str(), extra.value.c_str());
        }
    }
    evhttp_add_header(headers, "X-Request-Id", open.request_id.c_str());
    if (!item.order.version.empty()) {
        evhttp_add_header(headers, model_version_header, item.order.version.c_str());
    }
    if (open.resume_from > 0) {
        evhttp_add_header(headers, "X-Resume-From", std::to_string(open.resume_from).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), open.body.data(), open.body.size());
}

void server_calls::start(const start_call& order, instant started)
{
    this->now = started;
    auto owned = std::make_unique<call>();
    call* item = owned.get();
    this->calls[order.request->id] = std::move(owned);
    item->owner = this;
    item->order = order;
    item->started = started;
    item->last_received = started;
    item->connection = this->get_connection(order.server);

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
    item->request = evhttp_request_new(done, item);
    evhttp_request_set_header_cb(item->request, head);
    evhttp_request_set_chunked_cb(item->request, data);
    bufferevent* socket = evhttp_connection_get_bufferevent(item->connection.get());
    item->output_callback = evbuffer_add_cb(bufferevent_get_output(socket), written, item);
    this->write_request(*item, item->request);
    const open_attempt& open = *order.request;
    if (evhttp_make_request(item->connection.get(), item->request, parse_method(open.method),
                            open.path.c_str()) != 0) {
        item->request = nullptr;
        this->handle_end(*item, nullptr);
    }
}

void server_calls::handle_head(call& item, evhttp_request* response)
{
    const int status = evhttp_request_get_response_code(response);
    const evkeyvalq* headers = evhttp_request_get_input_headers(response);
    item.last_received = this->now;
    if (evhttp_find_header(headers, not_run_header) != nullptr) {
        item.refused = true;
        return;
    }
    const char* type = evhttp_find_header(headers, "Content-Type");
    const char* encoding = evhttp_find_header(headers, "Transfer-Encoding");
    item.stream = type != nullptr && std::string_view(type).starts_with("text/event-stream");
    item.length_known = evhttp_find_header(headers, "Content-Length") != nullptr ||
                        (encoding != nullptr && strcasecmp(encoding, "chunked") == 0) ||
                        status == status_no_content || status == status_not_modified;
    attempt_head message;
    message.id = item.order.request->id;
    message.server = item.order.server.id;
    message.status = static_cast<std::uint16_t>(status);
    message.version = item.order.version;
    for (header& extra : copy_headers(headers)) {
        if (!is_hop_by_hop_header(extra.name)) message.headers.push_back(std::move(extra));
    }
    item.head_sent = true;
    this->on_frame.emit(item.order.entry, std::move(message));
}

void server_calls::handle_data(call& item, evhttp_request* response)
{
    item.last_received = std::chrono::steady_clock::now();
    if (item.refused) return;
    evbuffer* input = evhttp_request_get_input_buffer(response);
    item.pending += read_all(input);
    this->flush(item);
}

/** Sends what the window allows: complete events of a stream, any bytes of other responses. */
void server_calls::flush(call& item)
{
    while (!item.pending.empty() && item.window > 0) {
        std::size_t length = std::min(item.pending.size(), max_data_frame_bytes);
        if (item.stream) {
            const std::size_t end = item.pending.rfind("\n\n", length);
            if (end == std::string::npos || end + 2 > length) {
                const std::size_t first = item.pending.find("\n\n");
                if (first == std::string::npos) break;
                length = first + 2;
            } else {
                length = end + 2;
            }
        }
        attempt_data message;
        message.id = item.order.request->id;
        message.sequence = item.sequence++;
        message.bytes = item.pending.substr(0, length);
        item.pending.erase(0, length);
        if (item.stream) item.end_marker_seen = message.bytes.ends_with(stream_end);
        item.window -= std::min<std::uint32_t>(item.window, static_cast<std::uint32_t>(length));
        this->on_frame.emit(item.order.entry, std::move(message));
    }
    const bool pause = item.window == 0;
    if (pause != item.paused && item.connection != nullptr && item.request != nullptr) {
        item.paused = pause;
        bufferevent* socket = evhttp_connection_get_bufferevent(item.connection.get());
        if (pause) {
            bufferevent_disable(socket, EV_READ);
        } else {
            item.last_received = std::chrono::steady_clock::now();
            bufferevent_enable(socket, EV_READ);
        }
    }
}

void server_calls::handle_end(call& item, evhttp_request* response)
{
    if (item.has_ended) return;
    const bool responded = response != nullptr && evhttp_request_get_response_code(response) != 0;
    if (!responded) {
        const bool sent = item.bytes_written;
        this->end(item, sent ? outcome::unknown : outcome::not_run, true, sent ? "read" : "connect",
                  sent ? "the server closed the connection" : "no connection to the server");
        return;
    }
    item.reusable = true;
    if (item.refused) {
        this->end(item, outcome::not_run, false, "server", "the server refused it unrun");
        return;
    }
    // Data beyond the window is sent as well, since it was already read.
    item.window =
        std::max<std::uint32_t>(item.window, static_cast<std::uint32_t>(item.pending.size() + 1));
    this->flush(item);
    if (!item.length_known) {
        this->end(item, outcome::unknown, true, "read", "the answer has no length");
        return;
    }
    if (item.stream && (!item.end_marker_seen || !item.pending.empty())) {
        this->end(item, outcome::unknown, true, "read", "the stream has no end marker");
        return;
    }
    this->end(item, outcome::done, false, "read", "");
}

void server_calls::end(call& item, outcome result, bool server_fault, const char* step,
                       const std::string& detail)
{
    item.has_ended = true;
    const attempt_id id = item.order.request->id;
    if (result != outcome::not_run) {
        this->on_frame.emit(item.order.entry, attempt_ended{id, item.sequence, result, step,
                                                            item.order.server.id.text, detail});
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
    call& item = *found->second;
    item.has_ended = true;
    const bool sent = item.bytes_written;
    this->on_ended.emit({id, sent ? outcome::unknown : outcome::not_run, false, "cancel", ""});
    this->finished.push_back(std::move(found->second));
    this->calls.erase(found);
}

void server_calls::credit(const data_credit& credit)
{
    const auto found = this->calls.find(credit.id);
    if (found == this->calls.end()) return;
    call& item = *found->second;
    item.window = std::min(data_window_bytes, item.window + credit.bytes);
    this->flush(item);
}

void server_calls::sweep(instant time)
{
    this->now = time;
    std::vector<call*> timed_out;
    for (auto& [id, item] : this->calls) {
        const bool unconnected = !item->bytes_written && time - item->started > connect_timeout;
        const bool receive_timed_out =
            item->bytes_written && !item->paused && time - item->last_received > this->idle_timeout;
        if (unconnected || receive_timed_out) timed_out.push_back(item.get());
    }
    for (call* item : timed_out) {
        const bool sent = item->bytes_written;
        this->end(*item, sent ? outcome::unknown : outcome::not_run, true,
                  sent ? "read" : "connect", sent ? "the server is silent" : "no connection");
    }
    for (std::unique_ptr<call>& item : this->finished) {
        bufferevent* socket = evhttp_connection_get_bufferevent(item->connection.get());
        evbuffer_remove_cb_entry(bufferevent_get_output(socket), item->output_callback);
        std::vector<pooled_connection>& pool = this->idle[item->order.server.id];
        if (item->reusable && pool.size() < max_idle_connections_per_server) {
            pool.push_back({std::move(item->connection), time});
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
