/** \file
 * The part of `caller_connections` that receives requests: it asks the account for memory, makes
 * room by refusing requests that make no progress, and refuses what cannot be received
 * (`memory_account.h`).
 */
#include <algorithm>
#include <array>

#include <sys/socket.h>

#include "caller_connection_state.h"
#include "log.h"
#include "relay_headers.h"

namespace worksshift {

namespace {

/** How long input is read and discarded after a refusal for lack of room: the caller may have to
 * send the rest of a large body before it reads the response. */
constexpr duration no_room_linger_time = seconds(4);
/** Bytes that are discarded after a refusal, beyond the largest legal body. */
constexpr std::size_t max_discarded_bytes = std::size_t{256} * 1024;
constexpr std::string_view no_memory_text = "not run: no memory for the request";
/** Retry-After of requests that found no room. Stalled ones are refused in that time. */
constexpr std::string_view no_room_retry_after = "0.50";
/** Interval at which requests are checked again for stalled ones if none was found. */
constexpr duration partial_check_period = milliseconds(50);
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

} // namespace

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

/** Whether \p bytes more can be held, if need be after stalled requests have been refused, bodies
 * released and unread responses closed.
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

void caller_connections::refuse_incomplete()
{
    for (const auto& [id, connection] : this->connections) {
        if (!connection->is_receiving()) continue;
        this->refuse_partial(*connection, input_refusal::stopping, "not run: the VM is stopping");
    }
}

} // namespace worksshift
