/** \file
 * 87 VMs before 112 engines that state their paces, under the load of the pattern `quiet_large`.
 * Guards against VMs that keep using slow engines, or that move prompts because of noise, and
 * against a load bound that is violated because VMs follow the same figures.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "experiment.h"

namespace {

using namespace lab;

/** At most this share of the requests may be sent to an engine above its load bound. */
constexpr double max_over_bound = 0.03;

class engine_fleets_of_unequal_speed : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_fleets_of_unequal_speed);
    CPPUNIT_TEST(third_of_the_engines_at_a_quarter_of_their_speed);
    CPPUNIT_TEST(slow_engines_with_changing_pace);
    CPPUNIT_TEST(pace_that_changes_around_the_usual_one);
    CPPUNIT_TEST_SUITE_END();

    static pattern make_pattern(double slow_multiple, double spread)
    {
        pattern made =
            read_pattern(std::string(WORKSSHIFT_SOURCE_DIR) + "/test/patterns/quiet_large.toml");
        made.states_pace = true;
        made.pace_spread = spread;
        if (slow_multiple > 1) {
            engine_fault fault;
            fault.what = engine_fault::effect::slow;
            fault.from_s = 0;
            fault.to_s = made.seconds;
            fault.share = 1.0 / 3;
            fault.times = slow_multiple;
            made.faults = {fault};
        }
        return made;
    }

    /** The product earns at least \p min_gain more than without the paces. */
    static void assert_gain(const pattern& given, double min_gain)
    {
        const outcome with = run_simulation(given, make_named_policy("product"), 1);
        const outcome without = run_simulation(given, make_named_policy("no-pace"), 1);
        const std::string text = "earned " + std::to_string(with.earned_share()) + ", without " +
                                 std::to_string(without.earned_share()) + ", over the bound " +
                                 std::to_string(with.over_bound);
        CPPUNIT_ASSERT_MESSAGE(text, with.earned_share() >= without.earned_share() + min_gain);
        CPPUNIT_ASSERT_MESSAGE(text, with.over_bound <= max_over_bound);
    }

public:
    static void third_of_the_engines_at_a_quarter_of_their_speed()
    {
        assert_gain(make_pattern(4, 0), 0.01);
    }

    static void slow_engines_with_changing_pace() { assert_gain(make_pattern(4, 0.4), 0.05); }

    /** The tolerance is below the difference between two seeds. */
    static void pace_that_changes_around_the_usual_one()
    {
        assert_gain(make_pattern(1, 0.4), -0.002);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_fleets_of_unequal_speed);

} // namespace
