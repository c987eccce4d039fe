#include "caller_connections.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include <sys/socket.h>

#include "errors.h"
#include "log.h"
#include "relay_headers.h"

namespace worksshift {

namespace {

/** Backlog of connections to be accepted: all callers of a failed VM may reconnect at once. */
constexpr int listen_backlog = 1024;
/** How long input is still read and discarded after the last response on a connection, so that the
 * caller can read that response before the connection is closed. */
constexpr duration linger_time = seconds(1);
/** The same for a request that found no room: its caller may have to send the rest of a large body
 * before it reads the response. */
constexpr duration no_room_linger_time = seconds(4);
/** Bytes that are discarded after a refusal, beyond the largest legal body. */
constexpr std::size_t max_discarded_bytes = std::size_t{256} * 1024;
constexpr std::string_view no_memory_text = "not run: no memory for the request";
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
/** Retry-After of requests that found no room. Stalled ones are refused in that time. */
constexpr std::string_view no_room_retry_after = "0.50";
/** Connections are closed to make room once fewer than this share of the bound is free. */
constexpr std::size_t free_connections_share = 8;
/** An idle connection is not closed to make room before this time, in which a new caller's first
 * request arrives. */
constexpr duration min_idle_to_close = milliseconds(250);
/** The same for one that lingers after its last response. */
constexpr duration min_linger_to_close = milliseconds(100);
/** Interval at which requests are checked again for stalled ones if none was found. */
constexpr duration partial_check_period = milliseconds(50);
constexpr duration pause_log_period = seconds(1);
/** A pause of this length is logged. */
constexpr duration long_pause = seconds(1);
/** Bytes that the system buffers for a client beyond those it may have in flight. The system's own
 * buffer grows to several MB, which 2,000 slow clients would fill unseen, and bytes in it say
 * nothing of whether the client reads. */
constexpr int system_unsent_bytes = 16 * 1024;
constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int head_too_large = 431;
constexpr int unavailable = 503;

instant now()
{
    return std::chrono::steady_clock::now();
}

int status_of(input_refusal reason)
{
    switch (reason) {
    case input_refusal::malformed:
        return bad_request;
    case input_refusal::head_too_large:
        return head_too_large;
    case input_refusal::body_too_large:
        return content_too_large;
    case input_refusal::too_slow:
        return request_timeout;
    case input_refusal::no_memory:
    case input_refusal::no_socket:
    case input_refusal::unknown_vm:
    case input_refusal::stopping:
        return unavailable;
    }
    return unavailable;
}

/** The result of recv() for one byte, which stays unread. */
ssize_t peek(evutil_socket_t socket)
{
    char next = 0;
    return ::recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
}

/** Whether the peer has closed the connection and all its bytes have been read. */
bool at_end_of_input(evutil_socket_t socket)
{
    const ssize_t size = peek(socket);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

/** Whether the system holds bytes that were not read yet. */
bool has_unread_input(evutil_socket_t socket)
{
    return peek(socket) > 0;
}

} // namespace

struct caller_connections::connection_state {
    explicit connection_state(std::size_t max_head_bytes)
        : reader(http_reader::message_kind::requests, max_head_bytes)
    {
    }

    /** Whether nothing of a next request has been read, and none is in progress. */
    [[nodiscard]] bool is_idle() const
    {
        return this->current_stage == stage::reading && this->reader.idle();
    }
    /** Whether a request is being received. */
    [[nodiscard]] bool is_receiving() const
    {
        return this->current_stage == stage::reading && !this->reader.idle();
    }
    /** Memory held by the request that is being received, in bytes. */
    [[nodiscard]] std::size_t held_input() const
    {
        return this->charge.size() - connection_bytes +
               (this->body == nullptr ? 0 : this->body->charge.size());
    }

    enum class stage : std::uint8_t {
        reading,    ///< idle, or reading a request
        responding, ///< a request waits for its response, or the response is being sent
        lingering,  ///< the last response was sent; further input is discarded
        closed      ///< to be freed in the next sweep
    };

