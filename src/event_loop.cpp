#include "event_loop.h"

#include <cerrno>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace worksshift {

namespace {

/** The result of recv() for one byte, which stays unread. */
ssize_t peek(evutil_socket_t socket)
{
    char next = 0;
    return ::recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
}

} // namespace

timeval to_timeval(duration span)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    constexpr std::int64_t micros_per_second = 1'000'000;
    return {.tv_sec = micros / micros_per_second, .tv_usec = micros % micros_per_second};
}

timer::timer(event_base* base, std::function<void()> action) : action(std::move(action))
{
    const auto on_event = [](evutil_socket_t, short, void* context) {
        auto* self = static_cast<timer*>(context);
        if (self->period > duration::zero()) self->arm(self->period);
        self->action();
    };
    this->inner.reset(evtimer_new(base, on_event, this));
}

void timer::start_once(duration after)
{
    this->period = duration::zero();
    this->arm(after);
}

void timer::start_every(duration every)
{
    this->period = every;
    this->arm(every);
}

void timer::stop()
{
    this->period = duration::zero();
    evtimer_del(this->inner.get());
}

void timer::arm(duration after)
{
    const timeval wait = to_timeval(after);
    evtimer_add(this->inner.get(), &wait);
}

signal_handler::signal_handler(event_base* base, int number, std::function<void()> action)
    : action(std::move(action))
{
    const auto on_event = [](evutil_socket_t, short, void* self) {
        static_cast<signal_handler*>(self)->action();
    };
    this->inner.reset(evsignal_new(base, number, on_event, this));
    evsignal_add(this->inner.get(), nullptr);
}

event_ptr<event_base> make_event_base()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_ptr<event_base> base(event_base_new_with_config(config));
    event_config_free(config);
    return base;
}

void flush_output(bufferevent* socket)
{
    evbuffer* output = bufferevent_get_output(socket);
    const evutil_socket_t descriptor = bufferevent_getfd(socket);
    if (descriptor < 0 || evbuffer_get_length(output) == 0) return;
    // A bufferevent freezes the front of its output buffer so that only it can remove bytes. This
    // function writes in its place, so it lifts that for the duration of the write.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, descriptor);
    evbuffer_freeze(output, 1);
    // Enabling EV_WRITE always polls the socket, so it is enabled only while output remains.
    if (evbuffer_get_length(output) > 0) {
        bufferevent_enable(socket, EV_WRITE);
    } else {
        bufferevent_disable(socket, EV_WRITE);
    }
}

void set_no_delay(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void set_unacknowledged_timeout(evutil_socket_t socket, milliseconds span)
{
    const auto value = static_cast<unsigned>(span.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

void set_receive_buffer(evutil_socket_t socket, int bytes)
{
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

bool at_end_of_input(evutil_socket_t socket)
{
    const ssize_t size = peek(socket);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

bool has_unread_input(evutil_socket_t socket)
{
    return peek(socket) > 0;
}

bool is_quiet(bufferevent* socket)
{
    if (evbuffer_get_length(bufferevent_get_input(socket)) > 0) return false;
    return peek(bufferevent_getfd(socket)) < 0 && errno == EAGAIN;
}

bool buffers_empty(bufferevent* socket)
{
    return evbuffer_get_length(bufferevent_get_input(socket)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(socket)) == 0;
}

bool ended_in_order(bufferevent* socket)
{
    if (evbuffer_get_length(bufferevent_get_output(socket)) > 0) return false;
    const evutil_socket_t descriptor = bufferevent_getfd(socket);
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return false;
    int unacknowledged = 0;
    return ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

void set_unsent_limit(evutil_socket_t socket, int bytes)
{
    setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes);
}

void enable_keepalive(evutil_socket_t socket)
{
    // The minimum that the system accepts.
    constexpr int period_s = 1;
    constexpr int probes = 1;
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &period_s, sizeof period_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &period_s, sizeof period_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

std::string read_all(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

} // namespace worksshift
