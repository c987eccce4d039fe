/** \file
 * The router rejects an invalid setting with an error that names it, its value and the valid range.
 * The parameters of placement can be set and switched off.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "router_settings.h"

namespace {

using namespace worksshift;

class router_settings_validation : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(router_settings_validation);
    CPPUNIT_TEST(placement_parameters);
    CPPUNIT_TEST(out_of_range_parameters);
    CPPUNIT_TEST_SUITE_END();

    static router_settings parse(std::vector<const char*> more)
    {
        std::vector<const char*> all{"worksshift-router",       "--vm=a",
                                     "--data-centre=dc",        "--front=127.0.0.1:1",
                                     "--readiness=127.0.0.1:2", "--peer-address=127.0.0.1",
                                     "--peer-port=3",           "--store=127.0.0.1:4"};
        all.insert(all.end(), more.begin(), more.end());
        return parse_router_settings(static_cast<int>(all.size()), all.data());
    }

public:
    /** Guards against defaults that differ from placement_policy, and against settings that are
     * ignored.
     */
    static void placement_parameters()
    {
        const placement_policy defaults;
        const placement_policy parsed = parse({}).placement;
        CPPUNIT_ASSERT_EQUAL(defaults.wait_of_objective, parsed.wait_of_objective);
        CPPUNIT_ASSERT_EQUAL(defaults.ranks_to_wait_at, parsed.ranks_to_wait_at);
        const placement_policy off = parse({"--busy-from=0", "--slow-multiple=0"}).placement;
        CPPUNIT_ASSERT_EQUAL(0.0, off.busy_from);
        CPPUNIT_ASSERT_EQUAL(0.0, off.slow_multiple);
    }

    /** Guards against accepting a parameter that is out of range or not a number. */
    static void out_of_range_parameters()
    {
        for (const char* invalid :
             {"--free-share=-1", "--hot-prompt-share=much", "--load-spread=1e9",
              "--retry-ratio=nan", "--busy-from=nan", "--first-start=yes"}) {
            try {
                parse({invalid});
                CPPUNIT_FAIL(invalid);
            } catch (const user_error& fault) {
                const std::string name =
                    std::string(invalid + 2).substr(0, std::string(invalid + 2).find('='));
                CPPUNIT_ASSERT_MESSAGE(fault.what(), std::string(fault.what()).starts_with(name));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_settings_validation);

} // namespace
