#include "server_connections.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ranges>

#include <sys/socket.h>

namespace worksshift {

namespace {

instant now()
{
    return std::chrono::steady_clock::now();
}

/** Bodies up to this size are copied, which costs less than a reference. */
constexpr std::size_t max_copied_body_bytes = std::size_t{4} * 1024;

/** Appends the body, which stays alive until it is sent or the buffer is freed. */
void add_body(evbuffer* out, const caller_body_ptr& body)
{
    if (body == nullptr || body->bytes.empty()) return;
    const std::string_view bytes = body->text();
    if (bytes.size() <= max_copied_body_bytes) {
        evbuffer_add(out, bytes.data(), bytes.size());
        return;
    }
    auto reference = std::make_unique<caller_body_ptr>(body);
    const auto release = [](const void*, std::size_t, void* context) {
        const std::unique_ptr<caller_body_ptr> owned(static_cast<caller_body_ptr*>(context));
    };
    const bool added =
        evbuffer_add_reference(out, bytes.data(), bytes.size(), release, reference.get()) == 0;
    if (added) static_cast<void>(reference.release());
}

} // namespace

struct server_connections::connection_state
    : std::enable_shared_from_this<server_connections::connection_state> {
    explicit connection_state(server_connections* owner)
        : owner(owner), reader(http_reader::message_kind::responses, max_response_head_bytes)
    {
        ++owner->sockets;
    }
    ~connection_state() { --this->owner->sockets; }
    connection_state(const connection_state&) = delete;
    connection_state& operator=(const connection_state&) = delete;
    connection_state(connection_state&&) = delete;
    connection_state& operator=(connection_state&&) = delete;

    server_connections* owner;
    server_id server;
    event_ptr<bufferevent> socket;
    http_reader reader;
    std::uint64_t attempt = 0; ///< 0: idle, or used for a check
    std::optional<std::uint32_t> check;
    std::string request_id;
    std::string unsent_head; ///< of the request to send once the connection is established
    caller_body_ptr unsent_body;
    bool connected = false;
    bool skipping = false; ///< reading a late response to an earlier request, which is discarded
    bool has_several_ids = false; ///< the response names more than one request
    /** The last response named no request. A second copy of it could come late, and would look like
     * the answer to the next request. */
    bool answered_without_id = false;
    bool close_after = false;
    bool peer_closed = false;
    bool refused = false;              ///< the host refused the connection
    bool is_closed = false;            ///< closed, and to be freed in the next sweep
    instant since{};                   ///< when connecting began, or when the last response ended
    duration max_idle = max_idle_time; ///< maximum idle time
};

server_connections::server_connections(event_base* base, const protocol& adapter)
    : base(base), adapter(adapter)
{
}

server_connections::~server_connections() = default;

void server_connections::start_attempt(const attempt_request& request)
{
    connection_ptr connection = this->take_idle(request);
    if (connection == nullptr) connection = this->connect(request.server, request.address);
    connection->attempt = request.attempt;
    connection->request_id = request.request_id;
    connection->skipping = false;
    connection->close_after = false;
    this->attempts[request.attempt] = connection;
    if (request.no_response_body) connection->reader.expect_no_body();
    if (connection->connected) {
        send(*connection, request.head, request.body);
    } else {
        connection->unsent_head = request.head;
        connection->unsent_body = request.body;
    }
}

server_connections::connection_ptr server_connections::take_idle(const attempt_request& request)
{
    const auto pool = this->idle.find(request.server);
    if (pool == this->idle.end()) return nullptr;
    const instant time = now();
    std::vector<connection_ptr>& connections = pool->second;
    const auto may_carry = [&request](const connection_ptr& connection) {
        return request.repeatable || !connection->answered_without_id;
    };
    // The one that was used last is the least likely to have been closed by the server.
    while (true) {
        const auto newest = std::ranges::find_if(connections | std::views::reverse, may_carry);
        if (newest == connections.rend()) return nullptr;
        const connection_ptr connection = *newest;
        const duration age = time - connection->since;
        if (!request.repeatable && age > max_reuse_age) return nullptr;
        std::erase(connections, connection);
        const bool usable = age <= connection->max_idle && !connection->is_closed &&
                            is_quiet(connection->socket.get());
        if (usable) return connection;
        this->drop(*connection);
    }
}

void server_connections::check_process(std::uint32_t check, const server_id& server,
                                       const link_address& address)
{
    if (this->checks.contains(check)) return;
    const connection_ptr connection = this->connect(server, address);
    connection->check = check;
    this->checks[check] = connection;
}

void server_connections::end_check(connection_state& connection, check_result result)
{
    const std::optional<std::uint32_t> check = std::exchange(connection.check, std::nullopt);
    if (!check) return;
    this->checks.erase(*check);
    this->on_checked.emit(*check, result);
}

server_connections::connection_ptr server_connections::connect(const server_id& server,
                                                               const link_address& address)
{
    auto connection = std::make_shared<connection_state>(this);
    ++this->connections_opened;
    connection->server = server;
    connection->since = now();
    connection_state* raw = connection.get();
    connection->reader.on_head = [this, raw](http_head& head) { this->handle_head(*raw, head); };
    connection->reader.on_body = [this, raw](std::string_view bytes) {
        if (!raw->skipping && raw->attempt != 0) this->on_body.emit(raw->attempt, bytes);
    };
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connection->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    if (socket >= 0) {
        set_no_delay(socket);
        // The bytes that wait while a caller does not read its response.
        set_receive_buffer(socket, receive_buffer_bytes);
        set_unacknowledged_timeout(socket, unacknowledged_timeout);
        // After the whole request was acknowledged, only unanswered keep-alive probes reveal
        // that a server has become unreachable.
        enable_keepalive(socket);
        if (this->source) {
            const sockaddr_in from = to_socket_address(*this->source);
            // If this fails, the system's choice is used.
            static_cast<void>(
                ::bind(socket, reinterpret_cast<const sockaddr*>(&from), sizeof from));
        }
    }
    bufferevent_setcb(
        connection->socket.get(),
        [](bufferevent*, void* context) {
            auto* self = static_cast<connection_state*>(context);
            self->owner->read(self->shared_from_this());
        },
        nullptr,
        [](bufferevent*, short events, void* context) {
            auto* self = static_cast<connection_state*>(context);
            self->owner->handle_event(self->shared_from_this(), events);
        },
        raw);
    const sockaddr_in to = to_socket_address(address);
    bufferevent_enable(connection->socket.get(), EV_READ);
    bufferevent_socket_connect(connection->socket.get(), reinterpret_cast<const sockaddr*>(&to),
                               sizeof to);
    return connection;
}

void server_connections::send(connection_state& connection, std::string_view head,
                              const caller_body_ptr& body)
{
    evbuffer* out = bufferevent_get_output(connection.socket.get());
    evbuffer_add(out, head.data(), head.size());
    add_body(out, body);
    flush_output(connection.socket.get());
}

void server_connections::handle_event(const connection_ptr& connection, short events)
{
    if (connection->is_closed) return;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection->connected = true;
        this->on_connected.emit(connection->server);
        if (!connection->unsent_head.empty()) {
            send(*connection, std::exchange(connection->unsent_head, {}),
                 std::exchange(connection->unsent_body, nullptr));
        }
        if (connection->check) {
            connection->since = now();
            this->idle[connection->server].push_back(connection);
            this->end_check(*connection, check_result::connected);
        }
        return;
    }
    const bool clean = (events & BEV_EVENT_EOF) != 0;
    if (clean && connection->attempt != 0 && !connection->skipping &&
        connection->reader.head_complete() && ended_in_order(connection->socket.get()) &&
        connection->reader.read_eof() == read_result::message_complete) {
        connection->close_after = true;
        this->finish_response(connection);
        return;
    }
    const int error = EVUTIL_SOCKET_ERROR();
    connection->peer_closed = clean || error == ECONNRESET || error == EPIPE;
    connection->refused = error == ECONNREFUSED;
    this->fail(connection, connection->connected ? "read" : connect_step.data(),
               clean ? "closed" : std::strerror(error));
}

