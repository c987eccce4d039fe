/** \file
 * All VMs are killed at once and restart while the platform is down. Until the platform is back
 * they refuse requests with outcome not_run; then they load the configuration, and a request with
 * an idempotency key that was completed before is replayed, not run again.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class whole_fleet_restarts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(whole_fleet_restarts);
    CPPUNIT_TEST(while_the_platform_is_down);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::reply file_ticket(const support::fleet& fleet, std::size_t router)
    {
        return support::http(fleet.routers[router].front, "POST", "/desk/tickets",
                             {{"Authorization", "Bearer key-0"},
                              {"Idempotency-Key", "ticket-1"},
                              {"X-Non-Idempotent", "true"}},
                             "{}");
    }

    static std::size_t runs(const support::fleet& fleet)
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < fleet.services.size(); ++i)
            sum += fleet.service_stats(i)["runs"].value("{}", std::size_t{0});
        return sum;
    }

    /** Guards against requests that run without a configuration, and against a claim that is lost
     * with all VMs. */
    void while_the_platform_is_down()
    {
        support::fleet fleet({});
        fleet.start();
        CPPUNIT_ASSERT_EQUAL(201, file_ticket(fleet, 0).status);
        // The outcome is recorded shortly after the response; a repeated request waits for it.
        CPPUNIT_ASSERT_EQUAL(std::string("true"),
                             file_ticket(fleet, 1).header("X-Worksshift-Replayed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs(fleet));
        fleet.set_faults({{"down", true}});
        for (support::router& router : fleet.routers) {
            router.process.signal(SIGKILL);
            router.process.wait();
        }
        for (std::size_t i = 0; i < fleet.routers.size(); ++i)
            fleet.start_router(i);
        const support::reply refused = [&] {
            support::reply answer;
            support::fleet::wait_for(
                [&] {
                    answer = file_ticket(fleet, 0);
                    return answer.status != 0;
                },
                10000);
            return answer;
        }();
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.header("X-Worksshift-Outcome"));
        fleet.set_faults({{"down", false}});
        CPPUNIT_ASSERT(
            support::fleet::wait_for([&] { return fleet.converged(fleet.routers.size()); }, 30000));
        for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
            const support::reply repeated = file_ticket(fleet, i);
            CPPUNIT_ASSERT_EQUAL(201, repeated.status);
            CPPUNIT_ASSERT_EQUAL(std::string("true"), repeated.header("X-Worksshift-Replayed"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(whole_fleet_restarts);

} // namespace
