#include "caller_connections.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>

#include <sys/socket.h>

#include "caller_connection_state.h"
#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

/** Backlog of connections to be accepted: all callers of a failed VM may reconnect at once. */
constexpr int listen_backlog = 1024;
/** Timeout for receiving a body that still makes progress, as from a caller of a distant region,
 * counted from the end of the head. Others are refused after `receive_time`. */
constexpr duration max_body_time = seconds(60);
/** A connection is closed when sent bytes stay unacknowledged for this long: the caller is
 * unreachable, and its response would stay buffered. Longer than callers wait for most responses,
 * so that a short network outage costs none of them. */
constexpr milliseconds caller_unacknowledged_timeout(10000);
/** How long a connection stays open for the next request, after its last response or since it was
 * accepted, while the VM stops. A caller that sends at once then gets a response; one that sends
 * as the connection closes cannot know whether its request ran. Longer than a round trip to
 * callers of the same region. */
constexpr duration closing_idle_time = milliseconds(100);
/** Maximum number of bytes buffered of pipelined requests while a response is in progress: one read
 * of the socket. */
constexpr std::size_t max_read_ahead_bytes = std::size_t{4} * 1024;
/** Connections are closed to make room once fewer than this share of the bound is free. */
constexpr std::size_t free_connections_share = 8;
/** An idle connection is not closed to make room before this time, in which a new caller's first
 * request arrives. */
constexpr duration min_idle_to_close = milliseconds(250);
/** The same for one that lingers after its last response. */
constexpr duration min_linger_to_close = milliseconds(100);
constexpr duration pause_log_period = seconds(1);
/** Bytes that the system buffers for a client beyond those it may have in flight. The system's own
 * buffer grows to several MB, which 2,000 slow clients would fill unseen, and bytes in it say
 * nothing of whether the client reads. */
constexpr int system_unsent_bytes = 16 * 1024;

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

caller_connections::caller_connections(event_base* base, const link_address& listen) : base(base)
{
    this->listener = this->listen(
        listen,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<caller_connections*>(self)->accept(socket, false);
        },
        "the address for callers cannot be bound");
}

void caller_connections::listen_for_vms(const link_address& listen,
                                        std::function<bool(std::uint32_t)> is_known_vm)
{
    this->is_vm = std::move(is_known_vm);
    this->vm_listener = this->listen(
        listen,
        [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int, void* self) {
            static_cast<caller_connections*>(self)->accept_vm(socket, from);
        },
        "the address for requests of other VMs cannot be bound");
}

event_ptr<evconnlistener>
caller_connections::listen(const link_address& at, evconnlistener_cb on_accept, const char* failure)
{
    const sockaddr_in address = to_socket_address(at);
    event_ptr<evconnlistener> created(evconnlistener_new_bind(
        this->base, on_accept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
        reinterpret_cast<const sockaddr*>(&address), sizeof address));
    if (created == nullptr)
        throw user_error("listen", at.address + ":" + std::to_string(at.port), failure);
    set_receive_buffer(evconnlistener_get_fd(created.get()), receive_buffer_bytes);
    evconnlistener_set_error_cb(created.get(), [](evconnlistener*, void* self) {
        static_cast<caller_connections*>(self)->pause_accepting("accept_failed",
                                                                std::strerror(errno));
    });
    return created;
}

caller_connections::~caller_connections() = default;

void caller_connections::set_caller_bounds(const caller_bounds& bounds)
{
    this->memory.set_bounds(bounds);
    this->output_rules = output_limits({.total = bounds.output});
}

/** Called when accept() failed, or when the bound of connections is reached. New connections wait
 * in the kernel's queue until the next sweep. */
