/** \file
 * Runs routers as processes: when a server announces in a response to one router that it leaves,
 * all routers stop sending it requests within a second or two, also one that starts later, while
 * the store does not respond.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class leaving_servers_are_reported_to_all_vms : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_servers_are_reported_to_all_vms);
    CPPUNIT_TEST(after_one_response);
    CPPUNIT_TEST_SUITE_END();

    /** Number of requests that the first server gets while all routers send requests. */
    static std::size_t requests_to_first(router_fleet& fleet)
    {
        const std::size_t before = fleet.servers.front()->requests.size();
        for (std::size_t i = 0; i < 60; ++i) {
            const std::string request = request_text("GET", "/safe/x", std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(200, status_in(fleet.ask(i % fleet.routers.size(), request)));
        }
        return fleet.servers.front()->requests.size() - before;
    }

public:
    static void after_one_response()
    {
        router_fleet fleet(4);
        bool leaves = false;
        const auto serve = [&leaves](const std::string& request) -> scripted_response {
            const std::string header = leaves ? "Server-Leaving: 1\r\n" : "";
            return {response_text(200, request, "x", header), then::keep};
        };
        fleet.set_config(example_config(1));
        fleet.add_server("first", "desk", serve);
        fleet.add_server("second", "desk", [](const std::string& request) -> scripted_response {
            return {response_text(200, request, "x"), then::keep};
        });
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        CPPUNIT_ASSERT(requests_to_first(fleet) > 0);
        fleet.store->fault = fakes::store_fault::silent;
        leaves = true;
        const std::size_t before = fleet.servers.front()->requests.size();
        for (int i = 0; i < 100 && fleet.servers.front()->requests.size() == before; ++i)
            fleet.ask(0, request_text("GET", "/safe/x", "once"));
        CPPUNIT_ASSERT(fleet.servers.front()->requests.size() > before);
        fleet.run_until([] { return false; }, milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_to_first(fleet));
        fleet.routers[2].signal(SIGKILL);
        fleet.routers[2].wait();
        fleet.start(2);
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        fleet.run_until([] { return false; }, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_to_first(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_servers_are_reported_to_all_vms);

} // namespace
