/** \file
 * Property tests of the check of response heads, and of the reader that uses it. Guards against a
 * head that is accepted although it breaks a rule, one that is refused although it breaks none, and
 * a result that depends on how the bytes are split.
 */
#include <algorithm>
#include <optional>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "http_wire.h"
#include "response_check.h"

namespace {

using namespace worksshift;

constexpr std::string_view token_characters =
    "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/** A head as it is drawn, before it is written. */
struct drawn_head {
    int minor_version = 1;
    int status = 200;
    std::string reason;
    std::vector<header> headers;
    std::string line_end = "\r\n";

    [[nodiscard]] std::string status_line() const
    {
        return "HTTP/1." + std::to_string(this->minor_version) + " " +
               std::to_string(this->status) + (this->reason.empty() ? "" : " " + this->reason);
    }

    [[nodiscard]] std::vector<std::string> lines() const
    {
        std::vector<std::string> all{this->status_line()};
        for (const header& field : this->headers)
            all.push_back(field.name + ": " + field.value);
        return all;
    }
};

std::string join(const std::vector<std::string>& lines, const std::string& line_end)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + line_end;
    return text + line_end;
}

template <class Character>
std::string draw_text(std::size_t least, std::size_t most, const rc::Gen<Character>& character)
{
    const auto size = *rc::gen::inRange<std::size_t>(least, most + 1);
    return *rc::gen::container<std::string>(size, character);
}

rc::Gen<char> text_character()
{
    return rc::gen::suchThat(rc::gen::cast<char>(rc::gen::inRange<int>(0x20, 0x100)),
                             [](char byte) { return byte != '\x7f'; });
}

rc::Gen<char> control_character()
{
    return rc::gen::suchThat(rc::gen::cast<char>(rc::gen::inRange<int>(0, 0x20)),
                             [](char byte) { return byte != '\t' && byte != '\n'; });
}

/** A value without blanks at its ends, which are not part of it. */
std::string draw_value()
{
    const std::string text = draw_text(0, 12, text_character());
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string::npos) return {};
    return text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

drawn_head draw_head()
{
    drawn_head head;
    head.minor_version = *rc::gen::inRange(0, 2);
    head.status = *rc::gen::inRange(200, 600);
    head.reason = draw_text(0, 8, text_character());
    head.line_end = *rc::gen::element<std::string>("\r\n", "\n");
    const auto count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        head.headers.push_back(
            {"X-" + draw_text(0, 8, rc::gen::elementOf(std::string(token_characters))),
             draw_value()});
    }
    return head;
}

/** Checks \p bytes in pieces of drawn sizes. */
std::optional<response_fault> check_in_pieces(std::string_view bytes, bool& complete)
{
    response_check check;
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        if (auto fault = check.add(bytes.substr(0, size))) return fault;
        bytes.remove_prefix(size);
    }
    complete = check.head_complete();
    return std::nullopt;
}