void server_connections::handle_head(connection_state& connection, const http_head& head)
{
    const response_metadata metadata = this->adapter.decode_response(head);
    if (metadata.has_several_ids) {
        connection.has_several_ids = true;
        connection.skipping = true;
        return;
    }
    constexpr int client_error = 400;
    const bool other_request =
        !metadata.request_id.empty() && metadata.request_id != connection.request_id;
    // Only error responses may lack the request id.
    const bool without_id = metadata.request_id.empty() && head.status < client_error;
    connection.skipping = connection.attempt == 0 || other_request || without_id;
    if (metadata.close || !head.keep_alive) connection.close_after = true;
    if (metadata.idle_timeout) {
        // Half of the announced time, because the server's idle timer started earlier than ours.
        connection.max_idle =
            std::min<duration>(max_idle_time, milliseconds(*metadata.idle_timeout) / 2);
    }
    if (connection.skipping) return;
    connection.answered_without_id = metadata.request_id.empty();
    this->on_head.emit(connection.attempt, head, metadata);
}

void server_connections::read(const connection_ptr& connection)
{
    evbuffer* input = bufferevent_get_input(connection->socket.get());
    while (!connection->is_closed && evbuffer_get_length(input) > 0) {
        if (connection->attempt == 0) {
            this->drop(*connection);
            return;
        }
        const read_result result = connection->reader.read(input);
        if (connection->has_several_ids) {
            this->fail(connection, parse_step.data(), "several request ids");
            return;
        }
        if (result == read_result::need_more) return;
        if (result != read_result::message_complete) {
            this->fail(connection, parse_step.data(), connection->reader.fault(result));
            return;
        }
        // That was a late response to an earlier request; the expected one is still to come.
        if (std::exchange(connection->skipping, false)) continue;
        this->finish_response(connection);
        return;
    }
}