void caller_connections::pause_accepting(std::string_view event, std::string_view reason)
{
    ++this->pauses;
    const instant time = now();
    if (time - this->pause_logged_at >= pause_log_period) {
        this->pause_logged_at = time;
        log_event(log_level::warn, event,
                  {{"reason", reason},
                   {"connections", this->connections.size()},
                   {"bound", this->memory.bounds().connections},
                   {"other_sockets", this->other_sockets()},
                   {"pauses", this->pauses}});
    }
    for (evconnlistener* paused : {this->listener.get(), this->vm_listener.get()}) {
        if (paused != nullptr) evconnlistener_disable(paused);
    }
    this->accepting_paused = true;
}

void caller_connections::resume_accepting()
{
    if (!this->has_connection_room() || !std::exchange(this->accepting_paused, false)) return;
    for (evconnlistener* paused : {this->listener.get(), this->vm_listener.get()}) {
        if (paused != nullptr) evconnlistener_enable(paused);
    }
}

bool caller_connections::has_connection_room() const
{
    const caller_bounds& bounds = this->memory.bounds();
    return this->connections.size() < bounds.connections &&
           this->connections.size() + this->other_sockets() < bounds.sockets;
}

/** Whether so few connections are left that callers have to take turns. */
bool caller_connections::is_crowded() const
{
    const std::size_t bound = this->memory.bounds().connections;
    return this->connections.size() > bound - bound / free_connections_share;
}

/** Closes connections without a request, those idle for longest first, while they are crowded. */
void caller_connections::make_room_for_connections(instant time)
{
    if (!this->is_crowded()) return;
    std::vector<connection_state*> idle;
    for (const auto& [id, connection] : this->connections) {
        const duration age = time - connection->since;
        const bool unused = connection->is_idle() && age >= min_idle_to_close;
        const bool over = connection->current_stage == connection_state::stage::lingering &&
                          age >= min_linger_to_close;
        if (unused || over) idle.push_back(connection.get());
    }
    std::ranges::sort(idle, {}, &connection_state::since);
    const std::size_t bound = this->memory.bounds().connections;
    const std::size_t surplus = this->connections.size() - (bound - bound / free_connections_share);
    std::size_t closed = 0;
    for (connection_state* connection : idle) {
        if (closed == surplus) break;
        // One that was sent a request in the meantime is kept.
        const bool lingering = connection->current_stage == connection_state::stage::lingering;
        if (!lingering && has_unread_input(bufferevent_getfd(connection->socket.get()))) continue;
        this->drop(*connection);
        ++closed;
    }
    if (closed == 0) return;
    this->room_closed += closed;
    log_event(log_level::info, "idle_connections_closed",
              {{"closed", closed}, {"connections", this->connections.size()}, {"bound", bound}});
}

void caller_connections::accept_vm(evutil_socket_t socket, const sockaddr* from)
{
    const std::uint32_t address =
        from->sa_family == AF_INET
            ? ntohl(reinterpret_cast<const sockaddr_in*>(from)->sin_addr.s_addr)
            : 0;
    connection_state& connection = this->accept(socket, true);
    if (this->is_vm(address)) return;
    log_event(log_level::warn, "vm_connection_refused",
              {{"peer", to_text(address)}, {"reason", "not a known VM"}});
    // A VM that is not known here yet must learn that its request was not run.
    this->refuse(connection, input_refusal::unknown_vm, "not a known VM");
}

