/** \file
 * After a suspension of the VM, during which the steady clock stops: callers' deadlines include the
 * suspension, and connections that were idle before it are not used again.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"
#include "suspension.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class suspended_vms : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(suspended_vms);
    CPPUNIT_TEST(suspension_is_detected_once);
    CPPUNIT_TEST(no_suspension_is_detected_by_the_real_clocks);
    CPPUNIT_TEST(expired_requests_are_answered_at_once);
    CPPUNIT_TEST(retried_request_has_a_shorter_deadline);
    CPPUNIT_TEST(idle_connections_are_closed);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;

    raw_caller& ask(const std::string& method, const std::string& target)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text(method, target, "1", method == "POST" ? "x" : ""));
        return caller;
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    /** Guards against missed, repeated and false reports of a suspension. */
    static void suspension_is_detected_once()
    {
        suspension_detector detector;
        CPPUNIT_ASSERT(detector.update({seconds(5), seconds(105)}) == duration::zero());
        CPPUNIT_ASSERT(detector.update({seconds(6), seconds(106)}) == duration::zero());
        CPPUNIT_ASSERT(detector.update({seconds(7), seconds(110)}) == seconds(3));
        CPPUNIT_ASSERT(detector.update({seconds(8), seconds(111)}) == duration::zero());
        CPPUNIT_ASSERT(detector.update({seconds(9), seconds(112) + milliseconds(20)}) ==
                       duration::zero());
        CPPUNIT_ASSERT(detector.update({seconds(10), seconds(100)}) == duration::zero());
        CPPUNIT_ASSERT(detector.update({seconds(10), seconds(114)}) == seconds(1));
    }

    /** Guards against false reports from the real clocks of a system that is not suspended. */
    static void no_suspension_is_detected_by_the_real_clocks()
    {
        suspension_detector detector;
        for (int i = 0; i < 1000; ++i) {
            const auto clocks = read_clocks();
            if (clocks) CPPUNIT_ASSERT(detector.update(*clocks) == duration::zero());
        }
    }

    /** Guards against callers that wait on after their deadline passed during a suspension. */
    void expired_requests_are_answered_at_once()
    {
        const scripted_server& server =
            this->rig->add_server("a", "desk", [](const std::string&) -> scripted_response {
                return {{}, then::stay_silent};
            });
        const raw_caller& caller = this->ask("POST", "/unsafe/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return server.requests.size() == 1; }));
        const instant begin = std::chrono::steady_clock::now();
        this->rig->path->on_suspended(seconds(3));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < milliseconds(500));
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 504"));
    }

    /** Guards against a deadline passed to a second server that ignores the suspension. */
    void retried_request_has_a_shorter_deadline()
    {
        bool failed_once = false;
        const auto serve = [&](const std::string& request) -> scripted_response {
            if (std::exchange(failed_once, true))
                return {response_text(200, request, "x"), then::keep};
            this->rig->path->on_suspended(milliseconds(800));
            return {{}, then::reset};
        };
        this->rig->add_server("a", "desk", serve);
        this->rig->add_server("b", "desk", serve);
        const raw_caller& caller = this->ask("GET", "/safe/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 200"));
        int min_deadline_ms = 10000;
        for (const scripted_server* server : this->rig->all_servers()) {
            for (const std::string& request : server->requests) {
                min_deadline_ms =
                    std::min(min_deadline_ms, std::stoi(header_in(request, "x-deadline-ms")));
            }
        }
        CPPUNIT_ASSERT(min_deadline_ms <= 700);
    }

    /** Guards against reuse of an idle connection that the server may have closed meanwhile. */
    void idle_connections_are_closed()
    {
        const scripted_server& server =
            this->rig->add_server("a", "desk", [](const std::string& request) -> scripted_response {
                return {response_text(200, request, "x"), then::keep};
            });
        for (std::size_t asked = 1; asked <= 3; ++asked) {
            const raw_caller& caller = this->ask("GET", "/safe/x");
            CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
            CPPUNIT_ASSERT_EQUAL(asked < 3 ? std::size_t{1} : std::size_t{2}, server.connections);
            if (asked == 2) this->rig->links->close_all_idle();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspended_vms);

} // namespace