/** One fault of each kind, put into the lines of a sound head. */
response_rule break_lines(std::vector<std::string>& lines)
{
    const auto fault =
        *rc::gen::element(response_rule::status_line, response_rule::version, response_rule::status,
                          response_rule::folded_line, response_rule::header_name,
                          response_rule::header_value, response_rule::second_response,
                          response_rule::content_length, response_rule::transfer_encoding);
    const auto insert = [&lines](std::string line) {
        const auto at = *rc::gen::inRange<std::size_t>(1, lines.size() + 1);
        lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(at), std::move(line));
    };
    switch (fault) {
    case response_rule::status_line:
        lines[0] = *rc::gen::element<std::string>("", "HTTP/1.1", "http/1.1 200", "X",
                                                  " HTTP/1.1 200", "HTTP/1.1 200 a\x01", "ICY 200");
        break;
    case response_rule::version:
        lines[0] = "HTTP/" +
                   *rc::gen::element<std::string>("0.9", "2.0", "2", "1", "1.", "1.10", "11.1",
                                                  "0.0", "9.9", "1.x", "") +
                   " 200 OK";
        break;
    case response_rule::status: {
        const auto number =
            *rc::gen::oneOf(rc::gen::inRange(0, 100), rc::gen::inRange(600, 100000));
        const std::string padding(*rc::gen::inRange<std::size_t>(0, 3), '0');
        const std::string status = *rc::gen::element<std::string>(
            padding + std::to_string(number), "101", "2x0", "-20", "+200", "0200", "", "20 0");
        lines[0] = "HTTP/1.1 " + status + " OK";
        break;
    }
    case response_rule::folded_line:
        insert(*rc::gen::element<std::string>(" ", "\t") + draw_value());
        break;
    case response_rule::header_name: {
        constexpr std::string_view separators = "\"(),/;<=>?@[\\]{} \t\x7f\x80\xff";
        const char wrong =
            *rc::gen::oneOf(control_character(), rc::gen::elementOf(std::string(separators)));
        insert(*rc::gen::element<std::string>(std::string("X") + wrong + "Y: 1",
                                              std::string("X") + wrong + ": 1", ": 1", "X"));
        break;
    }
    case response_rule::header_value:
        insert("X: a" +
               std::string(1, *rc::gen::oneOf(control_character(), rc::gen::just('\x7f'))) + "b");
        break;
    case response_rule::second_response: {
        const std::string second = "HTTP/1." + std::to_string(*rc::gen::inRange(0, 10)) + " " +
                                   std::to_string(*rc::gen::inRange(100, 1000)) +
                                   *rc::gen::element<std::string>("", " ", " OK");
        if (*rc::gen::arbitrary<bool>()) {
            insert("X: " + draw_value() + second);
        } else {
            lines[0] = "HTTP/1.1 200 O" + second;
        }
        break;
    }
    case response_rule::content_length:
        // Valid, so that also a second one that is valid breaks the rule.
        insert("Content-Length: 5");
        insert("Content-Length: " + *rc::gen::element<std::string>("5", "6", "", "+5", "-5", "5, 5",
                                                                   "5 5", "0x5", "5a",
                                                                   "18446744073709551616"));
        break;
    case response_rule::transfer_encoding:
        insert("Transfer-Encoding: " +
               *rc::gen::element<std::string>("", "gzip", "gzip, chunked", "chunked, chunked",
                                              "chunked;q=1", "identity", "\"chunked\""));
        break;
    case response_rule::chunk:
        break; // not drawn: a rule for bodies
    }
    return fault;
}

/** What the reader of responses makes of \p bytes, which arrive in pieces of drawn sizes. */
struct reading {
    std::optional<http_head> head;
    std::string body;
    read_result result = read_result::need_more;
};

reading read_in_pieces(std::string_view bytes)
{
    constexpr std::size_t max_head_bytes = std::size_t{32} * 1024;
    reading outcome;
    http_reader reader(http_reader::message_kind::responses, max_head_bytes);
    reader.on_head = [&outcome](const http_head& head) { outcome.head = head; };
    reader.on_body = [&outcome](std::string_view piece) { outcome.body += piece; };
    const event_ptr<evbuffer> input(evbuffer_new());
    while (!bytes.empty() && outcome.result == read_result::need_more) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        evbuffer_add(input.get(), bytes.data(), size);
        bytes.remove_prefix(size);
        outcome.result = reader.read(input.get());
    }
    return outcome;
}

class responses_are_checked : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(responses_are_checked);
    CPPUNIT_TEST(well_formed_heads_are_accepted);
    CPPUNIT_TEST(each_fault_is_found);
    CPPUNIT_TEST(reader_forwards_well_formed_responses_only);
    CPPUNIT_TEST(drawn_bytes_are_accepted_as_sent_or_not_at_all);
    CPPUNIT_TEST(chunks_are_read_as_sent_or_not_at_all);
    CPPUNIT_TEST_SUITE_END();

