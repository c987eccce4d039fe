/** \file
 * Engines that send garbage, close early, break off, send nothing, send too much or refuse. Guards
 * against a broken response that looks complete to the caller, instead of the complete response of
 * a retry or a clear error, and against a non-idempotent request that is executed twice.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

using support::reply;

class broken_responses_are_retried_or_reported : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(broken_responses_are_retried_or_reported);
    CPPUNIT_TEST(engines);
    CPPUNIT_TEST(plain_service);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::fleet_options two_routers()
    {
        support::fleet_options options;
        options.routers = 2;
        options.engines = 3;
        options.services = 2;
        options.data_centres = 1;
        options.router_arguments = {"--server-idle-ms=700"};
        return options;
    }

    static void set_fault(const support::fleet& fleet, const std::string& mode)
    {
        for (const support::endpoint& engine : fleet.engines) {
            support::http(engine.port, "POST", "/fault?mode=" + mode + "&count=1&after=4");
        }
    }

    static void clear_faults(const support::fleet& fleet)
    {
        for (const support::endpoint& engine : fleet.engines) {
            support::http(engine.port, "POST", "/fault?mode=none&count=0");
        }
    }

    void engines()
    {
        support::fleet fleet(two_routers());
        fleet.start();
        for (const std::string mode :
             {"garbage", "close", "break", "silent", "refuse", "too_much"}) {
            set_fault(fleet, mode);
            const reply faulty = fleet.chat(0, "chat " + mode, "text " + mode, 12);
            const std::string expected = support::expected_stream("text " + mode, 12);
            // All three engines fail once and a request has three tries, so it may fail with an
            // error.
            if (faulty.status == 200 && faulty.complete && mode != "too_much") {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, expected, faulty.body);
            } else if (faulty.status != 200) {
                CPPUNIT_ASSERT_MESSAGE(mode, !faulty.header("X-Worksshift-Outcome").empty());
            }
            clear_faults(fleet);
            bool served = false;
            support::fleet::wait_for(
                [&] {
                    const reply next = fleet.chat(1, "after " + mode, "after " + mode, 12);
                    served = next.status == 200 &&
                             next.body == support::expected_stream("after " + mode, 12);
                    return served;
                },
                20000);
            CPPUNIT_ASSERT_MESSAGE(mode, served);
        }
        // One engine breaks off after some tokens: another one resumes the stream.
        support::fleet::wait_for([&] { return fleet.converged(2); }, 15000);
        std::size_t resumed = 0;
        for (int i = 0; i < 6; ++i) {
            for (const support::endpoint& engine : fleet.engines) {
                support::http(engine.port, "POST", "/fault?mode=none&count=0");
            }
            support::http(fleet.engines[static_cast<std::size_t>(i) % 3].port, "POST",
                          "/fault?mode=break&count=1&after=4");
            const std::string text = "resume " + std::to_string(i);
            const reply response = fleet.chat(0, text, text, 20);
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT(response.complete);
            CPPUNIT_ASSERT_EQUAL(support::expected_stream(text, 20), response.body);
            ++resumed;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, resumed);
        CPPUNIT_ASSERT(fleet.metric(0, "worksshift_resumed_total") > 0);
    }

    void plain_service()
    {
        support::fleet fleet(two_routers());
        fleet.start();
        const std::uint16_t port = fleet.routers[0].front;
        const worksshift::header key{"Authorization", "Bearer key-1"};
        const reply created = support::http(port, "POST", "/desk/tickets", {key}, "ticket A");
        CPPUNIT_ASSERT_EQUAL(201, created.status);
        for (const support::endpoint& desk : fleet.services) {
            support::http(desk.port, "POST", "/fault?mode=close&count=1");
        }
        const reply lost = support::http(port, "POST", "/desk/tickets", {key}, "ticket B");
        CPPUNIT_ASSERT_EQUAL(502, lost.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), lost.header("X-Worksshift-Outcome"));
        for (const support::endpoint& desk : fleet.services) {
            support::http(desk.port, "POST", "/fault?mode=close&count=0");
        }
        // With a key, a ticket that is sent repeatedly through both routers is executed once.
        const worksshift::header claim{"Idempotency-Key", "ticket-c"};
        for (std::size_t i = 0; i < 6; ++i) {
            const reply again = support::http(fleet.routers[i % 2].front, "POST", "/desk/tickets",
                                              {key, claim}, "ticket C");
            CPPUNIT_ASSERT_EQUAL(201, again.status);
            CPPUNIT_ASSERT_EQUAL(std::string(i == 0 ? "" : "true"),
                                 again.header("X-Worksshift-Replayed"));
        }
        const reply reused = support::http(port, "POST", "/desk/tickets", {key, claim}, "ticket D");
        CPPUNIT_ASSERT_EQUAL(422, reused.status);
        // While the platform is down a key cannot be claimed, so nothing is sent.
        fleet.set_faults({{"down", true}});
        const reply refused = support::http(port, "POST", "/desk/tickets",
                                            {key, {"Idempotency-Key", "ticket-e"}}, "ticket E");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.header("X-Worksshift-Outcome"));
        CPPUNIT_ASSERT(!refused.header("Retry-After").empty());
        std::map<std::string, std::uint32_t> runs;
        for (std::size_t i = 0; i < fleet.services.size(); ++i) {
            const nlohmann::json stats = fleet.service_stats(i);
            for (const auto& [body, count] : stats["runs"].items()) {
                runs[body] += count.get<std::uint32_t>();
            }
        }
        const std::map<std::string, std::uint32_t> expected{
            {"ticket A", 1}, {"ticket B", 1}, {"ticket C", 1}};
        CPPUNIT_ASSERT(expected == runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_responses_are_retried_or_reported);

} // namespace
