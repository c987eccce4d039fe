/** \file
 * Requests that arrive late in a VM's shutdown by other ways than an idle connection. Whatever the
 * way, the request is served only if its deadline comes before the end of the shutdown; any other
 * gets a complete "not run", and reaches no server.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"
#include "support/versioned_streams.h"
#include "support/vm_group.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

/** Time since the stop request; 0.6 s are left for requests in the default grace period. */
constexpr duration stopping_for = seconds(7);

class requests_late_in_a_stop : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requests_late_in_a_stop);
    CPPUNIT_TEST(pipelined_behind_a_response_that_began_before);
    CPPUNIT_TEST(pipelined_behind_a_response_that_announced_the_close);
    CPPUNIT_TEST(body_arrives_late);
    CPPUNIT_TEST(waited_for_the_configuration);
    CPPUNIT_TEST(connection_is_open_until_the_caller_can_know);
    CPPUNIT_TEST(unread_request_keeps_its_connection_open);
    CPPUNIT_TEST(relayed_by_another_vm);
    CPPUNIT_TEST(resumption_is_refused_before_others_are_asked);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    scripted_server* desk = nullptr;

    static instant now() { return std::chrono::steady_clock::now(); }

    static scripted_response complete(const std::string& request)
    {
        return {response_text(200, request, header_in(request, "x-request-id")), then::keep};
    }

    /** A request that could end in time. */
    static std::string short_request(const std::string& id)
    {
        std::string text = request_text("POST", "/unsafe/x", id, "{}");
        return text.replace(text.find(": 2000"), 6, ": 300");
    }

    /** A request that could not. */
    static std::string long_request(const std::string& id)
    {
        return request_text("POST", "/unsafe/x", id, "{}");
    }

    void load_config()
    {
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    void begin_stop()
    {
        this->rig->path->shutdown().begin(now() - stopping_for);
        this->rig->callers->start_closing();
    }

    /** Whether the caller has this many complete responses; all have a length. */
    static bool has_responses(const raw_caller& caller, std::size_t count)
    {
        std::size_t found = 0;
        for (std::size_t at = 0; (at = caller.received.find("HTTP/1.1 ", at)) != std::string::npos;
             ++at)
            ++found;
        return found >= count;
    }

    void expect_refused(const raw_caller& caller)
    {
        CPPUNIT_ASSERT(caller.received.ends_with("not run: the VM is stopping"));
        CPPUNIT_ASSERT(caller.received.find("HTTP/1.1 503") != std::string::npos);
        CPPUNIT_ASSERT(caller.received.find("Connection: close") != std::string::npos);
    }

    /** Sends a stream whose server holds it, and lets the stop begin. Returns the caller; the
     * stream ends when the server pushes `stream_end`. */
    raw_caller& begin_stream_and_stop(scripted_server& engine, const std::string& behind)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(new_stream("first"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !body_in(caller.received).empty(); }));
        this->begin_stop();
        caller.send(behind);
        this->rig->run_for(milliseconds(50));
        engine.push(event_chunk(2, "v1") + event_chunk(3, "v1") + "0\r\n\r\n");
        return caller;
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->desk = &this->rig->add_server("a", "desk", complete);
    }

    /** Guards against pipelined requests that are accepted whatever their deadline. */
    void pipelined_behind_a_response_that_began_before()
    {
        this->load_config();
        scripted_server& engine = this->rig->add_server("e", "llm", holds_new_streams("v1"));
        const raw_caller& refused = this->begin_stream_and_stop(engine, long_request("late"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(refused, 2); }));
        this->expect_refused(refused);
        CPPUNIT_ASSERT(this->desk->requests.empty());
    }

    /** Guards against running a request behind the response that closes its connection: its caller
     * sends it again elsewhere. */
    void pipelined_behind_a_response_that_announced_the_close()
    {
        this->load_config();
        this->begin_stop();
        raw_caller& caller = this->rig->add_caller();
        caller.send(short_request("first") + short_request("second"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return caller.closed; }));
        CPPUNIT_ASSERT(has_responses(caller, 1) && !has_responses(caller, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->desk->requests.size());
    }

    /** Guards against requests that are judged by when their head came. */
    void body_arrives_late()
    {
        this->load_config();
        raw_caller& caller = this->rig->add_caller();
        const std::string text = long_request("1");
        caller.send(text.substr(0, text.size() - 1));
        this->rig->run_for(milliseconds(50));
        this->begin_stop();
        this->rig->callers->stop_listening(now());
        this->rig->run_for(milliseconds(200));
        CPPUNIT_ASSERT(!caller.closed);
        caller.send(text.substr(text.size() - 1));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(caller, 1); }));
        this->expect_refused(caller);
        CPPUNIT_ASSERT(this->desk->requests.empty());
    }

    /** Guards against requests that are accepted before their deadline is known. */
    void waited_for_the_configuration()
    {
        raw_caller& late = this->rig->add_caller();
        raw_caller& in_time = this->rig->add_caller();
        late.send(long_request("late"));
        in_time.send(short_request("in-time"));
        this->rig->run_for(milliseconds(50));
        this->begin_stop();
        this->load_config();
        CPPUNIT_ASSERT(this->rig->run_until(
            [&] { return has_responses(late, 1) && has_responses(in_time, 1); }));
        this->expect_refused(late);
        CPPUNIT_ASSERT(in_time.received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->desk->requests.size());
    }

    /** Guards against connections that close between a response that did not announce it and the
     * request that its caller sends at once. */
    void connection_is_open_until_the_caller_can_know()
    {
        this->load_config();
        raw_caller& caller = this->rig->add_caller();
        raw_caller& idle = this->rig->add_caller();
        idle.send(short_request("idle"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(idle, 1); }));
        this->rig->run_for(milliseconds(150));
        caller.send(short_request("first"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(caller, 1); }));
        this->begin_stop();
        this->rig->callers->stop_listening(now());
        this->rig->run_for(milliseconds(50));
        CPPUNIT_ASSERT(idle.closed);
        CPPUNIT_ASSERT(!caller.closed);
        caller.send(short_request("second"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(caller, 2); }));
        CPPUNIT_ASSERT(caller.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->desk->requests.size());
    }

    /** Guards against closing the connection of a request that the system has received and this
     * process has not read, so that its caller cannot know whether it ran. */
    void unread_request_keeps_its_connection_open()
    {
        this->load_config();
        raw_caller& caller = this->rig->add_caller();
        caller.send(short_request("first"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(caller, 1); }));
        this->rig->run_for(milliseconds(150));
        this->begin_stop();
        // Only the kernel takes part here: the loop does not run between the two calls.
        caller.send_now(short_request("second"));
        this->rig->callers->stop_listening(now());
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_responses(caller, 2); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->desk->requests.size());
    }

    /** Guards against a VM that takes a request of another VM although it will end before it. */
    void relayed_by_another_vm()
    {
        vm_group group(3);
        const scripted_server& server = group.add_server("a", "desk", complete);
        group.cut_off_and_detect(0, cut_kind::refused);
        for (const std::size_t stopping : {std::size_t{1}, std::size_t{2}}) {
            group.path(stopping).shutdown().begin(now() - stopping_for);
            group.start_closing(stopping);
        }
        raw_caller& served = group.add_caller(0);
        served.send(short_request("2"));
        CPPUNIT_ASSERT(group.run_until([&] { return has_responses(served, 1); }));
        CPPUNIT_ASSERT(served.received.starts_with("HTTP/1.1 200"));
        raw_caller& refused = group.add_caller(0);
        refused.send(long_request("1"));
        CPPUNIT_ASSERT(group.run_until([&] { return has_responses(refused, 1); }));
        CPPUNIT_ASSERT(refused.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
    }

    /** Guards against a caller that waits for the version of its stream at a VM that will not serve
     * it. */
    void resumption_is_refused_before_others_are_asked()
    {
        vm_group group(2);
        const scripted_server& server = group.add_server("a", "llm", completes_streams("v1"), "v1");
        group.path(1).shutdown().begin(now() - stopping_for);
        group.start_closing(1);
        raw_caller& caller = group.add_caller(1);
        caller.send(resumption("1", "began-elsewhere"));
        CPPUNIT_ASSERT(group.run_until([&] { return has_responses(caller, 1); }));
        this->expect_refused(caller);
        CPPUNIT_ASSERT(server.requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requests_late_in_a_stop);

} // namespace
