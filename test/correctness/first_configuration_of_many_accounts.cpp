/** \file
 * A first configuration with more shards than a VM may fetch from the platform in one burst is
 * accepted and reaches every VM, also one that starts later while the platform is down.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class first_configuration_of_many_accounts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(first_configuration_of_many_accounts);
    CPPUNIT_TEST(reaches_every_vm);
    CPPUNIT_TEST_SUITE_END();

public:
    static void check_last_account(const support::fleet& fleet, std::size_t router)
    {
        const std::string key = "key-" + std::to_string(fleet.options.accounts - 1);
        const support::reply answer = support::http(
            fleet.routers[router].front, "POST", "/v1/chat/completions",
            {{"Authorization", "Bearer " + key}}, support::chat_body("hello", 3, true).dump());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(support::expected_stream("hello", 3), answer.body);
    }

    void reaches_every_vm()
    {
        support::fleet_options options;
        options.accounts = 16'000; // 126 shards; a VM may make 100 calls in a burst
        options.services = 1;
        support::fleet fleet(options);
        fleet.start();
        for (std::size_t i = 0; i < fleet.routers.size(); ++i)
            check_last_account(fleet, i);
        fleet.set_faults({{"down", true}});
        fleet.routers[2].process.signal(SIGKILL);
        fleet.routers[2].process.wait();
        fleet.start_router(2);
        CPPUNIT_ASSERT(support::fleet::wait_for(
            [&] { return fleet.metric(2, "worksshift_config_revision") > 0; }, 15000));
        check_last_account(fleet, 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(first_configuration_of_many_accounts);

} // namespace
