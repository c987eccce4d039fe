#include "client_connection.h"

#include <cstring>
#include <utility>

#include <sys/socket.h>

namespace worksshift {

namespace {

/** Start line and headers of a request, with the length of its body. Requests with a method that
 * usually has a body state its length also if it is empty. */
std::string write_request_head(const outgoing_request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    bool has_length = false;
    for (const header& field : request.headers) {
        if (field.value.find_first_of("\r\n") != std::string::npos) continue;
        has_length = has_length || header_names_equal(field.name, "content-length");
        append_header(text, field.name, field.value);
    }
    const bool usually_has_body = request.method == "POST" || request.method == "PUT";
    if (!has_length && (usually_has_body || !request.body.empty()))
        append_header(text, "Content-Length", std::to_string(request.body.size()));
    return text.append("\r\n");
}

} // namespace

client_connection::client_connection(event_base* base, const link_address& to)
    : reader(http_reader::message_kind::responses, max_response_head_bytes), unsent(evbuffer_new())
{
    const evutil_socket_t descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    this->socket.reset(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE));
    if (descriptor >= 0) {
        set_no_delay(descriptor);
        // A call may wait for a long time; only keep-alive probes reveal a lost connection
        // meanwhile.
        enable_keepalive(descriptor);
    }
    this->reader.on_head = [this](const http_head& head) {
        this->keep_alive = head.keep_alive;
        this->on_head(head);
    };
    this->reader.on_body = [this](std::string_view bytes) { this->on_body(bytes); };
    bufferevent_setcb(
        this->socket.get(),
        [](bufferevent*, void* self) { static_cast<client_connection*>(self)->read(); }, nullptr,
        [](bufferevent*, short events, void* self) {
            static_cast<client_connection*>(self)->handle_event(events);
        },
        this);
    bufferevent_enable(this->socket.get(), EV_READ);
    bufferevent_socket_connect_hostname(this->socket.get(), nullptr, AF_INET, to.address.c_str(),
                                        to.port);
}

void client_connection::send(const outgoing_request& request)
{
    this->in_progress = true;
    this->written = false;
    if (request.method == "HEAD") this->reader.expect_no_body();
    const std::string head = write_request_head(request);
    evbuffer_add(this->unsent.get(), head.data(), head.size());
    evbuffer_add(this->unsent.get(), request.body.data(), request.body.size());
    if (this->closed) {
        this->fail(connect_step, "no connection");
    } else if (this->connected) {
        this->write();
    }
}

void client_connection::write()
{
    if (!is_quiet(this->socket.get())) {
        this->fail(read_step, "the server sent or closed before the request");
        return;
    }
    this->written = true;
    bufferevent_write_buffer(this->socket.get(), this->unsent.get());
}

void client_connection::set_reading(bool on)
{
    if (!this->in_progress) return;
    if (on) {
        bufferevent_enable(this->socket.get(), EV_READ);
    } else {
        bufferevent_disable(this->socket.get(), EV_READ);
    }
}

void client_connection::set_idle_timeout(duration silence)
{
    const timeval limit = to_timeval(silence);
    bufferevent_set_timeouts(this->socket.get(), &limit, nullptr);
}

bool client_connection::reusable() const
{
    return !this->closed && !this->in_progress && this->keep_alive && is_quiet(this->socket.get());
}

void client_connection::read()
{
    // `write` deals with a response that comes before the request.
    if (this->closed || (this->in_progress && !this->written)) return;
    if (!this->in_progress) {
        this->close();
        return;
    }
    const read_result result = this->reader.read(bufferevent_get_input(this->socket.get()));
    if (result == read_result::need_more) return;
    if (result == read_result::message_complete) {
        this->finish();
    } else {
        this->fail(parse_step, this->reader.fault(result));
    }
}

void client_connection::handle_event(short events)
{
    if (this->closed) return;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        this->connected = true;
        if (this->in_progress) this->write();
        return;
    }
    const std::string_view step = this->connected ? read_step : connect_step;
    if ((events & BEV_EVENT_TIMEOUT) != 0) {
        this->fail(step, "timed out");
    } else if ((events & BEV_EVENT_EOF) == 0) {
        this->fail(step, std::strerror(EVUTIL_SOCKET_ERROR()));
    } else if (this->written && this->reader.head_complete() &&
               ended_in_order(this->socket.get()) &&
               this->reader.read_eof() == read_result::message_complete) {
        this->keep_alive = false;
        this->finish();
    } else {
        this->fail(step, "closed by the peer");
    }
}

void client_connection::finish()
{
    this->in_progress = false;
    if (this->keep_alive && buffers_empty(this->socket.get())) {
        bufferevent_enable(this->socket.get(), EV_READ);
    } else {
        this->close();
    }
    this->on_end({exchange_result::complete, read_step, {}});
}

void client_connection::fail(std::string_view step, std::string detail)
{
    this->close();
    if (!std::exchange(this->in_progress, false)) return;
    this->on_end({this->written ? exchange_result::broken : exchange_result::not_sent, step,
                  std::move(detail)});
}

void client_connection::close()
{
    if (std::exchange(this->closed, true)) return;
    bufferevent_disable(this->socket.get(), EV_READ | EV_WRITE);
    // The server is to stop at once; the socket itself is closed with this object.
    const evutil_socket_t descriptor = bufferevent_getfd(this->socket.get());
    if (descriptor >= 0) ::shutdown(descriptor, SHUT_RDWR);
}

} // namespace worksshift
