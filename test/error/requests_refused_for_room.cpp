/** \file
 * Requests that find no room in the account of what callers hold. Guards against a refusal that is
 * not true or not at once, a legal request that is refused while there is room, and a request that
 * is sent without its body.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "relay_headers.h"
#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;

class requests_refused_for_room : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requests_refused_for_room);
    CPPUNIT_TEST(announced_over_the_limit);
    CPPUNIT_TEST(announced_without_room);
    CPPUNIT_TEST(chunks_without_room);
    CPPUNIT_TEST(relayed_without_room);
    CPPUNIT_TEST(small_request_beside_large_ones);
    CPPUNIT_TEST(stalled_request_makes_room);
    CPPUNIT_TEST(unread_responses_make_room);
    CPPUNIT_TEST(slow_request_is_served_in_calm);
    CPPUNIT_TEST(released_body_is_not_sent_again);
    CPPUNIT_TEST(nothing_is_held_in_the_end);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    scripted_server* desk = nullptr;

    static std::string head(const std::string& id, const std::string& more)
    {
        std::string text = request_text("POST", "/unsafe/x", id);
        return text.replace(text.size() - 2, 2, more + "\r\n");
    }

    static std::string announcing(const std::string& id, std::size_t length)
    {
        return head(id, "Content-Length: " + std::to_string(length) + "\r\n");
    }

    bool answered(const raw_caller& caller)
    {
        return this->rig->run_until([&] { return is_whole(caller.received); });
    }

    static bool is_whole(const std::string& text)
    {
        const std::string length = header_in(text, "content-length");
        return !length.empty() && body_in(text).size() >= std::stoul(length);
    }

    static bool has_status(const raw_caller& caller, int status)
    {
        return caller.received.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    void expect_no_room(const raw_caller& caller)
    {
        CPPUNIT_ASSERT(this->answered(caller));
        CPPUNIT_ASSERT_MESSAGE(caller.received, has_status(caller, 503));
        CPPUNIT_ASSERT(!header_in(caller.received, "retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("close"), header_in(caller.received, "connection"));
        CPPUNIT_ASSERT(this->desk->requests.empty());
    }

public:
    /** Fixtures live until all tests are over; their sockets must not. */
    void tearDown() override { this->rig.reset(); }

    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        auto config = this->rig->adapter.decode_config(example_config(1));
        config->limits.max_body_bytes = mib;
        this->rig->path->set_config(config);
        caller_bounds bounds = bounds_of({});
        bounds.memory = 2 * mib;
        bounds.large_memory = mib + mib / 2;
        this->rig->callers->set_caller_bounds(bounds);
        this->desk = &this->rig->add_server(
            "a", "desk", [](const std::string& request) -> scripted_response {
                return {response_text(200, request, "answer"), then::keep};
            });
    }

    /** Answered from the head, without a 100 Continue. */
    void announced_over_the_limit()
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(head("1", "Expect: 100-continue\r\nContent-Length: 1073741824\r\n"));
        CPPUNIT_ASSERT(this->answered(caller));
        CPPUNIT_ASSERT(has_status(caller, 413));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             this->rig->callers->refused(input_refusal::body_too_large));
    }

    void announced_without_room()
    {
        raw_caller& first = this->rig->add_caller();
        first.send(announcing("1", mib));
        CPPUNIT_ASSERT(this->rig->run_until([&] {
            return this->rig->callers->memory_of_callers().held(memory_use::incoming) > mib;
        }));
        raw_caller& second = this->rig->add_caller();
        second.send(announcing("2", mib));
        this->expect_no_room(second);
        CPPUNIT_ASSERT(first.received.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             this->rig->callers->refused(input_refusal::no_memory));
    }

    void chunks_without_room()
    {
        raw_caller& first = this->rig->add_caller();
        first.send(announcing("1", mib));
        CPPUNIT_ASSERT(this->rig->run_until([&] {
            return this->rig->callers->memory_of_callers().held(memory_use::incoming) > mib;
        }));
        raw_caller& second = this->rig->add_caller();
        std::string text = head("2", "Transfer-Encoding: chunked\r\n");
        for (int chunk = 0; chunk < 15; ++chunk)
            text += "10000\r\n" + std::string(64 * kib, 'x') + "\r\n";
        second.send(text);
        this->expect_no_room(second);
    }

    /** The VM that relays the request must learn that it can send it elsewhere. */
    void relayed_without_room()
    {
        const link_address relay{"127.0.0.1", free_port()};
        this->rig->callers->listen_for_vms(relay, [](std::uint32_t) { return true; });
        raw_caller& first = this->rig->add_caller();
        first.send(announcing("1", mib));
        this->rig->run_for(milliseconds(50));
        raw_caller relayed(this->rig->base.get(), relay);
        relayed.send(announcing("2", mib));
        this->expect_no_room(relayed);
        CPPUNIT_ASSERT(!header_in(relayed.received, std::string(relay_refused_header)).empty());
    }

    void small_request_beside_large_ones()
    {
        raw_caller& large = this->rig->add_caller();
        large.send(announcing("1", mib));
        this->rig->run_for(milliseconds(50));
        raw_caller& small = this->rig->add_caller();
        small.send(request_text("POST", "/unsafe/x", "2", std::string(32 * kib, 'x')));
        CPPUNIT_ASSERT(this->answered(small));
        CPPUNIT_ASSERT(has_status(small, 200));
    }

    /** The stalled one has not run, and the other is served. */
    void stalled_request_makes_room()
    {
        raw_caller& stalled = this->rig->add_caller();
        stalled.send(announcing("1", mib) + "x");
        this->rig->run_for(stalled_after + milliseconds(100));
        CPPUNIT_ASSERT(stalled.received.empty());
        raw_caller& other = this->rig->add_caller();
        other.send(announcing("2", mib) + std::string(mib, 'y'));
        CPPUNIT_ASSERT(this->answered(other));
        CPPUNIT_ASSERT(has_status(other, 200));
        CPPUNIT_ASSERT(this->answered(stalled));
        CPPUNIT_ASSERT(has_status(stalled, 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->desk->requests.size());
    }

    /** Callers that do not read their responses do not shut out others. */
    void unread_responses_make_room()
    {
        caller_bounds bounds = bounds_of({});
        bounds.memory = 256 * kib;
        this->rig->callers->set_caller_bounds(bounds);
        this->desk->answer = [](const std::string& request) -> scripted_response {
            const bool large = request.find(" /safe/") != std::string::npos;
            const std::string body = large ? std::string(4 * mib, 'x') : "answer";
            return {response_text(200, request, body), then::keep};
        };
        for (const char* id : {"1", "2"}) {
            constexpr int small_receive_buffer = 4096;
            raw_caller& unread = this->rig->add_caller(small_receive_buffer);
            unread.send(request_text("GET", "/safe/x", id));
            unread.set_reading(false);
        }
        CPPUNIT_ASSERT(this->rig->run_until(
            [&] { return this->rig->callers->memory_of_callers().exceeded(); }));
        this->rig->run_for(stalled_after + milliseconds(100));
        raw_caller& other = this->rig->add_caller();
        other.send(request_text("POST", "/unsafe/x", "3", "x"));
        CPPUNIT_ASSERT(this->answered(other));
        CPPUNIT_ASSERT_MESSAGE(other.received, has_status(other, 200));
        CPPUNIT_ASSERT(this->rig->callers->slow_clients_closed(slow_client_reason::memory) > 0);
        CPPUNIT_ASSERT(!this->rig->callers->memory_of_callers().exceeded());
    }

    void slow_request_is_served_in_calm()
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(announcing("1", 100));
        for (int part = 0; part < 10; ++part) {
            this->rig->run_for(milliseconds(120));
            caller.send("0123456789");
        }
        CPPUNIT_ASSERT(this->answered(caller));
        CPPUNIT_ASSERT(has_status(caller, 200));
    }

    /** Its server states that it did not run the request, which cannot be sent to another one. */
    void released_body_is_not_sent_again()
    {
        scripted_server& busy = *this->desk;
        busy.answer = [](const std::string&) -> scripted_response {
            return {"", then::stay_silent};
        };
        raw_caller& first = this->rig->add_caller();
        first.send(announcing("1", mib) + std::string(mib, 'x'));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return busy.requests.size() == 1; }));
        scripted_server& other =
            this->rig->add_server("b", "desk", [](const std::string& request) -> scripted_response {
                return {response_text(200, request, "answer"), then::keep};
            });
        raw_caller& second = this->rig->add_caller();
        second.send(announcing("2", mib) + std::string(mib, 'y'));
        CPPUNIT_ASSERT(this->rig->run_until(
            [&] { return busy.requests.size() + other.requests.size() == 2; }));
        busy.push_to_all("HTTP/1.1 503 Busy\r\nX-Request-Id: 1\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(this->answered(first));
        CPPUNIT_ASSERT_MESSAGE(first.received, has_status(first, 503));
        CPPUNIT_ASSERT(!header_in(first.received, "retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, busy.requests.size() + other.requests.size());
    }

    void nothing_is_held_in_the_end()
    {
        for (int round = 0; round < 3; ++round) {
            raw_caller& whole = this->rig->add_caller();
            raw_caller& partial = this->rig->add_caller();
            whole.send(announcing("w" + std::to_string(round), 500 * kib) +
                       std::string(500 * kib, 'x'));
            partial.send(announcing("p" + std::to_string(round), 300 * kib) + "x");
            CPPUNIT_ASSERT(this->answered(whole));
            CPPUNIT_ASSERT(has_status(whole, 200));
            whole.leave();
            partial.leave();
        }
        CPPUNIT_ASSERT(this->rig->run_until(
            [&] { return this->rig->callers->memory_of_callers().held() == 0; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requests_refused_for_room);

} // namespace
