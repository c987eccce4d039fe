/** \file
 * The data path of the entry VM: passes the frames of an attempt to the caller in order.
 *
 * Only the attempt that a request is currently bound to may add to its response, and only with the
 * next sequence number. Frames of an abandoned attempt are ignored, and a frame of the current one
 * that is out of sequence ends it as broken. The relay counts the tokens that were passed on, since
 * a broken stream is resumed after the last of them. One data frame of a stream holds complete
 * server-sent events, so the data passed on always ends at a token.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "messages.h"
#include "tables.h"

namespace worksshift {

class response_relay {
public:
    /** Binds a request to its current attempt, at the gate \p vm. \p stream: whether the response
     * is a stream of server-sent events, which can be resumed. */
    void bind(std::uint64_t request, const attempt_id& id, const vm_id& vm, bool stream);
    void release(std::uint64_t request);

    /** Handles one frame. Returns the result of the attempt if the frame ends it, complete or
     * broken; std::nullopt otherwise. */
    std::optional<attempt_result> handle_frame(const attempt_head& head);
    std::optional<attempt_result> handle_frame(const attempt_data& data);
    std::optional<attempt_result> handle_frame(const attempt_ended& ended);
    /** Ends all attempts at a gate whose link broke, and returns their results. */
    std::vector<attempt_result> handle_peer_loss(const vm_id& vm);

    [[nodiscard]] std::size_t size() const { return this->rows.size(); }
    /** The attempt and gate that a request is bound to; std::nullopt if it has no open attempt. */
    [[nodiscard]] std::optional<std::pair<attempt_id, vm_id>>
    find_binding(std::uint64_t request) const;

    /** The head of the response, once per request: request, status, headers. */
    sigc::signal<void(std::uint64_t, std::uint16_t, const std::vector<header>&)> on_head;
    /** A part of the response body: request, bytes. */
    sigc::signal<void(std::uint64_t, std::string_view)> on_data;

private:
    struct response_row {
        std::uint64_t request = 0;
        attempt_id attempt;
        vm_id vm;
        bool stream = false;
        bool head_forwarded = false;
        std::uint32_t next_sequence = 0;
        std::uint32_t tokens_forwarded = 0;
        std::uint16_t status = 0;
        std::string body;    ///< beginning of the response, to be recorded with a claim
        std::string version; ///< of the model that generates the response
        bool ended = false;
    };

    response_row* find(const attempt_id& id);
    static attempt_result finish(response_row& response, const attempt_ended& ended);
    static attempt_result fail_attempt(response_row& response, const char* detail);

    std::unordered_map<std::uint64_t, response_row> rows; ///< by request
    std::unordered_map<attempt_id, std::uint64_t> by_attempt;
};

/** Number of tokens in complete server-sent events: events with data, except the end marker. */
std::uint32_t count_tokens(std::string_view events);

/** The last event of a complete stream. */
constexpr std::string_view stream_end = "data: [DONE]\n\n";

} // namespace worksshift
