/** \file
 * Two operators on different VMs concurrently confirm plans for the same account, while the
 * platform is slow and loses the response to a write. Guards against lost or repeated changes:
 * exactly one plan takes effect, once, and the other is rejected with the current state of the
 * account.
 */
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class concurrent_plan_confirmations : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(concurrent_plan_confirmations);
    CPPUNIT_TEST(one_plan_takes_effect);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string plan_weight(const support::fleet& fleet, std::size_t router, int weight)
    {
        const support::reply created = fleet.admin(
            router, "POST", "/admin/plans",
            nlohmann::json{{"kind", "set_account"}, {"client_account", "acc-3"}, {"weight", weight}}
                .dump());
        CPPUNIT_ASSERT_EQUAL(201, created.status);
        return created.json()["id"];
    }

    static double revision(const support::fleet& fleet)
    {
        return fleet.admin(0, "GET", "/admin/status").json()["revision"];
    }

    void one_plan_takes_effect()
    {
        support::fleet fleet({});
        fleet.start();
        fleet.set_faults({{"slow_ms", 100}});
        for (int round = 0; round < 5; ++round) {
            const double before = revision(fleet);
            const std::vector<std::string> plans{plan_weight(fleet, 0, 10 + round),
                                                 plan_weight(fleet, 1, 20 + round)};
            if (round % 2 == 1) fleet.set_faults({{"slow_ms", 100}, {"lose_answers", 1}});
            std::vector<support::reply> answers(plans.size());
            std::vector<std::thread> operators;
            for (std::size_t i = 0; i < plans.size(); ++i) {
                operators.emplace_back([&, i] {
                    answers[i] = fleet.admin(i, "POST", "/admin/plans/" + plans[i] + "/confirm");
                });
            }
            for (std::thread& operator_thread : operators)
                operator_thread.join();
            const std::size_t winner = answers[0].status == 200 ? 0 : 1;
            const std::size_t loser = 1 - winner;
            CPPUNIT_ASSERT_EQUAL(200, answers[winner].status);
            CPPUNIT_ASSERT_EQUAL(409, answers[loser].status);
            const std::string why = answers[loser].json()["error"]["message"];
            const int weight = (winner == 0 ? 10 : 20) + round;
            CPPUNIT_ASSERT(why.find("\"weight\":" + std::to_string(weight)) != std::string::npos);
            // Confirming the applied plan again succeeds and changes nothing.
            const support::reply again =
                fleet.admin(loser, "POST", "/admin/plans/" + plans[winner] + "/confirm");
            CPPUNIT_ASSERT_EQUAL(200, again.status);
            CPPUNIT_ASSERT(
                support::fleet::wait_for([&] { return revision(fleet) == before + 1; }, 10000));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(concurrent_plan_confirmations);

} // namespace
