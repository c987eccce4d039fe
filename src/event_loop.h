/** \file
 * Owning handles for libevent's objects, and timers.
 */
#pragma once

#include <functional>
#include <memory>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "ids.h"

namespace worksshift {

struct event_deleter {
    void operator()(event_base* item) const { event_base_free(item); }
    void operator()(event* item) const { event_free(item); }
    void operator()(bufferevent* item) const { bufferevent_free(item); }
    void operator()(evhttp* item) const { evhttp_free(item); }
    void operator()(evconnlistener* item) const { evconnlistener_free(item); }
    void operator()(evbuffer* item) const { evbuffer_free(item); }
    void operator()(evhttp_connection* item) const { evhttp_connection_free(item); }
};

template <class Type>
using event_ptr = std::unique_ptr<Type, event_deleter>;

timeval to_timeval(duration span);

/** Calls a function after a time, once or again and again. */
class timer {
public:
    timer(event_base* base, std::function<void()> action);

    void start_once(duration after);
    void start_every(duration period);
    void stop();

private:
    void arm(duration after);

    std::function<void()> action;
    duration period{};
    event_ptr<event> inner;
};

/** Calls a function when a signal arrives. */
class signal_watch {
public:
    signal_watch(event_base* base, int number, std::function<void()> action);

private:
    std::function<void()> action;
    event_ptr<event> inner;
};

/** A loop that applies changes of interest together, so that one undone in the same round costs no
 * system call. */
event_ptr<event_base> make_event_base();

/** Writes what a connected socket's output holds at once, rather than after a round of polling for
 * it to be writable; a token costs one system call instead of four. */
void write_now(bufferevent* socket);

/** Sends small pieces at once: a token must not wait until the one before it is acknowledged. */
void set_no_delay(evutil_socket_t socket);

/** Ends the connection when bytes that were sent stay unacknowledged for so long: its peer is out
 * of reach, and without this the connection would be kept for a quarter of an hour. */
void limit_unacknowledged(evutil_socket_t socket, milliseconds span);

/** Ends the connection when its peer is out of reach although nothing is sent: the system asks it
 * after a second without a byte, and gives up two seconds after the last one. */
void probe_while_idle(evutil_socket_t socket);

/** Whole content of a buffer as text. */
std::string read_all(evbuffer* buffer);

} // namespace worksshift
