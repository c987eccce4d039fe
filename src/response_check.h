/** \file
 * Decides which HTTP responses are well-formed, for every response that is read.
 *
 * A malformed response is broken as a whole: where it ends, and which request it answers, would be
 * a guess. http-parser accepts much that RFC 9110 and RFC 9112 forbid, such as the status 000 or
 * chunks that are longer than they state, so `http_reader` has all bytes checked here before they
 * are parsed.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace worksshift {

/** A rule for responses. */
enum class response_rule : std::uint8_t {
    status_line,       ///< has the form `HTTP/1.x NNN REASON`
    version,           ///< is HTTP/1.x
    status,            ///< has three digits, from 100 to 599, and is not 101, which nobody asks for
    folded_line,       ///< no line continues the line before it
    header_name,       ///< is there, and is a token
    header_value,      ///< has no control characters
    second_response,   ///< no line contains the status line of another response
    content_length,    ///< is one decimal number, stated once
    transfer_encoding, ///< is `chunked`, stated once and without a length
    chunk,             ///< has the stated size
};

std::string_view name_of(response_rule rule);

/** A broken rule and the text that breaks it. */
struct response_fault {
    response_rule rule = response_rule::status_line;
    std::string value; ///< at most `max_fault_value_bytes` of it
};

/** Maximum size of the text that a `response_fault` quotes. */
constexpr std::size_t max_fault_value_bytes = 64;

/** Formats as `NAME VALUE`, with the value escaped as in log lines. */
std::string to_string(const response_fault& fault);

/** Whether the response is followed by another one to the same request. */
constexpr bool is_informational(int status)
{
    constexpr int first_final = 200;
    return status < first_final;
}

/** Whether a response with this status has no body, whatever its headers say (RFC 9112, 6.3). */
constexpr bool is_bodiless(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return is_informational(status) || status == no_content || status == not_modified;
}

/** Checks one response, which may arrive in pieces. */
class response_check {
public:
    /** Checks the next bytes, up to the end of the head or of the last chunk. Other bodies, and
     * bytes after the response, are not checked. Returns the first fault. */
    std::optional<response_fault> add(std::string_view bytes);
    /** The empty line that ends the head was read. */
    [[nodiscard]] bool head_complete() const { return this->next > part::headers; }

private:
    /** What the next byte belongs to. */
    enum class part : std::uint8_t {
        status_line,
        headers,
        chunk_size,
        chunk_data,
        chunk_end,
        rest
    };

    std::optional<response_fault> add_line(std::string_view& bytes);
    std::optional<response_fault> check_line(std::string_view text);
    std::optional<response_fault> check_status_line(std::string_view text);
    std::optional<response_fault> check_header(std::string_view text);
    std::optional<response_fault> check_framing(std::string_view name, std::string_view value);
    std::optional<response_fault> check_chunk_size(std::string_view text);

    part next = part::status_line;
    std::string partial_line;
    int status = 0;
    bool encoding_allowed = true; ///< HTTP/1.0 has none
    bool has_length = false;
    bool has_encoding = false;
    std::uint64_t chunk_remaining = 0; ///< bytes of the current chunk's data
};

} // namespace worksshift
