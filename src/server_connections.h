/** \file
 * Pool of keep-alive HTTP/1.1 connections to servers. Each carries one request at a time.
 *
 * Reports exactly how far an attempt got, because the response to the caller and the decision to
 * retry depend on it. A response that echoes another request's id is skipped: it is a late response
 * to an earlier request. An idle connection with unexpected input is closed.
 */
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "http_wire.h"
#include "memory_account.h"
#include "protocol.h"

namespace worksshift {

/** How far an attempt got. */
enum class send_progress : std::uint8_t {
    answered, ///< the response is complete
    not_sent, ///< no byte of the request reached the server
    broken,   ///< the request was sent, but no complete response arrived
};

/** Outcome of an attempt. */
struct attempt_outcome {
    std::uint64_t attempt = 0;
    send_progress result = send_progress::broken;
    const char* step = ""; ///< the step at which the attempt ended
    std::string detail;
    bool peer_closed = false; ///< the server closed or reset the connection
};

/** Result of a check whether a server's process runs. */
enum class check_result : std::uint8_t {
    connected,
    refused,   ///< the host refused the connection: the process has ended
    unanswered ///< the server may be busy or unreachable
};

/** One request to be sent to a server. */
struct attempt_request {
    std::uint64_t attempt = 0;
    server_id server;
    link_address address;
    std::string request_id; ///< echoed by the server in its response
    std::string head;
    caller_body_ptr body;          ///< sent without a copy if it is large
    bool no_response_body = false; ///< the response has no body, as after HEAD
    bool repeatable = false;       ///< the request may be executed more than once
};

/** Connect timeout. The network delay to servers is a few milliseconds, so a server that takes
 * longer is unreachable, and another one can still meet the caller's latency objective. */
constexpr duration connect_timeout = milliseconds(250);
/** A connection is closed when sent bytes stay unacknowledged for this long: the server is
 * unreachable. */
constexpr milliseconds unacknowledged_timeout(1500);
/** Maximum idle time of a pooled connection; half of the timeout that the server announces if that
 * is shorter. */
constexpr duration max_idle_time = seconds(4);
/** A request that must not run twice reuses a connection only if it has been idle for at most this
 * time, too short for the server to have closed it; otherwise a new one is opened. If the server
 * closed the idle connection as the request was sent, its outcome would be unknown. */
constexpr duration max_reuse_age = milliseconds(700);

class server_connections {
public:
    server_connections(event_base* base, const protocol& adapter);
    ~server_connections();
    server_connections(const server_connections&) = delete;
    server_connections& operator=(const server_connections&) = delete;
    server_connections(server_connections&&) = delete;
    server_connections& operator=(server_connections&&) = delete;

    /** The local address from which connections are opened; the system chooses one if it is not
     * set.
     */
    void set_source(const std::string& address) { this->source = {address, 0}; }
    void start_attempt(const attempt_request& request);
    /** Closes the attempt's connection, so that the server stops processing. Emits no signal. */
    void cancel(std::uint64_t attempt);
    /** Whether the system has accepted all bytes of the attempt's request. */
    [[nodiscard]] bool all_sent(std::uint64_t attempt) const;
    /** Stops reading the attempt's response until `resume_reading`. Bytes that were already read
     * are still reported. */
    void pause_reading(std::uint64_t attempt);
    void resume_reading(std::uint64_t attempt);
    /** Checks whether the server's process has ended, by opening a connection without sending
     * anything; an established connection goes into the pool. The result is reported by
     * `on_checked`. \p check: identifies the check in the result; does nothing if a check with this
     * value is in progress. */
    void check_process(std::uint32_t check, const server_id& server, const link_address& address);
    /** Fails attempts and checks whose connection was not established in time, closes connections
     * that were idle for too long, and frees closed ones. */
    void sweep(instant now);
    /** Closes the idle connections to a server that is leaving, restarted or gone. */
    void close_idle(const server_id& server);
    /** Closes those idle for longest while more than \p count are idle. */
    void close_idle_beyond(std::size_t count);
    /** Closes all idle connections. Used after a suspension of the VM, when their idle time is
     * unknown. */
    void close_all_idle();

    [[nodiscard]] std::size_t active() const { return this->attempts.size(); }
    /** Number of open sockets: in use, idle, or closed since the last sweep. */
    [[nodiscard]] std::size_t open_sockets() const { return this->sockets; }
    [[nodiscard]] std::uint64_t opened() const { return this->connections_opened; }

    /** Signals of an attempt, by its number: the response's head, pieces of its body, its end. */
    sigc::signal<void(std::uint64_t, const http_head&, const response_metadata&)> on_head;
    sigc::signal<void(std::uint64_t, std::string_view)> on_body;
    sigc::signal<void(const attempt_outcome&)> on_end;
    /** A connection to the server was opened. */
    sigc::signal<void(const server_id&)> on_connected;
    /** Result of a check, by its number. */
    sigc::signal<void(std::uint32_t, check_result)> on_checked;

private:
    struct connection_state;
    using connection_ptr = std::shared_ptr<connection_state>;

    connection_ptr take_idle(const attempt_request& request);
    connection_ptr connect(const server_id& server, const link_address& address);
    void end_check(connection_state& connection, check_result result);
    static void send(connection_state& connection, std::string_view head,
                     const caller_body_ptr& body);
    void handle_head(connection_state& connection, const http_head& head);
    void read(const connection_ptr& connection);
    void handle_event(const connection_ptr& connection, short events);
    void finish_response(const connection_ptr& connection);
    void fail(const connection_ptr& connection, const char* step, std::string detail);
    void drop(connection_state& connection);

    event_base* base;
    const protocol& adapter;
    std::optional<link_address> source;
    std::size_t sockets = 0; ///< of the connections below, which count themselves
    std::unordered_map<std::uint64_t, connection_ptr> attempts;
    std::unordered_map<std::uint32_t, connection_ptr> checks;
    std::unordered_map<server_id, std::vector<connection_ptr>> idle;
    std::vector<connection_ptr> closed; ///< freed in the next sweep, never in their own callbacks
    std::uint64_t connections_opened = 0;
};

} // namespace worksshift
