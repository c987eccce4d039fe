/** \file
 * HTTP/1.1 messages as they stand on a connection: an incremental reader over http-parser, and the
 * few pieces of text that we write ourselves.
 *
 * evhttp hides what this path has to tell apart: bytes after a whole answer, an answer that ended
 * with its connection, and whether a connection was used at all. So callers' and servers'
 * connections are read here, and evhttp serves the rest.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include "event_loop.h"
#include "messages.h"

namespace worksshift {

/** Start line and headers of one request or answer. */
struct http_head {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query as sent
    int status = 0;     ///< of an answer
    std::vector<header> headers;
    bool keep_alive = true;

    /** Value of the first header with this name in any case; nullptr when there is none. */
    [[nodiscard]] const std::string* find(std::string_view name) const;
};

/** Whether two header names are the same; they are compared without case. */
bool same_name(std::string_view left, std::string_view right);

/** Whether a header concerns one connection only and is never passed on. */
bool is_hop_header(std::string_view name);

/** What a reader made of the bytes that it was given. */
enum class read_result : std::uint8_t { need_more, message_ended, malformed, head_too_large };

/** Reads one message after the other. Stops behind each, so that what follows stays unread. */
class http_reader {
public:
    enum class side : std::uint8_t { requests, answers };

    http_reader(side reads, std::size_t head_at_most);

    std::function<void(http_head&)> on_head;
    std::function<void(std::string_view)> on_body;

    /** Consumes bytes of \p input up to the end of one message. */
    read_result read(evbuffer* input);
    /** The peer sent its last byte. An answer without a length ends well by that. */
    read_result read_end();

    /** The next answer has no body whatever its head says, as after HEAD. */
    void expect_no_body() { this->bodiless = true; }
    /** Between messages: nothing of the next one has come. */
    [[nodiscard]] bool idle() const { return !this->begun; }
    [[nodiscard]] bool head_done() const { return this->have_head; }
    void set_head_at_most(std::size_t bytes) { this->head_at_most = bytes; }

private:
    static http_parser_settings make_callbacks();
    static http_reader& self(http_parser* parser);
    void reset();
    int take_head();
    read_result judge(std::size_t given, std::size_t consumed);

    side reads;
    std::size_t head_at_most;
    http_parser parser{};
    http_head head;
    std::size_t head_bytes = 0;
    bool last_was_value = false;
    bool begun = false;
    bool oversized = false;
    bool have_head = false;
    bool ended = false;
    bool bodiless = false;
};

/** Adds one chunk of a chunked body. */
void write_chunk(evbuffer* out, std::string_view bytes);
/** Adds the mark that ends a chunked body. */
void write_last_chunk(evbuffer* out);
/** Appends `name: value` and the line's end. */
void append_header(std::string& out, std::string_view name, std::string_view value);
/** The usual reason phrase of a status. */
std::string_view reason_of(int status);

} // namespace worksshift
