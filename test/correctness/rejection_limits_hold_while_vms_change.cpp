/** \file
 * Servers that crash when they reject more requests in a second than they state, behind fleets
 * whose VMs start, restart, lose each other or are suspended. Guards against VMs that send more
 * while they know less of the fleet: the servers crash one after the other, and the load moves to
 * the rest.
 */
#include <algorithm>
#include <functional>
#include <future>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/limited_fleet.h"

namespace {

using namespace support;
using namespace worksshift;

/** What happens in a fleet of the given number of VMs. */
using pattern = std::function<void(limited_fleet&, std::size_t)>;

limited_fleet_options fleet_of(std::size_t vms, std::size_t data_centres, std::size_t servers,
                               std::uint64_t seed)
{
    limited_fleet_options result;
    result.vms = vms;
    result.data_centres = data_centres;
    result.servers = servers;
    result.requests_per_s = static_cast<double>(servers) * 45;
    result.work = milliseconds(40);
    result.seed = seed;
    return result;
}

limited_fleet_options fleet_with_engines(std::size_t vms, std::size_t data_centres,
                                         std::size_t servers, std::uint32_t slots,
                                         std::uint64_t seed)
{
    limited_fleet_options result = fleet_of(vms, data_centres, servers, seed);
    result.engines = true;
    result.slots = slots;
    result.orphan_share = 0.1; // engines cancel streams
    result.work = milliseconds(560);
    result.requests_per_s = static_cast<double>(servers * slots) * 0.52;
    return result;
}

std::vector<limited_fleet_options> plain_fleets()
{
    return {fleet_of(8, 4, 4, 1), fleet_of(24, 4, 4, 1), fleet_of(62, 4, 7, 1),
            fleet_of(62, 4, 7, 2), fleet_of(65, 4, 4, 1)};
}

std::vector<limited_fleet_options> large_fleets()
{
#ifdef __SANITIZE_ADDRESS__
    return {fleet_of(295, 6, 6, 1)}; // the largest takes minutes with sanitizers
#else
    return {fleet_of(295, 6, 6, 1), fleet_of(480, 13, 12, 1)};
#endif
}

std::vector<limited_fleet_options> engine_fleets()
{
    return {fleet_with_engines(8, 4, 18, 64, 1), fleet_with_engines(62, 4, 90, 16, 1)};
}

std::vector<limited_fleet_options> all_fleets_but_large()
{
    std::vector<limited_fleet_options> result = plain_fleets();
    for (const limited_fleet_options& each : engine_fleets())
        result.push_back(each);
    return result;
}

struct simulated_run {
    limited_fleet_options options;
    std::size_t crashes = 0;
    std::size_t crashes_by_settled_vms = 0;
    double unserved = 0;
};

simulated_run run_once(const limited_fleet_options& options, const pattern& events)
{
    constexpr std::size_t large = 200;
    constexpr std::size_t small = 30;
    limited_fleet fleet(options);
    // Until all VMs know each other; the loads of engines need requests.
    fleet.rate_multiple = options.engines ? 1 : 0.05;
    fleet.run(seconds(options.vms > large ? 15 : options.vms > small ? 12 : 9));
    fleet.rate_multiple = 1;
    fleet.stated = true;
    fleet.run(seconds(3));
    fleet.brittle = true;
    fleet.reset_counts();
    events(fleet, options.vms);
    return {options, fleet.crashes, fleet.crashes_by_settled_vms, fleet.unserved_share()};
}

std::string describe(const simulated_run& run)
{
    return std::to_string(run.options.vms) + " VMs, " + std::to_string(run.options.servers) +
           (run.options.engines ? " engines" : " servers") + ", seed " +
           std::to_string(run.options.seed) + ": " + std::to_string(run.crashes) + " crashes, " +
           std::to_string(run.crashes_by_settled_vms) + " by settled VMs; unserved " +
           std::to_string(run.unserved);
}

std::vector<simulated_run> run_all(const std::vector<limited_fleet_options>& fleets,
                                   const pattern& events)
{
    std::vector<std::future<simulated_run>> started(fleets.size());
    std::ranges::transform(fleets, started.begin(), [&](const limited_fleet_options& options) {
        return std::async(std::launch::async, [&] { return run_once(options, events); });
    });
    std::vector<simulated_run> results(started.size());
    std::ranges::transform(started, results.begin(),
                           [](std::future<simulated_run>& run) { return run.get(); });
    return results;
}

/** Servers may crash twice, and once more for every ten of them. */
void assert_servers_survive(const std::vector<limited_fleet_options>& fleets, const pattern& events)
{
    for (const simulated_run& run : run_all(fleets, events))
        CPPUNIT_ASSERT_MESSAGE(describe(run), run.crashes <= 2 + run.options.servers / 10);
}

void add_vms(limited_fleet& fleet, std::size_t vms)
{
    fleet.run(seconds(1));
    fleet.start(vms);
    fleet.run(seconds(3));
    fleet.start(vms + 1);
    fleet.start(vms + 2);
    fleet.run(seconds(5));
}

/** Calls \p disturb for every VM whose index is \p remainder when divided by \p divisor. */
void for_each_of(std::size_t vms, std::size_t divisor, std::size_t remainder,
                 const std::function<void(std::size_t)>& disturb)
{
    for (std::size_t vm = remainder; vm < vms; vm += divisor)
        disturb(vm);
}

class rejection_limits_hold_while_vms_change : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rejection_limits_hold_while_vms_change);
    CPPUNIT_TEST(vms_are_added);
    CPPUNIT_TEST(vms_are_added_under_load);
    CPPUNIT_TEST(fleet_doubles);
    CPPUNIT_TEST(vms_restart_in_turn);
    CPPUNIT_TEST(vms_restart_together);
    CPPUNIT_TEST(most_vms_restart_again_and_again);
    CPPUNIT_TEST(vms_are_cut_off);
    CPPUNIT_TEST(vms_are_suspended);
    CPPUNIT_TEST(digests_are_lost);
    CPPUNIT_TEST(callers_leave);
    CPPUNIT_TEST(engines_at_peak_load);
    CPPUNIT_TEST(large_fleets_change);
    CPPUNIT_TEST(usual_load_is_served);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against old VMs that use more slots than their share when they discover a new one. */
    static void vms_are_added() { assert_servers_survive(all_fleets_but_large(), add_vms); }

    /** The same while no server has a slot to spare. */
    static void vms_are_added_under_load()
    {
        assert_servers_survive(plain_fleets(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 6;
            add_vms(fleet, vms);
        });
    }

    /** Guards against new VMs that take their share before the others have given it up. */
    static void fleet_doubles()
    {
        assert_servers_survive(all_fleets_but_large(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = fleet.work_multiple * 4;
            for (std::size_t vm = 0; vm < vms; ++vm)
                fleet.start(vms + vm);
            fleet.run(seconds(8));
        });
    }

    /** Guards against processes that use their share while requests of their predecessors run. */
    static void vms_restart_in_turn()
    {
        for (const duration pause : {milliseconds(100), milliseconds(500)}) {
            assert_servers_survive(
                all_fleets_but_large(), [pause](limited_fleet& fleet, std::size_t vms) {
                    fleet.work_multiple = 4;
                    for (std::size_t vm = 0; vm < std::min<std::size_t>(vms, 16); ++vm) {
                        fleet.restart(vm, milliseconds(500));
                        fleet.run(pause);
                    }
                    fleet.run(seconds(3));
                });
        }
    }

    /** Guards against processes that do not know the limit when they begin. */
    static void vms_restart_together()
    {
        assert_servers_survive(all_fleets_but_large(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 4;
            fleet.run(seconds(1));
            for_each_of(vms, 3, 1, [&](std::size_t vm) { fleet.restart(vm, milliseconds(500)); });
            fleet.run(seconds(8));
        });
    }

    /** The same when few VMs are left to tell the limit. */
    static void most_vms_restart_again_and_again()
    {
        assert_servers_survive(plain_fleets(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 6;
            for (int round = 0; round < 3; ++round) {
                fleet.run(seconds(1));
                for (std::size_t vm = 0; vm < vms; ++vm) {
                    if (vm % 10 != 0) fleet.restart(vm, milliseconds(500));
                }
                fleet.run(seconds(1));
            }
            fleet.run(seconds(6));
        });
    }

    /** Guards against VMs that take the share of those they do not hear. */
    static void vms_are_cut_off()
    {
        assert_servers_survive(all_fleets_but_large(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 4;
            for_each_of(vms, 4, 1, [&](std::size_t vm) { fleet.set_cut(vm, true); });
            fleet.run(seconds(6));
            fleet.start(vms);
            fleet.run(seconds(2));
            for_each_of(vms, 4, 1, [&](std::size_t vm) { fleet.set_cut(vm, false); });
            fleet.run(seconds(4));
        });
    }

    /** Guards against VMs that go on with a division that changed while they were suspended. */
    static void vms_are_suspended()
    {
        assert_servers_survive(all_fleets_but_large(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 4;
            for_each_of(vms, 4, 1, [&](std::size_t vm) {
                fleet.suspend(vm, milliseconds(3000) + milliseconds(20) * vm);
            });
            fleet.start(vms);
            fleet.run(seconds(10));
        });
    }

    /** Guards against a division that needs every digest. */
    static void digests_are_lost()
    {
        assert_servers_survive(plain_fleets(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.gossip.loss = 0.2;
            fleet.work_multiple = 4;
            for_each_of(vms, 6, 1, [&](std::size_t vm) { fleet.restart(vm, milliseconds(500)); });
            add_vms(fleet, vms);
        });
    }

    /** Guards against counting a slot as free while the server still works on a request that was
     * given up. */
    static void callers_leave()
    {
        assert_servers_survive(plain_fleets(), [](limited_fleet& fleet, std::size_t) {
            fleet.work_multiple = 6;
            fleet.leaving_share = 0.33;
            fleet.run(seconds(8));
        });
    }

    /** Guards against several VMs that send to the last free slot of an engine at once. */
    static void engines_at_peak_load()
    {
        for (const double multiple : {2.0, 4.0}) {
            assert_servers_survive(engine_fleets(), [multiple](limited_fleet& fleet, std::size_t) {
                fleet.rate_multiple = multiple;
                fleet.run(seconds(5));
            });
        }
    }

    /** The first and the last of these in fleets in which digests take seconds. */
    static void large_fleets_change()
    {
        assert_servers_survive(large_fleets(), [](limited_fleet& fleet, std::size_t vms) {
            fleet.work_multiple = 6;
            for_each_of(vms, 10, 1, [&](std::size_t vm) { fleet.restart(vm, milliseconds(500)); });
            for_each_of(vms, 10, 2, [&](std::size_t vm) { fleet.set_cut(vm, true); });
            add_vms(fleet, vms);
        });
    }

    /** Guards against refusing callers while the servers have room. */
    static void usual_load_is_served()
    {
        for (const simulated_run& run : run_all(all_fleets_but_large(), add_vms)) {
            CPPUNIT_ASSERT_MESSAGE(describe(run), run.unserved <= 0.05);
            CPPUNIT_ASSERT_MESSAGE(describe(run), run.crashes == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rejection_limits_hold_while_vms_change);

} // namespace
