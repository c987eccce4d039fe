/** \file
 * Names from the registry are encoded in requests to the store, and time spans of a configuration
 * that no clock can represent are ignored.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "platform.h"

namespace {

using namespace worksshift;

class store_requests_and_documents_are_checked : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_requests_and_documents_are_checked);
    CPPUNIT_TEST(names_are_encoded);
    CPPUNIT_TEST(time_spans_out_of_range_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    static route route_with_timeout(const std::string& timeout)
    {
        const std::string document =
            R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe",)"
            R"("service":"s","timeoutMs":)" +
            timeout + R"(}],"services":[{"name":"s"}]})";
        return platform_protocol().decode_config(document)->routes.at(0);
    }

public:
    /** Guards against a name that ends the query or adds a parameter to it. */
    static void names_are_encoded()
    {
        const auto list_path = platform_protocol().list_path;
        const std::string path =
            list_path(object_kind::servers, "a&after=b c", read_mode::linearizable);
        CPPUNIT_ASSERT_EQUAL(std::string("/api/objects/servers?after=a%26after%3Db%20c"), path);
        const std::string plain =
            list_path(object_kind::servers, "i-7f3a91c2", read_mode::linearizable);
        CPPUNIT_ASSERT_EQUAL(std::string("/api/objects/servers?after=i-7f3a91c2"), plain);
    }

    /** Guards against timeouts that are negative or wrap around, which would end every request. */
    static void time_spans_out_of_range_are_ignored()
    {
        CPPUNIT_ASSERT(milliseconds(1500) == route_with_timeout("1500").timeout);
        const milliseconds fallback = route_with_timeout("null").timeout;
        for (const char* invalid : {"-1", "1e300", "9300000000000000000", "1e9"})
            CPPUNIT_ASSERT_MESSAGE(invalid, fallback == route_with_timeout(invalid).timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_requests_and_documents_are_checked);

} // namespace
