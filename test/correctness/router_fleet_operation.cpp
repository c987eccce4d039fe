/** \file
 * Several router processes: a configuration takes effect on all of them, even if the store does not
 * answer; a draining server gets no new requests from any; a planned stop cuts off no request.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "router_status.h"
#include "support/router_fleet.h"
#include "watcher_selection.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class router_fleet_operation : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(router_fleet_operation);
    CPPUNIT_TEST(new_configuration_applies_to_all_routers);
    CPPUNIT_TEST(configuration_from_peers_when_store_is_down);
    CPPUNIT_TEST(draining_server_gets_no_new_requests);
    CPPUNIT_TEST(planned_stop_cuts_off_no_request);
    CPPUNIT_TEST(requests_late_in_a_stop_are_not_accepted);
    CPPUNIT_TEST(number_of_store_watchers_is_bounded);
    CPPUNIT_TEST(status_matches_router_state);
    CPPUNIT_TEST_SUITE_END();

    static scripted_response good(const std::string& request)
    {
        return {response_text(200, request, header_in(request, "x-request-id")), then::keep};
    }

    static std::unique_ptr<router_fleet> started_fleet(std::size_t routers)
    {
        auto fleet = std::make_unique<router_fleet>(routers);
        fleet->set_config(example_config(1));
        fleet->add_server("a", "desk", good);
        fleet->add_server("b", "desk", good);
        fleet->start_all();
        CPPUNIT_ASSERT(fleet->wait_until_all_ready());
        return fleet;
    }

    /** The example configuration with the key `k1` replaced. */
    static std::string config_with_key(std::uint64_t version, const std::string& key)
    {
        std::string text = example_config(version);
        return text.replace(text.find("\"k1\""), 4, "\"" + key + "\"");
    }

    static bool all_respond_with(router_fleet& fleet, int status)
    {
        for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
            if (status_in(fleet.ask(i, request_text("GET", "/safe/x", "1"))) != status) {
                return false;
            }
        }
        return true;
    }

