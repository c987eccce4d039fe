/** \file
 * Routers as processes, before servers of two software versions. Guards against streams that end,
 * or that get events of another version, when half of the routers are killed and the callers take
 * their streams up at the others.
 */
#include <algorithm>
#include <csignal>

#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"
#include "support/versioned_streams.h"

namespace {

using namespace support;
using namespace worksshift;

struct begun_stream {
    std::string id;
    std::unique_ptr<raw_caller> caller;
    std::unique_ptr<raw_caller> resumed;
};

class streams_go_on_at_their_software_version : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(streams_go_on_at_their_software_version);
    CPPUNIT_TEST(half_of_the_routers_are_killed);
    CPPUNIT_TEST(all_routers_are_killed_amid_a_release);
    CPPUNIT_TEST_SUITE_END();

public:
    static void half_of_the_routers_are_killed()
    {
        constexpr std::size_t routers = 6;
        constexpr std::size_t killed = 3;
        router_fleet fleet(routers);
        fleet.set_config(example_config(1));
        for (const std::string version : {"v1", "v2"}) {
            for (const std::string name : {"a", "b"})
                fleet.add_server(version + name, "llm", holds_new_streams(version), "dc", version);
        }
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        // The routers discover each other.
        fleet.run_until([] { return false; }, seconds(1));
        std::vector<begun_stream> streams;
        for (std::size_t i = 0; i < 12; ++i) {
            const std::size_t router = i % killed;
            streams.push_back({"q" + std::to_string(i), fleet.connect(router), nullptr});
            streams.back().caller->send(new_stream(streams.back().id));
        }
        CPPUNIT_ASSERT(fleet.run_until(
            [&] {
                return std::ranges::all_of(streams, [](const begun_stream& stream) {
                    return !body_in(stream.caller->received).empty();
                });
            },
            seconds(5)));
        for (std::size_t router = 0; router < killed; ++router)
            fleet.routers[router].signal(SIGKILL);
        for (std::size_t i = 0; i < streams.size(); ++i) {
            streams[i].resumed = fleet.connect(killed + i % (routers - killed));
            streams[i].resumed->send(resumption("again" + streams[i].id, streams[i].id));
        }
        CPPUNIT_ASSERT(fleet.run_until(
            [&] {
                return std::ranges::all_of(streams, [](const begun_stream& stream) {
                    return has_ended(stream.resumed.get());
                });
            },
            seconds(5)));
        for (const begun_stream& stream : streams) {
            CPPUNIT_ASSERT_MESSAGE(stream.resumed->received, is_complete(*stream.resumed));
            CPPUNIT_ASSERT(versions_in(stream.caller->received) ==
                           versions_in(stream.resumed->received));
        }
    }

    /** Guards against routers that have just started and join a stream of the old version with the
     * new one, the only version that they know. */
    static void all_routers_are_killed_amid_a_release()
    {
        constexpr std::size_t routers = 4;
        router_fleet fleet(routers);
        fleet.set_config(example_config(1));
        fleet.add_server("old", "llm", holds_new_streams("v1"), "dc", "v1");
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        const auto begin = [&](const std::string& id, std::size_t router) {
            begun_stream stream{id, fleet.connect(router), nullptr};
            stream.caller->send(new_stream(id));
            CPPUNIT_ASSERT(fleet.run_until(
                [&] { return !body_in(stream.caller->received).empty(); }, seconds(2)));
            return stream;
        };
        const auto resume = [&](begun_stream& stream, bool named, std::size_t router) {
            stream.resumed = fleet.connect(router);
            stream.resumed->send(resumption("again-" + stream.id, named ? stream.id : ""));
            CPPUNIT_ASSERT(
                fleet.run_until([&] { return has_ended(stream.resumed.get()); }, seconds(2)));
        };
        std::vector<begun_stream> streams;
        for (std::size_t i = 0; i < 2 * routers; ++i)
            streams.push_back(begin("q" + std::to_string(i), i % routers));
        for (child& router : fleet.routers) {
            router.signal(SIGKILL);
            router.wait();
        }
        fleet.remove_server("old");
        const scripted_server& server =
            fleet.add_server("new", "llm", holds_new_streams("v2"), "dc", "v2");
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        for (std::size_t i = 0; i < streams.size(); ++i) {
            resume(streams[i], i < routers, i % routers);
            CPPUNIT_ASSERT_EQUAL(503, status_in(streams[i].resumed->received));
        }
        CPPUNIT_ASSERT(server.requests.empty());
        // Streams that begin after the restart go on.
        fleet.run_until([] { return false; }, seconds(1));
        begun_stream later = begin("later", 0);
        resume(later, true, 1);
        CPPUNIT_ASSERT(is_complete(*later.resumed));
        CPPUNIT_ASSERT(versions_in(later.caller->received) == versions_in(later.resumed->received));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(streams_go_on_at_their_software_version);

} // namespace
