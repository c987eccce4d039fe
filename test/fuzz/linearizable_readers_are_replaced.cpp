/** \file
 * Changes of the configuration, the registry and the evacuations reach every VM within the users'
 * bounds when the VMs that read the store linearizably for all others are lost right before the
 * change, or the store no longer answers them, while all other reads are seconds old.
 */
#include <algorithm>
#include <array>
#include <memory>

#include <cppunit/extensions/HelperMacros.h>

#include "support/store_fleet.h"

namespace {

using namespace worksshift;
using support::store_fleet;

struct fleet_shape {
    std::size_t vms = 0;
    std::size_t data_centres = 0;
    duration bound{}; ///< from a change until it is in force, as the users state it for this size
};

/** A fleet of up to 12 VMs counts as one data centre. */
constexpr std::array small_fleets{
    fleet_shape{8, 4, seconds(2)},  fleet_shape{8, 3, seconds(2)},  fleet_shape{12, 3, seconds(2)},
    fleet_shape{13, 4, seconds(3)}, fleet_shape{16, 4, seconds(3)}, fleet_shape{25, 3, seconds(3)},
};
constexpr std::array large_fleets{
    fleet_shape{84, 4, seconds(3)},
    fleet_shape{295, 6, seconds(4)},
    fleet_shape{480, 13, seconds(5)},
};
/** From an evacuation until no VM sends requests there. */
constexpr duration max_evacuation_delay = seconds(5);
/** From the loss to the change. */
constexpr std::array delays{milliseconds(100), milliseconds(1000), milliseconds(2000),
                            milliseconds(3000), milliseconds(4000)};

/** VMs whose linearizable watches the store answers. */
std::set<std::size_t> linearizable_readers(const store_fleet& fleet)
{
    std::set<std::size_t> readers;
    for (const auto& [vm, item] : fleet.fleet.vms) {
        if (item.reads_store) readers.insert(vm);
    }
    return readers;
}

std::unique_ptr<store_fleet> start_fleet(const fleet_shape& shape)
{
    auto fleet = std::make_unique<store_fleet>(shape.vms, shape.data_centres, 5);
    fleet->store.lag = seconds(4);
    for (std::size_t server = 0; server < 8; ++server)
        fleet->add_server("s" + std::to_string(server), "desk");
    fleet->set_config(1);
    fleet->run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(delegates_per_fleet, linearizable_readers(*fleet).size());
    return fleet;
}

void kill_all(store_fleet& fleet, const std::set<std::size_t>& vms)
{
    for (const std::size_t vm : vms)
        fleet.fleet.kill(vm);
}

void kill_data_centres_of(store_fleet& fleet, const std::set<std::size_t>& vms)
{
    std::set<std::size_t> centres;
    for (const std::size_t vm : vms)
        centres.insert(fleet.fleet.data_centre_of(vm));
    std::set<std::size_t> lost;
    for (const auto& [vm, item] : fleet.fleet.vms) {
        if (centres.contains(fleet.fleet.data_centre_of(vm))) lost.insert(vm);
    }
    kill_all(fleet, lost);
}

/** Makes a change of each kind, and checks that all live VMs except \p without know them in time.
 */
void check_changes(store_fleet& fleet, const fleet_shape& shape, const std::string& message,
                   const std::set<std::size_t>& without = {})
{
    constexpr const char* place = "dc-1";
    const auto objects = [&](object_kind kind) {
        return fleet.store.objects(kind, fleet.store.newest());
    };
    const std::string server = objects(object_kind::servers).begin()->first;
    const std::string version = objects(object_kind::configuration).begin()->second.document;
    fleet.set_config(std::stoull(version) + 1);
    fleet.remove_server(server);
    fleet.evacuate(place);
    const duration known = fleet.fleet.run_until(
        [&] { return fleet.all_know(without) && fleet.vms_using(server) <= without.size(); },
        seconds(12));
    const duration evacuated =
        fleet.fleet.run_until([&] { return fleet.all_evacuate({place}, without); }, seconds(12));
    const std::string result = std::to_string(shape.vms) + " VMs in " +
                               std::to_string(shape.data_centres) + " data centres, " + message +
                               ": changes known after " + std::to_string(known / milliseconds(1)) +
                               " ms, the evacuation " +
                               std::to_string((known + evacuated) / milliseconds(1)) + " ms";
    CPPUNIT_ASSERT_MESSAGE(result, known < shape.bound);
    CPPUNIT_ASSERT_MESSAGE(result, known + evacuated < max_evacuation_delay);
    CPPUNIT_ASSERT(!fleet.any_regressed());
}

/** Brings about a loss, given the linearizable readers. */
using loss = void (*)(store_fleet&, const std::set<std::size_t>&);

/** \p delay: from the loss to the change. An earlier change becomes visible to stale reads between
 * the two. */
void check_change_after(const fleet_shape& shape, loss lose, duration delay)
{
    const auto fleet = start_fleet(shape);
    fleet->add_server("new", "desk");
    fleet->run(seconds(3));
    lose(*fleet, linearizable_readers(*fleet));
    fleet->run(delay);
    check_changes(*fleet, shape,
                  "change " + std::to_string(delay / milliseconds(1)) + " ms after the loss");
}

void check_small_fleets(loss lose)
{
    for (const fleet_shape& shape : small_fleets)
        check_change_after(shape, lose, delays.front());
    for (const duration delay : delays)
        check_change_after(small_fleets.front(), lose, delay);
}

class linearizable_readers_are_replaced : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(linearizable_readers_are_replaced);
    CPPUNIT_TEST(readers_killed);
    CPPUNIT_TEST(data_centres_of_readers_killed);
    CPPUNIT_TEST(readers_refused);
    CPPUNIT_TEST(readers_cut_off);
    CPPUNIT_TEST(readers_suspended);
    CPPUNIT_TEST(readers_stopped);
    CPPUNIT_TEST(readers_killed_in_series);
    CPPUNIT_TEST(all_but_few_vms_killed);
    CPPUNIT_TEST(other_vms_just_started);
    CPPUNIT_TEST(delegates_resume);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against late changes after the loss of both readers. */
    static void readers_killed() { check_small_fleets(kill_all); }

