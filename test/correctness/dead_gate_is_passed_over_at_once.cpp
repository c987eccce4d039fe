/** \file
 * Guards against requests that wait until their deadline for a gate that was just killed.
 * Connections to it are refused, so they must be sent to another server at once.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/core_fleet.h"

namespace {

using namespace worksshift;

class dead_gate_is_passed_over_at_once : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dead_gate_is_passed_over_at_once);
    CPPUNIT_TEST(requests_after_a_kill);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_after_a_kill()
    {
        support::core_options options;
        options.nodes = 4;
        options.servers = 8;
        options.data_centres = 1;
        support::core_fleet fleet(options);
        fleet.run_for(seconds(12));
        fleet.kill(3);
        // The first half arrives when the links are known to be broken, and is not idempotent.
        // These requests may be sent elsewhere only because no byte of them left this VM.
        for (std::uint64_t chat = 21; chat <= 40; ++chat) {
            support::core_request request;
            request.chat = chat;
            request.idempotent = false;
            fleet.run_for(milliseconds(5));
            fleet.submit(chat % 3, request);
        }
        for (std::uint64_t chat = 1; chat <= 20; ++chat) {
            support::core_request request;
            request.chat = chat;
            request.returning = true;
            fleet.submit(chat % 3, request);
        }
        fleet.run_for(seconds(3));
        for (const support::core_result& result : fleet.results) {
            CPPUNIT_ASSERT(result.end == support::ending::complete);
            CPPUNIT_ASSERT(result.ended - result.sent < seconds(2));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dead_gate_is_passed_over_at_once);

} // namespace
