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
    CPPUNIT_TEST(all_routers_are_killed_with_one_version);
    CPPUNIT_TEST(all_routers_are_killed_after_the_store_forgot_its_history);
    CPPUNIT_TEST(history_is_lost_with_all_routers);
    CPPUNIT_TEST(version_that_came_and_went_while_no_router_ran);
    CPPUNIT_TEST(router_that_is_cut_off_from_the_store);
    CPPUNIT_TEST(single_router_restarts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t killed_routers = 4;

    /** Routers before servers of version v1, with streams that have begun and are not complete. */
    struct fleet_with_streams {
        router_fleet fleet{killed_routers};
        std::vector<begun_stream> streams;

        explicit fleet_with_streams(bool store_accepts_writes)
        {
            this->fleet.store->accepts_writes = store_accepts_writes;
            for (const std::string name : {"a", "b"})
                this->fleet.add_server(name, "llm", holds_new_streams("v1"), "dc", "v1");
            this->fleet.set_config(example_config(1));
            this->fleet.start_all();
            CPPUNIT_ASSERT(this->fleet.wait_until_all_ready());
        }

        void begin_streams()
        {
            for (std::size_t i = 0; i < 2 * killed_routers; ++i) {
                begun_stream stream{"q" + std::to_string(i),
                                    this->fleet.connect(i % killed_routers), nullptr};
                stream.caller->send(new_stream(stream.id));
                CPPUNIT_ASSERT(this->fleet.run_until(
                    [&] { return !body_in(stream.caller->received).empty(); }, seconds(2)));
                this->streams.push_back(std::move(stream));
            }
        }

        void kill_routers()
        {
            for (child& router : this->fleet.routers) {
                router.signal(SIGKILL);
                router.wait();
            }
        }

        /** The routers start again, and callers take the streams up at once. Half of them name
         * their stream. */
        void restart_and_resume()
        {
            this->fleet.start_all();
            CPPUNIT_ASSERT(this->fleet.wait_until_all_ready());
            for (std::size_t i = 0; i < this->streams.size(); ++i) {
                begun_stream& stream = this->streams[i];
                const bool named = i < killed_routers;
                stream.resumed = this->fleet.connect((i + 1) % killed_routers);
                stream.resumed->send(resumption("again-" + stream.id, named ? stream.id : ""));
            }
            CPPUNIT_ASSERT(this->fleet.run_until(
                [&] {
                    return std::ranges::all_of(this->streams, [](const begun_stream& stream) {
                        return has_ended(stream.resumed.get());
                    });
                },
                seconds(3)));
        }

        void assert_all_go_on() const
        {
            for (const begun_stream& stream : this->streams) {
                CPPUNIT_ASSERT_MESSAGE(stream.resumed->received, is_complete(*stream.resumed));
                CPPUNIT_ASSERT(versions_in(stream.resumed->received) ==
                               std::set<std::string>{"v1"});
            }
        }

        void assert_all_refused() const
        {
            for (const begun_stream& stream : this->streams)
                CPPUNIT_ASSERT_EQUAL(503, status_in(stream.resumed->received));
        }
    };

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

    /** Guards against refusing all streams after the loss of all routers, though no server has had
     * another version. The store takes no writes, so only its history tells. */
    static void all_routers_are_killed_with_one_version()
    {
        fleet_with_streams test(false);
        test.begin_streams();
        test.kill_routers();
        test.restart_and_resume();
        test.assert_all_go_on();
    }

    /** The same after the store has dropped its history up to what the routers stored last. */
    static void all_routers_are_killed_after_the_store_forgot_its_history()
    {
        fleet_with_streams test(true);
        const fakes::fake_store& store = *test.fleet.store;
        CPPUNIT_ASSERT(
            test.fleet.run_until([&] { return store.holds("version-logs", "log"); }, seconds(10)));
        test.begin_streams();
        test.kill_routers();
        // The newest change is the writing of the log.
        test.fleet.store->forget_history_but(1);
        test.restart_and_resume();
        test.assert_all_go_on();
    }

    /** Guards against a guess: what served before is in no history and in no log. */
    static void history_is_lost_with_all_routers()
    {
        fleet_with_streams test(false);
        test.begin_streams();
        test.kill_routers();
        // A change after the first configuration, so that the history does not reach back to it.
        test.fleet.add_server("c", "llm", holds_new_streams("v1"), "dc", "v1");
        test.fleet.store->forget_history();
        test.restart_and_resume();
        test.assert_all_refused();
    }

    /** Guards against overlooking a version whose servers are listed at no time by a router. */
    static void version_that_came_and_went_while_no_router_ran()
    {
        fleet_with_streams test(false);
        test.begin_streams();
        test.kill_routers();
        test.fleet.add_server("c", "llm", holds_new_streams("v2"), "dc", "v2");
        test.fleet.remove_server("c");
        test.restart_and_resume();
        test.assert_all_refused();
    }

    /** Guards against a router that gets the servers from others, cannot read what served before,
     * and goes on all the same. */
    static void router_that_is_cut_off_from_the_store()
    {
        fleet_with_streams test(true);
        test.begin_streams();
        test.kill_routers();
        for (std::size_t router = 1; router < killed_routers; ++router)
            test.fleet.set_store_address(router, {"127.0.0.1", free_port()});
        test.restart_and_resume();
        for (std::size_t i = 0; i < test.streams.size(); ++i) {
            const std::size_t router = (i + 1) % killed_routers;
            CPPUNIT_ASSERT_EQUAL(router == 0 ? 200 : 503,
                                 status_in(test.streams[i].resumed->received));
        }
    }

    /** Guards against refusing unnamed streams for a minute after the start of a router. */
    static void single_router_restarts()
    {
        fleet_with_streams test(false);
        test.begin_streams();
        test.fleet.routers.front().signal(SIGKILL);
        test.fleet.routers.front().wait();
        test.fleet.start(0);
        CPPUNIT_ASSERT(test.fleet.wait_until_all_ready());
        const std::unique_ptr<raw_caller> caller = test.fleet.connect(0);
        caller->send(resumption("again", ""));
        CPPUNIT_ASSERT(test.fleet.run_until([&] { return has_ended(caller.get()); }, seconds(2)));
        CPPUNIT_ASSERT_MESSAGE(caller->received, is_complete(*caller));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(streams_go_on_at_their_software_version);

} // namespace
