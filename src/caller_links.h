/** \file
 * Callers' connections: reads one request at a time, writes its answer, and notices at once when a
 * caller goes away.
 *
 * A request is handed over when it is whole. Bytes of the next one stay unread until the answer is
 * complete, so answers can never change places.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "http_wire.h"
#include "protocol.h"

namespace worksshift {

struct caller_request {
    std::uint64_t id = 0; ///< of this request, new for each
    http_head head;
    std::string body;
};

/** Answers that need no server. */
struct own_answer {
    int status = 503;
    std::string text;
    duration retry_after{}; ///< zero: none is named
};

class caller_links {
public:
    caller_links(event_base* base, const link_address& listen);
    ~caller_links();
    caller_links(const caller_links&) = delete;
    caller_links& operator=(const caller_links&) = delete;
    caller_links(caller_links&&) = delete;
    caller_links& operator=(caller_links&&) = delete;

    void set_limits(const caller_limits& limits) { this->limits = limits; }

    /** Sends a server's whole answer, with its headers but for those of the connection. */
    void answer_whole(std::uint64_t request, const http_head& head, std::string_view body);
    /** Sends an answer of our own. */
    void answer(std::uint64_t request, const own_answer& given);
    /** Begins an answer whose pieces follow, with the first of them. */
    void begin(std::uint64_t request, const http_head& head, std::string_view piece);
    void add(std::uint64_t request, std::string_view piece);
    void finish(std::uint64_t request);
    /** Breaks the answer off, so that it cannot look whole. */
    void abort(std::uint64_t request);

    /** Ends connections that are idle or slow for too long. */
    void sweep(instant now);
    /** From now on each answer closes its connection. */
    void start_closing() { this->closing = true; }
    /** Takes no new connection, and closes those on which nothing is asked. */
    void stop_listening();

    [[nodiscard]] std::size_t open() const { return this->links.size(); }

    sigc::signal<void(caller_request)> on_request;
    /** The caller went away before its answer was complete. */
    sigc::signal<void(std::uint64_t)> on_gone;

private:
    struct link;

    void accept(evutil_socket_t socket);
    void rest();
    void read(link& item);
    void take_head(link& item, const http_head& head);
    void take_body(link& item, std::string_view bytes);
    void hand_over(link& item);
    void refuse(link& item, int status, std::string_view text);
    void take_event(link& item, short what);
    void end_answer(link& item);
    void drop(link& item);
    void check(link& item, instant now);
    [[nodiscard]] link* find(std::uint64_t request);
    std::string write_head(const link& item, const http_head& head,
                           std::optional<std::size_t> length) const;

    event_base* base;
    caller_limits limits;
    event_ptr<evconnlistener> listener;
    std::unordered_map<std::uint64_t, std::unique_ptr<link>> links; ///< by connection
    std::unordered_map<std::uint64_t, link*> asking;                ///< by request
    std::vector<std::uint64_t> dropped; ///< freed in the next sweep, never in their own callbacks
    std::uint64_t next_link = 1;
    std::uint64_t next_request = 1;
    bool closing = false;
    bool resting = false; ///< accepts nothing until the next sweep
};

} // namespace worksshift
