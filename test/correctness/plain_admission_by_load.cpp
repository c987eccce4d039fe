/** \file
 * Admission control of a plain service in a simulated fleet: 84 VMs share four servers of six slots
 * with 30 ms of work, an objective of 150 ms and a deadline of 1,500 ms. Without it, a third of the
 * requests are late when demand equals the capacity.
 *
 * The bounds are the targets of docs/hard-load.md, not what was measured.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "plain_service.h"

namespace {

using namespace lab;

/** \p utilisation: demand as a share of the capacity. Measured once a limit has been found. */
plain_pattern fleet_at(double utilisation, std::size_t vms = 84)
{
    plain_pattern result;
    result.vms = vms;
    result.propagation_delay_s = vms <= 8 ? 0.15 : vms <= 84 ? 0.7 : vms <= 295 ? 1.2 : 1.5;
    result.admission = true;
    result.utilisation = utilisation;
    result.seconds = 24;
    result.measured_from_s = 4;
    result.measured_until_s = 22;
    return result;
}

struct measurement {
    plain_outcome result;
    std::string text;

    [[nodiscard]] double late_of_served() const
    {
        return static_cast<double>(this->result.late) / static_cast<double>(this->result.served);
    }
};

measurement measure(const plain_pattern& load)
{
    measurement made{run_simulation(load, server_selection::product, 1), {}};
    const plain_outcome& result = made.result;
    made.text = std::to_string(load.vms) + " VMs: late " + std::to_string(made.late_of_served()) +
                " of the served, refused " + std::to_string(result.share(result.refused)) +
                ", unserved " + std::to_string(result.share(result.unserved)) +
                ", in time / capacity " + std::to_string(result.in_time_of_capacity);
    return made;
}

class plain_admission_by_load : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_admission_by_load);
    CPPUNIT_TEST(half_of_the_capacity);
    CPPUNIT_TEST(most_of_the_capacity);
    CPPUNIT_TEST(all_of_the_capacity);
    CPPUNIT_TEST(slightly_more);
    CPPUNIT_TEST(twice_the_capacity);
    CPPUNIT_TEST(twice_the_capacity_is_used);
    CPPUNIT_TEST(short_wave);
    CPPUNIT_TEST(long_wave);
    CPPUNIT_TEST(one_data_centre);
    CPPUNIT_TEST(clients_return_together);
    CPPUNIT_TEST(half_of_the_servers_silent);
    CPPUNIT_TEST(one_slow_server);
    CPPUNIT_TEST(other_fleet_sizes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double max_late = 0.05;

    static void assert_few_late(const plain_pattern& load)
    {
        const measurement made = measure(load);
        CPPUNIT_ASSERT_MESSAGE(made.text, made.late_of_served() <= max_late);
    }

public:
    /** Guards against refusals while slots are free. */
    static void half_of_the_capacity()
    {
        const measurement made = measure(fleet_at(0.5));
        CPPUNIT_ASSERT_MESSAGE(made.text, made.result.refused == 0);
    }
    /** Guards against refusals because of short queues. */
    static void most_of_the_capacity()
    {
        const measurement made = measure(fleet_at(0.9));
        CPPUNIT_ASSERT_MESSAGE(made.text, made.result.share(made.result.refused) <= 0.01);
    }
    /** Guards against queues that make every request late. */
    static void all_of_the_capacity() { assert_few_late(fleet_at(1)); }
    static void slightly_more() { assert_few_late(fleet_at(1.2)); }
    static void twice_the_capacity() { assert_few_late(fleet_at(2)); }
    /** Guards against a limit far below the capacity. */
    static void twice_the_capacity_is_used()
    {
        const measurement made = measure(fleet_at(2));
        CPPUNIT_ASSERT_MESSAGE(made.text, made.result.in_time_of_capacity >= 0.85);
    }
    /** Guards against queues that fill up before other VMs report them. */
    static void short_wave()
    {
        plain_pattern load = fleet_at(0.6);
        load.wave_multiple = 3;
        load.wave_s = 1;
        load.measured_from_s = wave_from_s;
        load.measured_until_s = wave_from_s + 2;
        assert_few_late(load);
    }
    static void long_wave()
    {
        plain_pattern load = fleet_at(0.6);
        load.wave_multiple = 3;
        load.wave_s = 10;
        load.measured_from_s = wave_from_s;
        load.measured_until_s = wave_from_s + 12;
        assert_few_late(load);
    }
    /** Guards against VMs without requests that hold shares of the capacity. */
    static void one_data_centre()
    {
        plain_pattern load = fleet_at(1.25);
        load.first_centre_rate_multiple = 1e9;
        assert_few_late(load);
    }
    /** Guards against a second overload by the clients that the first one caused to return. */
    static void clients_return_together()
    {
        plain_pattern load = fleet_at(1.2);
        load.synchronised_retries = true;
        assert_few_late(load);
    }
    /** Guards against admission by the capacity of servers that do not respond. */
    static void half_of_the_servers_silent()
    {
        plain_pattern load = fleet_at(0.8);
        load.silent_servers = 2;
        load.silent_s = 8;
        load.measured_from_s = wave_from_s + 1;
        load.measured_until_s = wave_from_s + 8;
        assert_few_late(load);
    }
    /** Guards against refusals because of a single server: it is not an overload. */
    static void one_slow_server()
    {
        plain_pattern load = fleet_at(0.6);
        load.slow_server_multiple = 4;
        const measurement made = measure(load);
        CPPUNIT_ASSERT_MESSAGE(made.text, made.result.share(made.result.refused) <= 0.01);
    }
    /** Guards against a limit that only holds for VMs with many requests each, or few. */
    static void other_fleet_sizes()
    {
        constexpr std::array<std::size_t, 3> sizes{8, 295, 480};
        for (const std::size_t vms : sizes) {
            assert_few_late(fleet_at(1.2, vms));
            const measurement half = measure(fleet_at(0.5, vms));
            CPPUNIT_ASSERT_MESSAGE(half.text, half.result.refused == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_admission_by_load);

} // namespace
