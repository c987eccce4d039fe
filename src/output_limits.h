/** \file
 * Limits on response data that is buffered for clients, and on responses that never become one.
 *
 * Decisions only: what a client's connection has buffered and when the client last read are
 * arguments, and the caller pauses, resumes or closes. A server closes the connection of a response
 * that is left unread for some seconds, so a response is paused for a bounded time only.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Bounds of the data buffered for clients. */
struct output_bounds {
    /** Unsent bytes of one response above which its server is not read. A response that is held
     * back until it is complete may have as many (`max_buffered_response_bytes`). */
    std::size_t per_client = std::size_t{64} * 1024;
    /** The bound while many clients read slowly: one read of a server's connection. */
    std::size_t min_per_client = std::size_t{16} * 1024;
    /** Bytes of all clients, see `caller_bounds`. */
    std::size_t total = std::size_t{32} * 1024 * 1024;
    /** A pause ends after this time if the client has read in the meantime, so that the server sees
     * progress before it gives up a client that reads slowly but steadily. */
    duration max_pause = std::chrono::seconds(1);
    /** A paused response whose client reads nothing for this long is closed. Servers close one that
     * is unread for some seconds, and the router should be first, so that the cause is known. */
    duration unread_timeout = std::chrono::seconds(2);
    /** The same while the client is another VM, which closes its own client after the time above
     * and reads in larger steps. */
    duration vm_unread_timeout = std::chrono::seconds(3);
    /** The same when the server has sent the whole response, so that nothing waits but memory. As
     * long as for a client that acknowledges nothing. */
    duration complete_unread_timeout = std::chrono::seconds(10);
};

/** What is buffered for one client. */
struct client_output {
    std::size_t buffered = 0; ///< bytes that the client's connection has not accepted yet
    bool from_vm = false;     ///< the client is another VM
    bool complete = false;    ///< the response is buffered up to its end
    bool paused = false;      ///< its server is not being read
    instant paused_since{};
    instant read_at{}; ///< when the client last read, or when the first byte was buffered
    /** Bytes of a response that is sent to the client once it is complete or too large for that. */
    std::size_t held_back = 0;
};

/** What is buffered for all clients. */
struct output_total {
    std::size_t bytes = 0;
    std::size_t clients = 0; ///< with at least one byte
};

enum class output_action : std::uint8_t { none, pause, resume, close };

/** Why a client's connection is closed. */
enum class slow_client_reason : std::uint8_t {
    unread, ///< it read nothing for too long
    memory  ///< it has read nothing for the longest time, and others need its memory
};

constexpr std::string_view name_of(slow_client_reason reason)
{
    return reason == slow_client_reason::unread ? "unread" : "memory";
}

class output_limits {
public:
    explicit output_limits(const output_bounds& bounds = {}) : bounds(bounds) {}

    /** Bytes that one client may have buffered: an equal part of half of the total bound, within
     * the limits per client. */
    [[nodiscard]] std::size_t client_bound(const output_total& total) const;
    [[nodiscard]] output_action decide(const client_output& client, const output_total& total,
                                       instant now) const;
    /** The clients to close because the total bound is exceeded, as indexes into \p clients: those
     * that have read nothing for the longest time, until the total is 1/8 below the bound, so that
     * the next bytes do not call for another choice. */
    [[nodiscard]] std::vector<std::size_t> choose_to_close(std::span<const client_output> clients,
                                                           const output_total& total) const;
    [[nodiscard]] bool exceeded(const output_total& total) const
    {
        return total.bytes > this->bounds.total;
    }

private:
    [[nodiscard]] duration unread_timeout(const client_output& client) const;

    output_bounds bounds;
};

/** Bytes of an event stream without a new event that has data, above which the response counts as
 * endless. Events of engines have a few hundred bytes; a server that repeats the events before the
 * one at which it resumes sends some tens of KB. */
constexpr std::size_t max_unproductive_stream_bytes = std::size_t{256} * 1024;
/** The same for other responses that are not forwarded. */
constexpr std::size_t max_unproductive_body_bytes = std::size_t{64} * 1024;
/** Minimum time for which an event stream may send bytes without a new event that has data. Longer
 * than engines take to the first event within any latency objective. */
constexpr duration min_unproductive_time = std::chrono::seconds(2);

/** Bytes of an attempt's response since it last made progress. */
struct response_progress {
    std::size_t bytes = 0;
    instant since{}; ///< arrival of the first of them

    void add(std::size_t count, instant now);
    void reset() { *this = {}; }
};

/** Why a response counts as endless; std::nullopt if it does not. \p timeout: std::nullopt if only
 * its size is bounded. */
std::optional<std::string_view> endless_reason(const response_progress& progress,
                                               std::size_t max_bytes,
                                               std::optional<duration> timeout, instant now);

} // namespace worksshift
