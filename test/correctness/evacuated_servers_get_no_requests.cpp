/** \file
 * Guards against requests to servers of an evacuated data centre, tested with routers as processes.
 * No router may send any until the evacuation is revoked, not even one that the store does not
 * answer. Requests in flight there must complete as usual.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class evacuated_servers_get_no_requests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuated_servers_get_no_requests);
    CPPUNIT_TEST(until_the_evacuation_is_revoked);
    CPPUNIT_TEST(all_data_centres_evacuated);
    CPPUNIT_TEST(despite_thousands_of_invalid_entries);
    CPPUNIT_TEST(stream_in_progress_completes);
    CPPUNIT_TEST_SUITE_END();

    static scripted_response answer_ok(const std::string& request)
    {
        return {response_text(200, request, header_in(request, "x-request-id")), then::keep};
    }

    static std::unique_ptr<router_fleet> served_fleet(std::size_t routers)
    {
        auto fleet = std::make_unique<router_fleet>(routers);
        fleet->set_config(example_config(1));
        fleet->add_server("a", "desk", answer_ok, "here");
        fleet->add_server("b", "desk", answer_ok, "there");
        fleet->start_all();
        CPPUNIT_ASSERT(fleet->wait_until_all_ready());
        return fleet;
    }

    static bool all_answer(router_fleet& fleet, int status)
    {
        for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
            if (status_in(fleet.ask(i, request_text("GET", "/safe/x", "1"))) != status) {
                return false;
            }
        }
        return true;
    }

    /** Number of requests that a server gets while all routers send several rounds. */
    static std::size_t requests_received(router_fleet& fleet, std::size_t server)
    {
        const std::size_t before = fleet.servers[server]->requests.size();
        for (int round = 0; round < 6; ++round)
            CPPUNIT_ASSERT(all_answer(fleet, 200));
        return fleet.servers[server]->requests.size() - before;
    }

    static void wait(router_fleet& fleet, duration span)
    {
        fleet.run_until([] { return false; }, span);
    }

public:
    /** The evacuation holds until it is revoked, also at a router that starts without the store. */
    static void until_the_evacuation_is_revoked()
    {
        const auto fleet = served_fleet(5);
        wait(*fleet, seconds(2));
        fleet->store->put("evacuations", "here", "{}");
        wait(*fleet, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_received(*fleet, 0));
        const std::string line = "worksshift_evacuated{data_centre=\"here\"} 1";
        CPPUNIT_ASSERT(fleet->metrics(3).find(line) != std::string::npos);
        // A router that starts while the store does not answer learns the state from the others.
        fleet->store->fault = fakes::store_fault::busy;
        fleet->store->lose_waiting();
        fleet->routers[4].signal(SIGKILL);
        fleet->routers[4].wait();
        fleet->start(4);
        CPPUNIT_ASSERT(fleet->run_until([&] { return fleet->ready(4); }, seconds(8)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_received(*fleet, 0));
        fleet->store->fault = fakes::store_fault::none;
        wait(*fleet, seconds(2));
        fleet->store->remove("evacuations", "here");
        CPPUNIT_ASSERT(
            fleet->run_until([&] { return requests_received(*fleet, 0) > 0; }, seconds(5)));
    }

    /** If all data centres are evacuated, callers learn at once that the request was not run,
     * and when to retry. */
    static void all_data_centres_evacuated()
    {
        const auto fleet = served_fleet(3);
        for (const std::string data_centre : {"here", "there"})
            fleet->store->put("evacuations", data_centre, "{}");
        wait(*fleet, seconds(2));
        const std::string answer = fleet->ask(1, request_text("GET", "/safe/x", "1"));
        CPPUNIT_ASSERT_EQUAL(503, status_in(answer));
        CPPUNIT_ASSERT(!header_in(answer, "retry-after").empty());
        fleet->store->remove("evacuations", "there");
        CPPUNIT_ASSERT(fleet->run_until([&] { return all_answer(*fleet, 200); }, seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_received(*fleet, 0));
    }

    /** Thousands of invalid entries neither hide the valid one nor appear in the metrics. */
    static void despite_thousands_of_invalid_entries()
    {
        const auto fleet = served_fleet(3);
        fleet->store->page_size = 50;
        for (int i = 0; i < 2000; ++i)
            fleet->store->put("evacuations", "nowhere-" + std::to_string(i), "[7,null]");
        fleet->store->put("evacuations", "here", "\"?\"");
        fleet->store->forget_history();
        wait(*fleet, seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_received(*fleet, 0));
        CPPUNIT_ASSERT(fleet->metrics(0).find("nowhere") == std::string::npos);
    }

    /** A stream that began before the evacuation completes; a new request is refused. */
    static void stream_in_progress_completes()
    {
        const auto fleet = served_fleet(1);
        std::string config = example_config(2);
        for (std::size_t at = 0; (at = config.find(":1500", at)) != std::string::npos; ++at)
            config.replace(at, 5, ":9000");
        fleet->set_config(config);
        std::string request = request_text("POST", "/once/x", "2", "{}");
        request.replace(request.find(": 2000"), 6, ": 9000");
        fleet->add_server(
            "e", "llm",
            [](const std::string& request) -> scripted_response {
                return {stream_head(request) + event_chunk(1, "first"), then::keep};
            },
            "here");
        wait(*fleet, seconds(1));
        const auto caller = fleet->connect(0);
        caller->send(request);
        const auto first_event_position = [&] { return body_in(caller->received).find("first"); };
        CPPUNIT_ASSERT(fleet->run_until([&] { return first_event_position() != std::string::npos; },
                                        seconds(2)));
        fleet->store->put("evacuations", "here", "{}");
        wait(*fleet, seconds(1));
        fleet->servers[2]->push(event_chunk(2, "last") + "0\r\n\r\n");
        CPPUNIT_ASSERT(
            fleet->run_until([&] { return caller->received.ends_with("0\r\n\r\n"); }, seconds(2)));
        CPPUNIT_ASSERT_EQUAL(503,
                             status_in(fleet->ask(0, request_text("POST", "/once/x", "3", "{}"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet->servers[2]->requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuated_servers_get_no_requests);

} // namespace
