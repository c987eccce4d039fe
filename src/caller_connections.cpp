#include "caller_connections.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include <sys/socket.h>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

/** Backlog of connections to be accepted: all callers of a failed VM may reconnect at once. */
constexpr int listen_backlog = 1024;
/** How long input is still read and discarded after the last response on a connection, so that the
 * caller can read that response before the connection is closed. */
constexpr duration linger_time = seconds(1);
/** Timeout for receiving a complete body, counted from the end of the head. */
constexpr duration body_timeout = seconds(10);
/** A connection is closed when sent bytes stay unacknowledged for this long: the caller is
 * unreachable, and its response would stay buffered. Longer than callers wait for most responses,
 * so that a short network outage costs none of them. */
constexpr milliseconds caller_unacknowledged_timeout(10000);
/** Maximum number of bytes buffered of pipelined requests while a response is in progress. */
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int head_too_large = 431;

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

struct caller_connections::link {
    explicit link(std::size_t max_head_bytes) : reader(http_reader::side::requests, max_head_bytes)
    {
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
    stage at = stage::reading;
    std::uint64_t request = 0; ///< 0: none in progress
    http_head head;
    std::string body;
    bool keep_alive = true;
    bool chunked = false;  ///< the response is sent in chunks
    bool finished = false; ///< the response is written to the buffer, but not yet sent in full
    instant since{}; ///< start of the stage, arrival of the head's first byte, or end of the head
};

caller_connections::caller_connections(event_base* base, const link_address& listen) : base(base)
{
    const sockaddr_in at = to_socket_address(listen);
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<caller_connections*>(self)->accept(socket);
    };
    this->listener.reset(evconnlistener_new_bind(
        base, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    if (this->listener == nullptr) {
        throw user_error("listen", listen.address + ":" + std::to_string(listen.port),
                         "the address for callers cannot be bound");
    }
    evconnlistener_set_error_cb(this->listener.get(), [](evconnlistener*, void* self) {
        static_cast<caller_connections*>(self)->pause_accepting();
    });
}

caller_connections::~caller_connections() = default;

/** Called when accept() failed, usually because no file descriptor is free. New connections wait in
 * the kernel's queue until the next sweep. */
void caller_connections::pause_accepting()
{
    log_event(log_level::warn, "accept_failed",
              {{"reason", std::strerror(errno)}, {"connections", this->links.size()}});
    evconnlistener_disable(this->listener.get());
    this->accepting_paused = true;
}

void caller_connections::accept(evutil_socket_t socket)
{
    auto made = std::make_unique<link>(this->limits.max_header_bytes);
    link* item = made.get();
    item->id = this->next_link++;
    item->owner = this;
    item->since = now();
    set_no_delay(socket);
    set_unacknowledged_timeout(socket, caller_unacknowledged_timeout);
    item->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    item->reader.on_head = [this, item](http_head& head) { this->handle_head(*item, head); };
    item->reader.on_body = [this, item](std::string_view bytes) {
        this->handle_body(*item, bytes);
    };
    bufferevent_setcb(
        item->socket.get(),
        [](bufferevent*, void* given) {
            auto* found = static_cast<link*>(given);
            found->owner->read(*found);
        },
        [](bufferevent*, void* given) {
            auto* found = static_cast<link*>(given);
            if (found->finished) found->owner->end_answer(*found);
        },
        [](bufferevent*, short what, void* given) {
            auto* found = static_cast<link*>(given);
            found->owner->handle_event(*found, what);
        },
        item);
    bufferevent_setwatermark(item->socket.get(), EV_READ, 0, max_read_ahead_bytes);
    bufferevent_enable(item->socket.get(), EV_READ);
    this->links.emplace(item->id, std::move(made));
}

void caller_connections::handle_head(link& item, const http_head& head)
{
    item.head = head;
    item.body.clear();
    item.since = now();
    const std::string* expect = head.find("expect");
    if (expect != nullptr && header_names_equal(*expect, "100-continue")) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(bufferevent_get_output(item.socket.get()), go_on.data(), go_on.size());
        flush_output(item.socket.get());
    }
}

void caller_connections::handle_body(link& item, std::string_view bytes)
{
    if (item.at != link::stage::reading) return;
    if (item.body.size() + bytes.size() > this->limits.max_body_bytes) {
        this->refuse(item, content_too_large, "body too large");
        return;
    }
    item.body.append(bytes);
}

void caller_connections::read(link& item)
{
    evbuffer* input = bufferevent_get_input(item.socket.get());
    if (item.at == link::stage::lingering) evbuffer_drain(input, evbuffer_get_length(input));
    while (item.at == link::stage::reading && evbuffer_get_length(input) > 0) {
        if (item.reader.idle()) item.since = now();
        item.reader.set_max_head_bytes(this->limits.max_header_bytes);
        const read_result result = item.reader.read(input);
        if (item.at != link::stage::reading) return;
        if (result == read_result::need_more) return;
        if (result == read_result::message_complete) {
            this->deliver_request(item);
        } else if (result == read_result::head_too_large) {
            this->refuse(item, head_too_large, "head too large");
        } else {
            this->refuse(item, bad_request, "not a request");
        }
    }
}

void caller_connections::deliver_request(link& item)
{
    item.at = link::stage::responding;
    item.since = now();
    item.keep_alive = item.head.keep_alive;
    item.chunked = false;
    item.request = this->next_request++;
    this->in_progress[item.request] = &item;
    this->on_request.emit({item.request, std::move(item.head), std::move(item.body)});
    item.head = http_head{};
    item.body.clear();
}

/** Rejects a request that cannot be read completely, and closes the connection afterwards. */
void caller_connections::refuse(link& item, int status, std::string_view text)
{
    log_event(log_level::info, "request_refused",
              {{"step", "read"}, {"status", status}, {"reason", text}});
    item.keep_alive = false;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason_phrase(status)).append("\r\n");
    append_header(head, "Connection", "close");
    append_header(head, "Content-Length", std::to_string(text.size()));
    head.append("\r\n").append(text);
    evbuffer_add(bufferevent_get_output(item.socket.get()), head.data(), head.size());
    flush_output(item.socket.get());
    item.at = link::stage::lingering;
    item.since = now();
    const evutil_socket_t socket = bufferevent_getfd(item.socket.get());
    if (evbuffer_get_length(bufferevent_get_output(item.socket.get())) == 0) {
        ::shutdown(socket, SHUT_WR);
    }
}

