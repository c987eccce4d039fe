/** \file
 * Guards against VMs that learn too late of an evacuation or of its end. Most VMs do not query the
 * store, which may be slow, unavailable or compacted, or refuse some VMs. Entries for data centres
 * that do not exist must not use up space in digests.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/store_fleet.h"

namespace {

using namespace worksshift;
using support::store_fleet;

/** Less than half of the specified time from the store's response to the last request sent. */
constexpr duration max_propagation_time = seconds(2);

class evacuations_reach_every_vm : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuations_reach_every_vm);
    CPPUNIT_TEST(without_faults);
    CPPUNIT_TEST(all_data_centres_at_once);
    CPPUNIT_TEST(while_the_store_refuses_some_vms);
    CPPUNIT_TEST(after_the_store_history_is_compacted);
    CPPUNIT_TEST(after_a_store_outage);
    CPPUNIT_TEST(at_a_vm_that_starts_in_an_outage);
    CPPUNIT_TEST(at_a_vm_that_knows_no_servers_yet);
    CPPUNIT_TEST(after_a_series_of_faults);
    CPPUNIT_TEST(of_unknown_data_centres);
    CPPUNIT_TEST_SUITE_END();

    using names = std::set<std::string>;

    static std::unique_ptr<store_fleet> start(std::size_t vms)
    {
        auto fleet = std::make_unique<store_fleet>(vms, 4, 1);
        fleet->set_config(1);
        fleet->store.put(object_kind::servers, "s1", "x", fleet->fleet.now);
        fleet->run(seconds(8));
        CPPUNIT_ASSERT(fleet->all_evacuate({}));
        return fleet;
    }

    /** Checks that all VMs know this state within `max_propagation_time`. */
    static void check_known_in_time(store_fleet& fleet, const names& data_centres)
    {
        const duration span = fleet.fleet.run_until(
            [&] { return fleet.all_evacuate(data_centres); }, max_propagation_time);
        CPPUNIT_ASSERT(span < max_propagation_time);
    }