    std::uint64_t id = 0;
    caller_connections* owner = nullptr;
    event_ptr<bufferevent> socket;
    http_reader reader;
    stage current_stage = stage::reading;
    std::uint64_t request = 0; ///< 0: none in progress
    http_head head;
    caller_body_ptr body; ///< nullptr: no request is being received
    input_progress progress;
    memory_charge charge;      ///< of the connection, its unparsed input and an incomplete head
    std::size_t discarded = 0; ///< bytes read since the connection lingers
    duration linger = linger_time;
    bool from_vm = false;
    bool keep_alive = true;
    bool chunked = false;  ///< the response is sent in chunks
    bool finished = false; ///< the response is written to the buffer, but not yet sent in full
    client_output output;
    bool has_read = false;          ///< the client accepted bytes since the last sweep
    bool long_pause_logged = false; ///< of this response
    instant since{}; ///< start of the stage, arrival of the head's first byte, or end of the head
};

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

void caller_connections::handle_head(connection_state& connection, http_head& head)
{
    connection.since = this->read_at;
    connection.head = std::move(head);
    const std::uint64_t length = connection.head.body_length.value_or(0);
    connection.progress.begin(this->read_at, length);
    if (length > this->limits.max_body_bytes) {
        this->refuse(connection, input_refusal::body_too_large, "body too large");
        return;
    }
    const bool large = length >= large_body_bytes;
    const std::size_t needed = request_bytes + 2 * size_in_memory(connection.head) + length;
    connection.charge.set(connection_bytes);
    if (!this->make_room(needed, large, &connection, this->read_at)) {
        this->refuse(connection, input_refusal::no_memory, no_memory_text);
        return;
    }
    connection.body = std::make_shared<caller_body>();
    connection.body->charge = memory_charge(this->memory, memory_use::incoming);
    connection.body->charge.set(needed);
    connection.body->bytes.reserve(length);
    const std::string* expect = connection.head.find("expect");
    if (expect != nullptr && header_names_equal(*expect, "100-continue")) {
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(bufferevent_get_output(connection.socket.get()), continue_response.data(),
                     continue_response.size());
        flush_output(connection.socket.get());
    }
}

void caller_connections::handle_body(connection_state& connection, std::string_view bytes)
{
    if (connection.current_stage != connection_state::stage::reading) return;
    const std::size_t size = connection.body->bytes.size() + bytes.size();
    if (size > this->limits.max_body_bytes) {
        this->refuse(connection, input_refusal::body_too_large, "body too large");
        return;
    }
    if (!this->grow_body(connection, size)) {
        this->refuse(connection, input_refusal::no_memory, no_memory_text);
        return;
    }
    connection.progress.add(bytes.size(), this->read_at);
    std::vector<char>& body = connection.body->bytes;
    body.insert(body.end(), bytes.begin(), bytes.end());
}

/** Makes room for \p size bytes of a body whose length was not announced. */
bool caller_connections::grow_body(connection_state& connection, std::size_t size)
{
    caller_body& body = *connection.body;
    const std::size_t capacity = body.bytes.capacity();
    if (size <= capacity) return true;
    constexpr std::size_t min_step = std::size_t{4} * 1024;
    constexpr std::size_t max_step = std::size_t{64} * 1024;
    const std::size_t step = std::clamp(capacity, min_step, std::max(max_step, capacity / 4));
    const std::size_t grown = std::max(size, capacity + step);
    const bool large = grown > large_body_bytes;
    const std::size_t added = grown - capacity;
    if (!this->make_room(added, large, &connection, this->read_at)) return false;
    body.charge.set(body.charge.size() + added);
    body.bytes.reserve(grown);
    return true;
}

/** Whether \p bytes more can be held, if need be after stalled requests have been refused.
 * \p asking: the connection that needs them. */
bool caller_connections::make_room(std::size_t bytes, bool large, const connection_state* asking,
                                   instant time)
{
    if (this->memory.has_room(bytes, large)) return true;
    if (time - this->partial_checked_at < partial_check_period) return false;
    this->free_memory(this->memory.missing(bytes, large), true, asking, time);
    if (const std::size_t missing = this->memory.missing(bytes, large); missing > 0)
        this->release_bodies(missing);
    if (const std::size_t missing = this->memory.missing(bytes, large); missing > 0)
        this->close_unread(missing, asking, time);
    if (this->memory.has_room(bytes, large)) return true;
    this->partial_checked_at = time;
    return false;
}

/** Refuses requests that are not received in full, so that \p needed bytes become free. */
void caller_connections::free_memory(std::size_t needed, bool only_stalled,
                                     const connection_state* asking, instant time)
{
    std::vector<connection_state*> receiving;
    std::vector<memory_holder> partial;
    for (const auto& [id, connection] : this->connections) {
        if (!connection->is_receiving() || connection.get() == asking) continue;
        receiving.push_back(connection.get());
        partial.push_back({connection->held_input(), connection->progress.unchanged_since(time)});
    }
    for (const std::size_t index :
         memory_account::choose_to_refuse(partial, needed, only_stalled, time)) {
        this->refuse_partial(*receiving[index], input_refusal::no_memory, no_memory_text);
    }
}

/** Frees memory while the account exceeds its bound: heads and responses grow without asking. */
void caller_connections::enforce_account(instant time)
{
    for (const bool only_stalled : {true, false}) {
        if (!this->memory.exceeded()) return;
        this->free_memory(this->memory.missing(0, false), only_stalled, nullptr, time);
        if (only_stalled && this->memory.exceeded())
            this->close_unread(this->memory.missing(0, false), nullptr, time);
    }
}

/** Closes connections whose clients have not read their responses for a while, so that \p needed
 * bytes become free. */
void caller_connections::close_unread(std::size_t needed, const connection_state* asking,
                                      instant time)
{
    std::vector<connection_state*> unread;
    std::vector<memory_holder> holders;
    for (const auto& [id, connection] : this->connections) {
        if (std::exchange(connection->has_read, false)) connection->output.read_at = time;
        if (connection->output.buffered == 0 || connection.get() == asking) continue;
        unread.push_back(connection.get());
        const std::size_t request = connection->request == 0 ? 0 : request_bytes;
        holders.push_back({request + memory_per_output_byte * connection->output.buffered,
                           connection->output.read_at});
    }
    constexpr bool only_stalled = true;
    for (const std::size_t index :
         memory_account::choose_to_refuse(holders, needed, only_stalled, time))
        this->close_slow_client(*unread[index], slow_client_reason::memory, time);
}

/** Refuses a request that is not received in full. Must not be called while the connection is being
 * read. */
void caller_connections::refuse_partial(connection_state& connection, input_refusal reason,
                                        std::string_view text)
{
    this->refuse(connection, reason, text);
    free_input(connection);
}

/** Frees what was received of a request that is refused. Must not be called while the connection is
 * being read. */
void caller_connections::free_input(connection_state& connection)
{
    connection.reader.discard();
    evbuffer* input = bufferevent_get_input(connection.socket.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    connection.charge.set(connection_bytes);
}

void caller_connections::update_charge(connection_state& connection)
{
    const std::size_t head =
        connection.reader.head_complete() ? 0 : 2 * connection.reader.held_bytes();
    const std::size_t input = evbuffer_get_length(bufferevent_get_input(connection.socket.get()));
    connection.charge.set(connection_bytes + head + input);
}

void caller_connections::read(connection_state& connection)
{
    evbuffer* input = bufferevent_get_input(connection.socket.get());
    this->read_at = now();
    if (connection.current_stage == connection_state::stage::lingering) {
        connection.discarded += evbuffer_get_length(input);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (connection.discarded > this->limits.max_body_bytes + max_discarded_bytes)
            this->drop(connection);
        return;
    }
    while (connection.current_stage == connection_state::stage::reading &&
           evbuffer_get_length(input) > 0) {
        if (connection.reader.idle()) {
            connection.since = this->read_at;
            connection.progress.begin(this->read_at);
        }
        connection.reader.set_max_head_bytes(this->limits.max_header_bytes);
        const read_result result = connection.reader.read(input);
        const bool refused = connection.current_stage != connection_state::stage::reading;
        if (refused || result == read_result::need_more) break;
        if (result == read_result::message_complete) {
            this->deliver_request(connection);
        } else if (result == read_result::head_too_large) {
            this->refuse(connection, input_refusal::head_too_large, "head too large");
        } else {
            this->refuse(connection, input_refusal::malformed, "not a request");
        }
    }
    if (connection.current_stage == connection_state::stage::lingering) {
        free_input(connection);
        return;
    }
    this->update_charge(connection);
    this->enforce_account(this->read_at);
}

void caller_connections::deliver_request(connection_state& connection)
{
    // A process that was suspended or starved reads a request together with the end of its
    // connection, possibly seconds after the caller left.
    if (at_end_of_input(bufferevent_getfd(connection.socket.get()))) {
        log_event(log_level::info, "request_dropped",
                  {{"step", "read"}, {"reason", "the caller has disconnected"}});
        this->drop(connection);
        return;
    }
    // The connection to a server takes a socket, too.
    if (this->connections.size() + this->other_sockets() >= this->memory.bounds().sockets) {
        this->refuse(connection, input_refusal::no_socket, "not run: no socket for the request");
        return;
    }
    connection.current_stage = connection_state::stage::responding;
    connection.since = now();
    connection.keep_alive = connection.head.keep_alive;
    connection.chunked = false;
    connection.long_pause_logged = false;
    connection.request = this->next_request++;
    this->in_progress[connection.request] = &connection;
    connection.body->charge.set_use(memory_use::request);
    this->on_request.emit({connection.request, std::exchange(connection.head, {}),
                           std::exchange(connection.body, nullptr), connection.from_vm});
}

std::string_view name_of(input_refusal reason)
{
    switch (reason) {
    case input_refusal::malformed:
        return "malformed";
    case input_refusal::head_too_large:
        return "head_too_large";
    case input_refusal::body_too_large:
        return "body_too_large";
    case input_refusal::too_slow:
        return "too_slow";
    case input_refusal::no_memory:
        return "no_memory";
    case input_refusal::no_socket:
        return "no_socket";
    case input_refusal::unknown_vm:
        return "unknown_vm";
    case input_refusal::stopping:
        return "stopping";
    }
    return "";
}

void caller_connections::log_refusal(const connection_state& connection, input_refusal reason) const
{
    const std::string* id = connection.head.find("x-request-id");
    const caller_bounds& bounds = this->memory.bounds();
    log_event(log_level::info, "request_refused",
              {{"step", "read"},
               {"request", id == nullptr ? std::string() : *id},
               {"status", status_of(reason)},
               {"reason", name_of(reason)},
               {"from_vm", connection.from_vm ? 1 : 0},
               {"announced", connection.head.body_length.value_or(0)},
               {"received", connection.body == nullptr ? 0 : connection.body->bytes.size()},
               {"unchanged_ms", (now() - connection.progress.at) / milliseconds(1)},
               {"held", this->memory.held()},
               {"held_incoming", this->memory.held(memory_use::incoming)},
               {"bound", bounds.memory},
               {"connections", this->connections.size()}});
}

/** Rejects a request that cannot be read completely, and closes the connection afterwards. */
void caller_connections::refuse(connection_state& connection, input_refusal reason,
                                std::string_view text)
{
    this->log_refusal(connection, reason);
    ++this->refusals[static_cast<std::size_t>(reason)];
    const int status = status_of(reason);
    const bool no_room = reason == input_refusal::no_memory || reason == input_refusal::no_socket;
    connection.keep_alive = false;
    connection.body.reset();
    static_cast<void>(std::exchange(connection.head, http_head()));
    connection.linger = no_room ? no_room_linger_time : linger_time;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason_phrase(status)).append("\r\n");
    append_header(head, "Connection", "close");
    append_header(head, "Content-Length", std::to_string(text.size()));
    if (no_room) append_header(head, "Retry-After", no_room_retry_after);
    // A VM that relays the request must learn that it was not run.
    const bool not_run = status == unavailable;
    if (not_run && connection.from_vm) append_header(head, relay_refused_header, text);
    head.append("\r\n").append(text);
    evbuffer_add(bufferevent_get_output(connection.socket.get()), head.data(), head.size());
    flush_output(connection.socket.get());
    connection.current_stage = connection_state::stage::lingering;
    connection.since = now();
    const evutil_socket_t socket = bufferevent_getfd(connection.socket.get());
    if (evbuffer_get_length(bufferevent_get_output(connection.socket.get())) == 0) {
        ::shutdown(socket, SHUT_WR);
    }
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
    if (length) {
        append_header(text, "Content-Length", std::to_string(*length));
    } else {
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

/** Updates the counts of buffered bytes. */
void caller_connections::change_output(connection_state& connection, std::size_t buffered,
                                       std::size_t held_back)
{
    client_output& output = connection.output;
    const std::size_t before = output.buffered + output.held_back;
    const std::size_t after = buffered + held_back;
    output.buffered = buffered;
    output.held_back = held_back;
    this->output.bytes += after - before;
    this->output_charge.set(memory_per_output_byte * this->output.bytes);
    if (before == 0 && after > 0) ++this->output.clients;
    if (before > 0 && after == 0) --this->output.clients;
}

/** Called after a change of a client's output buffer. */
void caller_connections::track_output(connection_state& connection, const evbuffer_cb_info& change)
{
    if (connection.current_stage == connection_state::stage::closed) return;
    const bool was_empty = connection.output.buffered == 0;
    this->change_output(connection, change.orig_size + change.n_added - change.n_deleted,
                        connection.output.held_back);
    connection.has_read = connection.has_read || was_empty || change.n_deleted > 0;
}

void caller_connections::set_held_back(std::uint64_t request, std::size_t bytes)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    this->change_output(*connection, connection->output.buffered, bytes);
    this->enforce_total(now());
}

void caller_connections::set_paused(connection_state& connection, bool paused_now, instant time)
{
    if (connection.output.paused == paused_now) return;
    connection.output.paused = paused_now;
    connection.output.paused_since = time;
    this->paused += paused_now ? 1 : -1;
    // While the response is paused, the write callback is called at each step below half of the
    // bound, otherwise when the buffer is empty.
    const std::size_t low = paused_now ? this->output_rules.client_bound(this->output) / 2 : 0;
    bufferevent_setwatermark(connection.socket.get(), EV_WRITE, low, 0);
}

/** Pauses or resumes a response, or closes a connection whose client does not read. */
void caller_connections::check_output(connection_state& connection, instant time)
{
    const bool responding = connection.current_stage == connection_state::stage::responding;
    if (!responding) return;
    switch (this->output_rules.decide(connection.output, this->output, time)) {
    case output_action::none:
        return;
    case output_action::pause:
        this->set_paused(connection, true, time);
        this->on_output_full.emit(connection.request);
        return;
    case output_action::resume:
        this->set_paused(connection, false, time);
        this->on_output_drained.emit(connection.request);
        return;
    case output_action::close:
        this->close_slow_client(connection, slow_client_reason::unread, time);
        return;
    }
}

/** Closes the connection so that the client can tell that the response is incomplete. */
void caller_connections::close_slow_client(connection_state& connection, slow_client_reason reason,
                                           instant time)
{
    ++this->slow_closed[static_cast<std::size_t>(reason)];
    // By a reset, since the system would keep the bytes that it has buffered until they time out.
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(connection.socket.get()), SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
    if (this->in_progress.contains(connection.request)) {
        const client_output state = connection.output;
        this->on_slow_client.emit(connection.request, state, reason);
    } else {
        log_event(log_level::info, "slow_client_closed",
                  {{"request", ""},
                   {"reason", name_of(reason)},
                   {"complete", 1},
                   {"buffered", connection.output.buffered},
                   {"total", this->output.bytes},
                   {"unread_ms", (time - connection.output.read_at) / milliseconds(1)}});
    }
    this->drop(connection);
}

void caller_connections::check_slow_clients(instant time)
{
    if (this->output.clients == 0) return;
    for (const auto& [id, connection] : this->connections) {
        if (std::exchange(connection->has_read, false)) connection->output.read_at = time;
        if (connection->output.buffered == 0) continue;
        const bool paused_long =
            connection->output.paused && time - connection->output.paused_since >= long_pause;
        if (paused_long && !std::exchange(connection->long_pause_logged, true))
            this->on_long_pause.emit(connection->request, connection->output);
        this->check_output(*connection, time);
    }
}

/** Closes connections while the total bound is exceeded. Called as data is added, since many
 * responses may begin between two sweeps. */
void caller_connections::enforce_total(instant time)
{
    if (!this->output_rules.exceeded(this->output)) return;
    std::vector<connection_state*> waiting;
    std::vector<client_output> states;
    for (const auto& [id, connection] : this->connections) {
        if (std::exchange(connection->has_read, false)) connection->output.read_at = time;
        if (connection->output.buffered == 0) continue;
        waiting.push_back(connection.get());
        states.push_back(connection->output);
    }
    for (const std::size_t index : this->output_rules.choose_to_close(states, this->output))
        this->close_slow_client(*waiting[index], slow_client_reason::memory, time);
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

void caller_connections::refuse_incomplete()
{
    for (const auto& [id, connection] : this->connections) {
        if (!connection->is_receiving()) continue;
        this->refuse_partial(*connection, input_refusal::stopping, "not run: the VM is stopping");
    }
}

} // namespace worksshift