void caller_connections::handle_event(link& item, short what)
{
    const bool ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (!ended || item.at == link::stage::closed) return;
    this->drop(item);
}

caller_connections::link* caller_connections::find(std::uint64_t request)
{
    const auto found = this->in_progress.find(request);
    return found == this->in_progress.end() ? nullptr : found->second;
}

std::string caller_connections::write_head(const link& item, const http_head& head,
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
    if (this->closing || !item.keep_alive) append_header(text, "Connection", "close");
    return text.append("\r\n");
}

void caller_connections::send_response(std::uint64_t request, const http_head& head,
                                       std::string_view body)
{
    link* item = this->find(request);
    if (item == nullptr) return;
    if (this->closing) item->keep_alive = false;
    const std::string text = this->write_head(*item, head, body.size());
    evbuffer* out = bufferevent_get_output(item->socket.get());
    evbuffer_add(out, text.data(), text.size());
    evbuffer_add(out, body.data(), body.size());
    this->finish(request);
}

void caller_connections::answer(std::uint64_t request, const own_answer& given)
{
    http_head head;
    head.status = given.status;
    if (given.retry_after > duration::zero()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f",
                      std::chrono::duration<double>(given.retry_after).count());
        head.headers.push_back({"Retry-After", text.data()});
    }
    head.headers.push_back({"Content-Type", "text/plain"});
    this->send_response(request, head, given.text);
}

void caller_connections::begin(std::uint64_t request, const http_head& head, std::string_view piece)
{
    link* item = this->find(request);
    if (item == nullptr) return;
    if (this->closing) item->keep_alive = false;
    item->chunked = true;
    const std::string text = this->write_head(*item, head, std::nullopt);
    evbuffer_add(bufferevent_get_output(item->socket.get()), text.data(), text.size());
    this->add(request, piece);
}

void caller_connections::add(std::uint64_t request, std::string_view piece)
{
    link* item = this->find(request);
    if (item == nullptr) return;
    if (!piece.empty()) write_chunk(bufferevent_get_output(item->socket.get()), piece);
    flush_output(item->socket.get());
}

void caller_connections::finish(std::uint64_t request)
{
    link* item = this->find(request);
    if (item == nullptr) return;
    evbuffer* out = bufferevent_get_output(item->socket.get());
    if (item->chunked) write_final_chunk(out);
    this->in_progress.erase(request);
    item->finished = true;
    flush_output(item->socket.get());
    if (evbuffer_get_length(out) == 0) this->end_answer(*item);
}

/** Called when the response has been sent: reads the next request or closes the connection. */
void caller_connections::end_answer(link& item)
{
    item.finished = false;
    item.request = 0;
    item.since = now();
    if (!item.keep_alive) {
        item.at = link::stage::lingering;
        ::shutdown(bufferevent_getfd(item.socket.get()), SHUT_WR);
        return;
    }
    item.at = link::stage::reading;
    this->read(item);
}

void caller_connections::abort(std::uint64_t request)
{
    link* item = this->find(request);
    if (item == nullptr) return;
    this->in_progress.erase(request);
    item->request = 0;
    this->drop(*item);
}

void caller_connections::drop(link& item)
{
    if (item.at == link::stage::closed) return;
    item.at = link::stage::closed;
    const std::uint64_t request = std::exchange(item.request, 0);
    bufferevent_disable(item.socket.get(), EV_READ | EV_WRITE);
    this->dropped.push_back(item.id);
    if (request != 0 && this->in_progress.erase(request) > 0) this->on_disconnect.emit(request);
}

void caller_connections::check(link& item, instant time)
{
    const duration age = time - item.since;
    switch (item.at) {
    case link::stage::lingering:
        if (age > linger_time) this->drop(item);
        return;
    case link::stage::reading:
        if (item.reader.idle()) {
            if (age > this->limits.idle_timeout) this->drop(item);
        } else if (item.reader.head_complete()) {
            if (age > body_timeout) this->refuse(item, request_timeout, "body too slow");
        } else if (age > this->limits.header_timeout) {
            this->refuse(item, request_timeout, "head too slow");
        }
        return;
    case link::stage::responding:
    case link::stage::closed:
        return;
    }
}

void caller_connections::sweep(instant time)
{
    for (const std::uint64_t id : this->dropped)
        this->links.erase(id);
    this->dropped.clear();
    if (std::exchange(this->accepting_paused, false) && this->listener != nullptr) {
        evconnlistener_enable(this->listener.get());
    }
    for (const auto& [id, item] : this->links)
        this->check(*item, time);
}

void caller_connections::stop_listening()
{
    this->listener.reset();
    for (const auto& [id, item] : this->links) {
        if (item->at == link::stage::reading && item->reader.idle()) this->drop(*item);
    }
}

} // namespace worksshift
