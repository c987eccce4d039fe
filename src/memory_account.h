/** \file
 * One account of the memory and descriptors that callers can make this process hold: connections,
 * heads and bodies being received, requests in progress and response data.
 *
 * Decisions only. What is held carries a `memory_charge`; whoever receives bytes asks for room
 * first, and refuses the requests that `choose_to_refuse` names. See docs/design/caller-limits.md.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ids.h"

namespace worksshift {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/** What the machine has for this process. */
struct machine_limits {
    /** The smallest VM of the target size. */
    std::size_t memory_bytes = 160 * bytes_per_mb;
    std::size_t descriptors = 4096;
};

/** Bounds of what callers can make this process hold. */
struct caller_bounds {
    std::size_t memory = 0;       ///< bytes
    std::size_t large_memory = 0; ///< bytes that may be held before a large body finds no room
    std::size_t connections = 0;  ///< of callers
    std::size_t sockets = 0;      ///< of callers, servers and other VMs
    std::size_t idle_server_connections = 0;
    std::size_t internal_connections = 0; ///< at the ports for others than callers
    std::size_t output = 0;               ///< bytes of responses that callers have not accepted yet
};

/** The shares of the machine that callers may take. */
caller_bounds bounds_of(const machine_limits& machine);

/** A request counts as large from this many bytes of its body. */
constexpr std::size_t large_body_bytes = std::size_t{64} * 1024;
/** Size of the system's receive buffer of a connection of a caller or to a server: the bytes that
 * can wait unread. 18 Mbit/s with a round trip of 7 ms. */
constexpr int receive_buffer_bytes = 16 * 1024;
/** Memory that an open connection takes without input or output. */
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
/** Memory that a request in progress takes besides its head and body: its state and that of the
 * connection to its server. */
constexpr std::size_t request_bytes = std::size_t{16} * 1024;
/** Memory that a byte of response data takes: the blocks of libevent's buffers are powers of two.
 */
constexpr std::size_t memory_per_output_byte = 2;
/** A request that is not received in full has made no progress if fewer than `progress_bytes` came
 * in this time. */
constexpr duration stalled_after = milliseconds(500);
constexpr std::size_t progress_bytes = std::size_t{16} * 1024;
/** Time in which a request should be received in full: 4 MiB at 3.4 Mbit/s. A slower one is refused
 * only while others need its room. */
constexpr duration receive_time = seconds(10);

/** What memory is held for. */
enum class memory_use : std::uint8_t {
    connection, ///< open connections, with unparsed input
    incoming,   ///< requests that are not received in full
    request,    ///< requests in progress
    response    ///< response data that callers have not accepted yet
};
constexpr std::array memory_uses{memory_use::connection, memory_use::incoming, memory_use::request,
                                 memory_use::response};
std::string_view name_of(memory_use use);

/** A request that is not received in full, or whose response its caller does not read. */
struct memory_holder {
    std::size_t bytes = 0; ///< that it holds
    instant progress_at{}; ///< when it last made progress, or began
};

/** The progress of a request that is being received. */
struct input_progress {
    instant begun{};
    std::size_t announced = 0; ///< length of the body; 0: not known
    std::size_t received = 0;
    std::size_t counted = 0; ///< bytes that had been received at `at`
    instant at{};            ///< the last progress

    void begin(instant now, std::size_t announced_bytes = 0)
    {
        *this = {now, announced_bytes, 0, 0, now};
    }
    void add(std::size_t bytes, instant now);
    /** Since when the request has made no progress. One that takes longer than `receive_time`, or
     * would at the pace so far, has made none since it began. */
    [[nodiscard]] instant unchanged_since(instant now) const;
};

/** Bytes that are held, in all and by use. */
struct memory_counters {
    std::size_t total = 0;
    std::array<std::size_t, memory_uses.size()> by_use{};

    /** Replaces \p before bytes by \p after bytes. */
    void change(memory_use use, std::size_t before, std::size_t after);
};

class memory_account {
public:
    explicit memory_account(const caller_bounds& bounds = bounds_of({})) : limits(bounds) {}
    ~memory_account() = default;
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    memory_account(memory_account&&) = delete;
    memory_account& operator=(memory_account&&) = delete;

    void set_bounds(const caller_bounds& bounds) { this->limits = bounds; }
    [[nodiscard]] const caller_bounds& bounds() const { return this->limits; }
    /** Whether \p bytes more can be held. \p large: for a request with a large body. */
    [[nodiscard]] bool has_room(std::size_t bytes, bool large) const;
    /** Bytes to free before `has_room` is true. */
    [[nodiscard]] std::size_t missing(std::size_t bytes, bool large) const;
    [[nodiscard]] bool exceeded() const { return this->held() > this->limits.memory; }
    [[nodiscard]] std::size_t held() const { return this->counters->total; }
    [[nodiscard]] std::size_t held(memory_use use) const
    {
        return this->counters->by_use[static_cast<std::size_t>(use)];
    }

    /** Which requests to refuse or cut off so that at least \p needed bytes are freed, as indexes
     * into \p holders: those first that have held most bytes for the longest time without progress.
     * \p only_stalled: none that has made progress lately. May free less than needed. */
    [[nodiscard]] static std::vector<std::size_t>
    choose_to_refuse(std::span<const memory_holder> holders, std::size_t needed, bool only_stalled,
                     instant now);

    /** Writes the bytes held and their bound, a metric a line. */
    void write_metrics(std::ostream& out) const;

private:
    friend class memory_charge;

    caller_bounds limits;
    /** Shared with the charges: libevent frees the last buffers with its loop, after all else. */
    std::shared_ptr<memory_counters> counters = std::make_shared<memory_counters>();
};

/** Bytes counted in an account until the charge is destroyed, which may be after the account. */
class memory_charge {
public:
    memory_charge() = default;
    memory_charge(const memory_account& account, memory_use use)
        : counters(account.counters), use(use)
    {
    }
    ~memory_charge() { this->set(0); }
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;

    void set(std::size_t new_bytes);
    /** From now on the bytes are held for \p new_use. */
    void set_use(memory_use new_use);
    [[nodiscard]] std::size_t size() const { return this->bytes; }

private:
    std::shared_ptr<memory_counters> counters; ///< nullptr: nothing is counted
    memory_use use = memory_use::connection;
    std::size_t bytes = 0;
};

/** Body of a caller's request. All attempts and relays of the request share it. */
struct caller_body {
    std::vector<char> bytes; ///< std::string::reserve may allocate twice what is asked for
    memory_charge charge;    ///< of the body, and of the request's head and state

    [[nodiscard]] std::string_view text() const { return {this->bytes.data(), this->bytes.size()}; }
};
using caller_body_ptr = std::shared_ptr<caller_body>;

} // namespace worksshift
