/** \file
 * A planned stop must not need the platform: streams in flight complete while the platform is down,
 * and the process exits with status 0. Guards against a stop that aborts work because it waits for
 * a platform call.
 */
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

class planned_stop_needs_no_platform : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_needs_no_platform);
    CPPUNIT_TEST(streams_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a stop that truncates streams in flight while the platform is down. */
    void streams_complete()
    {
        constexpr std::size_t streams = 12;
        constexpr std::uint32_t tokens = 100;
        support::fleet_options options;
        options.engine_arguments = {"--token-interval-ms", "20"}; // 2 s per stream
        support::fleet fleet(options);
        fleet.start();
        std::vector<support::reply> responses(streams);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < streams; ++i) {
            callers.emplace_back([&, i] {
                const std::string text = "summary " + std::to_string(i);
                responses[i] = fleet.chat(i % fleet.routers.size(), text, text, tokens);
            });
        }
        const auto all_running = [&] {
            std::size_t running = 0;
            for (std::size_t i = 0; i < fleet.engines.size(); ++i)
                running += fleet.engine_stats(i)["running"].get<std::size_t>();
            return running == streams;
        };
        const bool all_in_flight = support::fleet::wait_for(all_running, 5000);
        fleet.set_faults({{"down", true}});
        fleet.routers[0].process.signal(SIGTERM);
        const int status = fleet.routers[0].process.wait();
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT(all_in_flight);
        CPPUNIT_ASSERT_EQUAL(0, status);
        for (std::size_t i = 0; i < streams; ++i) {
            CPPUNIT_ASSERT(responses[i].complete);
            CPPUNIT_ASSERT_EQUAL(support::expected_stream("summary " + std::to_string(i), tokens),
                                 responses[i].body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_needs_no_platform);

} // namespace
