#include "http_wire.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

#include <strings.h>

namespace worksshift {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

/** Removes blanks at the end, which are not part of a header's value and which http-parser keeps.
 */
void trim_end(std::string& value)
{
    value.erase(value.find_last_not_of(" \t") + 1);
}

/** Bytes of a header line besides its name and value: colon, space and CRLF. */
constexpr std::size_t line_overhead = 4;

} // namespace

bool header_names_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool is_hop_by_hop_header(std::string_view name)
{
    return std::ranges::any_of(hop_by_hop_headers, [name](std::string_view hop_header) {
        return header_names_equal(name, hop_header);
    });
}

const std::string* http_head::find(std::string_view name) const
{
    const auto found = std::ranges::find_if(this->headers, [name](const header& entry) {
        return header_names_equal(entry.name, name);
    });
    return found == this->headers.end() ? nullptr : &found->value;
}

std::size_t size_in_memory(const http_head& head)
{
    // Strings of up to 15 bytes are stored in place.
    const auto allocated = [](const std::string& text) {
        return text.capacity() > std::string().capacity() ? text.capacity() : 0;
    };
    std::size_t size = allocated(head.target) + head.headers.capacity() * sizeof(header);
    for (const header& entry : head.headers)
        size += allocated(entry.name) + allocated(entry.value);
    return size;
}

http_reader::http_reader(message_kind reader_side, std::size_t max_head_bytes)
    : reader_side(reader_side), max_head_bytes(max_head_bytes)
{
    this->reset();
}

http_reader& http_reader::self(http_parser* parser)
{
    return *static_cast<http_reader*>(parser->data);
}

http_parser_settings http_reader::make_callbacks()
{
    http_parser_settings callbacks{};
    http_parser_settings_init(&callbacks);
    callbacks.on_url = [](http_parser* parser, const char* at, std::size_t size) {
        self(parser).head.target.append(at, size);
        return 0;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        http_reader& reader = self(parser);
        // Trailers arrive after the head was passed on; they apply to this connection only and are
        // dropped.
        if (reader.head_read) return 0;
        if (reader.head.headers.empty() || reader.last_was_value) {
            reader.head.headers.emplace_back();
        }
        reader.last_was_value = false;
        reader.head.headers.back().name.append(at, size);
        return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        http_reader& reader = self(parser);
        if (reader.head_read) return 0;
        reader.last_was_value = true;
        reader.head.headers.back().value.append(at, size);
        return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) { return self(parser).handle_head(); };
    callbacks.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        self(parser).on_body({at, size});
        return 0;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
        self(parser).ended = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    return callbacks;
}

void http_reader::reset()
{
    http_parser_init(&this->parser,
                     this->reader_side == message_kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    // An assignment of an empty head would keep the memory of its target.
    static_cast<void>(std::exchange(this->head, http_head()));
    this->check = response_check();
    this->head_bytes = 0;
    this->oversized = false;
    this->last_was_value = false;
    this->started = false;
    this->head_read = false;
    this->ended = false;
}

int http_reader::handle_head()
{
    constexpr int without_body = 1;
    this->head_read = true;
    this->head.keep_alive = http_should_keep_alive(&this->parser) != 0;
    if (this->reader_side == message_kind::requests) {
        this->head.method = http_method_str(static_cast<http_method>(this->parser.method));
        constexpr std::uint64_t not_announced = std::numeric_limits<std::uint64_t>::max();
        if (this->parser.content_length != not_announced)
            this->head.body_length = this->parser.content_length;
        // http-parser accepts blanks in header names. Such a header is rejected, because a server
        // might interpret it as a different one.
        const auto blank = [](const header& entry) {
            return entry.name.find_first_of(" \t") != std::string::npos;
        };
        if (std::ranges::any_of(this->head.headers, blank)) return -1;
    } else {
        this->head.status = static_cast<int>(this->parser.status_code);
        if (is_informational(this->head.status)) return without_body;
        std::ranges::for_each(this->head.headers, trim_end, &header::value);
    }
    std::size_t size = this->head.target.size();
    for (const header& entry : this->head.headers) {
        size += entry.name.size() + entry.value.size() + line_overhead;
    }
    this->oversized = size > this->max_head_bytes;
    if (this->oversized) return -1;
    this->on_head(this->head);
    const bool skip_body =
        std::exchange(this->bodiless, false) ||
        (this->reader_side == message_kind::responses && is_bodiless(this->head.status));
    return skip_body ? without_body : 0;
}

/** Whether the next bytes of a response are well-formed. Requests are only parsed. */
bool http_reader::check_response(std::string_view bytes)
{
    if (this->reader_side == message_kind::requests) return true;
    this->broken_rule = this->check.add(bytes);
    return !this->broken_rule;
}

read_result http_reader::classify(std::size_t input_size, std::size_t consumed)
{
    if (!this->head_read) {
        this->head_bytes += consumed;
        if (this->head_bytes > this->max_head_bytes) return read_result::head_too_large;
    }
    if (this->oversized) return read_result::head_too_large;
    const auto fault = HTTP_PARSER_ERRNO(&this->parser);
    if (this->ended) return read_result::message_complete;
    if (fault == HPE_HEADER_OVERFLOW) return read_result::head_too_large;
    if (fault != HPE_OK || this->parser.upgrade != 0) return read_result::malformed;
    return consumed == input_size ? read_result::need_more : read_result::malformed;
}

std::string http_reader::fault(read_result result) const
{
    if (result == read_result::head_too_large) return "response head too large";
    if (!this->broken_rule) return http_errno_description(HTTP_PARSER_ERRNO(&this->parser));
    return to_string(*this->broken_rule);
}

read_result http_reader::read(evbuffer* input)
{
    static const http_parser_settings callbacks = make_callbacks();
    while (evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto* bytes =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        this->started = true;
        if (!this->check_response({bytes, size})) return read_result::malformed;
        const std::size_t consumed = http_parser_execute(&this->parser, &callbacks, bytes, size);
        const read_result result = this->classify(size, consumed);
        evbuffer_drain(input, consumed);
        if (result == read_result::need_more) continue;
        const bool interim = result == read_result::message_complete &&
                             this->reader_side == message_kind::responses &&
                             is_informational(this->head.status);
        // Otherwise, a server could send informational responses without end.
        this->interim_bytes = interim ? this->interim_bytes + this->head_bytes + consumed : 0;
        if (result == read_result::message_complete) this->reset();
        if (this->interim_bytes > this->max_head_bytes) return read_result::head_too_large;
        if (!interim) return result;
    }
    return read_result::need_more;
}

read_result http_reader::read_eof()
{
    static const http_parser_settings callbacks = make_callbacks();
    if (!this->started) return read_result::need_more;
    http_parser_execute(&this->parser, &callbacks, "", 0);
    const bool complete = this->ended && this->head_read;
    if (complete) this->reset();
    return complete ? read_result::message_complete : read_result::malformed;
}

void write_chunk(evbuffer* out, std::string_view bytes)
{
    std::array<char, 20> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    evbuffer_add(out, size.data(), static_cast<std::size_t>(digits));
    evbuffer_add(out, bytes.data(), bytes.size());
    evbuffer_add(out, "\r\n", 2);
}

void write_final_chunk(evbuffer* out)
{
    constexpr std::string_view final_chunk = "0\r\n\r\n";
    evbuffer_add(out, final_chunk.data(), final_chunk.size());
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace worksshift
