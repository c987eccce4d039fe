/** \file
 * The status of a VM shows the configuration revision that is in force. A document that is accepted
 * but not yet applied by a tick is not in force, so the servers in a status must always match the
 * revision in the same status.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class status_matches_revision_in_force : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(status_matches_revision_in_force);
    CPPUNIT_TEST(after_each_confirmation);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a status that combines a new revision with the servers of the previous one.
     */
    void after_each_confirmation()
    {
        support::fleet_options options;
        options.routers = 1;
        options.engines = 2;
        options.services = 1;
        options.data_centres = 1;
        support::fleet fleet(options);
        fleet.start();
        for (int i = 0; i < 20; ++i) {
            const bool drain = i % 2 == 0;
            const support::reply confirmed = fleet.change(
                0, {{"kind", drain ? "drain_server" : "undrain_server"}, {"server", "engine-0"}});
            CPPUNIT_ASSERT_EQUAL(200, confirmed.status);
            const nlohmann::json status = fleet.admin(0, "GET", "/admin/status").json();
            const nlohmann::json& servers = status["servers"];
            const auto engine = std::ranges::find_if(
                servers, [](const nlohmann::json& row) { return row["server"] == "engine-0"; });
            CPPUNIT_ASSERT(engine != servers.end());
            const bool newest = status["revision"] == confirmed.json()["revision"];
            CPPUNIT_ASSERT_EQUAL(newest ? drain : !drain, (*engine)["draining"].get<bool>());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(status_matches_revision_in_force);

} // namespace
