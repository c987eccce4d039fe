/** \file
 * A plain service with few servers behind fleets of 8 to 480 VMs. Each VM sends a server a request
 * only every few seconds and learns of other VMs' requests about a second late. Guards against VMs
 * that all move to the same server at once, and against VMs that keep using a slow or full server.
 *
 * The figures are those of the users' ticket service: six servers of six slots, a queue of 24
 * requests before a server sheds, 30 ms of work, responses useful within 150 ms, and 60 % of the
 * slots' time in use. The delay of load updates is the one that `measure fleet` shows for each
 * size.
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
    result.data_centres = vms <= 8 ? 4 : 6;
    result.servers = vms <= 8 ? 4 : 6;
    result.propagation_delay_s = vms <= 8 ? 0.15 : vms <= 87 ? 0.7 : vms <= 295 ? 1.2 : 1.5;
    return result;
}

constexpr std::array<std::size_t, 4> sizes{8, 87, 295, 480};

class plain_services_by_fleet_size : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_services_by_fleet_size);
    CPPUNIT_TEST(usual_load);
    CPPUNIT_TEST(high_load);
    CPPUNIT_TEST(one_data_centre_sends_more);
    CPPUNIT_TEST(one_server_becomes_slow);
    CPPUNIT_TEST(one_server_sheds_all);
    CPPUNIT_TEST(demand_exceeds_capacity);
    CPPUNIT_TEST_SUITE_END();

    static std::string describe(const plain_pattern& load, const plain_outcome& result)
    {
        return std::to_string(load.vms) + " VMs: shed " +
               std::to_string(result.share(result.shed)) + " a request, late " +
               std::to_string(result.share(result.late)) + ", unserved " +
               std::to_string(result.share(result.unserved)) + ", p99 " +
               std::to_string(result.p99_ms) + " ms";
    }

    /** At most 0.2 % of the requests are shed, and the 99th percentile of the response time is at
     * most \p max_p99_multiple times that of one queue in front of all slots. */
    static void assert_close_to_one_queue(const plain_pattern& load, double max_p99_multiple)
    {
        const plain_outcome result = run_simulation(load, server_selection::product, 1);
        const plain_outcome optimum = run_simulation(load, server_selection::single_queue, 1);
        const std::string text = describe(load, result) + "; " + describe(load, optimum);
        CPPUNIT_ASSERT_MESSAGE(text, result.share(result.shed) <= 0.002);
        CPPUNIT_ASSERT_MESSAGE(text, result.p99_ms <= max_p99_multiple * optimum.p99_ms);
        CPPUNIT_ASSERT_MESSAGE(text, result.share(result.late) <= 0.012);
    }

public:
    /** Guards against shedding and queueing at one server while others have free slots. */
    static void usual_load()
    {
        for (const std::size_t vms : sizes)
            assert_close_to_one_queue(fleet_of(vms), 1.25);
    }

    /** As usual_load, with 80 % of the slots' time in use. */
    static void high_load()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.utilisation = 0.8;
            assert_close_to_one_queue(load, 1.6);
        }
    }

    /** Guards against one data centre's VMs overloading the servers that are close to them. */
    static void one_data_centre_sends_more()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.first_centre_rate_multiple = 3;
            assert_close_to_one_queue(load, 1.35);
        }
    }

    /** Guards against VMs that go on sending to a server that became four times as slow. */
    static void one_server_becomes_slow()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.slow_server_multiple = 4;
            const plain_outcome result = run_simulation(load, server_selection::product, 1);
            const plain_outcome uniform = run_simulation(load, server_selection::uniform, 1);
            const std::string text = describe(load, result) + "; " + describe(load, uniform);
            CPPUNIT_ASSERT_MESSAGE(text, result.share(result.late) <= 0.04);
            CPPUNIT_ASSERT_MESSAGE(text, result.late * 2 <= uniform.late);
        }
    }

    /** Guards against VMs that go on sending to a server that sheds every request. */
    static void one_server_sheds_all()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.sheds_all = true;
            const plain_outcome result = run_simulation(load, server_selection::product, 1);
            const std::string text = describe(load, result);
            CPPUNIT_ASSERT_MESSAGE(text, result.unserved == 0);
            CPPUNIT_ASSERT_MESSAGE(text, result.share(result.shed) <= 0.06);
            CPPUNIT_ASSERT_MESSAGE(text, result.share(result.late) <= 0.012);
        }
    }

    /** Servers shed the load beyond their capacity. VMs that all move to the same server at once
     * shed more than random choice does. */
    static void demand_exceeds_capacity()
    {
        for (const std::size_t vms : sizes) {
            plain_pattern load = fleet_of(vms);
            load.utilisation = 1.2;
            const plain_outcome result = run_simulation(load, server_selection::product, 1);
            const plain_outcome uniform = run_simulation(load, server_selection::uniform, 1);
            const std::string text = describe(load, result) + "; " + describe(load, uniform);
            CPPUNIT_ASSERT_MESSAGE(text, result.share(result.unserved) <=
                                             uniform.share(uniform.unserved) + 0.01);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_services_by_fleet_size);

} // namespace
