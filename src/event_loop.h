/** \file
 * Owning handles for libevent objects, timers, signal handlers and socket options.
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

/** Calls a function after a delay, once or periodically. */
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
class signal_handler {
public:
    signal_handler(event_base* base, int number, std::function<void()> action);

private:
    std::function<void()> action;
    event_ptr<event> inner;
};

/** Creates an event loop that applies changes of watched events in batches, so that a change
 * reverted in the same iteration costs no system call. */
event_ptr<event_base> make_event_base();

/** Writes the output buffer of a connected socket immediately instead of polling for writability
 * first. A token then costs one system call instead of four. */
void flush_output(bufferevent* socket);

/** Disables Nagle's algorithm: a token must not wait until the previous one is acknowledged. */
void set_no_delay(evutil_socket_t socket);

/** Closes the connection when sent bytes stay unacknowledged for \p span because the peer is
 * unreachable. By default, the system would keep the connection for about 15 minutes. */
void set_unacknowledged_timeout(evutil_socket_t socket, milliseconds span);

/** Limits the bytes that the system receives and nobody has read to about \p bytes. To be called
 * before the socket connects or listens: a smaller window than the peer knows would make it send a
 * few bytes at a time. Accepted connections inherit the limit. */
void set_receive_buffer(evutil_socket_t socket, int bytes);

/** Whether the peer has closed the connection and all its bytes have been read. */
bool at_end_of_input(evutil_socket_t socket);

/** Whether the system holds bytes that were not read yet. */
bool has_unread_input(evutil_socket_t socket);

/** Whether nothing arrived that was not handled: no bytes, no end of input and no error. What
 * arrives on a connection before a request is written does not answer it. */
bool is_quiet(bufferevent* socket);

/** Whether no bytes wait to be handled or to be sent. After a response, input is none that was
 * asked for, and with output left the peer would read the next request as the rest of the last one.
 */
bool buffers_empty(bufferevent* socket);

/** Whether the end of input, which was just read, is that of a peer that has received all output of
 * this connection. It is not if output is unsent or unacknowledged, or if a reset followed. */
bool ended_in_order(bufferevent* socket);

/** Limits the bytes that the system accepts beyond those that may be in flight to the peer. */
void set_unsent_limit(evutil_socket_t socket, int bytes);

/** Closes an idle connection when the peer is unreachable: the system sends a keepalive probe after
 * 1 s without traffic, and gives up 2 s after the last byte received. */
void enable_keepalive(evutil_socket_t socket);

/** Copies the whole content of a buffer. */
std::string read_all(evbuffer* buffer);

} // namespace worksshift
