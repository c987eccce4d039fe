/** \file
 * Guards against state that survives a server's restart under the same id: load, health and
 * connections of the previous incarnation must not apply to the new one, and older registry entries
 * must be ignored. Which entry is newer is decided by the store's revision: the clock of a server's
 * machine may be set back between two starts.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "platform.h"
#include "server_registry.h"
#include "support/path_rig.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;

constexpr store_origin from_watch{true};
using then = scripted_response::then;

/** Registry entry of a server that started at \p started_at_ms, in Unix time. */
std::string document(const link_address& address, std::uint64_t started_at_ms,
                     const std::string& state, const std::string& service = "llm")
{
    return R"({"service":")" + service + R"(","address":")" + to_string(address) +
           R"(","zone":"dc","version":"v1","slots":4,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":1,"born":)" + std::to_string(started_at_ms) + "}";
}

stored_object entry(const std::string& name, std::uint64_t started_at_ms,
                    std::uint64_t revision = 1, const std::string& state = "ready",
                    const link_address& address = {"127.0.0.1", 1})
{
    stored_object object;
    object.name = name;
    object.revision = revision;
    object.document = document(address, started_at_ms, state);
    return object;
}

class servers_that_restart : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(servers_that_restart);
    CPPUNIT_TEST(load_and_health_are_reset);
    CPPUNIT_TEST(attempts_are_counted_for_their_incarnation);
    CPPUNIT_TEST(loads_reported_of_the_previous_incarnation_are_ignored);
    CPPUNIT_TEST(older_entry_of_the_previous_incarnation_is_ignored);
    CPPUNIT_TEST(older_removal_of_the_previous_incarnation_is_ignored);
    CPPUNIT_TEST(clock_set_back_before_the_restart);
    CPPUNIT_TEST(drained_after_its_clock_was_set_back);
    CPPUNIT_TEST(removed_after_its_clock_was_set_back);
    CPPUNIT_TEST(requests_after_its_clock_was_set_back);
    CPPUNIT_TEST(request_of_the_previous_incarnation_does_not_count_as_running);
    CPPUNIT_TEST(connections_of_the_previous_incarnation_are_closed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t first_start_ms = 1'790'000'000'000;
    static constexpr std::uint64_t second_start_ms = first_start_ms + 60'000;
    /** Time of a restart on a machine whose clock was set back. */
    static constexpr std::uint64_t set_back_ms = first_start_ms - 2'400;

    protocol adapter = platform_protocol();
    std::unique_ptr<server_table> table;
    std::unique_ptr<server_registry> registry;
    instant start = instant(seconds(1000));
    const server_id id{"a"};

    server_entry& row() { return *this->table->find(this->id); }

    static constexpr std::uint64_t restart_revision = 5;

    /** \p started_at_ms: by the clock of the server's machine. */
    void restart_server(std::uint64_t started_at_ms = second_start_ms)
    {
        this->registry->apply_change(entry("a", started_at_ms, restart_revision), from_watch,
                                     this->start + seconds(60));
    }

public:
    void setUp() override
    {
        this->table = std::make_unique<server_table>(data_centre_id{"dc"});
        this->registry = std::make_unique<server_registry>(*this->table, this->adapter);
        const std::vector<stored_object> all{entry("a", first_start_ms),
                                             entry("b", first_start_ms)};
        this->registry->apply_list(all, store_origin{}, this->start);
    }

    /** The new incarnation starts without load, failures or delays. */
    void load_and_health_are_reset() { this->check_reset(second_start_ms); }

    /** The same if it seems to have started before the previous incarnation. */
    void clock_set_back_before_the_restart() { this->check_reset(set_back_ms); }

    void check_reset(std::uint64_t started_at_ms)
    {
        const instant before = this->start + seconds(59);
        this->row().in_flight = 3;
        this->row().set_reported_load(9, before);
        this->row().health.on_unreachable(before + milliseconds(900));
        this->row().first_delay.add(seconds(2), before);
        this->row().replaced = true;
        this->restart_server(started_at_ms);
        const instant now = this->start + seconds(60);
        this->table->expire_reported_loads(now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, this->row().load());
        CPPUNIT_ASSERT(this->row().health.usable(now));
        CPPUNIT_ASSERT(!this->row().first_delay.known());
        CPPUNIT_ASSERT(this->row().accepts_requests());
    }

    /** An attempt that ends after the restart is counted for the previous incarnation. */
    void attempts_are_counted_for_their_incarnation()
    {
        server_entry& previous_incarnation = this->row();
        previous_incarnation.in_flight = 1;
        this->restart_server();
        this->table->sweep();
        --previous_incarnation.in_flight;
        this->table->sweep();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, this->row().in_flight);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->table->rows().size());
    }

    /** A load reported before the restart is ignored. */
    void loads_reported_of_the_previous_incarnation_are_ignored()
    {
        this->restart_server();
        const auto hash = static_cast<std::uint32_t>(this->row().hash);
        constexpr std::uint8_t age = 40; // 400 ms
        this->table->apply_reported_load({hash, 9, age},
                                         this->start + seconds(60) + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, this->row().load());
        this->table->apply_reported_load({hash, 2, 1},
                                         this->start + seconds(60) + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, this->row().load());
    }

    /** A registry change of the previous incarnation that arrives late is ignored, whatever the
     * clock of the new one says. */
    void older_entry_of_the_previous_incarnation_is_ignored()
    {
        for (const std::uint64_t restarted_at_ms : {second_start_ms, set_back_ms}) {
            this->setUp();
            this->restart_server(restarted_at_ms);
            this->registry->apply_change(
                entry("a", first_start_ms, restart_revision - 1, "draining"), from_watch,
                this->start + seconds(61));
            CPPUNIT_ASSERT(this->row().accepts_requests());
        }
    }

    /** A removal of the previous incarnation that arrives late is ignored. */
    void older_removal_of_the_previous_incarnation_is_ignored()
    {
        for (const std::uint64_t restarted_at_ms : {second_start_ms, set_back_ms}) {
            this->setUp();
            this->restart_server(restarted_at_ms);
            stored_object removal = entry("a", first_start_ms, restart_revision - 1);
            removal.removed = true;
            this->registry->apply_change(removal, from_watch, this->start + seconds(61));
            this->registry->sweep(this->start + seconds(70), this->start);
            CPPUNIT_ASSERT(this->table->find(this->id) != nullptr &&
                           this->row().accepts_requests());
        }
    }

    /** Guards against requests to a server that reports that it leaves, and that seems to have
     * started before its previous incarnation. */
    void drained_after_its_clock_was_set_back()
    {
        this->restart_server(set_back_ms);
        this->registry->apply_change(entry("a", set_back_ms, restart_revision + 1, "draining"),
                                     from_watch, this->start + seconds(61));
        CPPUNIT_ASSERT(!this->row().accepts_requests());
    }

    /** The same for a server whose entry is removed. */
    void removed_after_its_clock_was_set_back()
    {
        this->restart_server(set_back_ms);
        stored_object removal = entry("a", set_back_ms, restart_revision + 1);
        removal.removed = true;
        this->registry->apply_change(removal, from_watch, this->start + seconds(61));
        this->registry->sweep(this->start + seconds(70), this->start);
        const server_entry* row = this->table->find(this->id);
        CPPUNIT_ASSERT(row == nullptr || !row->accepts_requests());
    }

    /** The same with a router as a process, which follows the store. */
    static void requests_after_its_clock_was_set_back()
    {
        router_fleet fleet(1);
        fleet.set_config(example_config(1));
        const auto answer = [](const std::string& request) {
            return scripted_response{response_text(200, request, "x"), then::keep};
        };
        const scripted_server& server = fleet.add_server("a", "desk", answer);
        fleet.add_server("b", "desk", answer);
        const auto put = [&](std::uint64_t started_at_ms, const std::string& state) {
            fleet.store->put("servers", "a",
                             document(server.address(), started_at_ms, state, "desk"));
        };
        put(first_start_ms, "ready");
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        fleet.run_until([] { return false; }, seconds(1));
        put(set_back_ms, "ready");
        put(set_back_ms, "draining");
        fleet.run_until([] { return false; }, milliseconds(500));
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                200, status_in(fleet.ask(0, request_text("GET", "/safe/x", std::to_string(i)))));
        }
        CPPUNIT_ASSERT(server.requests.empty());
    }

    /** Answers of the new incarnation to other requests must not count as a sign that a request
     * lost with the previous one is still running. */
    void request_of_the_previous_incarnation_does_not_count_as_running()
    {
        path_rig rig;
        rig.path->set_config(rig.adapter.decode_config(example_config(1)));
        const auto is_pending_request = [](const std::string& request) {
            return header_in(request, "x-request-id") == "waits";
        };
        const auto script = [&](const std::string& request) {
            if (is_pending_request(request)) return scripted_response{{}, then::stay_silent};
            return scripted_response{stream_head(request) + event_chunk(1, "x") + "0\r\n\r\n",
                                     then::keep};
        };
        const std::vector<const scripted_server*> engines{&rig.add_server("a", "llm", script),
                                                          &rig.add_server("b", "llm", script)};
        const auto with_prompt = [](const std::string& target, const std::string& name) {
            std::string text = request_text("POST", target, name, "x");
            return text.insert(text.find("X-Api-Key"), "X-Prompt-Prefix: aa:100,bb:10\r\n");
        };
        const auto times_sent = [&] {
            std::ptrdiff_t count = 0;
            for (const scripted_server* engine : engines)
                count += std::ranges::count_if(engine->requests, is_pending_request);
            return count;
        };
        rig.add_caller().send(with_prompt("/stream/x", "waits"));
        CPPUNIT_ASSERT(rig.run_until([&] { return times_sent() == 1; }));
        const std::string receiving_server =
            std::ranges::any_of(engines[0]->requests, is_pending_request) ? "a" : "b";
        const link_address address = engines[receiving_server == "a" ? 0 : 1]->address();
        rig.table.put(rig.adapter.decode_server(
            entry(receiving_server, second_start_ms, 1, "ready", address)));
        const instant end =
            std::chrono::steady_clock::now() + min_silence_timeout + milliseconds(300);
        for (unsigned next = 0; std::chrono::steady_clock::now() < end; ++next) {
            rig.add_caller().send(with_prompt("/once/x", std::to_string(next)));
            rig.run_for(milliseconds(40));
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, times_sent());
    }

    /** Connections opened before the restart are closed and not reused. */
    static void connections_of_the_previous_incarnation_are_closed()
    {
        router_fleet fleet(1);
        fleet.set_config(example_config(1));
        scripted_server& server = fleet.add_server("a", "desk", [](const std::string& request) {
            return scripted_response{response_text(200, request, "x"), then::keep};
        });
        fleet.store->put("servers", "a",
                         document(server.address(), first_start_ms, "ready", "desk"));
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        CPPUNIT_ASSERT_EQUAL(200, status_in(fleet.ask(0, request_text("GET", "/safe/x", "r1"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.closed);
        fleet.store->put("servers", "a",
                         document(server.address(), second_start_ms, "ready", "desk"));
        CPPUNIT_ASSERT(fleet.run_until([&] { return server.closed == 1; }, seconds(2)));
        CPPUNIT_ASSERT_EQUAL(200, status_in(fleet.ask(0, request_text("GET", "/safe/x", "r2"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(servers_that_restart);

} // namespace
