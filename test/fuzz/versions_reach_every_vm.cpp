/** \file
 * Every VM gets every version of the configuration and every change of the registry within the
 * specified time, and never returns to an older one, although most VMs do not call the store, those
 * that do get responses that are seconds old, and the store fails in every supported way. The
 * number of calls grows with the number of changes and not with the number of VMs.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/store_fleet.h"

namespace {

using namespace worksshift;
using support::store_fleet;

/** The shortest of the users' bounds: from the store's response to a change until the change is in
 * force, or until a leaving server gets no new work. */
constexpr duration max_propagation_time = seconds(2);
/** Minimum time after the end of a fault of the store or of a VM from which on the bounds
 * hold again. */
constexpr duration settle_time = seconds(3);

std::string name_of_server(std::size_t server)
{
    return "s" + std::to_string(server);
}

void add_servers(store_fleet& fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        fleet.store.put(object_kind::servers, name_of_server(i), "x", fleet.fleet.now);
}

/** Makes a few random changes of the configuration and the registry. */
void draw_changes(store_fleet& fleet, std::uint64_t& version)
{
    for (auto left = *rc::gen::inRange(1, 4); left > 0; --left) {
        const std::string name = name_of_server(*rc::gen::inRange<std::size_t>(0, 12));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            fleet.set_config(++version);
            break;
        case 1:
            fleet.store.put(object_kind::servers, name, "x", fleet.fleet.now);
            break;
        default:
            fleet.store.remove(object_kind::servers, name, fleet.fleet.now);
        }
    }
}

/** Makes the store or some VMs fail for a while, in a random way. */
void draw_fault(store_fleet& fleet, std::uint64_t& version)
{
    const auto span = milliseconds(*rc::gen::inRange(200, 9000));
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        fleet.store.silent = true;
        fleet.run(span);
        fleet.store.silent = false;
        break;
    case 1:
        for (const auto& [vm, item] : fleet.vms) {
            if (*rc::gen::inRange(0, 100) < 35) fleet.store.refused.insert(vm);
        }
        draw_changes(fleet, version);
        fleet.run(span);
        fleet.store.refused.clear();
        break;
    case 2:
        // Changes are made while watches are lost, then the history is dropped.
        fleet.lose_waiting();
        draw_changes(fleet, version);
        fleet.store.forget_history();
        fleet.run(span);
        break;
    case 3:
        fleet.lose_waiting();
        draw_changes(fleet, version);
        fleet.run(settle_time);
        break;
    case 4:
        for (auto left = *rc::gen::inRange<std::size_t>(1, fleet.vms.size() + 1); left > 0; --left)
            fleet.restart(*rc::gen::inRange<std::size_t>(0, fleet.vms.size()));
        draw_changes(fleet, version);
        fleet.run(span);
        break;
    default:
        fleet.store.lag = milliseconds(*rc::gen::element(0, 500, 3000, 6000));
        fleet.run(span);
    }
}

