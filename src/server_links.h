/** \file
 * Connections to servers: sends one request at a time on each, reads its answer, keeps idle ones.
 *
 * Says exactly how far an attempt came, because what may be told to a caller and whether a request
 * may be sent again depend on it. An answer that echoes another request's id is passed over: it is
 * a late one to an earlier request. A connection that holds bytes nobody asked for is closed.
 */
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "http_wire.h"
#include "protocol.h"

namespace worksshift {

/** How far an attempt came. */
enum class send_result : std::uint8_t {
    answered, ///< the answer is whole
    not_sent, ///< no byte of the request reached the server
    broken,   ///< the request was sent; no whole answer came
};

struct attempt_end {
    std::uint64_t attempt = 0;
    send_result result = send_result::broken;
    const char* step = ""; ///< at which it ended
    std::string detail;
    bool peer_closed = false; ///< the server's side ended the connection
};

/** One request to be sent to a server. */
struct attempt_order {
    std::uint64_t attempt = 0;
    server_id server;
    link_address address;
    std::string request_id; ///< the server echoes it
    std::string head;
    std::string_view body; ///< must stay until the attempt is over
    bool no_answer_body = false;
    bool repeatable = false;
};

/** Time to establish a connection. Servers are milliseconds away; one that takes longer is out of
 * reach, and another can still meet the caller's objective. */
constexpr duration connect_timeout = milliseconds(250);
/** Sent bytes that stay unacknowledged for so long end the connection: the peer is out of reach. */
constexpr milliseconds unacknowledged_timeout(1500);
/** An idle connection is kept for so long at most, and for half of what the server announces. */
constexpr duration idle_at_most = seconds(4);
/** A request that must not run twice goes on a connection that was used so lately that the server
 * cannot have closed it, or else on a new one: an idle close would leave its outcome unknown. */
constexpr duration fresh_within = milliseconds(700);

class server_links {
public:
    server_links(event_base* base, const protocol& dialect);
    ~server_links();
    server_links(const server_links&) = delete;
    server_links& operator=(const server_links&) = delete;
    server_links(server_links&&) = delete;
    server_links& operator=(server_links&&) = delete;

    void start(const attempt_order& order);
    /** Closes the attempt's connection, so that the server stops. No signal follows. */
    void cancel(std::uint64_t attempt);
    /** Finds out whether the server has ended, by a connection on which nothing is sent; one that
     * is established is kept for later requests. `on_checked` follows. \p check: what the result is
     * told by; of several with the same one is made. */
    void check(std::uint32_t check, const server_id& server, const link_address& address);
    /** Ends attempts that got no connection in time and closes idle connections. */
    void sweep(instant now);
    /** Closes the idle connections to a server that is gone. */
    void forget(const server_id& server);
    /** Closes all idle connections: how long they have been idle is not known any more. */
    void forget_all();

    [[nodiscard]] std::size_t active() const { return this->attempts.size(); }
    [[nodiscard]] std::uint64_t opened() const { return this->connections_opened; }

    sigc::signal<void(std::uint64_t, const http_head&, const answer_facts&)> on_head;
    sigc::signal<void(std::uint64_t, std::string_view)> on_body;
    sigc::signal<void(const attempt_end&)> on_end;
    /** Whether the server of a check has ended: its host refused the connection. One that does not
     * answer may be busy, or out of reach. */
    sigc::signal<void(std::uint32_t, bool)> on_checked;

private:
    struct link;
    using link_ptr = std::shared_ptr<link>;

    link_ptr take_idle(const attempt_order& order);
    link_ptr connect(const server_id& server, const link_address& address);
    void end_check(link& item, bool ended);
    void send(link& item, const attempt_order& order);
    void take_head(link& item, const http_head& head);
    void read(const link_ptr& item);
    void take_event(const link_ptr& item, short what);
    void finish_answer(const link_ptr& item);
    void fail(const link_ptr& item, const char* step, std::string detail);
    void drop(link& item);

    event_base* base;
    const protocol& dialect;
    std::unordered_map<std::uint64_t, link_ptr> attempts;
    std::unordered_map<std::uint32_t, link_ptr> checks;
    std::unordered_map<server_id, std::vector<link_ptr>> idle;
    std::vector<link_ptr> closed; ///< freed in the next sweep, never within their own callbacks
    std::uint64_t connections_opened = 0;
};

} // namespace worksshift
