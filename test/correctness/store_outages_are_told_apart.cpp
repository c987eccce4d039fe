/** \file
 * The end of an outage of the store is told from a VM's first answer, and from the end of a fault
 * of that VM's own way to the store.
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
    CPPUNIT_TEST(too_short_for_entries_to_lapse);
    CPPUNIT_TEST(an_answer_before_the_loss_that_is_told_late);
    CPPUNIT_TEST(each_outage_ends_anew);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{seconds(1000)};
    static constexpr instant none{};

    static instant at(milliseconds since_start) { return start + since_start; }

public:
    /** Guards against a restart being taken for the store's return. */
    static void first_answer()
    {
        store_outage outage;
        outage.update(std::nullopt, none, none);
        outage.update(std::nullopt, at(milliseconds(20)), none);
        CPPUNIT_ASSERT(outage.back_at() == none);
    }

    static void away_for_all()
    {
        store_outage outage;
        outage.update(std::nullopt, start, at(milliseconds(-500)));
        outage.update(at(milliseconds(1000)), start, at(milliseconds(-500)));
        CPPUNIT_ASSERT(outage.back_at() == none);
        outage.update(std::nullopt, at(milliseconds(4000)), at(milliseconds(-500)));
        CPPUNIT_ASSERT(outage.back_at() == at(milliseconds(4000)));
    }

    /** Guards against the last VM that gets through setting the time for all. */
    static void back_for_another_vm_first()
    {
        store_outage outage;
        outage.update(at(milliseconds(1000)), start, start);
        outage.update(at(milliseconds(1000)), start, at(milliseconds(4000)));
        CPPUNIT_ASSERT(outage.back_at() == at(milliseconds(4000)));
        outage.update(std::nullopt, at(milliseconds(8000)), at(milliseconds(4000)));
        CPPUNIT_ASSERT(outage.back_at() == at(milliseconds(4000)));
    }

    /** Guards against a VM that was cut off, or refused, being taken for the store. */
    static void others_were_answered()
    {
        store_outage outage;
        outage.update(std::nullopt, start, start);
        const instant lost = at(milliseconds(1000));
        for (int second = 1; second < 8; ++second)
            outage.update(lost, start, at(seconds(second)));
        outage.update(std::nullopt, at(seconds(8)), at(seconds(7)));
        CPPUNIT_ASSERT(outage.back_at() == none);
    }

    static void too_short_for_entries_to_lapse()
    {
        store_outage outage;
        outage.update(std::nullopt, start, start);
        outage.update(at(milliseconds(1000)), start, start);
        outage.update(std::nullopt, at(milliseconds(1500)), start);
        CPPUNIT_ASSERT(outage.back_at() == none);
    }

    /** Guards against the outage being missed, as digests arrive late. */
    static void an_answer_before_the_loss_that_is_told_late()
    {
        store_outage outage;
        outage.update(std::nullopt, start, start);
        outage.update(at(milliseconds(1000)), start, at(milliseconds(1300)));
        outage.update(std::nullopt, at(milliseconds(5000)), at(milliseconds(1300)));
        CPPUNIT_ASSERT(outage.back_at() == at(milliseconds(5000)));
    }

    static void each_outage_ends_anew()
    {
        store_outage outage;
        for (int round = 0; round < 3; ++round) {
            const instant lost = at(seconds(10 * round + 1));
            const instant back = at(seconds(10 * round + 5));
            outage.update(lost, at(seconds(10 * round)), none);
            outage.update(std::nullopt, back, none);
            CPPUNIT_ASSERT(outage.back_at() == back);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outages_are_told_apart);

} // namespace
