/** \file
 * Days of the highest and of low load, simulated with fixed seeds. Guards against placement and
 * admission that serve callers worse than a router that admits every request, or much worse than
 * one that sees all loads without delay. Each pattern file states the load that it represents and
 * the source of its figures.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "experiment.h"

namespace {

using namespace lab;

/** Lower bound on the earned share, relative to the policy `all-knowing`. */
constexpr double min_share_of_all_knowing = 0.85;
/** Upper bound on the share of sends to an engine whose load exceeds twice the mean plus three. */
constexpr double max_over_bound = 0.03;

class peak_load_is_served : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peak_load_is_served);
    CPPUNIT_TEST(long_prompts);
    CPPUNIT_TEST(hot_prompt);
    CPPUNIT_TEST(slow_engines);
    CPPUNIT_TEST(long_prompts_large_fleet);
    CPPUNIT_TEST(hot_prompt_large_fleet);
    CPPUNIT_TEST(unresponsive_engines);
    CPPUNIT_TEST(low_load);
    CPPUNIT_TEST_SUITE_END();

    static pattern read(const std::string& name)
    {
        return read_pattern(std::string(WORKSSHIFT_SOURCE_DIR) + "/test/patterns/" + name +
                            ".toml");
    }

    static outcome run(const std::string& name, std::string_view policy, std::uint64_t seed = 1)
    {
        return run_simulation(read(name), make_named_policy(policy), seed);
    }

    /** Mean earned share over seeds 1 to \p seeds. */
    static double earned(const std::string& name, std::string_view policy, std::uint64_t seeds)
    {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            sum += run(name, policy, seed).earned_share();
        return sum / static_cast<double>(seeds);
    }

    /** The earned share of the product exceeds by at least \p min_gain that of a router that admits
     * every request. */
    static void better_than_admitting_all(const std::string& name, double min_gain,
                                          std::uint64_t seeds = 1)
    {
        const double product = earned(name, "product", seeds);
        const double admit_all_share = earned(name, "admit-all", seeds);
        const double all_knowing_share = run(name, "all-knowing").earned_share();
        const std::string message = name + ": " + std::to_string(product) + " against " +
                                    std::to_string(admit_all_share) + " and " +
                                    std::to_string(all_knowing_share);
        CPPUNIT_ASSERT_MESSAGE(message, product >= admit_all_share + min_gain);
        CPPUNIT_ASSERT_MESSAGE(message, product >= min_share_of_all_knowing * all_knowing_share);
    }

    /** The share of a kind that is served is at most 0.05 below that of any less urgent kind. */
    static void urgent_kinds_first(const std::string& name)
    {
        const pattern load = read(name);
        outcome result = run(name, "product");
        const auto served = [&](const request_kind& kind) {
            const kind_outcome& result_of_kind = result.kinds[kind.name];
            return static_cast<double>(result_of_kind.on_time + result_of_kind.late) /
                   static_cast<double>(result_of_kind.asked);
        };
        constexpr double slack = 0.05;
        for (const request_kind& urgent : load.kinds) {
            for (const request_kind& other : load.kinds) {
                if (urgent.priority >= other.priority) continue;
                CPPUNIT_ASSERT_MESSAGE(urgent.name + " and " + other.name,
                                       served(urgent) + slack >= served(other));
            }
        }
    }

public:
    /** Guards against long prompts at five times their usual rate keeping urgent kinds from
     * service. */
    static void long_prompts()
    {
        better_than_admitting_all("long_prompts_small", 0.08);
        urgent_kinds_first("long_prompts_small");
    }

    /** Guards against many requests for one prompt overloading the engine that has it cached. */
    static void hot_prompt()
    {
        better_than_admitting_all("hot_prompt_small", 0.01);
        CPPUNIT_ASSERT(run("hot_prompt_small", "product").over_bound <= max_over_bound);
    }

    /** Guards against requests that come late because half of the engines are slow. */
    static void slow_engines() { better_than_admitting_all("slow_engines_small", 0.04); }

    /** As long_prompts, with the delayed load sums of a large fleet. */
    static void long_prompts_large_fleet()
    {
        better_than_admitting_all("long_prompts_large", 0.02);
        urgent_kinds_first("long_prompts_large");
    }

    /** Without the spreading of hot prompts the load bound is exceeded in this fleet. */
    static void hot_prompt_large_fleet()
    {
        CPPUNIT_ASSERT(run("hot_prompt_large", "no-hot-prompts").over_bound > max_over_bound);
        for (const std::uint64_t seed : {1, 2, 3})
            CPPUNIT_ASSERT(run("hot_prompt_large", "product", seed).over_bound <= max_over_bound);
        better_than_admitting_all("hot_prompt_large", 0.01, 3);
    }

    /** Guards against losing most of the value when 60 % of the engines stop responding. */
    static void unresponsive_engines()
    {
        const double product = run("engines_dark_small", "product").earned_share();
        const double all_knowing_share = run("engines_dark_small", "all-knowing").earned_share();
        CPPUNIT_ASSERT(product >= min_share_of_all_knowing * all_knowing_share);
    }

    /** Guards against refusals and late responses while slots are free. */
    static void low_load()
    {
        for (const char* name : {"quiet_small", "quiet_large"}) {
            const outcome result = run(name, "product");
            CPPUNIT_ASSERT_EQUAL(0.0, result.refused_share());
            CPPUNIT_ASSERT(result.on_time_share() >= 0.995);
            CPPUNIT_ASSERT(result.over_bound <= max_over_bound);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peak_load_is_served);

} // namespace
