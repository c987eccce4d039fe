/** \file
 * The data path of the gate: calls servers and sends their responses to the entry VM as frames.
 *
 * A request may have reached the server once a byte of it was written to the connection's output
 * buffer; a failure before that proves `not_run`. A response is complete when its Content-Length or
 * its final chunk was read, and for a stream when its end marker was read. Reading pauses while the
 * entry's flow-control window is full, so a slow caller slows down the server and does not fill the
 * memory of this VM.
 */
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "client_connection.h"
#include "messages.h"
#include "tables.h"

namespace worksshift {

/** Flow-control window: bytes in flight to the caller per attempt. */
constexpr std::uint32_t data_window_bytes = 64 * 1024;
constexpr std::size_t max_data_frame_bytes = std::size_t{32} * 1024;

class server_calls {
public:
    server_calls(event_base* base, duration idle_timeout);
    ~server_calls();
    server_calls(const server_calls&) = delete;
    server_calls& operator=(const server_calls&) = delete;
    server_calls(server_calls&&) = delete;
    server_calls& operator=(server_calls&&) = delete;

    void start(const start_call& parameters, instant started);
    void cancel(const attempt_id& id);
    void credit(const data_credit& credit);
    /** Ends calls that got no connection or no byte in time, and frees ended calls. */
    void sweep(instant time);

    [[nodiscard]] std::size_t size() const { return this->calls.size(); }
    /** Number of calls whose response was malformed. */
    [[nodiscard]] std::uint64_t malformed_responses() const { return this->malformed; }

    /** A frame for the entry VM. */
    sigc::signal<void(const vm_id&, link_message)> on_frame;
    sigc::signal<void(call_ended)> on_ended;

private:
    struct call;
    using connection_ptr = std::unique_ptr<client_connection>;
    struct pooled_connection {
        connection_ptr connection;
        instant idle_since{}; ///< when it became idle
    };

    connection_ptr get_connection(const server_config& server);
    void set_callbacks(call& server_call);
    void end(call& server_call, outcome result, bool server_fault, std::string_view step,
             const std::string& detail);
    void handle_head(call& server_call, const http_head& head);
    void handle_data(call& server_call, std::string_view bytes);
    void flush(call& server_call);
    void handle_end(call& server_call, const exchange_end& end);
    void handle_complete(call& server_call);

    event_base* base;
    duration idle_timeout;
    instant now{};
    std::unordered_map<attempt_id, std::unique_ptr<call>> calls;
    std::vector<std::unique_ptr<call>> finished; ///< freed in the next sweep
    std::unordered_map<server_id, std::vector<pooled_connection>> idle;
    std::uint64_t malformed = 0;
};

} // namespace worksshift