class versions_reach_every_vm : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(versions_reach_every_vm);
    CPPUNIT_TEST(through_all_faults);
    CPPUNIT_TEST(with_both_linearizable_watchers_refused);
    CPPUNIT_TEST(when_a_data_centre_of_linearizable_watchers_is_lost);
    CPPUNIT_TEST(when_pending_watches_are_lost_silently);
    CPPUNIT_TEST(calls_grow_with_changes);
    CPPUNIT_TEST(calls_during_a_store_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against versions that are late, lost or reverted after faults of the store or of VMs.
     */
    static void through_all_faults()
    {
        const bool held = rc::check("all VMs know each version in time", [] {
            const auto vms = *rc::gen::element<std::size_t>(1, 3, 8, 30, 60);
            const auto centres = *rc::gen::inRange<std::size_t>(1, 5);
            store_fleet fleet(vms, centres, *rc::gen::arbitrary<std::uint64_t>());
            fleet.store.lag = milliseconds(*rc::gen::element(0, 3000));
            std::uint64_t version = 1;
            add_servers(fleet, 8);
            fleet.set_config(version);
            fleet.run(seconds(10));
            for (int round = 0; round < 4; ++round) {
                draw_fault(fleet, version);
                fleet.run(settle_time);
                RC_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
                draw_changes(fleet, version);
                RC_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
                RC_ASSERT(!fleet.any_regressed());
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against changes being delayed when the store refuses both linearizable watchers: the
     * others notice by the age of the last confirmed response. */
    static void with_both_linearizable_watchers_refused()
    {
        store_fleet fleet(48, 6, 5);
        fleet.store.lag = seconds(3);
        add_servers(fleet, 8);
        fleet.set_config(1);
        fleet.run(seconds(10));
        for (const auto& [vm, item] : fleet.fleet.vms) {
            if (item.watch_role.mode() == read_mode::linearizable) fleet.store.refused.insert(vm);
        }
        CPPUNIT_ASSERT_EQUAL(delegates_per_fleet, fleet.store.refused.size());
        fleet.run(seconds(8));
        fleet.set_config(2);
        CPPUNIT_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
    }

    /** Guards against changes being delayed when one data centre is lost, whichever VMs read the
     * store linearizably. Another server registers before, so that all VMs know the age of the last
     * confirmed response. */
    static void when_a_data_centre_of_linearizable_watchers_is_lost()
    {
        for (const std::size_t centres : {2, 3, 4}) {
            for (const std::size_t vms : {8, 12, 16, 24, 48}) {
                store_fleet fleet(vms, centres, 5);
                fleet.store.lag = seconds(4);
                add_servers(fleet, 8);
                fleet.set_config(1);
                fleet.run(seconds(10));
                const auto reads_linearizably = [](const auto& entry) {
                    return entry.second.watch_role.mode() == read_mode::linearizable;
                };
                const auto watcher = std::ranges::find_if(fleet.fleet.vms, reads_linearizably);
                const std::size_t lost = fleet.fleet.data_centre_of(watcher->first);
                fleet.store.put(object_kind::servers, "new", "x", fleet.fleet.now);
                fleet.run(milliseconds(300));
                for (std::size_t vm = 0; vm < vms; ++vm) {
                    if (fleet.fleet.data_centre_of(vm) == lost) fleet.fleet.kill(vm);
                }
                fleet.run(milliseconds(100));
                fleet.set_config(2);
                const duration known = fleet.run_until_known(seconds(10));
                CPPUNIT_ASSERT_MESSAGE(
                    std::to_string(vms) + " VMs in " + std::to_string(centres) +
                        " data centres: " + std::to_string(known / milliseconds(1)) + " ms",
                    known < max_propagation_time);
            }
        }
    }

    /** Guards against watches whose loss is not signalled: each has a timeout of its own. */
    static void when_pending_watches_are_lost_silently()
    {
        store_fleet fleet(8, 1, 5);
        add_servers(fleet, 8);
        fleet.set_config(1);
        fleet.run(seconds(10));
        fleet.lose_waiting();
        fleet.run(settle_time);
        fleet.set_config(2);
        CPPUNIT_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
    }

    /** Counts the calls for a start and 40 changes, with a stale call as a tenth of a call. With
     * linearizable watches in each data centre that ended after three seconds, a day of 40 changes
     * took 2,529 calls with 295 VMs. */
    static void calls_grow_with_changes()
    {
        const auto calls_of_day = [](std::size_t vms) {
            store_fleet fleet(vms, 6, 5);
            add_servers(fleet, 20);
            fleet.set_config(1);
            fleet.run(seconds(10));
            const double start = fleet.call_cost();
            for (std::uint64_t change = 0; change < 40; ++change) {
                fleet.store.put(object_kind::servers, name_of_server(change % 20), "y",
                                fleet.fleet.now);
                fleet.run(milliseconds(500));
            }
            CPPUNIT_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
            return std::pair(start, fleet.call_cost() - start);
        };
        const auto [start, changes] = calls_of_day(120);
        const auto [larger_start, larger_changes] = calls_of_day(240);
        // Each VM makes one stale list of each kind.
        CPPUNIT_ASSERT(larger_start - start < 120 * 0.5);
        CPPUNIT_ASSERT(larger_changes < changes * 1.2);
        CPPUNIT_ASSERT(changes < 40 * 6);
    }

    /** Guards against every VM calling the store while it is unavailable. */
    static void calls_during_a_store_outage()
    {
        store_fleet fleet(240, 6, 5);
        add_servers(fleet, 20);
        fleet.set_config(1);
        fleet.run(seconds(10));
        const double before = fleet.call_cost();
        for (const auto& [vm, item] : fleet.vms)
            fleet.store.refused.insert(vm);
        fleet.run(seconds(8));
        const double outage_calls = fleet.call_cost() - before;
        fleet.store.refused.clear();
        fleet.set_config(2);
        CPPUNIT_ASSERT(fleet.run_until_known(max_propagation_time) < max_propagation_time);
        // Fewer calls than VMs.
        CPPUNIT_ASSERT(outage_calls < 240);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(versions_reach_every_vm);

} // namespace
