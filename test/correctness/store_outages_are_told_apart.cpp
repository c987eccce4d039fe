/** \file
 * The end of an outage of the store is distinguished from a VM's first response, and from the end
 * of a fault of that VM's own path to the store.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "store_outage.h"

namespace {

using namespace worksshift;

class store_outages_are_told_apart : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_outages_are_told_apart);
    CPPUNIT_TEST(first_answer);
    CPPUNIT_TEST(away_for_all);
    CPPUNIT_TEST(back_for_another_vm_first);
    CPPUNIT_TEST(others_were_answered);
    CPPUNIT_TEST(this_vm_was_cut_off);
    CPPUNIT_TEST(too_short_for_entries_to_lapse);
    CPPUNIT_TEST(an_answer_before_the_loss_that_is_told_late);
    CPPUNIT_TEST(a_call_of_the_last_outage_that_fails_late);
    CPPUNIT_TEST(each_outage_ends_anew);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{seconds(1000)};
    static constexpr instant none{};

    static instant at(milliseconds since_start) { return start + since_start; }

    /** A call that failed at once. */
    static failed_call lost(instant when) { return {when, when}; }

    static store_status confirmed(instant when) { return {none, when}; }

public:
    /** Guards against a VM's restart being taken for the store's return. */
    static void first_answer()
    {
        store_outage outage;
        outage.update(std::nullopt, none, {}, false);
        outage.update(std::nullopt, at(milliseconds(20)), {}, false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
    }

    static void away_for_all()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(at(milliseconds(-500))), false);
        outage.update(lost(at(milliseconds(1000))), start, confirmed(at(milliseconds(-500))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
        outage.update(std::nullopt, at(milliseconds(4000)), confirmed(at(milliseconds(-500))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
    }

    /** Guards against each VM using its own first response as the time of the store's return:
     * another VM was answered earlier. */
    static void back_for_another_vm_first()
    {
        store_outage outage;
        outage.update(lost(at(milliseconds(1000))), start, confirmed(start), false);
        outage.update(lost(at(milliseconds(1000))), start, confirmed(at(milliseconds(4000))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
        outage.update(std::nullopt, at(milliseconds(8000)), confirmed(at(milliseconds(4000))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(4000)));
    }

    /** Guards against a fault of one VM's path to the store, or the store's refusal of that VM,
     * being taken for an outage of the store. */
    static void others_were_answered()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        const failed_call first = lost(at(milliseconds(1000)));
        for (int second = 1; second < 8; ++second)
            outage.update(first, start, confirmed(at(seconds(second))), false);
        outage.update(std::nullopt, at(seconds(8)), confirmed(at(seconds(7))), false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
    }

    /** Guards against the same for a VM that was cut off from the others, and so could not learn
     * that the store answers them. */
    static void this_vm_was_cut_off()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(lost(at(milliseconds(1000))), start, confirmed(start), true);
        outage.update(std::nullopt, at(seconds(8)), confirmed(start), false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
    }

    static void too_short_for_entries_to_lapse()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(lost(at(milliseconds(1000))), start, confirmed(start), false);
        outage.update(std::nullopt, at(milliseconds(1500)), confirmed(start), false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
    }

    /** Guards against missing an outage because a response from before the failure is reported
     * late. */
    static void an_answer_before_the_loss_that_is_told_late()
    {
        store_outage outage;
        outage.update(std::nullopt, start, confirmed(start), false);
        outage.update(lost(at(milliseconds(1000))), start, confirmed(at(milliseconds(1300))),
                      false);
        outage.update(std::nullopt, at(milliseconds(5000)), confirmed(at(milliseconds(1300))),
                      false);
        CPPUNIT_ASSERT(outage.recovered_at() == at(milliseconds(5000)));
    }

    /** Guards against a second outage being recorded when a watch that was pending in the first one
     * times out after the store's return. */
    static void a_call_of_the_last_outage_that_fails_late()
    {
        store_outage outage;
        const store_status back{at(milliseconds(4000)), at(milliseconds(4000))};
        outage.update(std::nullopt, start, back, false);
        outage.update(failed_call{start, at(milliseconds(7000))}, start, back, false);
        outage.update(std::nullopt, at(milliseconds(7200)), back, false);
        CPPUNIT_ASSERT(outage.recovered_at() == none);
    }

    static void each_outage_ends_anew()
    {
        store_outage outage;
        for (int round = 0; round < 3; ++round) {
            const instant back = at(seconds(10 * round + 5));
            outage.update(lost(at(seconds(10 * round + 1))), at(seconds(10 * round)), {}, false);
            outage.update(std::nullopt, back, {}, false);
            CPPUNIT_ASSERT(outage.recovered_at() == back);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outages_are_told_apart);

} // namespace