caller_connections::connection_state& caller_connections::accept(evutil_socket_t socket,
                                                                 bool from_vm)
{
    auto created = std::make_unique<connection_state>(this->limits.max_header_bytes);
    connection_state* connection = created.get();
    connection->id = this->next_connection++;
    connection->owner = this;
    connection->from_vm = from_vm;
    connection->since = now();
    connection->progress.begin(connection->since);
    connection->charge = memory_charge(this->memory, memory_use::connection);
    connection->charge.set(connection_bytes);
    set_no_delay(socket);
    set_unacknowledged_timeout(socket, caller_unacknowledged_timeout);
    set_unsent_limit(socket, system_unsent_bytes);
    connection->output.from_vm = from_vm;
    connection->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    evbuffer_add_cb(
        bufferevent_get_output(connection->socket.get()),
        [](evbuffer*, const evbuffer_cb_info* change, void* context) {
            auto* self = static_cast<connection_state*>(context);
            self->owner->track_output(*self, *change);
        },
        connection);
    connection->reader.on_head = [this, connection](http_head& head) {
        this->handle_head(*connection, head);
    };
    connection->reader.on_body = [this, connection](std::string_view bytes) {
        this->handle_body(*connection, bytes);
    };
    bufferevent_setcb(
        connection->socket.get(),
        [](bufferevent*, void* context) {
            auto* self = static_cast<connection_state*>(context);
            self->owner->read(*self);
        },
        [](bufferevent*, void* context) {
            auto* self = static_cast<connection_state*>(context);
            const bool sent = evbuffer_get_length(bufferevent_get_output(self->socket.get())) == 0;
            if (self->finished && sent) {
                self->owner->end_response(*self);
            } else if (self->output.paused) {
                self->owner->check_output(*self, now());
            }
        },
        [](bufferevent*, short events, void* context) {
            auto* self = static_cast<connection_state*>(context);
            self->owner->handle_event(*self, events);
        },
        connection);
    bufferevent_setwatermark(connection->socket.get(), EV_READ, 0, max_read_ahead_bytes);
    bufferevent_enable(connection->socket.get(), EV_READ);
    this->connections.emplace(connection->id, std::move(created));
    if (!this->has_connection_room())
        this->pause_accepting("accept_paused", "too many connections");
    return *connection;
}

void caller_connections::handle_event(connection_state& connection, short events)
{
    const bool ended = (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (!ended || connection.current_stage == connection_state::stage::closed) return;
    this->drop(connection);
}

caller_connections::connection_state* caller_connections::find(std::uint64_t request)
{
    const auto found = this->in_progress.find(request);
    return found == this->in_progress.end() ? nullptr : found->second;
}

std::string caller_connections::write_head(const connection_state& connection,
                                           const http_head& head,
                                           std::optional<std::size_t> length) const
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason_phrase(head.status)).append("\r\n");
    for (const header& entry : head.headers) {
        if (is_hop_by_hop_header(entry.name) || header_names_equal(entry.name, "content-length"))
            continue;
        append_header(text, entry.name, entry.value);
    }
    // The caller of a response without a body could wait for one of a stated length.
    const bool bodiless = is_bodiless(head.status);
    if (!bodiless && length) {
        append_header(text, "Content-Length", std::to_string(*length));
    } else if (!bodiless) {
        append_header(text, "Transfer-Encoding", "chunked");
    }
    if (this->closing || !connection.keep_alive) append_header(text, "Connection", "close");
    return text.append("\r\n");
}

void caller_connections::send_response(std::uint64_t request, const http_head& head,
                                       std::string_view body)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    if (this->closing || this->is_crowded()) connection->keep_alive = false;
    this->change_output(*connection, connection->output.buffered, 0);
    const std::string text = this->write_head(*connection, head, body.size());
    evbuffer* out = bufferevent_get_output(connection->socket.get());
    evbuffer_add(out, text.data(), text.size());
    evbuffer_add(out, body.data(), body.size());
    this->finish_response(request);
}

void caller_connections::send_local_response(std::uint64_t request, const local_response& response)
{
    http_head head;
    head.status = response.status;
    if (response.retry_after > duration::zero()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f",
                      std::chrono::duration<double>(response.retry_after).count());
        head.headers.push_back({"Retry-After", text.data()});
    }
    head.headers.push_back({"Content-Type", "text/plain"});
    std::ranges::copy(response.headers, std::back_inserter(head.headers));
    this->send_response(request, head, response.text);
}

void caller_connections::begin_response(std::uint64_t request, const http_head& head,
                                        std::string_view piece)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    if (this->closing || this->is_crowded()) connection->keep_alive = false;
    connection->chunked = true;
    this->change_output(*connection, connection->output.buffered, 0);
    const std::string text = this->write_head(*connection, head, std::nullopt);
    evbuffer_add(bufferevent_get_output(connection->socket.get()), text.data(), text.size());
    this->add_response_data(request, piece);
}

