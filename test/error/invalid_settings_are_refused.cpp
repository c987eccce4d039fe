/** \file
 * An invalid setting is refused with an error that names it, its value and the valid range.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "settings.h"

namespace {

using namespace worksshift;

class invalid_settings_are_refused : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_settings_are_refused);
    CPPUNIT_TEST(out_of_range);
    CPPUNIT_TEST(bad_address);
    CPPUNIT_TEST(missing_setting);
    CPPUNIT_TEST(short_fleet_key);
    CPPUNIT_TEST(valid_settings);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string error_of(std::vector<const char*> arguments)
    {
        arguments.insert(arguments.begin(), "worksshiftd");
        try {
            parse_settings(static_cast<int>(arguments.size()), arguments.data());
        } catch (const user_error& fault) {
            return fault.what();
        }
        return {};
    }

    static std::vector<const char*> valid_arguments()
    {
        return {"--vm=a",
                "--data-centre=dc",
                "--link=127.0.0.1:1",
                "--front=127.0.0.1:2",
                "--admin=127.0.0.1:3",
                "--platform=127.0.0.1:4",
                "--fleet-key=0123456789abcdef"};
    }

    /** Guards against an error without the valid range. */
    void out_of_range()
    {
        auto arguments = valid_arguments();
        arguments.push_back("--queue-capacity=0");
        CPPUNIT_ASSERT_EQUAL(std::string("queue-capacity=0 is not a whole number from 1 to 100000"),
                             error_of(arguments));
    }

    /** Guards against an address without a port that is accepted. */
    void bad_address()
    {
        auto arguments = valid_arguments();
        arguments[2] = "--link=localhost";
        const std::string fault = error_of(arguments);
        CPPUNIT_ASSERT(fault.starts_with("link=localhost is not ADDRESS:PORT"));
    }

    /** Guards against a start without a required setting. */
    void missing_setting()
    {
        auto arguments = valid_arguments();
        arguments.erase(arguments.begin());
        CPPUNIT_ASSERT_EQUAL(std::string("vm is missing; give --vm"), error_of(arguments));
    }

    /** Guards against a fleet key that is too short to be secret. */
    void short_fleet_key()
    {
        auto arguments = valid_arguments();
        arguments.back() = "--fleet-key=short";
        CPPUNIT_ASSERT(error_of(arguments).starts_with("fleet-key has 5 characters"));
    }

    /** Guards against valid settings that are refused. */
    void valid_settings() { CPPUNIT_ASSERT_EQUAL(std::string(), error_of(valid_arguments())); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_settings_are_refused);

} // namespace
