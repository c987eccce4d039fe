/** \file
 * The life cycle of a model version on a running fleet: engines load it, each engine switches
 * callers to it, the previous version is unloaded, and a rollback loads that version again. Guards
 * against incomplete responses in any of these phases, and against loading that stops when the
 * holder of the lease is killed.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

using nlohmann::json;

class model_version_rolls_out : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(model_version_rolls_out);
    CPPUNIT_TEST(under_load);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int timeout_ms = 40000;

    static json version_intent(const std::string& verb, const std::string& version)
    {
        return {{"kind", verb + "_model_version"}, {"service", "assist"}, {"version", version}};
    }

    static std::string change(const support::fleet& fleet, const json& intent)
    {
        const support::reply answer = fleet.change(0, intent);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
        return answer.json()["plan"];
    }

    static bool all_loaded(const support::fleet& fleet, const json& versions)
    {
        for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
            if (fleet.engine_stats(i)["loaded"] != versions) return false;
        }
        return true;
    }

    static void wait_until_all_loaded(const support::fleet& fleet, const json& versions)
    {
        CPPUNIT_ASSERT_MESSAGE(
            versions.dump(),
            support::fleet::wait_for([&] { return all_loaded(fleet, versions); }, timeout_ms));
    }

    /** Kills the process that has sent orders, and restarts it. */
    static void kill_holder(support::fleet& fleet)
    {
        std::size_t holder = fleet.routers.size();
        const bool found = support::fleet::wait_for(
            [&] {
                for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
                    if (fleet.metric(i, "worksshift_orders_given_total") > 0) holder = i;
                }
                return holder < fleet.routers.size();
            },
            timeout_ms);
        CPPUNIT_ASSERT(found);
        fleet.routers[holder].process.signal(SIGKILL);
        fleet.routers[holder].process.wait();
        fleet.start_router(holder);
    }

    /** Sends chats through all routers in turn, and checks that each response is complete. */
    static void check_served(const support::fleet& fleet, const std::string& text)
    {
        for (std::size_t i = 0; i < 20; ++i) {
            const std::string chat = text + std::to_string(i);
            const support::reply answer = fleet.chat(i % fleet.routers.size(), chat, chat, 5);
            CPPUNIT_ASSERT_EQUAL(200, answer.status);
            CPPUNIT_ASSERT_EQUAL(support::expected_stream(chat, 5), answer.body);
        }
    }

    static double runs_of_version(const support::fleet& fleet, const std::string& version)
    {
        double sum = 0;
        for (std::size_t i = 0; i < fleet.engines.size(); ++i)
            sum += fleet.engine_stats(i)["runs_by_version"].value(version, 0.0);
        return sum;
    }

    void under_load()
    {
        support::fleet_options options;
        options.services = 1;
        options.engine_arguments = {"--load-ms", "1500"};
        options.router_arguments = {"--loads-at-once=2"};
        support::fleet fleet(options);
        fleet.start();
        change(fleet, {{"kind", "set_fencing"}, {"service", "assist"}, {"fenced", true}});
        change(fleet, version_intent("add", "v1"));
        change(fleet, version_intent("add", "v2"));
        check_served(fleet, "while loading ");
        kill_holder(fleet);
        wait_until_all_loaded(fleet, {"v1", "v2"});
        CPPUNIT_ASSERT(support::fleet::wait_for(
            [&] { return fleet.converged(fleet.routers.size()); }, timeout_ms));
        CPPUNIT_ASSERT_EQUAL(0.0, runs_of_version(fleet, "v2"));
        change(fleet, version_intent("serve", "v2"));
        check_served(fleet, "after the switch ");
        const double runs_after_switch = runs_of_version(fleet, "v2");
        CPPUNIT_ASSERT(runs_after_switch > 0);
        const std::string retire_plan = change(fleet, version_intent("retire", "v1"));
        check_served(fleet, "after retiring ");
        wait_until_all_loaded(fleet, {"v2"});
        CPPUNIT_ASSERT(runs_of_version(fleet, "v2") > runs_after_switch);
        const support::reply refused =
            fleet.admin(0, "POST", "/admin/plans", version_intent("retire", "v2").dump());
        CPPUNIT_ASSERT_EQUAL(400, refused.status); // it is the serving version
        change(fleet, {{"kind", "rollback"}, {"plan", retire_plan}});
        wait_until_all_loaded(fleet, {"v1", "v2"});
        const json history = fleet.admin(0, "GET", "/admin/history").json();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, history.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ops"), history[0]["who"].get<std::string>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(model_version_rolls_out);

} // namespace
