#include "http_listener.h"

#include <algorithm>

#include <sys/socket.h>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/** One connection. It holds a reference to the bufferevent, since evhttp tells nobody when it frees
 * a connection: its callbacks are gone then. */
struct http_listener::connection_state {
    connection_state(http_listener* owner, bufferevent* socket)
        : owner(owner), socket(socket), charge(owner->memory, memory_use::incoming)
    {
        bufferevent_incref(socket);
    }
    ~connection_state() { bufferevent_decref(this->socket); }
    connection_state(const connection_state&) = delete;
    connection_state& operator=(const connection_state&) = delete;
    connection_state(connection_state&&) = delete;
    connection_state& operator=(connection_state&&) = delete;

    [[nodiscard]] bool freed() const
    {
        bufferevent_event_cb on_event = nullptr;
        bufferevent_getcb(this->socket, nullptr, nullptr, &on_event, nullptr);
        return on_event == nullptr;
    }

    http_listener* owner;
    bufferevent* socket;
    memory_charge charge;
    input_progress progress; ///< of the request that is being received
    bool receiving = false;  ///< a part of a request has arrived
    bool answering = false;  ///< a request was received in full, and its response was not sent
    bool closing = false;    ///< closed to make room
    instant since = now();   ///< when it was accepted, or its last request began or was answered
};

http_listener::http_listener(event_base* base, const link_address& at, std::string purpose,
                             const http_bounds& bounds, memory_account& memory)
    : base(base), purpose(std::move(purpose)), bounds(bounds), memory(memory),
      http(evhttp_new(base))
{
    evhttp_set_max_headers_size(this->http.get(), static_cast<ev_ssize_t>(bounds.head_bytes));
    evhttp_set_max_body_size(this->http.get(), static_cast<ev_ssize_t>(bounds.body_bytes));
    evhttp_set_timeout(this->http.get(), static_cast<int>(bounds.idle_timeout / seconds(1)));
    evhttp_set_bevcb(
        this->http.get(),
        [](event_base*, void* self) { return static_cast<http_listener*>(self)->accept(); }, this);
    this->socket = evhttp_bind_socket_with_handle(this->http.get(), at.address.c_str(), at.port);
    if (this->socket == nullptr) {
        throw user_error("listen", at.address + ":" + std::to_string(at.port),
                         "the listen address for " + this->purpose + " cannot be bound");
    }
    set_receive_buffer(evhttp_bound_socket_get_fd(this->socket), receive_buffer_bytes);
}

http_listener::~http_listener()
{
    // Frees the connections, whose buffers have callbacks that refer to `entries`.
    this->http.reset();
}

void http_listener::close()
{
    if (this->socket == nullptr) return;
    evhttp_del_accept_socket(this->http.get(), this->socket);
    this->socket = nullptr;
}

/** Creates the bufferevent of a connection that evhttp has accepted. */
bufferevent* http_listener::accept()
{
    bufferevent* created = bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto entry = std::make_unique<connection_state>(this, created);
    entry->charge.set(connection_bytes);
    evbuffer_add_cb(
        bufferevent_get_input(created),
        [](evbuffer*, const evbuffer_cb_info* change, void* context) {
            auto* connection = static_cast<connection_state*>(context);
            if (change->n_added > 0) connection->owner->handle_input(*connection, change->n_added);
        },
        entry.get());
    this->entries.push_back(std::move(entry));
    this->make_room(now());
    return created;
}

void http_listener::handle_input(connection_state& connection, std::size_t bytes)
{
    const instant time = now();
    if (!connection.receiving) {
        connection.receiving = true;
        connection.since = time;
        connection.progress.begin(time);
    }
    connection.progress.add(bytes, time);
    connection.charge.set(connection_bytes + connection.progress.received);
    if (this->memory.exceeded()) this->make_room(time);
}

void http_listener::on_request(const char* path, handler handle)
{
    this->routes.push_back(std::make_unique<route>(route{this, std::move(handle)}));
    evhttp_set_cb(this->http.get(), path, dispatch, this->routes.back().get());
}

void http_listener::on_other_request(handler handle)
{
    this->routes.push_back(std::make_unique<route>(route{this, std::move(handle)}));
    evhttp_set_gencb(this->http.get(), dispatch, this->routes.back().get());
}

void http_listener::dispatch(evhttp_request* request, void* context)
{
    const auto* to = static_cast<const route*>(context);
    to->owner->note_received(request);
    to->handle(request);
}

void http_listener::note_received(evhttp_request* request)
{
    const bufferevent* socket =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    const auto found =
        std::ranges::find(this->entries, socket, [](const auto& entry) { return entry->socket; });
    if (found == this->entries.end()) return;
    connection_state& connection = **found;
    connection.receiving = false;
    connection.answering = true;
    connection.charge.set(connection_bytes);
    evhttp_request_set_on_complete_cb(
        request,
        [](evhttp_request*, void* context) {
            auto* answered = static_cast<connection_state*>(context);
            answered->answering = false;
            answered->since = now();
        },
        &connection);
}

/** Closes connections beyond the bound of their number, and those of requests that are not received
 * in full while the account is exceeded. */
void http_listener::make_room(instant time)
{
    const bool too_many = this->entries.size() > this->bounds.connections;
    if (!too_many && !this->memory.exceeded()) return;
    std::vector<connection_state*> open;
    for (const auto& entry : this->entries) {
        if (!entry->answering && !entry->closing && !entry->freed()) open.push_back(entry.get());
    }
    if (too_many) {
        const auto oldest = std::ranges::min_element(open, {}, &connection_state::since);
        // The newest one is being accepted.
        if (oldest != open.end() && *oldest != this->entries.back().get())
            this->close_for_room(**oldest, "connections");
    }
    for (const bool only_stalled : {true, false}) {
        if (!this->memory.exceeded()) return;
        std::vector<memory_holder> partial;
        std::ranges::transform(
            open, std::back_inserter(partial), [time](const connection_state* item) {
                return memory_holder{item->receiving && !item->closing ? item->charge.size() : 0,
                                     item->progress.unchanged_since(time)};
            });
        for (const std::size_t index : memory_account::choose_to_refuse(
                 partial, this->memory.missing(0, false), only_stalled, time))
            this->close_for_room(*open[index], "memory");
    }
}

/** evhttp sees the end of the input and frees the connection with the request. */
void http_listener::close_for_room(connection_state& connection, std::string_view reason)
{
    ++this->room_closed;
    log_event(log_level::info, "http_connection_closed",
              {{"port", this->purpose},
               {"reason", reason},
               {"received", connection.progress.received},
               {"held", this->memory.held()},
               {"bound", this->memory.bounds().memory},
               {"connections", this->entries.size()}});
    const evutil_socket_t descriptor = bufferevent_getfd(connection.socket);
    if (connection.receiving && !this->bounds.no_room_response.empty()) {
        // Not by the bufferevent, which is about to be freed.
        static_cast<void>(::send(descriptor, this->bounds.no_room_response.data(),
                                 this->bounds.no_room_response.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL));
    }
    ::shutdown(descriptor, SHUT_RDWR);
    connection.closing = true;
    connection.charge.set(connection_bytes);
}

void http_listener::sweep()
{
    std::erase_if(this->entries, [](const auto& entry) { return entry->freed(); });
}

} // namespace worksshift
