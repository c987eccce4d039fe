#include "server_connections.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <sys/socket.h>

namespace worksshift {

namespace {

/** Maximum size of a response's head, in bytes. */
constexpr std::size_t max_response_head_bytes = std::size_t{32} * 1024;

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

struct server_connections::link : std::enable_shared_from_this<server_connections::link> {
    explicit link(server_connections* owner)
        : owner(owner), reader(http_reader::side::answers, max_response_head_bytes)
    {
    }

    server_connections* owner;
    server_id server;
    event_ptr<bufferevent> socket;
    http_reader reader;
    std::uint64_t attempt = 0; ///< 0: idle, or used for a check
    std::optional<std::uint32_t> check;
    std::string request_id;
    std::string unsent; ///< request to send once the connection is established
    bool connected = false;
    bool skipping = false; ///< reading a late response to an earlier request, which is discarded
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

void server_connections::start(const attempt_request& order)
{
    link_ptr item = this->take_idle(order);
    if (item == nullptr) item = this->connect(order.server, order.address);
    item->attempt = order.attempt;
    item->request_id = order.request_id;
    item->skipping = false;
    item->close_after = false;
    this->attempts[order.attempt] = item;
    if (order.no_response_body) item->reader.expect_no_body();
    if (item->connected) {
        this->send(*item, order);
    } else {
        item->unsent = order.head;
        item->unsent.append(order.body);
    }
}

server_connections::link_ptr server_connections::take_idle(const attempt_request& order)
{
    const auto pool = this->idle.find(order.server);
    if (pool == this->idle.end()) return nullptr;
    const instant time = now();
    while (!pool->second.empty()) {
        link_ptr item = pool->second.back();
        const duration age = time - item->since;
        if (age > item->max_idle) {
            this->forget(order.server);
            return nullptr;
        }
        if (!order.repeatable && age > max_reuse_age) return nullptr;
        pool->second.pop_back();
        const bool stray = evbuffer_get_length(bufferevent_get_input(item->socket.get())) > 0;
        if (!item->is_closed && !stray) return item;
        this->drop(*item);
    }
    return nullptr;
}

void server_connections::check(std::uint32_t check, const server_id& server,
                               const link_address& address)
{
    if (this->checks.contains(check)) return;
    const link_ptr item = this->connect(server, address);
    item->check = check;
    this->checks[check] = item;
}

void server_connections::end_check(link& item, bool ended)
{
    const std::optional<std::uint32_t> check = std::exchange(item.check, std::nullopt);
    if (!check) return;
    this->checks.erase(*check);
    this->on_checked.emit(*check, ended);
}

server_connections::link_ptr server_connections::connect(const server_id& server,
                                                         const link_address& address)
{
    auto item = std::make_shared<link>(this);
    ++this->connections_opened;
    item->server = server;
    item->since = now();
    link* raw = item.get();
    item->reader.on_head = [this, raw](http_head& head) { this->handle_head(*raw, head); };
    item->reader.on_body = [this, raw](std::string_view bytes) {
        if (!raw->skipping && raw->attempt != 0) this->on_body.emit(raw->attempt, bytes);
    };
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    item->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    if (socket >= 0) {
        set_no_delay(socket);
        set_unacknowledged_timeout(socket, unacknowledged_timeout);
        // After the whole request was acknowledged, only unanswered keep-alive probes reveal
        // that a server has become unreachable.
        enable_keepalive(socket);
    }
    bufferevent_setcb(
        item->socket.get(),
        [](bufferevent*, void* given) {
            auto* found = static_cast<link*>(given);
            found->owner->read(found->shared_from_this());
        },
        nullptr,
        [](bufferevent*, short what, void* given) {
            auto* found = static_cast<link*>(given);
            found->owner->handle_event(found->shared_from_this(), what);
        },
        raw);
    const sockaddr_in to = to_socket_address(address);
    bufferevent_enable(item->socket.get(), EV_READ);
    bufferevent_socket_connect(item->socket.get(), reinterpret_cast<const sockaddr*>(&to),
                               sizeof to);
    return item;
}

void server_connections::send(link& item, const attempt_request& order)
{
    evbuffer* out = bufferevent_get_output(item.socket.get());
    evbuffer_add(out, order.head.data(), order.head.size());
    evbuffer_add(out, order.body.data(), order.body.size());
    flush_output(item.socket.get());
}

void server_connections::handle_event(const link_ptr& item, short what)
{
    if (item->is_closed) return;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        item->connected = true;
        if (!item->unsent.empty()) {
            evbuffer_add(bufferevent_get_output(item->socket.get()), item->unsent.data(),
                         item->unsent.size());
            item->unsent.clear();
            flush_output(item->socket.get());
        }
        if (item->check) {
            item->since = now();
            this->idle[item->server].push_back(item);
            this->end_check(*item, false);
        }
        return;
    }
    const bool clean = (what & BEV_EVENT_EOF) != 0;
    if (clean && item->attempt != 0 && !item->skipping && item->reader.head_complete() &&
        item->reader.read_eof() == read_result::message_complete) {
        item->close_after = true;
        this->finish_answer(item);
        return;
    }
    const int error = EVUTIL_SOCKET_ERROR();
    item->peer_closed = clean || error == ECONNRESET || error == EPIPE;
    item->refused = error == ECONNREFUSED;
    this->fail(item, item->connected ? "read" : "connect", clean ? "closed" : std::strerror(error));
}

void server_connections::handle_head(link& item, const http_head& head)
{
    const response_metadata facts = this->adapter.decode_response(head);
    constexpr int client_error = 400;
    const bool other_request = !facts.request_id.empty() && facts.request_id != item.request_id;
    // Only error responses may lack the request id.
    const bool without_id = facts.request_id.empty() && head.status < client_error;
    item.skipping = item.attempt == 0 || other_request || without_id;
    if (facts.close || !head.keep_alive) item.close_after = true;
    if (facts.idle_timeout) {
        // Half of the announced time, because the server's idle timer started earlier than ours.
        item.max_idle = std::min<duration>(max_idle_time, milliseconds(*facts.idle_timeout) / 2);
    }
    if (!item.skipping) this->on_head.emit(item.attempt, head, facts);
}

void server_connections::read(const link_ptr& item)
{
    evbuffer* input = bufferevent_get_input(item->socket.get());
    while (!item->is_closed && evbuffer_get_length(input) > 0) {
        if (item->attempt == 0) {
            this->drop(*item);
            return;
        }
        const read_result result = item->reader.read(input);
        if (result == read_result::need_more) return;
        if (result != read_result::message_complete) {
            this->fail(item, "parse", "not an answer");
            return;
        }
        // That was a late response to an earlier request; the expected one is still to come.
        if (std::exchange(item->skipping, false)) continue;
        this->finish_answer(item);
        return;
    }
}

void server_connections::finish_answer(const link_ptr& item)
{
    const std::uint64_t attempt = std::exchange(item->attempt, 0);
    if (attempt == 0) return;
    this->attempts.erase(attempt);
    const bool stray = evbuffer_get_length(bufferevent_get_input(item->socket.get())) > 0;
    const bool unsent = evbuffer_get_length(bufferevent_get_output(item->socket.get())) > 0;
    // If the response arrived before the request was sent in full, the connection cannot be reused:
    // the server would read the next request as the rest of the body.
    if (item->close_after || stray || unsent) {
        this->drop(*item);
    } else {
        item->since = now();
        this->idle[item->server].push_back(item);
    }
    this->on_end.emit({attempt, send_progress::answered, "answer", {}});
}

void server_connections::fail(const link_ptr& item, const char* step, std::string detail)
{
    const std::uint64_t attempt = std::exchange(item->attempt, 0);
    const bool sent = item->connected;
    this->drop(*item);
    this->end_check(*item, item->refused);
    if (attempt == 0) return;
    this->attempts.erase(attempt);
    this->on_end.emit({attempt, sent ? send_progress::broken : send_progress::not_sent, step,
                       std::move(detail), sent && item->peer_closed});
}

void server_connections::drop(link& item)
{
    if (item.is_closed) return;
    item.is_closed = true;
    bufferevent_disable(item.socket.get(), EV_READ | EV_WRITE);
    // The socket is shut down at once, so that the server stops; the object is freed in the sweep.
    const evutil_socket_t socket = bufferevent_getfd(item.socket.get());
    if (socket >= 0) ::shutdown(socket, SHUT_RDWR);
    this->closed.push_back(item.shared_from_this());
    const auto pool = this->idle.find(item.server);
    if (pool != this->idle.end()) std::erase(pool->second, this->closed.back());
}

void server_connections::cancel(std::uint64_t attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) return;
    const link_ptr item = found->second;
    this->attempts.erase(found);
    item->attempt = 0;
    this->drop(*item);
}

void server_connections::sweep(instant time)
{
    this->closed.clear();
    std::vector<link_ptr> late;
    for (const auto& [attempt, item] : this->attempts) {
        if (!item->connected && time - item->since > connect_timeout) late.push_back(item);
    }
    for (const auto& [check, item] : this->checks) {
        if (time - item->since > connect_timeout) late.push_back(item);
    }
    for (const link_ptr& item : late)
        this->fail(item, "connect", "timed out");
    for (auto& [server, pool] : this->idle) {
        while (!pool.empty() && time - pool.front()->since > pool.front()->max_idle) {
            const link_ptr old = pool.front();
            this->drop(*old);
        }
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

void server_connections::forget(const server_id& server)
{
    const auto pool = this->idle.find(server);
    if (pool == this->idle.end()) return;
    const std::vector<link_ptr> old = pool->second;
    for (const link_ptr& item : old)
        this->drop(*item);
    this->idle.erase(server);
}

void server_connections::close_all_idle()
{
    std::vector<server_id> servers(this->idle.size());
    std::ranges::transform(this->idle, servers.begin(),
                           [](const auto& entry) { return entry.first; });
    for (const server_id& server : servers)
        this->forget(server);
}

} // namespace worksshift
