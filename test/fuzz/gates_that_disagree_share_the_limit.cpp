/** \file
 * Guards against VMs that disagree about which is a server's gate, after partitions, pauses of up
 * to 30 s, restarts and joins, and together run more requests there than gate_share.h allows. The
 * load is far above the limit.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/core_fleet.h"

namespace {

using namespace worksshift;

constexpr std::size_t node_count = 5;
constexpr std::uint32_t limit = 16;
constexpr std::uint32_t max_running = limit + limit / 4;

/** Submits far more requests than the server's limit, through every node, for \p span. */
void overload(support::core_fleet& fleet, duration span)
{
    constexpr auto step = milliseconds(200);
    for (duration passed{}; passed < span; passed += step) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (!fleet.up(node)) continue;
            for (std::uint64_t i = 0; i < 6; ++i) {
                support::core_request request;
                request.chat = 1 + i;
                request.cost = 200;
                request.deadline = seconds(3);
                fleet.submit(node, request);
            }
        }
        fleet.run_for(step);
        RC_ASSERT(fleet.servers["server-0"].peak <= max_running);
    }
}

void disturb(support::core_fleet& fleet, std::size_t node, std::size_t other, int kind)
{
    if (kind == 0) fleet.restart(node);
    if (kind == 1 && fleet.up(node)) fleet.pause(node, seconds(30));
    if (kind == 2 && fleet.up(node)) fleet.pause(node, seconds(5));
    if (kind == 3) fleet.cut(node, other);
    if (kind == 4) {
        // Partitioned from all others.
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.cut(node, i);
    }
    if (kind == 5) fleet.heal();
    if (kind == 6) fleet.kill(node);
}

class gates_that_disagree_share_the_limit : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gates_that_disagree_share_the_limit);
    CPPUNIT_TEST(under_any_disturbance);
    CPPUNIT_TEST_SUITE_END();

public:
    void under_any_disturbance()
    {
        const bool property_holds = rc::check("the worst case holds", [] {
            support::core_options options;
            options.nodes = node_count;
            options.servers = 1;
            options.data_centres = 1;
            options.limit = limit;
            options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
            support::core_fleet fleet(options);
            fleet.run_for(seconds(12));
            const int steps = *rc::gen::inRange(1, 6);
            for (int i = 0; i < steps; ++i) {
                overload(fleet, milliseconds(*rc::gen::element(1000, 3000)));
                const auto node = *rc::gen::inRange<std::size_t>(0, node_count);
                const auto other = *rc::gen::inRange<std::size_t>(0, node_count);
                disturb(fleet, node, other, *rc::gen::inRange(0, 7));
                overload(fleet, seconds(*rc::gen::element(2, 9)));
            }
        });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gates_that_disagree_share_the_limit);

} // namespace
