/** \file
 * The end of an outage of the store is distinguished from a VM's first response, and from the end
 * of a fault of that VM's own path to the store.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "store_outage.h"

namespace {

using namespace worksshift;

class store_outages_are_distinguished_from_local_faults : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_outages_are_distinguished_from_local_faults);
    CPPUNIT_TEST(first_response_is_not_a_recovery);
    CPPUNIT_TEST(outage_for_all_vms);
    CPPUNIT_TEST(another_vm_is_answered_first);
    CPPUNIT_TEST(other_vms_were_answered);
    CPPUNIT_TEST(this_vm_was_isolated);
    CPPUNIT_TEST(too_short_for_entries_to_expire);
    CPPUNIT_TEST(response_before_the_failure_is_reported_late);
    CPPUNIT_TEST(call_of_the_previous_outage_fails_late);
    CPPUNIT_TEST(each_outage_has_its_own_end);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{seconds(1000)};
    static constexpr instant never{};

    static instant at(milliseconds since_start) { return start + since_start; }

    /** A call that failed at once. */
    static failed_call failed_at_once(instant when) { return {when, when}; }

    static store_status confirmed(instant when) { return {never, when}; }

public:
    /** Guards against a VM's restart being taken for the store's return. */
    static void first_response_is_not_a_recovery()
    {
        store_outage outage;
        outage.update(std::nullopt, never, {}, false);
        outage.update(std::nullopt, at(milliseconds(20)), {}, false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
    }

    /** Guards against missing an outage that all VMs notice. */
    static void outage_for_all_vms()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(at(milliseconds(-500))), false);
        outage.update(failed_at_once(at(milliseconds(1000))), start,
                      confirmed(at(milliseconds(-500))), false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
        outage.update(std::nullopt, at(milliseconds(4000)), confirmed(at(milliseconds(-500))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
    }

    /** Guards against each VM using its own first response as the time of the store's return:
     * another VM was answered earlier. */
    static void another_vm_is_answered_first()
    {
        store_outage outage;
        outage.update(failed_at_once(at(milliseconds(1000))), start, confirmed(start), false);
        outage.update(failed_at_once(at(milliseconds(1000))), start,
                      confirmed(at(milliseconds(4000))), false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
        outage.update(std::nullopt, at(milliseconds(8000)), confirmed(at(milliseconds(4000))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
    }

    /** Guards against a fault of one VM's path to the store, or the store's refusal of that VM,
     * being taken for an outage of the store. */
    static void other_vms_were_answered()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        const failed_call first = failed_at_once(at(milliseconds(1000)));
        for (int second = 1; second < 8; ++second)
            outage.update(first, start, confirmed(at(seconds(second))), false);
        outage.update(std::nullopt, at(seconds(8)), confirmed(at(seconds(7))), false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
    }

    /** Guards against the same for a VM that received no digests from the others, and so could not
     * learn that the store answers them. */
    static void this_vm_was_isolated()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(failed_at_once(at(milliseconds(1000))), start, confirmed(start), true);
        outage.update(std::nullopt, at(seconds(8)), confirmed(start), false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
    }

    /** Guards against recording an outage that is shorter than the expiry time of entries. */
    static void too_short_for_entries_to_expire()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(failed_at_once(at(milliseconds(1000))), start, confirmed(start), false);
        outage.update(std::nullopt, at(milliseconds(1500)), confirmed(start), false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
    }

    /** Guards against missing an outage because a response from before the failure is reported
     * late. */
    static void response_before_the_failure_is_reported_late()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(failed_at_once(at(milliseconds(1000))), start,
                      confirmed(at(milliseconds(1300))), false);
        outage.update(std::nullopt, at(milliseconds(5000)), confirmed(at(milliseconds(1300))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(5000)));
    }

    /** Guards against a second outage being recorded when a watch that was pending in the first one
     * times out after the store's return. */
    static void call_of_the_previous_outage_fails_late()
    {
        store_outage outage;
        const store_status back{at(milliseconds(4000)), at(milliseconds(4000))};
        outage.update(std::nullopt, start, back, false);
        outage.update(failed_call{start, at(milliseconds(7000))}, start, back, false);
        outage.update(std::nullopt, at(milliseconds(7200)), back, false);
        CPPUNIT_ASSERT(outage.recovered_at() == never);
    }

    /** Guards against an earlier outage hiding the end of a later one. */
    static void each_outage_has_its_own_end()
    {
        store_outage outage;
        for (int round = 0; round < 3; ++round) {
            const instant back = at(seconds(10 * round + 5));
            outage.update(failed_at_once(at(seconds(10 * round + 1))), at(seconds(10 * round)), {},
                          false);
            outage.update(std::nullopt, back, {}, false);
            CPPUNIT_ASSERT(outage.recovered_at() == back);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outages_are_distinguished_from_local_faults);

} // namespace
