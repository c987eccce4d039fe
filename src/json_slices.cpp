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

/** Takes raw values and single characters off the front of a text. */
class slicer {
public:
    explicit slicer(std::string_view text) : rest(text) {}

    /** Whether the next character that is not blank is \p wanted; it is taken off then. */
    bool take(char wanted)
    {
        this->skip_blanks();
        if (this->rest.empty() || this->rest.front() != wanted) return false;
        this->rest.remove_prefix(1);
        return true;
    }

    void expect(char wanted)
    {
        if (!this->take(wanted)) fail("a bracket, colon or comma is missing");
    }

    std::string_view take_string()
    {
        this->expect('"');
        const std::size_t size = string_size(this->rest);
        const std::string_view text = this->rest.substr(0, size);
        this->rest.remove_prefix(size + 1);
        return text;
    }

    /** Up to the comma or bracket that ends it. */
    std::string_view take_value()
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
        if (value.empty()) fail("a value is missing");
        return value;
    }

    void expect_end()
    {
        this->skip_blanks();
        if (!this->rest.empty()) fail("text behind the end");
    }

private:
    void skip_blanks()
    {
        this->rest.remove_prefix(std::min(this->rest.find_first_not_of(blanks), this->rest.size()));
    }

    /** Of the string whose opening quote was taken off, without the closing one. */
    static std::size_t string_size(std::string_view text)
    {
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '\\') {
                ++at;
            } else if (text[at] == '"') {
                return at;
            }
        }
        fail("a string has no end");
    }

    std::string_view rest;
};

} // namespace

std::vector<json_member> json_members(std::string_view text)
{
    slicer from(text);
    std::vector<json_member> members;
    from.expect('{');
    if (!from.take('}')) {
        do {
            const std::string_view name = from.take_string();
            from.expect(':');
            members.push_back({name, from.take_value()});
        } while (from.take(','));
        from.expect('}');
    }
    from.expect_end();
    return members;
}

std::vector<std::string_view> json_elements(std::string_view text)
{
    slicer from(text);
    std::vector<std::string_view> elements;
    from.expect('[');
    if (!from.take(']')) {
        do {
            elements.push_back(from.take_value());
        } while (from.take(','));
        from.expect(']');
    }
    from.expect_end();
    return elements;
}

std::string_view json_value(const std::vector<json_member>& members, std::string_view name)
{
    const auto found = std::ranges::find(members, name, &json_member::name);
    return found == members.end() ? std::string_view() : found->value;
}

} // namespace worksshift
