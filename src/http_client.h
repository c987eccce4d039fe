/** \file
 * Asynchronous HTTP client for calls to the platform and to other processes: one connection per
 * call, with a deadline.
 */
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "call_timeouts.h"
#include "client_connection.h"
#include "messages.h"

namespace worksshift {

struct http_response {
    int status = 0; ///< 0: no response
    std::vector<header> headers;
    std::string body;

    /** Value of the first header with this name in any case; empty if there is none. */
    [[nodiscard]] std::string header_value(std::string_view name) const;
};

/** Called once with the response, or with status 0 if the call failed or timed out, or if its
 * response was malformed. */
using http_handler = std::function<void(const http_response&)>;

/** Makes calls and owns them until they are complete. */
class http_client {
public:
    explicit http_client(event_base* base) : base(base) {}

    /** Starts a call and returns its number. */
    std::uint64_t call(const link_address& to, std::string_view method, const std::string& path,
                       const std::vector<header>& headers, const std::string& body,
                       const call_timeouts& limit, http_handler handler);
    /** Cancels a call that is still in progress: its handler is not called, and its connection is
     * closed in the next sweep. */
    void cancel(std::uint64_t call);

    /** Frees completed calls; must not be called from within a handler. */
    void sweep();

    /** Number of calls whose response was malformed. */
    [[nodiscard]] std::uint64_t malformed_responses() const { return this->malformed; }

private:
    struct pending_call {
        std::uint64_t number = 0;
        std::string path;
        std::unique_ptr<client_connection> connection;
        http_response response; ///< as far as it was read
        http_handler handler;
        std::unique_ptr<timer> deadline;
        bool ended = false; ///< completed or cancelled
    };
    static void finish(pending_call& pending, const http_response& response);
    void set_callbacks(pending_call& pending, const link_address& to);

    event_base* base;
    std::list<std::unique_ptr<pending_call>> calls;
    std::uint64_t last_number = 0;
    std::uint64_t malformed = 0;
};

} // namespace worksshift
