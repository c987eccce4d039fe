#include "json_slices.h"

#include <algorithm>

#include "errors.h"

namespace worksshift {

namespace {

constexpr std::string_view blanks = " \t\r\n";

[[noreturn]] void fail(const char* reason)
{
    throw peer_error("json", "", reason);
}

/** Consumes raw values and single characters from the front of a text. */
class slice_reader {
public:
    explicit slice_reader(std::string_view text) : rest(text) {}

    /** Consumes the next non-blank character if it is \p wanted, and returns whether it was. */
    bool consume(char wanted)
    {
        this->skip_blanks();
        if (this->rest.empty() || this->rest.front() != wanted) return false;
        this->rest.remove_prefix(1);
        return true;
    }

    void expect(char wanted)
    {
        if (!this->consume(wanted)) fail("expected a bracket, colon, comma or quote");
    }

    std::string_view consume_string()
    {
        this->expect('"');
        const std::size_t size = string_size(this->rest);
        const std::string_view text = this->rest.substr(0, size);
        this->rest.remove_prefix(size + 1);
        return text;
    }

    /** Consumes a raw value, up to the comma or bracket that ends it. */
    std::string_view consume_value()
    {
        this->skip_blanks();
        std::size_t depth = 0;
        std::size_t at = 0;
        for (; at < this->rest.size(); ++at) {
            const char next = this->rest[at];
            if (next == '"') {
                at += string_size(this->rest.substr(at + 1)) + 1;
            } else if (next == '[' || next == '{') {
                ++depth;
            } else if (next == ']' || next == '}') {
                if (depth == 0) break;
                --depth;
            } else if (next == ',' && depth == 0) {
                break;
            }
        }
        std::string_view value = this->rest.substr(0, at);
        this->rest.remove_prefix(at);
        value = value.substr(0, value.find_last_not_of(blanks) + 1);
        if (value.empty()) fail("expected a value");
        return value;
    }

    void expect_end()
    {
        this->skip_blanks();
        if (!this->rest.empty()) fail("unexpected text after the end");
    }

private:
    void skip_blanks()
    {
        this->rest.remove_prefix(std::min(this->rest.find_first_not_of(blanks), this->rest.size()));
    }

    /** Length of the string whose opening quote was consumed, without the closing quote. */
    static std::size_t string_size(std::string_view text)
    {
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '\\') {
                ++at;
            } else if (text[at] == '"') {
                return at;
            }
        }
        fail("unterminated string");
    }

    std::string_view rest;
};

} // namespace

std::vector<json_member> json_members(std::string_view text)
{
    slice_reader reader(text);
    std::vector<json_member> members;
    reader.expect('{');
    if (!reader.consume('}')) {
        do {
            const std::string_view name = reader.consume_string();
            reader.expect(':');
            members.push_back({name, reader.consume_value()});
        } while (reader.consume(','));
        reader.expect('}');
    }
    reader.expect_end();
    return members;
}

std::vector<std::string_view> json_elements(std::string_view text)
{
    slice_reader reader(text);
    std::vector<std::string_view> elements;
    reader.expect('[');
    if (!reader.consume(']')) {
        do {
            elements.push_back(reader.consume_value());
        } while (reader.consume(','));
        reader.expect(']');
    }
    reader.expect_end();
    return elements;
}

std::string_view json_value(const std::vector<json_member>& members, std::string_view name)
{
    const auto found = std::ranges::find(members, name, &json_member::name);
    return found == members.end() ? std::string_view() : found->value;
}

} // namespace worksshift
