/** \file
 * Guards against invalid cold times and rates written to the registry or the configuration by other
 * software: valid entries must be kept, and no server may count as cold for longer than a start can
 * take.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "errors.h"
#include "platform.h"

namespace {

using namespace worksshift;

class invalid_cold_times : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_cold_times);
    CPPUNIT_TEST(in_a_server_entry);
    CPPUNIT_TEST(in_a_service);
    CPPUNIT_TEST_SUITE_END();

    protocol adapter = platform_protocol();

    milliseconds cold_remaining(const std::string& members) const
    {
        stored_object entry;
        entry.name = "a";
        entry.document = R"({"service":"desk","address":"127.0.0.1:1","zone":"dc","version":"v1",)"
                         R"("slots":4,"state":"ready","sequence":1,"coldRemainingMs":)" +
                         members + "}";
        return this->adapter.decode_server(entry).cold_remaining;
    }

    service_traits traits(const std::string& members) const
    {
        const auto config = this->adapter.decode_config(
            R"({"version":1,"routes":[],"services":[{"name":"desk")" + members + "}]}");
        return config->services.at({"desk"});
    }

public:
    /** Remaining cold time in a server's entry: limited to 0..60 s, rejected if not a number. */
    void in_a_server_entry()
    {
        CPPUNIT_ASSERT(this->cold_remaining("2500") == milliseconds(2500));
        CPPUNIT_ASSERT(this->cold_remaining("12.7") == milliseconds(12));
        CPPUNIT_ASSERT(this->cold_remaining("-1") == milliseconds(0));
        CPPUNIT_ASSERT(this->cold_remaining("-1e300") == milliseconds(0));
        CPPUNIT_ASSERT(this->cold_remaining("1e300") == seconds(60));
        CPPUNIT_ASSERT(this->cold_remaining("18446744073709551615") == seconds(60));
        for (const std::string other : {"null", "\"3000\"", "[]", "true"})
            CPPUNIT_ASSERT_THROW((void)this->cold_remaining(other), peer_error);
    }

    /** Cold-start time and rate of a service: limited likewise, ignored if not a number. */
    void in_a_service()
    {
        const service_traits valid = this->traits(R"(,"coldStartS":3.0,"coldPerS":13.0)");
        CPPUNIT_ASSERT(valid.cold_start == seconds(3));
        CPPUNIT_ASSERT(valid.cold_requests_per_s == 13);
        CPPUNIT_ASSERT(this->traits(R"(,"coldPerS":0)").cold_requests_per_s == 0);
        CPPUNIT_ASSERT(this->traits(R"(,"coldPerS":-4)").cold_requests_per_s == 0);
        CPPUNIT_ASSERT(this->traits(R"(,"coldStartS":-4)").cold_start == milliseconds(0));
        CPPUNIT_ASSERT(this->traits(R"(,"coldStartS":1e12)").cold_start == seconds(60));
        for (const std::string other : {"null", "\"13\"", "[]", "{}"}) {
            std::string members = R"(,"coldStartS":)";
            members.append(other).append(R"(,"coldPerS":)").append(other);
            const service_traits parsed = this->traits(members);
            CPPUNIT_ASSERT(parsed.cold_start == milliseconds(0));
            CPPUNIT_ASSERT(!parsed.cold_requests_per_s);
        }
        CPPUNIT_ASSERT(!this->traits("").cold_requests_per_s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_cold_times);

} // namespace