public:
    /** Without faults, at several fleet sizes. */
    static void without_faults()
    {
        for (const std::size_t vms : {1, 7, 65, 295}) {
            const auto started = start(vms);
            store_fleet& fleet = *started;
            fleet.evacuate("a");
            check_known_in_time(fleet, {"a"});
            fleet.run(seconds(3));
            fleet.evacuate("b");
            check_known_in_time(fleet, {"a", "b"});
            fleet.run(seconds(3));
            fleet.revoke_evacuation("a");
            check_known_in_time(fleet, {"b"});
        }
    }

    static void all_data_centres_at_once()
    {
        const auto started = start(65);
        store_fleet& fleet = *started;
        for (const std::string data_centre : {"a", "b", "c", "d"})
            fleet.evacuate(data_centre);
        check_known_in_time(fleet, {"a", "b", "c", "d"});
        fleet.run(seconds(2));
        for (const std::string data_centre : {"a", "b", "c", "d"})
            fleet.revoke_evacuation(data_centre);
        check_known_in_time(fleet, {});
    }

    static void while_the_store_refuses_some_vms()
    {
        const auto started = start(65);
        store_fleet& fleet = *started;
        for (std::size_t vm = 0; vm < 65; vm += 3)
            fleet.store.refused.insert(vm);
        fleet.run(seconds(3));
        fleet.evacuate("a");
        check_known_in_time(fleet, {"a"});
    }

    /** The store has compacted the revisions that the watches would continue from. */
    static void after_the_store_history_is_compacted()
    {
        const auto started = start(65);
        store_fleet& fleet = *started;
        fleet.lose_waiting();
        fleet.evacuate("a");
        fleet.store.forget_history();
        fleet.run(seconds(7));
        CPPUNIT_ASSERT(fleet.all_evacuate({"a"}));
        fleet.lose_waiting();
        fleet.revoke_evacuation("a");
        fleet.store.forget_history();
        fleet.run(seconds(7));
        CPPUNIT_ASSERT(fleet.all_evacuate({}));
    }

    /** During an outage of the store the known state stays in force; changes made in it arrive
     * after it. */
    static void after_a_store_outage()
    {
        const auto started = start(65);
        store_fleet& fleet = *started;
        fleet.evacuate("a");
        fleet.run(seconds(3));
        fleet.store.silent = true;
        fleet.run(seconds(9));
        CPPUNIT_ASSERT(fleet.all_evacuate({"a"}));
        fleet.revoke_evacuation("a");
        fleet.evacuate("b");
        fleet.store.silent = false;
        fleet.run(seconds(3));
        CPPUNIT_ASSERT(fleet.all_evacuate({"b"}));
    }

    /** A VM that starts during an outage of the store learns the state from the others. */
    static void at_a_vm_that_starts_in_an_outage()
    {
        const auto started = start(65);
        store_fleet& fleet = *started;
        fleet.evacuate("a");
        fleet.run(seconds(3));
        fleet.store.silent = true;
        fleet.restart(20);
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(fleet.all_evacuate({"a"}));
    }

    /** A VM that has just started reads the list of evacuations before it knows any server. Its
     * digest must not revoke evacuations that the others know. */
    static void at_a_vm_that_knows_no_servers_yet()
    {
        const protocol adapter = platform_protocol();
        evacuation_state starting(adapter);
        stored_object item;
        item.name = "a";
        const std::vector<stored_object> all{item};
        starting.apply_list(all, 9);
        fleet_digest digest;
        starting.describe(digest, {});
        evacuation_state other(adapter);
        other.apply_list(all, 5);
        other.handle_digest(digest);
        CPPUNIT_ASSERT(other.includes({"a"}));
        // If the entries do not fit into a digest, it sends no state until it knows the servers.
        std::vector<stored_object> many = all;
        for (std::size_t i = 0; i <= max_evacuated_data_centres; ++i) {
            item.name = "nowhere-" + std::to_string(i);
            many.push_back(item);
        }
        starting.apply_list(many, 12);
        starting.describe(digest, {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, digest.evacuations_revision);
        other.handle_digest(digest);
        CPPUNIT_ASSERT(other.includes({"a"}));
    }

    /** After any series of faults, all VMs know the current state soon after the last one. */
    static void after_a_series_of_faults()
    {
        const auto run_random_faults = [] {
            store_fleet fleet(*rc::gen::inRange<std::size_t>(1, 40), 4, 1);
            fleet.set_config(1);
            fleet.run(seconds(5));
            names data_centres;
            for (auto left = *rc::gen::inRange(1, 6); left > 0; --left) {
                const std::string data_centre(1, *rc::gen::inRange('a', 'e'));
                if (data_centres.insert(data_centre).second) {
                    fleet.evacuate(data_centre);
                } else {
                    data_centres.erase(data_centre);
                    fleet.revoke_evacuation(data_centre);
                }
                const bool silent = *rc::gen::inRange(0, 3) == 0;
                fleet.store.silent = silent;
                fleet.store.lag = milliseconds(*rc::gen::inRange(0, 6000));
                if (*rc::gen::inRange(0, 3) == 0) fleet.lose_waiting();
                if (*rc::gen::inRange(0, 3) == 0) fleet.store.forget_history();
                if (*rc::gen::inRange(0, 3) == 0) fleet.restart(0);
                fleet.run(milliseconds(*rc::gen::inRange(0, 5000)));
                fleet.store.silent = false;
            }
            fleet.store.lag = {};
            fleet.run(seconds(8));
            RC_ASSERT(fleet.all_evacuate(data_centres));
        };
        CPPUNIT_ASSERT(rc::check("evacuations after faults", run_random_faults));
    }

    /** Digests carry only data centres that have servers, and a bounded number of them. */
    static void of_unknown_data_centres()
    {
        const protocol adapter = platform_protocol();
        evacuation_state state(adapter);
        std::vector<stored_object> all;
        for (int i = 0; i < 5000; ++i) {
            stored_object item;
            item.name = "nowhere-" + std::to_string(i);
            item.document = i % 2 == 0 ? "" : R"({"x":[null]})";
            all.push_back(item);
        }
        stored_object real;
        real.name = "a";
        real.document = "7";
        all.push_back(real);
        state.apply_list(all, 9);
        CPPUNIT_ASSERT(state.includes({"a"}));
        fleet_digest digest;
        const auto data_centre = static_cast<std::uint32_t>(hash_of("a"));
        state.describe(digest, {data_centre});
        CPPUNIT_ASSERT(digest.evacuated == std::vector<std::uint32_t>{data_centre});
        const fleet_digest decoded = decode_digest(encode(digest), "vm");
        evacuation_state other(adapter);
        other.handle_digest(decoded);
        CPPUNIT_ASSERT(other.includes({"a"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other.revision());
        // An older revision is ignored.
        other.apply_changes({}, 8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other.revision());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuations_reach_every_vm);

} // namespace
