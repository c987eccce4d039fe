#include "response_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "http_wire.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr std::string_view blanks = " \t";

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/** The `tchar` of RFC 9110, 5.6.2. */
bool is_token_character(char byte)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return letter || is_digit(byte) || marks.find(byte) != std::string_view::npos;
}

/** Whether a header's value or a reason phrase may contain it: no control characters but the
 * horizontal tab (RFC 9110, 5.5). */
bool is_text_character(char byte)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= first_printable && code != del);
}

std::string_view trim_blanks(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/** Whether the text contains `HTTP/1.x NNN`. A server that sends the first part of a response, and
 * then another response, does so within a line. */
bool contains_status_line(std::string_view text)
{
    constexpr std::string_view start = "HTTP/1.";
    constexpr std::size_t status_size = 3;
    for (std::size_t at = text.find(start); at != std::string_view::npos;
         at = text.find(start, at + 1)) {
        const std::string_view rest = text.substr(at + start.size());
        const bool versioned = rest.size() > 1 && is_digit(rest.front()) && rest[1] == ' ';
        if (!versioned) continue;
        const std::string_view code = rest.substr(2, rest.substr(2).find(' '));
        if (code.size() == status_size && std::ranges::all_of(code, is_digit)) return true;
    }
    return false;
}

/** Parses digits only: no sign, prefix or blanks. */
std::optional<std::uint64_t> parse_size(std::string_view text, int base)
{
    std::uint64_t size = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, size, base);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
    return size;
}

response_fault fault_of(response_rule rule, std::string_view value)
{
    return {rule, std::string(value.substr(0, max_fault_value_bytes))};
}

} // namespace

std::string_view name_of(response_rule rule)
{
    constexpr std::array<std::string_view, 10> names{
        "status line",  "version",         "status",         "folded line",       "header name",
        "header value", "second response", "content length", "transfer encoding", "chunk",
    };
    return names.at(static_cast<std::size_t>(rule));
}

std::string to_string(const response_fault& fault)
{
    return std::string(name_of(fault.rule)) + " " + escape_log_value(fault.value);
}

std::optional<response_fault> response_check::add(std::string_view bytes)
{
    while (this->next != part::rest && !bytes.empty()) {
        if (this->next == part::chunk_data) {
            const auto size = static_cast<std::size_t>(
                std::min<std::uint64_t>(this->chunk_remaining, bytes.size()));
            this->chunk_remaining -= size;
            bytes.remove_prefix(size);
            if (this->chunk_remaining == 0) this->next = part::chunk_end;
        } else if (auto fault = this->add_line(bytes)) {
            return fault;
        }
    }
    return std::nullopt;
}

/** Removes the next line, or a part of it, from \p bytes. Checks the line once it is complete. */
std::optional<response_fault> response_check::add_line(std::string_view& bytes)
{
    const std::size_t line_end = bytes.find('\n');
    if (line_end == std::string_view::npos) {
        this->partial_line.append(std::exchange(bytes, {}));
        // The end of a chunk's data is two bytes; any others may be data without an end.
        const bool data = this->next == part::chunk_end && this->partial_line != "\r";
        return data ? std::optional(fault_of(response_rule::chunk, this->partial_line))
                    : std::nullopt;
    }
    std::string_view line = bytes.substr(0, line_end);
    bytes.remove_prefix(line_end + 1);
    if (!this->partial_line.empty()) line = this->partial_line.append(line);
    auto fault = this->check_line(line);
    this->partial_line.clear();
    return fault;
}

/** \p text: with its carriage return, without its line feed. */
std::optional<response_fault> response_check::check_line(std::string_view text)
{
    std::string_view line = text;
    if (line.ends_with('\r')) line.remove_suffix(1);
    switch (this->next) {
    case part::status_line:
        this->next = part::headers;
        return this->check_status_line(line);
    case part::headers:
        if (!line.empty()) return this->check_header(line);
        this->next =
            this->has_encoding && !is_bodiless(this->status) ? part::chunk_size : part::rest;
        return std::nullopt;
    case part::chunk_size:
        return this->check_chunk_size(line);
    case part::chunk_end:
        this->next = part::chunk_size;
        if (text != "\r") return fault_of(response_rule::chunk, text);
        return std::nullopt;
    case part::chunk_data:
    case part::rest:
        break; // have no lines
    }
    return std::nullopt;
}