    /** Guards against late changes as VMs of other data centres, whose loss is noticed only after
     * seconds, are taken for readers. */
    static void data_centres_of_readers_killed()
    {
        check_small_fleets(kill_data_centres_of);
        for (const fleet_shape& shape : large_fleets)
            check_change_after(shape, kill_data_centres_of, delays.front());
    }

    /** Guards against late changes as VMs that are alive, but that the store refuses, are taken
     * for readers. */
    static void readers_refused()
    {
        check_small_fleets([](store_fleet& fleet, const std::set<std::size_t>& readers) {
            fleet.store.refused = readers;
        });
    }

    /** Guards against late changes as VMs whose packets to the store are lost, which only a timeout
     * shows, are taken for readers. In each phase of their watches. */
    static void readers_cut_off()
    {
        check_small_fleets([](store_fleet& fleet, const std::set<std::size_t>& readers) {
            fleet.cut_off_from_store(readers);
        });
        for (duration phase = milliseconds(0); phase < seconds(4); phase += milliseconds(500)) {
            const auto fleet = start_fleet(small_fleets.front());
            fleet->run(phase);
            fleet->cut_off_from_store(linearizable_readers(*fleet));
            fleet->run(delays.front());
            check_changes(*fleet, small_fleets.front(),
                          "cut off " + std::to_string(phase / milliseconds(1)) + " ms later");
        }
    }

    /** Guards against late changes while both readers are suspended, and against a version that is
     * reverted when they resume. */
    static void readers_suspended()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            const std::set<std::size_t> readers = linearizable_readers(*fleet);
            fleet->fleet.suspended = readers;
            fleet->run(delays.front());
            check_changes(*fleet, shape, "readers suspended", readers);
            fleet->run(seconds(4));
            fleet->fleet.suspended.clear();
            fleet->run(seconds(1));
            check_changes(*fleet, shape, "readers resumed");
        }
    }

    /** Guards against late changes as VMs that stop are taken for readers until they end. */
    static void readers_stopped()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            const std::set<std::size_t> readers = linearizable_readers(*fleet);
            for (const std::size_t vm : readers) {
                fleet->fleet.vms.at(vm).leaving = true;
                fleet->fleet.vms.at(vm).rounds.send_early();
            }
            fleet->run(seconds(2));
            kill_all(*fleet, readers);
            fleet->run(delays.front());
            check_changes(*fleet, shape, "readers stopped");
        }
    }

    /** Guards against late changes when the VMs that have replaced the readers are lost, too. */
    static void readers_killed_in_series()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            for (int loss = 0; loss < 3 && fleet->fleet.vms.size() > 3; ++loss) {
                kill_all(*fleet, linearizable_readers(*fleet));
                fleet->run(delays.front());
                check_changes(*fleet, shape, "loss " + std::to_string(loss + 1) + " of a series");
            }
        }
    }

    /** Guards against late changes when all standby watchers are lost together with the readers. */
    static void all_but_few_vms_killed()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            std::set<std::size_t> lost;
            for (const auto& [vm, item] : fleet->fleet.vms) {
                if (item.watch_role.watching() || fleet->fleet.vms.size() - lost.size() > 3)
                    lost.insert(vm);
            }
            kill_all(*fleet, lost);
            fleet->run(delays.front());
            check_changes(*fleet, shape, std::to_string(fleet->fleet.vms.size()) + " VMs left");
        }
    }

    /** Guards against late changes when all other VMs have just started and know only stale lists.
     */
    static void other_vms_just_started()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            const std::set<std::size_t> readers = linearizable_readers(*fleet);
            for (std::size_t vm = 0; vm < shape.vms; ++vm) {
                if (!readers.contains(vm)) fleet->restart(vm);
            }
            // The shortest time after a start from which on the users' bounds hold.
            fleet->run(seconds(3));
            kill_all(*fleet, readers);
            fleet->run(delays.front());
            check_changes(*fleet, shape, "others just started");
        }
    }

    /** Guards against VMs that go on reading linearizably, at ten times the price, when the
     * delegates do so again. */
    static void delegates_resume()
    {
        for (const fleet_shape& shape : small_fleets) {
            const auto fleet = start_fleet(shape);
            const std::set<std::size_t> readers = linearizable_readers(*fleet);
            fleet->store.refused = readers;
            fleet->run(seconds(8));
            CPPUNIT_ASSERT(!linearizable_readers(*fleet).empty());
            fleet->store.refused.clear();
            fleet->run(seconds(8));
            CPPUNIT_ASSERT(linearizable_readers(*fleet) == readers);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(linearizable_readers_are_replaced);

} // namespace
