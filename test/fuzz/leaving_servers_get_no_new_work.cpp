/** \file
 * A server whose entry is removed gets no new work from any VM within the specified time, in fleets
 * of all sizes, also while VMs restart or one VM cannot reach the store. Servers whose entries
 * expire while the store is unavailable stay in use by all VMs until the entries are written again.
 */
#include <algorithm>
#include <array>
#include <memory>

#include <cppunit/extensions/HelperMacros.h>

#include "support/store_fleet.h"

namespace {

using namespace worksshift;
using support::store_fleet;

/** The shortest of the users' bounds: from the store's response until a leaving server gets no new
 * work. */
constexpr duration max_removal_delay = seconds(2);
/** Part of that bound: time in which a request that was sent before the server was dropped arrives
 * there. */
constexpr duration max_transit_time = milliseconds(150);
/** Time until all VMs know of a change: half of the bound, so that a VM which has just started may
 * be as late again. */
constexpr duration max_propagation_time = seconds(1);
/** The bound holds for a VM that has run for this long, and from this long after the store's
 * return; the shortest such time. */
constexpr duration settle_time = seconds(3);
/** Time after the store's return within which expired entries are written again. */
constexpr duration max_rewrite_delay = milliseconds(1900);

struct fleet_size {
    std::size_t vms = 0;
    std::size_t data_centres = 0;
};
constexpr std::array fleet_sizes{fleet_size{7, 4}, fleet_size{65, 4}};
constexpr fleet_size largest_fleet{480, 13};

/** Number of servers of the small service, where few missing servers are already most of the
 * service. */
constexpr std::size_t servers_of_small_service = 4;

std::string name_of(std::size_t server)
{
    return "desk" + std::to_string(server);
}

std::unique_ptr<store_fleet> make_fleet(const fleet_size& size)
{
    auto fleet = std::make_unique<store_fleet>(size.vms, size.data_centres, 5);
    for (std::size_t server = 0; server < 20; ++server)
        fleet->add_server("model" + std::to_string(server), "model");
    for (std::size_t server = 0; server < servers_of_small_service; ++server)
        fleet->add_server(name_of(server), "desk");
    fleet->set_config(1);
    fleet->run(seconds(10));
    return fleet;
}

/** Restarts an eighth of the VMs each second, all VMs in turn. */
class rolling_restart {
public:
    explicit rolling_restart(store_fleet& fleet) : fleet(fleet) {}

    void run(duration span)
    {
        for (duration left = span; left > duration::zero(); left -= seconds(1)) {
            const std::size_t count = this->fleet.vms.size();
            for (std::size_t i = 0; i < count / 8 + 1; ++i)
                this->fleet.restart(this->next++ % count);
            this->fleet.run(std::min<duration>(left, seconds(1)));
        }
    }

private:
    store_fleet& fleet;
    std::size_t next = 0;
};

class leaving_servers_get_no_new_work : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_servers_get_no_new_work);
    CPPUNIT_TEST(without_faults);
    CPPUNIT_TEST(when_most_of_a_service_leaves_right_after_another_change);
    CPPUNIT_TEST(while_vms_restart);
    CPPUNIT_TEST(when_most_of_a_service_leaves_while_vms_restart);
    CPPUNIT_TEST(when_one_vm_reconnects_to_the_store);
    CPPUNIT_TEST(when_one_vm_was_isolated);
    CPPUNIT_TEST(expired_entries_are_retained_by_all_vms);
    CPPUNIT_TEST(expired_entries_that_are_not_rewritten_are_removed);
    CPPUNIT_TEST(removals_received_late_from_another_vm);
    CPPUNIT_TEST(expired_entries_are_retained_beside_a_vm_that_starts);
    CPPUNIT_TEST(in_the_largest_fleet);
    CPPUNIT_TEST_SUITE_END();

    static std::string describe(const fleet_size& size)
    {
        return std::to_string(size.vms) + " VMs";
    }

    static void remove_most_while_vms_restart(store_fleet& fleet)
    {
        rolling_restart restart(fleet);
        restart.run(settle_time);
        for (std::size_t server = 0; server + 1 < servers_of_small_service; ++server) {
            fleet.remove_server(name_of(server));
            restart.run(seconds(1));
        }
        restart.run(max_removal_delay);
        for (std::size_t server = 0; server + 1 < servers_of_small_service; ++server) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(fleet.vms.size()) + " VMs", std::size_t{0},
                                         fleet.vms_using(name_of(server), settle_time));
        }
    }

    static void expire_and_rewrite_entries(store_fleet& fleet)
    {
        const std::size_t vms = fleet.vms.size();
        const std::string message = std::to_string(vms) + " VMs";
        fleet.store.silent = true;
        fleet.run(seconds(6));
        for (std::size_t server = 0; server < servers_of_small_service; ++server)
            fleet.remove_server(name_of(server));
        fleet.store.silent = false;
        for (duration left = max_rewrite_delay; left > duration::zero();
             left -= milliseconds(100)) {
            fleet.run(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, vms, fleet.vms_using(name_of(0)));
        }
        for (std::size_t server = 0; server < servers_of_small_service; ++server)
            fleet.add_server(name_of(server), "desk");
        fleet.run(max_removal_delay);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, vms, fleet.vms_using(name_of(0)));
    }

