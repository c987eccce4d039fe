/** \file
 * State of one connection of `caller_connections`. For its own sources only.
 */
#pragma once

#include "caller_connections.h"
#include "event_loop.h"

namespace worksshift {

/** How long input is still read and discarded after the last response on a connection, so that the
 * caller can read that response before the connection is closed. */
constexpr duration linger_time = seconds(1);

struct caller_connections::connection_state {
    explicit connection_state(std::size_t max_head_bytes)
        : reader(http_reader::message_kind::requests, max_head_bytes)
    {
    }

    /** Whether nothing of a next request has been read, and none is in progress. */
    [[nodiscard]] bool is_idle() const
    {
        return this->current_stage == stage::reading && this->reader.idle();
    }
    /** Whether a request is being received. */
    [[nodiscard]] bool is_receiving() const
    {
        return this->current_stage == stage::reading && !this->reader.idle();
    }
    /** Memory held by the request that is being received, in bytes. */
    [[nodiscard]] std::size_t held_input() const
    {
        return this->charge.size() - connection_bytes +
               (this->body == nullptr ? 0 : this->body->charge.size());
    }

    enum class stage : std::uint8_t {
        reading,    ///< idle, or reading a request
        responding, ///< a request waits for its response, or the response is being sent
        lingering,  ///< the last response was sent; further input is discarded
        closed      ///< to be freed in the next sweep
    };

    std::uint64_t id = 0;
    caller_connections* owner = nullptr;
    event_ptr<bufferevent> socket;
    http_reader reader;
    stage current_stage = stage::reading;
    std::uint64_t request = 0; ///< 0: none in progress
    http_head head;
    caller_body_ptr body; ///< nullptr: no request is being received
    input_progress progress;
    memory_charge charge;      ///< of the connection, its unparsed input and an incomplete head
    std::size_t discarded = 0; ///< bytes read since the connection lingers
    duration linger = linger_time;
    bool from_vm = false;
    bool keep_alive = true;
    bool chunked = false;  ///< the response is sent in chunks
    bool finished = false; ///< the response is written to the buffer, but not yet sent in full
    client_output output;
    bool has_read = false;          ///< the client accepted bytes since the last sweep
    bool long_pause_logged = false; ///< of this response
    instant since{}; ///< start of the stage, arrival of the head's first byte, or end of the head
};

} // namespace worksshift
