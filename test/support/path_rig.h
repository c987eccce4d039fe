/** \file
 * A request path in one loop with scripted servers and raw callers: tests see every byte on both
 * sides, and no other process is needed.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller_links.h"
#include "platform.h"
#include "request_path.h"
#include "support/fleet.h"
#include "support/loopback_listener.h"

namespace support {

/** What a scripted server does with a request. */
struct scripted_answer {
    /** `end`: the server's process ends, with all its connections and its listener. */
    enum class then : std::uint8_t { keep, close, reset, stay_silent, end };
    std::string bytes;
    then after = then::keep;
};

/** A server of raw bytes on a free port of loopback. */
class scripted_server {
public:
    using script = std::function<scripted_answer(const std::string& request)>;
    scripted_server(event_base* base, script answer);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->listener.address(); }
    /** Sends bytes on the newest connection, as if by itself. */
    void push(const std::string& bytes);
    /** The process ends: all connections close, and new ones are refused. */
    void end();

    script answer;
    std::vector<std::string> requests; ///< whole requests that came, in order
    std::size_t connections = 0;
    std::size_t closed = 0; ///< connections that the router closed
    bool ended = false;

private:
    struct connection;
    void accept(evutil_socket_t socket);
    void read(connection& item);
    static void reset(connection& item);

    event_base* base;
    loopback_listener listener;
    std::vector<std::unique_ptr<connection>> open;
};

/** A caller's connection. */
class raw_caller {
public:
    raw_caller(event_base* base, const worksshift::link_address& to);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    void send(const std::string& bytes);
    void leave();

    std::string received;
    bool closed = false;

private:
    worksshift::event_ptr<bufferevent> socket;
};

/** The request path, its tables and a configuration with one route of each kind on host `h`. */
class path_rig {
public:
    path_rig();

    /** Adds a server of \p service, answering by \p answer. */
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script answer);
    raw_caller& add_caller();
    [[nodiscard]] std::vector<const scripted_server*> all_servers() const;
    /** Runs the loop until \p done or for five seconds; false then. */
    bool run_until(const std::function<bool()>& done);
    void run_for(worksshift::duration span);

    worksshift::event_ptr<event_base> base;
    worksshift::protocol dialect;
    worksshift::metrics numbers;
    worksshift::server_table table;
    std::uint16_t front_port;
    std::unique_ptr<worksshift::caller_links> callers;
    std::unique_ptr<worksshift::server_links> links;
    std::unique_ptr<worksshift::request_path> path;

private:
    worksshift::timer ticker;
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::unique_ptr<raw_caller>> raw_callers;
};

/** A configuration as the store holds it: routes /safe/, /unsafe/, /stream/ (may be resumed),
 * /once/ (a stream that may not) and /open/ (no key), keys `k1` of account `one`. */
std::string example_config(std::uint64_t version);
/** A request to \p target with id \p id, key `k1` and a deadline of two seconds. */
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& id, const std::string& body = {});
/** An answer with the echoed id of \p request. */
std::string answer_text(int status, const std::string& request, const std::string& body,
                        const std::string& extra_headers = {});
/** Head of a chunked event stream that answers \p request. */
std::string stream_head(const std::string& request);
/** One event as a chunk. */
std::string event_chunk(unsigned id, const std::string& data);
/** Size of the first whole request in \p bytes; 0 when it is not whole. */
std::size_t request_size(const std::string& bytes);
/** Value of a header in raw text; empty when it is not there. */
std::string header_in(const std::string& text, const std::string& name);
/** The body of a raw answer, decoded if it is chunked. */
std::string body_in(const std::string& text);

} // namespace support
