/** \file
 * HTTP/1.1 wire format: an incremental message reader on top of http-parser, and helpers that write
 * heads and chunks.
 *
 * Connections of the router's callers, and all connections on which responses are read, use this
 * module because evhttp hides distinctions that request forwarding needs: bytes after a complete
 * response, a response that ended with its connection, and whether a connection was used at all,
 * and because evhttp accepts malformed responses. All other requests are read by evhttp.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include "event_loop.h"
#include "messages.h"
#include "response_check.h"

namespace worksshift {

/** Start line and headers of one request or response. */
struct http_head {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query as sent
    int status = 0;     ///< of a response
    std::vector<header> headers;
    bool keep_alive = true; ///< the connection may carry further messages
    /** Length of the body that the headers announce; std::nullopt if they announce none. */
    std::optional<std::uint64_t> body_length;

    /** Value of the first header with this name in any case; nullptr if there is none. */
    [[nodiscard]] const std::string* find(std::string_view name) const;
};

/** Compares two header names, ignoring case. */
bool header_names_equal(std::string_view left, std::string_view right);

/** Whether a header is hop-by-hop, that is, applies to one connection and is never forwarded. */
bool is_hop_by_hop_header(std::string_view name);

/** Memory that a head takes, in bytes. */
std::size_t size_in_memory(const http_head& head);

/** Steps at which an exchange of a request and its response may fail: opening the connection,
 * receiving the response, and parsing it. */
constexpr std::string_view connect_step = "connect";
constexpr std::string_view read_step = "read";
constexpr std::string_view parse_step = "parse";

/** Maximum size of a response's head, in bytes. */
constexpr std::size_t max_response_head_bytes = std::size_t{32} * 1024;

/** Result of reading input. */
enum class read_result : std::uint8_t { need_more, message_complete, malformed, head_too_large };

/** Incremental reader of consecutive messages. Stops at the end of each message, so that the bytes
 * after it stay unread. */
class http_reader {
public:
    enum class message_kind : std::uint8_t { requests, responses };

    http_reader(message_kind reader_side, std::size_t max_head_bytes);

    /** Called with each complete head, except those of informational (1xx) responses. May move from
     * the head of a request. */
    std::function<void(http_head&)> on_head;
    /** Called with each piece of a body as it is read. */
    std::function<void(std::string_view)> on_body;

    /** Consumes \p input up to the end of one message. */
    read_result read(evbuffer* input);
    /** Handles the end of input. A response without a length is complete at this point. */
    read_result read_eof();
    /** Why a response was not read: \p result is `malformed` or `head_too_large`. */
    [[nodiscard]] std::string fault(read_result result) const;

    /** The next response has no body whatever its headers say, as after a HEAD request. */
    void expect_no_body() { this->bodiless = true; }
    /** Between messages: no byte of the next one has been read. */
    [[nodiscard]] bool idle() const { return !this->started; }
    /** The current message's head was read in full. */
    [[nodiscard]] bool head_complete() const { return this->head_read; }
    /** Memory that the head of the current message takes, in bytes. */
    [[nodiscard]] std::size_t held_bytes() const { return size_in_memory(this->head); }
    /** Drops the current message. Must not be called from `on_head` or `on_body`. */
    void discard() { this->reset(); }
    /** Sets the maximum size of a head, and of all informational responses before one. */
    void set_max_head_bytes(std::size_t bytes) { this->max_head_bytes = bytes; }

private:
    static http_parser_settings make_callbacks();
    static http_reader& self(http_parser* parser);
    void reset();
    int handle_head();
    bool check_response(std::string_view bytes);
    read_result classify(std::size_t input_size, std::size_t consumed);

    message_kind reader_side;
    std::size_t max_head_bytes;
    http_parser parser{};
    response_check check; ///< of a response
    http_head head;
    std::optional<response_fault> broken_rule; ///< of a response
    std::size_t head_bytes = 0;
    std::size_t interim_bytes = 0; ///< of informational responses before the current one
    bool last_was_value = false;   ///< the last header callback was for a value
    bool started = false;
    bool oversized = false; ///< the head exceeds the maximum size
    bool head_read = false;
    bool ended = false;
    bool bodiless = false; ///< see expect_no_body
};

/** Writes one chunk of a chunked body. */
void write_chunk(evbuffer* out, std::string_view bytes);
/** Writes the zero-length chunk that ends a chunked body. */
void write_final_chunk(evbuffer* out);
/** Appends `name: value` and CRLF. */
void append_header(std::string& out, std::string_view name, std::string_view value);
/** The standard reason phrase of a status code. */
std::string_view reason_phrase(int status);

} // namespace worksshift