/** Checks `HTTP/1.x NNN REASON`. Servers may omit the reason with the blank before it. */
std::optional<response_fault> response_check::check_status_line(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/";
    constexpr std::size_t version_size = 3;
    constexpr std::size_t status_size = 3;
    if (!text.starts_with(protocol)) return fault_of(response_rule::status_line, text);
    const std::size_t version_end = std::min(text.find(' '), text.size());
    const std::string_view version = text.substr(protocol.size(), version_end - protocol.size());
    if (version.size() != version_size || !version.starts_with("1.") || !is_digit(version.back()))
        return fault_of(response_rule::version, text.substr(0, version_end));
    this->encoding_allowed = version != "1.0";
    if (version_end == text.size()) return fault_of(response_rule::status_line, text);

    constexpr std::uint64_t first_status = 100;
    constexpr std::uint64_t last_status = 599;
    constexpr std::uint64_t switching_protocols = 101;
    const std::string_view rest = text.substr(version_end + 1);
    const std::string_view digits = rest.substr(0, rest.find(' '));
    const std::uint64_t number = parse_size(digits, 10).value_or(0);
    if (digits.size() != status_size || number < first_status || number > last_status ||
        number == switching_protocols)
        return fault_of(response_rule::status, digits);
    this->status = static_cast<int>(number);
    if (!std::ranges::all_of(rest, is_text_character))
        return fault_of(response_rule::status_line, text);
    if (contains_status_line(rest)) return fault_of(response_rule::second_response, rest);
    return std::nullopt;
}

std::optional<response_fault> response_check::check_header(std::string_view text)
{
    // Nothing of an informational response is used or passed on.
    if (is_informational(this->status)) return std::nullopt;
    if (blanks.find(text.front()) != std::string_view::npos)
        return fault_of(response_rule::folded_line, text);
    const std::string_view name = text.substr(0, text.find(':'));
    const bool named = !name.empty() && name.size() < text.size();
    if (!named || !std::ranges::all_of(name, is_token_character))
        return fault_of(response_rule::header_name, text);
    const std::string_view value = trim_blanks(text.substr(name.size() + 1));
    if (!std::ranges::all_of(value, is_text_character))
        return fault_of(response_rule::header_value, text);
    if (contains_status_line(value)) return fault_of(response_rule::second_response, text);
    return this->check_framing(name, value);
}

/** Checks the headers that state where the body ends. A body with both a length and a coding, with
 * two lengths, or with a coding that is not undone here could end at more than one place. */
std::optional<response_fault> response_check::check_framing(std::string_view name,
                                                            std::string_view value)
{
    if (header_names_equal(name, "content-length")) {
        const bool again = std::exchange(this->has_length, true);
        if (again || this->has_encoding || !parse_size(value, 10))
            return fault_of(response_rule::content_length, value);
    } else if (header_names_equal(name, "transfer-encoding")) {
        const bool again = std::exchange(this->has_encoding, true);
        const bool undone = this->encoding_allowed && header_names_equal(value, "chunked");
        if (again || this->has_length || !undone)
            return fault_of(response_rule::transfer_encoding, value);
    }
    return std::nullopt;
}

/** Checks `SIZE` or `SIZE;EXTENSION`. Servers may put blanks after the size. */
std::optional<response_fault> response_check::check_chunk_size(std::string_view text)
{
    constexpr int hexadecimal = 16;
    const std::string_view digits = text.substr(0, text.find(';'));
    const bool indented = !digits.empty() && blanks.find(digits.front()) != std::string_view::npos;
    const std::optional<std::uint64_t> size = parse_size(trim_blanks(digits), hexadecimal);
    if (indented || !size || !std::ranges::all_of(text, is_text_character))
        return fault_of(response_rule::chunk, text);
    this->chunk_remaining = *size;
    // After the last chunk come trailers, which are dropped.
    this->next = *size > 0 ? part::chunk_data : part::rest;
    return std::nullopt;
}

} // namespace worksshift
