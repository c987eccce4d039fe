/** \file
 * Callers must not be able to set the headers by which the router controls servers (holds, pins,
 * copies, priority and others), whatever their case or number, on any kind of route, and on first,
 * retried and resumed attempts. A server receives the router's value or none.
 */
#include <array>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

/** Headers that only the router may send to a server, as documented by the platform. */
constexpr std::array reserved{"X-Tenant",         "X-Expect-Instance", "X-Request-Priority",
                              "X-Expect-Version", "Kv-Fetch",          "X-Pin-Ms",
                              "X-Hold",           "Kv-From",           "X-Kv-Backup",
                              "Wait-Ms"};
constexpr std::string_view forged_value = "forged";

std::string upper(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::toupper(c); });
    return text;
}

/** A request with every reserved header twice: as documented and in capitals. */
std::string forged_request(const std::string& target, const std::string& id,
                           const std::string& more = {})
{
    std::string lines = more;
    for (const std::string name : reserved) {
        lines += name + ": " + std::string(forged_value) + "\r\n";
        lines += upper(name) + ": " + std::string(forged_value) + "\r\n";
    }
    std::string text = request_text("POST", target, id, "hello");
    return text.insert(text.find("X-Api-Key"), lines);
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

class forged_headers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(forged_headers);
    CPPUNIT_TEST(never_reach_a_server);
    CPPUNIT_TEST(never_on_a_retry);
    CPPUNIT_TEST(never_on_a_resumed_attempt);
    CPPUNIT_TEST(resume_position_on_a_non_resumable_route);
    CPPUNIT_TEST(first_of_duplicate_headers_is_used);
    CPPUNIT_TEST(are_counted);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;

    scripted_server& add_plain(const std::string& id, const std::string& service)
    {
        return this->rig->add_server(id, service, [](const std::string& request) {
            return scripted_response{response_text(200, request, "done"), then::keep};
        });
    }

    raw_caller& ask(const std::string& text)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(text);
        CPPUNIT_ASSERT(this->rig->run_until([&] {
            return caller.closed || caller.received.find("\r\n\r\n") != std::string::npos;
        }));
        return caller;
    }

    static void assert_clean(const scripted_server& server)
    {
        for (const std::string& seen : server.requests) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::size_t{0},
                                         count_of(seen, std::string(forged_value)));
        }
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    /** Guards against a forged header on the first attempt, on each kind of route. */
    void never_reach_a_server()
    {
        scripted_server& desk = this->add_plain("a", "desk");
        scripted_server& engine = this->add_plain("b", "llm");
        for (const char* target :
             {"/safe/x", "/unsafe/x", "/open/x", "/stream/x", "/once/x", "/safe/nested/x"}) {
            const raw_caller& caller = this->ask(forged_request(target, "1"));
            CPPUNIT_ASSERT_MESSAGE(target, caller.received.starts_with("HTTP/1.1 200"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, desk.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, engine.requests.size());
        assert_clean(desk);
        assert_clean(engine);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), header_in(desk.requests.front(), "x-tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             header_in(engine.requests.front(), "x-expect-instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             header_in(engine.requests.front(), "x-request-priority"));
    }

    /** Guards against a forged header on a retry after a rejected attempt. */
    void never_on_a_retry()
    {
        const auto refuse_once = [refused = false](const std::string& request) mutable {
            if (std::exchange(refused, true))
                return scripted_response{response_text(200, request, "done"), then::keep};
            return scripted_response{response_text(503, request, "", "X-Not-Executed: 1\r\n"),
                                     then::keep};
        };
        scripted_server& first = this->rig->add_server("a", "desk", refuse_once);
        scripted_server& second = this->rig->add_server("b", "desk", refuse_once);
        this->ask(forged_request("/safe/x", "1"));
        this->ask(forged_request("/safe/x", "2"));
        CPPUNIT_ASSERT(first.requests.size() + second.requests.size() > 2);
        assert_clean(first);
        assert_clean(second);
    }

    /** Guards against a forged header on the attempt that resumes a broken stream. */
    void never_on_a_resumed_attempt()
    {
        const auto break_off = [](const std::string& request) {
            if (!header_in(request, "last-event-id").empty()) {
                return scripted_response{stream_head(request) + event_chunk(2, "y") + "0\r\n\r\n",
                                         then::keep};
            }
            return scripted_response{stream_head(request) + event_chunk(1, "x"), then::close};
        };
        scripted_server& first = this->rig->add_server("a", "llm", break_off);
        scripted_server& second = this->rig->add_server("b", "llm", break_off);
        raw_caller& caller = this->rig->add_caller();
        caller.send(forged_request("/stream/x", "1"));
        CPPUNIT_ASSERT(
            this->rig->run_until([&] { return caller.received.ends_with("0\r\n\r\n"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.requests.size() + second.requests.size());
        assert_clean(first);
        assert_clean(second);
    }

    /** Guards against a caller setting the resume position on a route that is not resumable. */
    void resume_position_on_a_non_resumable_route()
    {
        scripted_server& desk = this->add_plain("a", "desk");
        scripted_server& engine = this->add_plain("b", "llm");
        this->rig->age_known_servers();
        const std::string position = "Last-Event-Id: 7\r\n";
        for (const char* target : {"/safe/x", "/unsafe/x", "/once/x", "/stream/x"})
            this->ask(forged_request(target, "1", position));
        for (const std::string& seen : desk.requests)
            CPPUNIT_ASSERT(header_in(seen, "last-event-id").empty());
        CPPUNIT_ASSERT(header_in(engine.requests.front(), "last-event-id").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("7"), header_in(engine.requests.back(), "last-event-id"));
    }

    /** Guards against a server reading another value than the router from a header sent twice. */
    void first_of_duplicate_headers_is_used()
    {
        scripted_server& desk = this->add_plain("a", "desk");
        std::string text = request_text("POST", "/safe/x", "11", "hello");
        text.insert(text.find("Content-Length"), "X-Request-Id: 12\r\nx-api-key: k9\r\n"
                                                 "x-deadline-ms: 900000\r\n");
        CPPUNIT_ASSERT(this->ask(text).received.starts_with("HTTP/1.1 200"));
        const std::string& seen = desk.requests.front();
        CPPUNIT_ASSERT_EQUAL(std::string("11"), header_in(seen, "x-request-id"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(seen, "X-Request-Id"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(seen, "X-Deadline-Ms"));
        CPPUNIT_ASSERT(header_in(seen, "x-api-key").empty());
    }

    /** Guards against ignoring reserved headers without counting them in the metrics. */
    void are_counted()
    {
        this->add_plain("a", "desk");
        this->ask(forged_request("/safe/x", "1"));
        const std::string text = this->rig->telemetry.text();
        for (const std::string name : reserved) {
            const std::string line = "worksshift_ignored_headers_total{header=\"" + name + "\"} 2";
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forged_headers);

} // namespace