public:
    static void well_formed_heads_are_accepted()
    {
        CPPUNIT_ASSERT(rc::check("a head without a fault is accepted, up to its last byte", [] {
            const drawn_head head = draw_head();
            const std::string bytes = join(head.lines(), head.line_end);
            bool complete = false;
            RC_ASSERT(!check_in_pieces(bytes, complete).has_value());
            RC_ASSERT(complete);
            bool early = false;
            const std::string_view part =
                std::string_view(bytes).substr(0, bytes.size() - head.line_end.size());
            RC_ASSERT(!check_in_pieces(part, early).has_value());
            RC_ASSERT(!early);
        }));
    }

    static void each_fault_is_found()
    {
        CPPUNIT_ASSERT(rc::check("a head with one fault is refused for it", [] {
            const drawn_head head = draw_head();
            std::vector<std::string> lines = head.lines();
            const response_rule broken = break_lines(lines);
            bool complete = false;
            const auto found = check_in_pieces(join(lines, head.line_end), complete);
            RC_ASSERT(found.has_value());
            RC_ASSERT(found->rule == broken);
            RC_ASSERT(found->value.size() <= max_fault_value_bytes);
        }));
    }

    static void reader_forwards_well_formed_responses_only()
    {
        CPPUNIT_ASSERT(rc::check("the reader passes on what was sent, and no broken head", [] {
            const drawn_head head = draw_head();
            const std::string body = draw_text(0, 40, rc::gen::arbitrary<char>());
            std::vector<std::string> lines = head.lines();
            const bool broken = *rc::gen::arbitrary<bool>();
            if (broken) break_lines(lines);
            lines.push_back("Content-Length: " + std::to_string(body.size()));
            const reading outcome = read_in_pieces(join(lines, head.line_end) + body);
            if (broken) {
                RC_ASSERT(!outcome.head.has_value());
                RC_ASSERT(outcome.result == read_result::malformed);
                return;
            }
            RC_ASSERT(outcome.result == read_result::message_complete);
            RC_ASSERT(outcome.head->status == head.status);
            RC_ASSERT(outcome.head->headers.size() == head.headers.size() + 1);
            RC_ASSERT(std::ranges::equal(
                head.headers, outcome.head->headers | std::views::take(head.headers.size()),
                [](const header& sent, const header& read) {
                    return sent.name == read.name && sent.value == read.value;
                }));
            RC_ASSERT(outcome.body == (is_bodiless(head.status) ? std::string() : body));
        }));
    }

    /** Guards against rules that are missing from `break_lines`: a changed byte of a head either
     * makes it malformed, or all that is passed on stands in it. */
    static void drawn_bytes_are_accepted_as_sent_or_not_at_all()
    {
        CPPUNIT_ASSERT(rc::check("a head with a changed byte is refused or passed on as it is", [] {
            const drawn_head head = draw_head();
            std::string bytes = join(head.lines(), head.line_end);
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
            const reading outcome = read_in_pieces(bytes);
            if (!outcome.head) return;
            constexpr int first_final = 200;
            constexpr int after_final = 600;
            RC_ASSERT(outcome.head->status >= first_final && outcome.head->status < after_final);
            RC_ASSERT(bytes.find(" " + std::to_string(outcome.head->status)) != std::string::npos);
            for (const header& field : outcome.head->headers) {
                RC_ASSERT(field.name.find_first_not_of(token_characters) == std::string::npos);
                RC_ASSERT(bytes.find(field.name + ":") != std::string::npos);
                RC_ASSERT(bytes.find(field.value) != std::string::npos);
            }
        }));
    }

    static void chunks_are_read_as_sent_or_not_at_all()
    {
        CPPUNIT_ASSERT(rc::check("a chunked body has the stated chunks", [] {
            std::string body;
            std::vector<std::string> chunks;
            const auto count = *rc::gen::inRange(0, 5);
            for (int i = 0; i < count; ++i) {
                const std::string data = draw_text(1, 20, rc::gen::arbitrary<char>());
                char size[20];
                std::snprintf(size, sizeof size, "%zx", data.size());
                const auto extension = *rc::gen::element<std::string>("", " ", ";a=b");
                std::string chunk = size + extension;
                chunks.push_back(chunk.append("\r\n").append(data).append("\r\n"));
                body += data;
            }
            const bool broken = count > 0 && *rc::gen::arbitrary<bool>();
            if (broken) {
                std::string& chunk = chunks[*rc::gen::inRange<std::size_t>(0, chunks.size())];
                const auto how = *rc::gen::inRange(0, 4);
                if (how == 0) chunk.insert(0, *rc::gen::element<std::string>("+", "0x", "-", " "));
                if (how == 1) chunk.erase(chunk.size() - 2);
                if (how == 2) chunk.insert(chunk.size() - 2, 1, *rc::gen::arbitrary<char>());
                if (how == 3) chunk.replace(chunk.size() - 2, 2, "XY");
            }
            std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (const std::string& chunk : chunks)
                bytes += chunk;
            bytes += *rc::gen::element<std::string>("0\r\n\r\n", "000;a\r\nX-Trailer: 1\r\n\r\n");
            const reading outcome = read_in_pieces(bytes);
            RC_ASSERT(outcome.result ==
                      (broken ? read_result::malformed : read_result::message_complete));
            RC_ASSERT(broken || outcome.body == body);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(responses_are_checked);

} // namespace
