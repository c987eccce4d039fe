/** \file
 * Chats through a fleet of separate processes. Guards against responses that lose or change bytes
 * on their way through any router, streamed or not, and against a repeated prompt that misses the
 * prompt cache.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class chat_responses_are_complete : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(chat_responses_are_complete);
    CPPUNIT_TEST(streams_through_every_router);
    CPPUNIT_TEST_SUITE_END();

public:
    void streams_through_every_router()
    {
        support::fleet fleet({});
        fleet.start();
        for (std::size_t router = 0; router < fleet.routers.size(); ++router) {
            const std::string text = "check bracket " + std::to_string(router);
            const support::reply streamed = fleet.chat(router, text, text, 20);
            CPPUNIT_ASSERT_EQUAL(200, streamed.status);
            CPPUNIT_ASSERT(streamed.complete);
            CPPUNIT_ASSERT_EQUAL(support::expected_stream(text, 20), streamed.body);
            const support::reply unstreamed = fleet.chat(router, text, text, 20, false);
            CPPUNIT_ASSERT_EQUAL(200, unstreamed.status);
            CPPUNIT_ASSERT(unstreamed.complete);
        }
        std::size_t reused_tokens = 0;
        for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
            reused_tokens += fleet.engine_stats(i)["reused_tokens"].get<std::size_t>();
        }
        // The second request of each chat has the same prompt, which must be cached.
        CPPUNIT_ASSERT(reused_tokens > 0);
        for (const support::router& router : fleet.routers)
            router.process.signal(SIGTERM);
        for (support::router& router : fleet.routers) {
            CPPUNIT_ASSERT_EQUAL(0, router.process.wait());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chat_responses_are_complete);

} // namespace
