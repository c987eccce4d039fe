/** \file
 * Test fixture: a request path in one event loop with scripted servers and raw callers. Tests
 * control and observe every byte on both sides without further processes.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller_connections.h"
#include "platform.h"
#include "request_path.h"
#include "support/fleet.h"
#include "support/loopback_listener.h"

namespace support {

/** Reaction of a scripted server to a request. */
struct scripted_response {
    /** What follows the bytes. `end`: the server's process ends, with all its connections and its
     * listener. */
    enum class then : std::uint8_t { keep, close, reset, stay_silent, end };
    std::string bytes;
    then after = then::keep;
};

/** A server that sends scripted raw bytes, on a free loopback port. */
class scripted_server {
public:
    using script = std::function<scripted_response(const std::string& request)>;
    scripted_server(event_base* base, script answer);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->listener.address(); }
    /** Sends unsolicited bytes on the newest connection. */
    void push(const std::string& bytes);
    /** The same on all open connections. */
    void push_to_all(const std::string& bytes);
    /** Simulates the end of the process: all connections close, and new ones are refused. */
    void end();

    script answer;
    std::vector<std::string> requests; ///< complete requests received, in order
    std::size_t connections = 0;
    std::size_t closed = 0; ///< connections that the router closed
    bool ended = false;     ///< `end` was called

private:
    struct connection;
    void accept(evutil_socket_t socket);
    void read(connection& item);
    static void reset(connection& item);

    event_base* base;
    loopback_listener listener;
    std::vector<std::unique_ptr<connection>> open;
};

/** A caller's connection that sends and receives raw bytes. */
class raw_caller {
public:
    /** \p receive_buffer: size of the system's buffer, which bounds what the router can send while
     * the caller does not read; 0: the system's choice. */
    raw_caller(event_base* base, const worksshift::link_address& to, int receive_buffer = 0);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    void send(const std::string& bytes);
    /** Sends without the event loop, on a connection that is established. */
    void send_now(const std::string& bytes) const;
    /** Closes the connection. */
    void leave();
    /** Stops and continues reading. */
    void set_reading(bool on);
    /** Reads only \p bytes every \p period from now on. */
    void read_slowly(std::size_t bytes, worksshift::duration period);

    std::string received;
    bool closed = false; ///< by the router

private:
    event_base* base;
    worksshift::event_ptr<bufferevent> socket;
    std::unique_ptr<worksshift::timer> reader;
};

/** The request path, its tables and a configuration with one route of each kind on host `h`. */
class path_rig {
public:
    path_rig();

    /** Adds a server of \p service that answers with \p answer. The fixture owns it. \p version:
     * of its software. */
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script answer, const std::string& version = "v1");
    /** Adds two servers of \p service that this VM has lost, and that have answered others since.
     */
    void add_lost_servers(const std::string& service);
    raw_caller& add_caller(int receive_buffer = 0);
    /** Sends one request on a new connection and returns all bytes received until its response was
     * complete or the connection was closed. \throws std::runtime_error after five seconds. */
    std::string ask(const std::string& request);
    /** From now on the VM has known its servers for longer than streams can be taken up. */
    void age_known_servers();
    [[nodiscard]] std::vector<const scripted_server*> all_servers() const;
    /** Runs the loop until \p done. Returns false if that takes more than five seconds. */
    bool run_until(const std::function<bool()>& done);
    /** Runs the loop for \p span, five seconds at most. */
    void run_for(worksshift::duration span);

    worksshift::event_ptr<event_base> base;
    worksshift::protocol adapter;
    worksshift::metrics telemetry;
    worksshift::server_table table;
    std::uint16_t front_port;
    std::unique_ptr<worksshift::caller_connections> callers;
    std::unique_ptr<worksshift::server_connections> links;
    std::unique_ptr<worksshift::request_path> path;

private:
    worksshift::timer ticker;
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::unique_ptr<raw_caller>> raw_callers;
};

/** The record of a server, decoded from a registry entry. */
worksshift::server_record example_record(const worksshift::protocol& adapter, const std::string& id,
                                         const std::string& service,
                                         const worksshift::link_address& address,
                                         const std::string& version, std::uint32_t slots);
/** The registry shows the entry of a new process of a server that \p table has, with \p version. */
void restart_entry(worksshift::server_table& table, worksshift::request_path& path,
                   const std::string& server, const std::string& version);
/** A configuration in the store's format: routes /safe/, /unsafe/, /stream/ (resumable), /once/ (a
 * stream that is not resumable), /safe/nested/ (one attempt) and /open/ (no key); key `k1` of
 * account `one`. */
std::string example_config(std::uint64_t version);
/** A request to \p target with id \p id, key `k1` and a deadline of two seconds. */
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& id, const std::string& body = {});
/** A response that echoes the id of \p request. */
std::string response_text(int status, const std::string& request, const std::string& body,
                          const std::string& extra_headers = {});
/** Head of a chunked event stream in response to \p request. */
std::string stream_head(const std::string& request);
/** One event as an HTTP chunk. */
std::string event_chunk(unsigned id, const std::string& data);
/** A stream of the events after the request's `Last-Event-Id` up to the third, with its end. */
scripted_response events_to_the_third(const std::string& request);
/** The three events of `events_to_the_third`. */
std::string three_events();
/** Size in bytes of the first request in \p bytes; 0 if it is incomplete. */
std::size_t request_size(const std::string& bytes);
/** Whether a raw HTTP response is complete. */
bool is_complete_response(const std::string& answer);
/** Status code of a raw HTTP response; 0 if there is none yet. */
int status_in(const std::string& answer);
/** Value of a header in a raw message; empty if there is none. */
std::string header_in(const std::string& text, const std::string& name);
/** Body of a raw response, decoded if it is chunked; as far as it is complete. */
std::string body_in(const std::string& text);

} // namespace support