void caller_connections::add_response_data(std::uint64_t request, std::string_view piece)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    if (!piece.empty()) write_chunk(bufferevent_get_output(connection->socket.get()), piece);
    flush_output(connection->socket.get());
    if (connection->output.buffered == 0 && !connection->output.paused) return;
    this->check_output(*connection, now());
    // The piece may come from a new attempt, which is not paused yet.
    if (connection->output.paused) this->on_output_full.emit(request);
    this->enforce_total(now());
}

void caller_connections::finish_response(std::uint64_t request)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    evbuffer* out = bufferevent_get_output(connection->socket.get());
    if (connection->chunked) write_final_chunk(out);
    this->in_progress.erase(request);
    connection->finished = true;
    this->set_paused(*connection, false, {});
    connection->output.complete = true;
    flush_output(connection->socket.get());
    if (evbuffer_get_length(out) == 0) {
        this->end_response(*connection);
    } else {
        this->enforce_total(now());
    }
}

/** Called when the response has been sent: reads the next request or closes the connection. */
void caller_connections::end_response(connection_state& connection)
{
    connection.finished = false;
    connection.output.complete = false;
    connection.request = 0;
    connection.since = now();
    if (!connection.keep_alive) {
        free_input(connection);
        connection.current_stage = connection_state::stage::lingering;
        ::shutdown(bufferevent_getfd(connection.socket.get()), SHUT_WR);
        return;
    }
    connection.current_stage = connection_state::stage::reading;
    this->read(connection);
}

void caller_connections::abort_response(std::uint64_t request)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    this->in_progress.erase(request);
    connection->request = 0;
    this->drop(*connection);
}

void caller_connections::drop(connection_state& connection)
{
    if (connection.current_stage == connection_state::stage::closed) return;
    connection.current_stage = connection_state::stage::closed;
    const std::uint64_t request = std::exchange(connection.request, 0);
    this->set_paused(connection, false, {});
    this->change_output(connection, 0, 0);
    connection.body.reset();
    bufferevent_disable(connection.socket.get(), EV_READ | EV_WRITE);
    this->dropped.push_back(connection.id);
    if (request != 0 && this->in_progress.erase(request) > 0) this->on_disconnect.emit(request);
}

void caller_connections::check_timeouts(connection_state& connection, instant time)
{
    const duration age = time - connection.since;
    switch (connection.current_stage) {
    case connection_state::stage::lingering:
        if (age > connection.linger) this->drop(connection);
        return;
    case connection_state::stage::reading:
        if (connection.reader.idle()) {
            if (age > this->limits.idle_timeout) this->drop(connection);
        } else if (connection.reader.head_complete()) {
            const bool progressing = time - connection.progress.at < stalled_after;
            if (age <= (progressing ? max_body_time : receive_time)) return;
            this->refuse_partial(connection, input_refusal::too_slow, "body too slow");
        } else if (age > this->limits.header_timeout) {
            this->refuse_partial(connection, input_refusal::too_slow, "head too slow");
        }
        return;
    case connection_state::stage::responding:
    case connection_state::stage::closed:
        return;
    }
}

void caller_connections::sweep(instant time)
{
    for (const std::uint64_t id : this->dropped)
        this->connections.erase(id);
    this->dropped.clear();
    this->resume_accepting();
    for (const auto& [id, connection] : this->connections)
        this->check_timeouts(*connection, time);
    this->make_room_for_connections(time);
    this->check_slow_clients(time);
}

void caller_connections::stop_listening(instant time)
{
    this->listener.reset();
    this->vm_listener.reset();
    for (const auto& [id, connection] : this->connections) {
        const bool idle = connection->is_idle() && time - connection->since > closing_idle_time;
        if (idle && !has_unread_input(bufferevent_getfd(connection->socket.get())))
            this->drop(*connection);
    }
}

} // namespace worksshift
