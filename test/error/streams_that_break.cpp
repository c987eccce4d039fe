/** \file
 * Tests of event streams whose server fails midway. Guards against lost, repeated or partial events
 * when the route allows resumption, against a broken stream that appears complete when it does not,
 * and against a server that keeps running after its caller has disconnected.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class streams_that_break : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(streams_that_break);
    CPPUNIT_TEST(unbroken);
    CPPUNIT_TEST(resumed_after_the_last_complete_event);
    CPPUNIT_TEST(ended_inside_an_event);
    CPPUNIT_TEST(not_resumable);
    CPPUNIT_TEST(caller_resumes);
    CPPUNIT_TEST(caller_disconnects);
    CPPUNIT_TEST(silent_midway);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;

    /** Sends a request to one of two servers. The first send is answered by \p broken, the next one
     * with the rest of the stream. */
    raw_caller& ask_two(const scripted_server::script& broken, const std::string& target)
    {
        auto sends = std::make_shared<std::size_t>(0);
        const auto answer = [sends, broken](const std::string& request) {
            return ++*sends == 1 ? broken(request) : events_to_the_third(request);
        };
        this->rig->add_server("a", "llm", answer);
        this->rig->add_server("b", "llm", answer);
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text("POST", target, "1", "{}"));
        return caller;
    }

    static bool appears_complete(const raw_caller& caller)
    {
        return caller.received.ends_with("0\r\n\r\n");
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    /** Guards against changing or holding back an unbroken stream. */
    void unbroken()
    {
        raw_caller& caller = this->ask_two(events_to_the_third, "/stream/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return appears_complete(caller); }));
        CPPUNIT_ASSERT_EQUAL(three_events(), body_in(caller.received));
    }

    /** Guards against a lost, repeated or partial event when a server resets midway in an event. */
    void resumed_after_the_last_complete_event()
    {
        const auto broken = [](const std::string& request) -> scripted_response {
            const std::string second = event_chunk(2, "d2");
            return {stream_head(request) + event_chunk(1, "d1") + second.substr(0, 9), then::reset};
        };
        raw_caller& caller = this->ask_two(broken, "/stream/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return appears_complete(caller); }));
        CPPUNIT_ASSERT_EQUAL(three_events(), body_in(caller.received));
        // The second server gets the last event id, so that it does not produce the first event
        // again.
        std::vector<std::string> last_event_ids;
        for (const scripted_server* server : this->rig->all_servers()) {
            for (const std::string& request : server->requests)
                last_event_ids.push_back(header_in(request, "last-event-id"));
        }
        std::ranges::sort(last_event_ids);
        CPPUNIT_ASSERT((last_event_ids == std::vector<std::string>{"", "1"}));
    }

    /** Guards against forwarding a partial event when a server ends the response properly but too
     * early. */
    void ended_inside_an_event()
    {
        const auto broken = [](const std::string& request) -> scripted_response {
            return {stream_head(request) + event_chunk(1, "d1") + "6\r\nid: 2\n\r\n0\r\n\r\n",
                    then::keep};
        };
        raw_caller& caller = this->ask_two(broken, "/stream/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return appears_complete(caller); }));
        CPPUNIT_ASSERT_EQUAL(three_events(), body_in(caller.received));
    }

    /** Guards against a broken stream that appears complete, or is resumed, on a route without
     * resumption. */
    void not_resumable()
    {
        const auto broken = [](const std::string& request) -> scripted_response {
            return {stream_head(request) + event_chunk(1, "d1"), then::close};
        };
        raw_caller& caller = this->ask_two(broken, "/once/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return caller.closed; }));
        CPPUNIT_ASSERT(!appears_complete(caller));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\n"), body_in(caller.received));
    }

    /** Guards against ignoring the `Last-Event-Id` of the caller. */
    void caller_resumes()
    {
        this->rig->add_server("a", "llm", events_to_the_third);
        this->rig->age_known_servers();
        raw_caller& caller = this->rig->add_caller();
        std::string text = request_text("POST", "/stream/x", "1", "{}");
        text.insert(text.find("X-Api-Key"), "Last-Event-Id: 2\r\n");
        caller.send(text);
        CPPUNIT_ASSERT(this->rig->run_until([&] { return appears_complete(caller); }));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: d3\n\n"), body_in(caller.received));
    }

    /** Guards against a server that keeps running for a caller that has disconnected. */
    void caller_disconnects()
    {
        scripted_server& server =
            this->rig->add_server("a", "llm", [](const std::string& request) -> scripted_response {
                return {stream_head(request) + event_chunk(1, "d1"), then::keep};
            });
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text("POST", "/once/x", "1", "{}"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
        caller.leave();
        CPPUNIT_ASSERT(this->rig->run_until([&] { return server.closed == 1; }));
        this->rig->run_for(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->rig->path->active());
    }

    /** Guards against waiting for a server that stops sending midway in a stream. */
    void silent_midway()
    {
        const auto stuck = [](const std::string& request) -> scripted_response {
            return {stream_head(request) + event_chunk(1, "d1"), then::keep};
        };
        raw_caller& caller = this->ask_two(stuck, "/stream/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return appears_complete(caller); }));
        CPPUNIT_ASSERT_EQUAL(three_events(), body_in(caller.received));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(streams_that_break);

} // namespace
