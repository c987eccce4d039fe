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
    for (duration elapsed{}; elapsed < span; elapsed += step) {
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

void inject_fault(support::core_fleet& fleet, std::size_t node, std::size_t other, int fault)
{
    if (fault == 0) fleet.restart(node);
    if (fault == 1 && fleet.up(node)) fleet.pause(node, seconds(30));
    if (fault == 2 && fleet.up(node)) fleet.pause(node, seconds(5));
    if (fault == 3) fleet.cut(node, other);
    if (fault == 4) {
        // Partitioned from all others.
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.cut(node, i);
    }
    if (fault == 5) fleet.heal();
    if (fault == 6) fleet.kill(node);
}

class disagreeing_gates_keep_the_admission_bound : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(disagreeing_gates_keep_the_admission_bound);
    CPPUNIT_TEST(under_random_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    void under_random_faults()
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
                inject_fault(fleet, node, other, *rc::gen::inRange(0, 7));
                overload(fleet, seconds(*rc::gen::element(2, 9)));
            }
        });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(disagreeing_gates_keep_the_admission_bound);

} // namespace