void server_connections::finish_response(const connection_ptr& connection)
{
    const std::uint64_t attempt = std::exchange(connection->attempt, 0);
    if (attempt == 0) return;
    this->attempts.erase(attempt);
    if (connection->close_after || !buffers_empty(connection->socket.get())) {
        this->drop(*connection);
    } else {
        connection->since = now();
        bufferevent_enable(connection->socket.get(), EV_READ);
        this->idle[connection->server].push_back(connection);
    }
    this->on_end.emit({attempt, send_progress::answered, "answer", {}});
}

void server_connections::fail(const connection_ptr& connection, const char* step,
                              std::string detail)
{
    const std::uint64_t attempt = std::exchange(connection->attempt, 0);
    const bool sent = connection->connected;
    this->drop(*connection);
    this->end_check(*connection,
                    connection->refused ? check_result::refused : check_result::unanswered);
    if (attempt == 0) return;
    this->attempts.erase(attempt);
    this->on_end.emit({attempt, sent ? send_progress::broken : send_progress::not_sent, step,
                       std::move(detail), sent && connection->peer_closed});
}

void server_connections::drop(connection_state& connection)
{
    if (connection.is_closed) return;
    connection.is_closed = true;
    connection.unsent_body.reset();
    bufferevent_disable(connection.socket.get(), EV_READ | EV_WRITE);
    // The socket is shut down at once, so that the server stops; the object is freed in the sweep.
    const evutil_socket_t socket = bufferevent_getfd(connection.socket.get());
    if (socket >= 0) ::shutdown(socket, SHUT_RDWR);
    this->closed.push_back(connection.shared_from_this());
    const auto pool = this->idle.find(connection.server);
    if (pool != this->idle.end()) std::erase(pool->second, this->closed.back());
}

void server_connections::cancel(std::uint64_t attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) return;
    const connection_ptr connection = found->second;
    this->attempts.erase(found);
    connection->attempt = 0;
    this->drop(*connection);
}

bool server_connections::all_sent(std::uint64_t attempt) const
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || !found->second->connected) return false;
    return evbuffer_get_length(bufferevent_get_output(found->second->socket.get())) == 0;
}

void server_connections::pause_reading(std::uint64_t attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) bufferevent_disable(found->second->socket.get(), EV_READ);
}

void server_connections::resume_reading(std::uint64_t attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) bufferevent_enable(found->second->socket.get(), EV_READ);
}

void server_connections::sweep(instant time)
{
    this->closed.clear();
    std::vector<connection_ptr> late;
    for (const auto& [attempt, connection] : this->attempts) {
        if (!connection->connected && time - connection->since > connect_timeout)
            late.push_back(connection);
    }
    for (const auto& [check, connection] : this->checks) {
        if (time - connection->since > connect_timeout) late.push_back(connection);
    }
    for (const connection_ptr& connection : late)
        this->fail(connection, connect_step.data(), "timed out");
    for (auto& [server, pool] : this->idle) {
        while (!pool.empty() && time - pool.front()->since > pool.front()->max_idle) {
            const connection_ptr old = pool.front();
            this->drop(*old);
        }
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

void server_connections::close_idle(const server_id& server)
{
    const auto pool = this->idle.find(server);
    if (pool == this->idle.end()) return;
    const std::vector<connection_ptr> old = pool->second;
    for (const connection_ptr& connection : old)
        this->drop(*connection);
    this->idle.erase(server);
}

void server_connections::close_idle_beyond(std::size_t count)
{
    std::size_t open = 0;
    for (const auto& [server, pool] : this->idle)
        open += pool.size();
    if (open <= count) return;
    std::vector<connection_ptr> all;
    for (const auto& [server, pool] : this->idle)
        std::ranges::copy(pool, std::back_inserter(all));
    std::ranges::sort(all, {}, [](const connection_ptr& item) { return item->since; });
    all.resize(all.size() - count);
    for (const connection_ptr& connection : all)
        this->drop(*connection);
}

void server_connections::close_all_idle()
{
    std::vector<server_id> servers(this->idle.size());
    std::ranges::transform(this->idle, servers.begin(),
                           [](const auto& entry) { return entry.first; });
    for (const server_id& server : servers)
        this->close_idle(server);
}

} // namespace worksshift