public:
    /** Guards against a router that misses a new configuration or accepts an older one. */
    static void new_configuration_applies_to_all_routers()
    {
        const auto fleet = started_fleet(5);
        CPPUNIT_ASSERT(all_respond_with(*fleet, 200));
        fleet->set_config(config_with_key(4, "other"));
        CPPUNIT_ASSERT(fleet->run_until([&] { return all_respond_with(*fleet, 401); }, seconds(2)));
        // An older version that arrives late is ignored.
        fleet->set_config(example_config(3));
        fleet->run_until([] { return false; }, milliseconds(700));
        CPPUNIT_ASSERT(all_respond_with(*fleet, 401));
    }

    /** Guards against a router that cannot start serving while the store is down. */
    static void configuration_from_peers_when_store_is_down()
    {
        const auto fleet = started_fleet(4);
        fleet->store->fault = fakes::store_fault::busy;
        fleet->store->lose_waiting();
        // A process that starts now gets configuration and servers from the other routers.
        fleet->routers[3].signal(SIGKILL);
        fleet->routers[3].wait();
        fleet->start(3);
        CPPUNIT_ASSERT(fleet->run_until([&] { return fleet->ready(3); }, seconds(8)));
        CPPUNIT_ASSERT(all_respond_with(*fleet, 200));
    }

    /** Guards against routers that still send requests to a server listed as draining. */
    static void draining_server_gets_no_new_requests()
    {
        const auto fleet = started_fleet(5);
        fleet->set_server_state("a", "draining");
        fleet->run_until([] { return false; }, seconds(2));
        const std::size_t before = fleet->servers[0]->requests.size();
        for (int round = 0; round < 4; ++round)
            CPPUNIT_ASSERT(all_respond_with(*fleet, 200));
        CPPUNIT_ASSERT_EQUAL(before, fleet->servers[0]->requests.size());
    }

    /** Guards against a stop that breaks a running stream or rejects callers too early. */
    static void planned_stop_cuts_off_no_request()
    {
        const auto fleet = started_fleet(2);
        std::string config = example_config(2);
        for (std::size_t at = 0; (at = config.find(":1500", at)) != std::string::npos; ++at)
            config.replace(at, 5, ":9000");
        fleet->set_config(config);
        fleet->run_until([] { return false; }, seconds(1));
        std::string long_request = request_text("POST", "/once/x", "3", "{}");
        long_request.replace(long_request.find(": 2000"), 6, ": 9000");
        fleet->add_server("e", "llm", [](const std::string& request) -> scripted_response {
            return {stream_head(request) + event_chunk(1, "first"), then::keep};
        });
        CPPUNIT_ASSERT(fleet->run_until(
            [&] {
                const auto caller = fleet->connect(0);
                caller->send(request_text("POST", "/once/x", "2", "{}"));
                fleet->run_until([&] { return status_in(caller->received) > 0; }, seconds(1));
                return status_in(caller->received) == 200;
            },
            seconds(5)));
        const auto caller = fleet->connect(0);
        caller->send(long_request);
        CPPUNIT_ASSERT(fleet->run_until(
            [&] { return body_in(caller->received).find("first") != std::string::npos; },
            seconds(2)));
        fleet->routers[0].signal(SIGTERM);
        CPPUNIT_ASSERT(fleet->run_until([&] { return !fleet->ready(0); }, seconds(2)));
        // New callers are still served, and their connections are closed after the response.
        const std::string late = fleet->ask(0, request_text("GET", "/safe/x", "4"));
        CPPUNIT_ASSERT_EQUAL(200, status_in(late));
        CPPUNIT_ASSERT_EQUAL(std::string("close"), header_in(late, "connection"));
        fleet->run_until([] { return false; }, seconds(4));
        CPPUNIT_ASSERT(!caller->closed);
        fleet->servers[2]->push(event_chunk(2, "last") + "0\r\n\r\n");
        CPPUNIT_ASSERT(
            fleet->run_until([&] { return caller->received.ends_with("0\r\n\r\n"); }, seconds(2)));
        CPPUNIT_ASSERT_EQUAL(0, fleet->routers[0].wait());
    }

    /** Guards against accepting requests that cannot finish within the grace period of a stop. */
    static void requests_late_in_a_stop_are_not_accepted()
    {
        const auto fleet = started_fleet(1);
        std::string config = example_config(2);
        const std::string idle = R"("idleTimeoutMs":1000)";
        fleet->set_config(
            config.replace(config.find(idle), idle.size(), R"("idleTimeoutMs":9000)"));
        fleet->run_until([] { return false; }, seconds(1));
        const auto idle_caller = fleet->connect(0);
        idle_caller->send(request_text("GET", "/safe/x", "1"));
        CPPUNIT_ASSERT(fleet->run_until([&] { return is_complete_response(idle_caller->received); },
                                        seconds(2)));
        // An unanswered request keeps the process running to the end of its grace period.
        fleet->servers[0]->answer = [](const std::string&) -> scripted_response {
            return {"", then::stay_silent};
        };
        fleet->servers[1]->answer = fleet->servers[0]->answer;
        fleet->routers[0].signal(SIGTERM);
        const auto waiting_caller = fleet->connect(0);
        waiting_caller->send(request_text("POST", "/unsafe/x", "2", "{}"));
        // Three seconds after the stop began, no connection may be open for another request.
        CPPUNIT_ASSERT(fleet->run_until([&] { return idle_caller->closed; }, seconds(3)));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet->ask(0, request_text("GET", "/safe/x", "3")));
    }

    /** Guards against a status page that differs from the router's view of VMs and servers. */
    static void status_matches_router_state()
    {
        const auto fleet = started_fleet(3);
        const auto status = [&] {
            return nlohmann::json::parse(body_in(fleet->metrics(1, status_path)));
        };
        CPPUNIT_ASSERT(fleet->run_until([&] { return status()["vms"].size() == 3; }, seconds(5)));
        fleet->set_server_state("b", "draining");
        fleet->set_config(example_config(7));
        CPPUNIT_ASSERT(fleet->run_until([&] { return status()["revision"] == 7; }, seconds(5)));
        const auto status_is_current = [&] {
            const nlohmann::json now = status();
            return now["servers"].size() == 2 && now["servers"][0]["server"] == "a" &&
                   now["servers"][0]["accepting"] == true && now["servers"][1]["draining"] == true;
        };
        CPPUNIT_ASSERT(fleet->run_until(status_is_current, seconds(5)));
        CPPUNIT_ASSERT(status()["alarms"].empty());
        const auto all_alive = [&] {
            const nlohmann::json now = status();
            return std::ranges::all_of(now["vms"], [](const nlohmann::json& vm) {
                return vm["state"] == "alive" && vm["revision"] == 7;
            });
        };
        CPPUNIT_ASSERT(fleet->run_until(all_alive, seconds(5)));
    }

    /** Guards against store load that grows with the fleet: of eight VMs, two delegates watch the
     * store with linearizable calls and up to three more with the cheaper stale ones, so that a
     * change causes at most five responses. */
    static void number_of_store_watchers_is_bounded()
    {
        const auto fleet = started_fleet(8);
        const auto is_bounded = [&](const std::string& kind) {
            const std::size_t stale = fleet->store->stale_waiting_for(kind);
            const std::size_t all = fleet->store->waiting_for(kind);
            return all - stale == delegates_per_fleet &&
                   stale <= watcher_selection::standby_watchers_per_fleet &&
                   all >= watcher_selection::standby_watchers_per_fleet;
        };
        CPPUNIT_ASSERT(fleet->run_until(
            [&] { return is_bounded("servers") && is_bounded("config"); }, seconds(10)));
        fleet->add_server("c", "desk", good);
        fleet->run_until([] { return false; }, milliseconds(600));
        for (int round = 0; round < 3; ++round)
            CPPUNIT_ASSERT(all_respond_with(*fleet, 200));
        CPPUNIT_ASSERT(!fleet->servers[2]->requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_fleet_operation);

} // namespace
