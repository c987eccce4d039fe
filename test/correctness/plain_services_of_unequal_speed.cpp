/** \file
 * A plain service whose servers state their paces, behind fleets of 25, 84 and 480 VMs. Guards
 * against VMs that keep using slow servers, that all follow the same figure to the same server, and
 * that follow figures which are only noise.
 *
 * Six servers of six slots with 30 ms of work, as in plain_services_by_fleet_size. The first 8 s,
 * in which the VMs learn the paces, are not measured. Each test compares the same load without
 * the figures.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "plain_service.h"

namespace {

using namespace lab;

plain_pattern fleet_of(std::size_t vms)
{
    plain_pattern result;
    result.vms = vms;
    result.data_centres = vms <= 25 ? 3 : vms <= 84 ? 4 : 6;
    result.servers = 6;
    result.propagation_delay_s = vms <= 25 ? 0.3 : vms <= 84 ? 0.7 : 1.5;
    result.seconds = 25;
    result.measured_from_s = 8;
    return result;
}

constexpr std::array<std::size_t, 3> sizes{25, 84, 480};
/** The busiest server gets at most this multiple of its fair share. */
constexpr double max_share = 1.3;

class plain_services_of_unequal_speed : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_services_of_unequal_speed);
    CPPUNIT_TEST(third_of_the_servers_at_a_quarter_of_their_speed);
    CPPUNIT_TEST(slow_servers_with_changing_pace);
    CPPUNIT_TEST(pace_that_changes_around_the_usual_one);
    CPPUNIT_TEST(server_that_answers_fast_because_it_fails);
    CPPUNIT_TEST(policy_disables_the_figure);
    CPPUNIT_TEST_SUITE_END();

    struct comparison {
        plain_outcome without;
        plain_outcome with;
        std::string text;
    };

    static plain_outcome run(plain_pattern load, bool states_pace)
    {
        load.states_pace = states_pace;
        return run_simulation(load, server_selection::product, 1);
    }

    static std::string describe(const plain_outcome& result)
    {
        return "mean " + std::to_string(result.mean_ms) + " ms, p99 " +
               std::to_string(result.p99_ms) + " ms, busiest " +
               std::to_string(result.busiest_share) + ", shed " +
               std::to_string(result.share(result.shed)) + ", late " +
               std::to_string(result.share(result.late));
    }

    static comparison compare(const plain_pattern& load)
    {
        comparison result{run(load, false), run(load, true), {}};
        result.text = std::to_string(load.vms) + " VMs, without: " + describe(result.without) +
                      "; with: " + describe(result.with);
        return result;
    }

public:
    static void third_of_the_servers_at_a_quarter_of_their_speed()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.slow_servers = 2;
            load.utilisation = 0.5;
            const comparison result = compare(load);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.p99_ms < 0.9 * result.without.p99_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.mean_ms < result.without.mean_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.busiest_share <= max_share);
        }
    }

    static void slow_servers_with_changing_pace()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.slow_servers = 2;
            load.pace_spread = 0.4;
            load.utilisation = 0.5;
            const comparison result = compare(load);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.p99_ms < result.without.p99_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.busiest_share <= max_share);
        }
    }

    /** The figures carry no information that lasts, so following them can only do harm. The
     * tolerances are above the differences between two seeds. */
    static void pace_that_changes_around_the_usual_one()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.pace_spread = 0.4;
            const comparison result = compare(load);
            CPPUNIT_ASSERT_MESSAGE(result.text,
                                   result.with.mean_ms < 1.05 * result.without.mean_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.p99_ms < 1.1 * result.without.p99_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.busiest_share <= max_share);
        }
    }

    /** It states the lowest pace and rejects everything at once. */
    static void server_that_answers_fast_because_it_fails()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.sheds_all = true;
            load.measured_from_s = load.seconds / 3;
            const comparison result = compare(load);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.shed <= 1.05 * result.without.shed);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.p99_ms < 1.1 * result.without.p99_ms);
            CPPUNIT_ASSERT_MESSAGE(result.text, result.with.busiest_share <= max_share);
        }
    }

    static void policy_disables_the_figure()
    {
        plain_pattern load = fleet_of(84);
        load.slow_servers = 2;
        load.slow_pace = 0;
        const comparison result = compare(load);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.text, result.without.p99_ms, result.with.p99_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_services_of_unequal_speed);

} // namespace