public:
    /** Guards against new work for a removed server in a fleet without faults. */
    static void without_faults()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            fleet->remove_server("model3");
            fleet->remove_server(name_of(0));
            fleet->run(max_removal_delay);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using("model3"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using(name_of(0)));
        }
    }

    /** Guards against the pause between two calls to the store and the retention for unnoticed
     * outages adding up to more than the bound. */
    static void when_most_of_a_service_leaves_right_after_another_change()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            fleet->remove_server("model3");
            fleet->run(milliseconds(50));
            for (std::size_t server = 0; server + 1 < servers_of_small_service; ++server)
                fleet->remove_server(name_of(server));
            fleet->run(max_removal_delay - max_transit_time);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using(name_of(0)));
        }
    }

    /** Guards against a VM's start being taken for the recovery of a store that was never
     * unavailable. */
    static void while_vms_restart()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            rolling_restart restart(*fleet);
            restart.run(seconds(4));
            for (std::size_t round = 0; round < 5; ++round) {
                const std::string server = "model" + std::to_string(round);
                fleet->remove_server(server);
                restart.run(max_propagation_time);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                             fleet->vms_using(server, settle_time));
            }
        }
    }

    /** Guards against servers that leave one after the other being taken for entries that expired
     * together while VMs keep restarting. */
    static void when_most_of_a_service_leaves_while_vms_restart()
    {
        for (const fleet_size& size : fleet_sizes)
            remove_most_while_vms_restart(*make_fleet(size));
    }

    /** Guards against a fault of one VM's path to the store being taken for an outage of the store.
     */
    static void when_one_vm_reconnects_to_the_store()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            for (const auto& [vm, item] : fleet->fleet.vms) {
                if (item.watch_role.watching() && fleet->store.refused.empty()) {
                    fleet->store.refused.insert(vm);
                }
            }
            fleet->run(seconds(5));
            fleet->store.refused.clear();
            fleet->run(milliseconds(1500));
            fleet->remove_server("model3");
            fleet->run(max_propagation_time);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using("model3"));
        }
    }

    /** Guards against the same for a VM that could not learn that the store answers others. */
    static void when_one_vm_was_isolated()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            const auto& vms = fleet->fleet.vms;
            const std::size_t cut_off =
                std::ranges::find_if(vms, [](const auto& entry) {
                    return entry.second.watch_role.mode() == read_mode::linearizable;
                })->first;
            for (std::size_t vm = 0; vm < size.vms; ++vm)
                fleet->fleet.cut.insert(std::minmax(vm, cut_off));
            fleet->store.refused.insert(cut_off);
            fleet->run(seconds(4));
            fleet->store.refused.clear();
            fleet->run(milliseconds(900));
            fleet->fleet.cut.clear();
            for (std::size_t server = 0; server + 1 < servers_of_small_service; ++server)
                fleet->remove_server(name_of(server));
            fleet->run(max_removal_delay);
            const std::size_t vms_still_using = fleet->vms_using(name_of(0));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0}, vms_still_using);
        }
    }

    /** Guards against dropping a whole service whose servers could not write to the store. */
    static void expired_entries_are_retained_by_all_vms()
    {
        for (const fleet_size& size : fleet_sizes)
            expire_and_rewrite_entries(*make_fleet(size));
    }

    /** Guards against servers that left one after the other being taken for entries that expired
     * together, by a VM that learns of all of them late and at once. */
    static void removals_received_late_from_another_vm()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            const std::size_t late_vm = size.vms - 1;
            fleet->store.refused.insert(late_vm);
            for (std::size_t vm = 0; vm < late_vm; ++vm)
                fleet->fleet.cut.insert({vm, late_vm});
            for (std::size_t server = 0; server + 1 < servers_of_small_service; ++server) {
                fleet->remove_server(name_of(server));
                fleet->run(seconds(2));
            }
            fleet->fleet.cut.clear();
            fleet->run(max_propagation_time);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using(name_of(0)));
        }
    }

    /** Guards against servers being dropped because a VM that started during the outage, and so
     * never knew them, does not report them. */
    static void expired_entries_are_retained_beside_a_vm_that_starts()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            const std::size_t starting = size.vms - 1;
            fleet->store.silent = true;
            fleet->run(seconds(6));
            for (std::size_t server = 0; server < servers_of_small_service; ++server)
                fleet->remove_server(name_of(server));
            fleet->fleet.kill(starting);
            fleet->store.silent = false;
            fleet->restart(starting);
            fleet->run(max_rewrite_delay);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), size.vms - 1,
                                         fleet->vms_using(name_of(0)));
        }
    }

    /** Guards against losing an expired service, or using leaving servers too long, where few VMs
     * watch the store and the others learn from them. */
    static void in_the_largest_fleet()
    {
        const auto fleet = make_fleet(largest_fleet);
        expire_and_rewrite_entries(*fleet);
        remove_most_while_vms_restart(*fleet);
    }

    /** Guards against keeping servers whose entries are not written again after an outage. */
    static void expired_entries_that_are_not_rewritten_are_removed()
    {
        for (const fleet_size& size : fleet_sizes) {
            const auto fleet = make_fleet(size);
            fleet->store.silent = true;
            fleet->run(seconds(6));
            for (std::size_t server = 0; server < servers_of_small_service; ++server)
                fleet->remove_server(name_of(server));
            fleet->store.silent = false;
            fleet->run(settle_time + max_removal_delay);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(size), std::size_t{0},
                                         fleet->vms_using(name_of(0)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_servers_get_no_new_work);

} // namespace
