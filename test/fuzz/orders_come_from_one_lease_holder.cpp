/** \file
 * Orders to engines while the lease holder is paused, VMs restart, links are cut, orders arrive
 * late, and the platform is unavailable, loses responses or is restored from a backup. Guards
 * against two VMs that send orders under the same fencing number or hold the lease at the same
 * time, an engine that checks fencing numbers but accepts an order after one from a newer holder,
 * and engines that do not end up with the configured versions.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/inject_fault.h"

namespace {

using namespace worksshift;

constexpr std::size_t node_count = 4;
constexpr std::size_t server_count = 6;
const std::vector<std::vector<std::string>> version_sets{
    {"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}};

class orders_come_from_one_lease_holder : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(orders_come_from_one_lease_holder);
    CPPUNIT_TEST(under_random_faults);
    CPPUNIT_TEST(concurrent_loads_stay_within_the_limit);
    CPPUNIT_TEST(engines_without_fencing_get_load_orders_only);
    CPPUNIT_TEST(a_holder_cut_from_the_platform_stops_before_another_starts);
    CPPUNIT_TEST(a_pause_during_a_renewal_does_not_extend_the_lease);
    CPPUNIT_TEST(a_version_in_use_is_not_unloaded);
    CPPUNIT_TEST(a_resumed_stream_keeps_its_version);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::core_options make_options(std::uint64_t seed)
    {
        support::core_options options;
        options.nodes = node_count;
        options.servers = server_count;
        options.data_centres = 2;
        options.settings.max_concurrent_loads = 2;
        options.seed = seed;
        return options;
    }

    /** Sets up engines that have loaded `v1`, and a configuration that names it. */
    static void begin(support::core_fleet& fleet, bool fenced)
    {
        for (auto& [id, server] : fleet.servers) {
            server.reports_versions = true;
            server.checks_fence = fenced;
            server.loaded = {"v1"};
        }
        fleet.change_config([fenced](fleet_config& config) {
            config.services[0].versions = {"v1"};
            config.services[0].serving = "v1";
            config.services[0].fenced = fenced;
        });
    }

    static void set_versions(support::core_fleet& fleet, const std::vector<std::string>& versions)
    {
        fleet.change_config([&](fleet_config& config) {
            config.services[0].versions = versions;
            config.services[0].serving = versions.back();
        });
    }

    static bool holds_lease_now(support::core_fleet& fleet, std::size_t node)
    {
        return fleet.up(node) && holds_lease(fleet.node_at(node).data().lease, fleet.now());
    }

    static void inject_fault(support::core_fleet& fleet)
    {
        const auto node = *rc::gen::inRange<std::size_t>(0, node_count);
        const int action = *rc::gen::inRange(0, support::fault_kinds + 3);
        if (action < support::fault_kinds) {
            support::inject_fault(fleet, action, node);
        } else if (action == support::fault_kinds) {
            fleet.pause(node, seconds(*rc::gen::element(3, 12, 30)));
        } else {
            set_versions(fleet, *rc::gen::elementOf(version_sets));
        }
    }

    /** Checks the invariants of fencing numbers over all orders sent so far. */
    static void check_orders(support::core_fleet& fleet)
    {
        std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> sender_by_fence;
        std::uint64_t highest_fence = 0;
        for (const support::order_given& order : fleet.orders_given) {
            const std::pair sender{order.node, order.vm_incarnation};
            RC_ASSERT(sender_by_fence.try_emplace(order.fence, sender).first->second == sender);
            RC_ASSERT(order.fence >= highest_fence);
            highest_fence = order.fence;
        }
        for (const auto& [id, server] : fleet.servers) {
            RC_ASSERT(std::ranges::is_sorted(server.accepted_fences));
        }
    }

    /** No sequence of faults may break the fencing of orders or leave engines unreconciled. */
    void under_random_faults()
    {
        const bool passed = rc::check("orders", [] {
            support::core_fleet fleet(make_options(*rc::gen::inRange<std::uint64_t>(1, 1000)));
            fleet.order_delay = *rc::gen::element<duration>(milliseconds(5), seconds(15));
            begin(fleet, true);
            fleet.run_for(seconds(20));
            const int steps = *rc::gen::inRange(1, 16);
            for (int i = 0; i < steps; ++i) {
                inject_fault(fleet);
                for (int interval = 0; interval < 10; ++interval) {
                    fleet.run_for(milliseconds(*rc::gen::element(20, 300, 1500)));
                    std::size_t holders = 0;
                    for (std::size_t n = 0; n < node_count; ++n)
                        holders += holds_lease_now(fleet, n) ? 1 : 0;
                    RC_ASSERT(holders <= 1U);
                }
                check_orders(fleet);
            }
            fleet.heal();
            fleet.set_platform(true);
            fleet.lose_next_write_responses(0);
            set_versions(fleet, {"v3", "v4"});
            fleet.run_for(seconds(150));
            check_orders(fleet);
            const std::set<std::string> expected_versions{"v3", "v4"};
            for (const auto& [id, server] : fleet.servers)
                RC_ASSERT(server.loaded == expected_versions);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** Concurrent loads must not exceed `max_concurrent_loads`, nor orders be repeated without
     * need; engines must be reconciled also after the platform is restored from a backup. */
    void concurrent_loads_stay_within_the_limit()
    {
        support::core_fleet fleet(make_options(5));
        begin(fleet, true);
        fleet.run_for(seconds(20));
        set_versions(fleet, {"v1", "v2"});
        fleet.run_for(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.max_loading_engines);
        for (const auto& [id, server] : fleet.servers)
            CPPUNIT_ASSERT(server.loaded.contains("v2"));
        CPPUNIT_ASSERT_EQUAL(server_count, fleet.orders_given.size());
        // A platform restored from a backup shows a lower fencing number than the engines know.
        fleet.back_up();
        std::size_t holder = 0;
        while (!holds_lease_now(fleet, holder))
            ++holder;
        fleet.pause(holder, seconds(40));
        fleet.run_for(seconds(30));
        set_versions(fleet, {"v1", "v2", "v3"});
        fleet.run_for(seconds(60));
        fleet.restore_backup();
        set_versions(fleet, {"v4"});
        fleet.run_for(seconds(90));
        for (const auto& [id, server] : fleet.servers) {
            CPPUNIT_ASSERT(server.loaded == std::set<std::string>{"v4"});
            CPPUNIT_ASSERT(std::ranges::is_sorted(server.accepted_fences));
        }
    }

    /** An engine without fencing must not get unload orders, since a late one would do harm. */
    void engines_without_fencing_get_load_orders_only()
    {
        support::core_fleet fleet(make_options(6));
        begin(fleet, false);
        fleet.run_for(seconds(20));
        set_versions(fleet, {"v2"});
        fleet.run_for(seconds(40));
        for (const support::order_given& order : fleet.orders_given)
            CPPUNIT_ASSERT(order.kind == order_kind::load);
        for (const auto& [id, server] : fleet.servers)
            CPPUNIT_ASSERT((server.loaded == std::set<std::string>{"v1", "v2"}));
    }

    /** Partitions two nodes, so that both try to acquire the lease. Returns the holder's index. */
    static std::size_t partition_two_nodes(support::core_fleet& fleet)
    {
        begin(fleet, true);
        fleet.run_for(seconds(20));
        fleet.cut(0, 1);
        fleet.run_for(seconds(12));
        const std::size_t holder = holds_lease_now(fleet, 0) ? 0 : 1;
        CPPUNIT_ASSERT(holds_lease_now(fleet, holder));
        return holder;
    }

    /** Checks that during \p span the nodes never hold the lease at the same time, and that
     * afterwards the node other than \p holder holds it. */
    static void check_handover(support::core_fleet& fleet, std::size_t holder, duration span)
    {
        const instant end = fleet.now() + span;
        while (fleet.now() < end) {
            fleet.run_for(milliseconds(50));
            CPPUNIT_ASSERT(!(holds_lease_now(fleet, 0) && holds_lease_now(fleet, 1)));
        }
        CPPUNIT_ASSERT(holds_lease_now(fleet, 1 - holder));
    }

    /** Two VMs must not hold the lease at once when the holder loses the platform, at any phase of
     * its renewals. */
    void a_holder_cut_from_the_platform_stops_before_another_starts()
    {
        for (int phase = 0; phase < 12; ++phase) {
            support::core_options options = make_options(9);
            options.nodes = 2;
            support::core_fleet fleet(options);
            const std::size_t holder = partition_two_nodes(fleet);
            fleet.run_for(milliseconds(phase * 250));
            fleet.cut_platform(holder);
            check_handover(fleet, holder, seconds(25));
        }
    }

    /** A pause between sending a renewal and its response must not extend the lease. */
    void a_pause_during_a_renewal_does_not_extend_the_lease()
    {
        support::core_options options = make_options(10);
        options.nodes = 2;
        support::core_fleet fleet(options);
        const std::size_t holder = partition_two_nodes(fleet);
        const lease_row& lease = fleet.node_at(holder).data().lease;
        while (lease.call == 0 || !lease.call_is_write)
            fleet.run_for(milliseconds(1));
        fleet.pause(holder, seconds(5));
        fleet.cut_platform(holder);
        check_handover(fleet, holder, seconds(25));
    }

    /** A version must not be unloaded while requests run on it. */
    void a_version_in_use_is_not_unloaded()
    {
        support::core_options options = make_options(7);
        options.ms_per_cost = 400; // a request of cost 100 runs for 40 s
        options.servers = 1;
        support::core_fleet fleet(options);
        begin(fleet, true);
        fleet.run_for(seconds(20));
        const std::size_t request = fleet.submit(0, {});
        fleet.run_for(seconds(1));
        set_versions(fleet, {"v2"});
        fleet.run_for(seconds(30));
        support::core_server& server = fleet.servers.begin()->second;
        CPPUNIT_ASSERT(server.loaded.contains("v1"));
        CPPUNIT_ASSERT(server.loaded.contains("v2"));
        fleet.run_for(seconds(30));
        CPPUNIT_ASSERT(fleet.results[request].end == support::ending::complete);
        CPPUNIT_ASSERT(!server.loaded.contains("v1"));
        CPPUNIT_ASSERT((server.versions_run == std::set<std::string>{"v1"}));
    }

    /** A resumed stream must not combine the output of two versions in one response. */
    void a_resumed_stream_keeps_its_version()
    {
        support::core_options options = make_options(8);
        options.servers = 3;
        options.pieces = 6;
        options.ms_per_cost = 60;
        support::core_fleet fleet(options);
        begin(fleet, true);
        for (auto& [id, server] : fleet.servers) {
            server.loaded = {"v1", "v2"};
            server.crash_next = true;
        }
        fleet.change_config([](fleet_config& config) {
            config.services[0].versions = {"v1", "v2"};
        });
        fleet.run_for(seconds(20));
        const std::size_t request = fleet.submit(0, {});
        fleet.run_for(milliseconds(100));
        set_versions(fleet, {"v1", "v2"}); // makes v2 the serving version
        for (auto& [id, server] : fleet.servers)
            server.crash_next = false;
        fleet.run_for(seconds(20));
        const support::core_result& result = fleet.results[request];
        CPPUNIT_ASSERT(result.end == support::ending::complete);
        CPPUNIT_ASSERT_EQUAL(2U, result.runs);
        CPPUNIT_ASSERT_EQUAL(result.expected, result.text);
        for (const auto& [id, server] : fleet.servers)
            CPPUNIT_ASSERT(!server.versions_run.contains("v2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_come_from_one_lease_holder);

} // namespace
