/** \file
 * Requests that reach a router process after its stop request, on connections that were open
 * before. Each gets a complete response: it is served if it can end within the grace period, and
 * refused at once if not.
 */
#include <algorithm>
#include <csignal>

#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

constexpr const char* stream_end = "0\r\n\r\n";

class requests_during_a_planned_stop : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requests_during_a_planned_stop);
    CPPUNIT_TEST(sent_behind_a_stream_that_began_before);
    CPPUNIT_TEST(further_signals);
    CPPUNIT_TEST(shortest_grace_period);
    CPPUNIT_TEST(unfinished_at_the_end_of_the_grace_period);
    CPPUNIT_TEST(client_that_reads_slowly);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<router_fleet> fleet;
    scripted_server* engine = nullptr;

    static scripted_response complete(const std::string& request)
    {
        return {response_text(200, request, header_in(request, "x-request-id")), then::keep};
    }

    static scripted_response silent(const std::string&) { return {"", then::stay_silent}; }

    /** A stream of which the test pushes all but the first event. */
    static scripted_response first_event(const std::string& request)
    {
        return {stream_head(request) + event_chunk(1, "first"), then::keep};
    }

    /** The example configuration without short timeouts of routes and idle connections. */
    static std::string long_timeout_config()
    {
        std::string config = example_config(1);
        for (std::size_t at = 0; (at = config.find(":1500", at)) != std::string::npos; ++at)
            config.replace(at, 5, ":9000");
        const std::string idle = R"("idleTimeoutMs":1000)";
        return config.replace(config.find(idle), idle.size(), R"("idleTimeoutMs":9000)");
    }

    /** A request whose deadline is nine seconds away. */
    static std::string long_deadline_request(const std::string& method, const std::string& target,
                                             const std::string& id, const std::string& body = {})
    {
        std::string text = request_text(method, target, id, body);
        return text.replace(text.find(": 2000"), 6, ": 9000");
    }

    void start(unsigned grace_s, scripted_server::script desk = complete)
    {
        this->fleet = std::make_unique<router_fleet>(1);
        this->fleet->stop_grace_s = grace_s;
        this->fleet->set_config(long_timeout_config());
        this->fleet->add_server("a", "desk", std::move(desk));
        this->engine = &this->fleet->add_server("e", "llm", first_event);
        this->fleet->start_all();
        CPPUNIT_ASSERT(this->fleet->wait_until_all_ready());
    }

    void run_for(duration span)
    {
        this->fleet->run_until([] { return false; }, span);
    }

    /** Begins streams and waits for the first event of each. */
    std::vector<std::unique_ptr<raw_caller>> begin_streams(std::size_t count)
    {
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(this->fleet->connect(0));
            callers.back()->send(
                long_deadline_request("POST", "/once/x", "first" + std::to_string(i), "{}"));
        }
        const auto has_event = [](const auto& caller) {
            return body_in(caller->received).find("first") != std::string::npos;
        };
        CPPUNIT_ASSERT(this->fleet->run_until(
            [&] { return std::ranges::all_of(callers, has_event); }, seconds(2)));
        return callers;
    }

    /** The exit status; std::nullopt if the process still runs after \p limit. */
    std::optional<int> exits_within(duration limit)
    {
        std::optional<int> status;
        const auto exited = [&] {
            status = this->fleet->routers[0].exit_status();
            return status.has_value();
        };
        this->fleet->run_until(exited, limit);
        return status;
    }

    static bool is_complete(const std::unique_ptr<raw_caller>& caller)
    {
        return is_complete_response(caller->received);
    }

public:
    /** Guards against requests that are accepted late in a stop, behind a response that could not
     * announce it, and cut off when the process exits. */
    void sent_behind_a_stream_that_began_before()
    {
        this->start(8);
        const auto callers = this->begin_streams(4);
        this->fleet->routers[0].signal(SIGTERM);
        this->run_for(seconds(4));
        this->engine->push_to_all(event_chunk(2, "last") + stream_end);
        std::size_t next = 0;
        for (const auto& caller : callers) {
            CPPUNIT_ASSERT(this->fleet->run_until([&] { return is_complete(caller); }, seconds(1)));
            CPPUNIT_ASSERT_EQUAL(std::string(), header_in(caller->received, "connection"));
            caller->received.clear();
            const std::string id = "second" + std::to_string(next);
            caller->send(next++ % 2 == 0 ? long_deadline_request("POST", "/once/x", id, "{}")
                                         : request_text("POST", "/unsafe/x", id, "{}"));
        }
        CPPUNIT_ASSERT(this->fleet->run_until(
            [&] { return std::ranges::all_of(callers, is_complete); }, seconds(1)));
        for (std::size_t i = 0; i < callers.size(); ++i) {
            const std::string& received = callers[i]->received;
            CPPUNIT_ASSERT_EQUAL(i % 2 == 0 ? 503 : 200, status_in(received));
            CPPUNIT_ASSERT_EQUAL(std::string("close"), header_in(received, "connection"));
            CPPUNIT_ASSERT_EQUAL(i % 2 == 0, !header_in(received, "retry-after").empty());
        }
        CPPUNIT_ASSERT_EQUAL(callers.size(), this->engine->requests.size());
        CPPUNIT_ASSERT(this->exits_within(seconds(2)) == 0);
    }

    /** Guards against a stop that begins anew, or that cuts a response off, at a further signal. */
    void further_signals()
    {
        this->start(5);
        const auto callers = this->begin_streams(1);
        const instant begun = std::chrono::steady_clock::now();
        for (const int signal : {SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
            this->fleet->routers[0].signal(signal);
            this->run_for(milliseconds(700));
        }
        CPPUNIT_ASSERT(!callers[0]->closed);
        this->engine->push_to_all(event_chunk(2, "last") + stream_end);
        CPPUNIT_ASSERT(this->fleet->run_until([&] { return is_complete(callers[0]); }, seconds(1)));
        CPPUNIT_ASSERT(this->exits_within(begun + seconds(5) - std::chrono::steady_clock::now()) ==
                       0);
    }

    /** Guards against a process that is killed because its grace period is shorter than the time
     * for which connections are accepted. */
    void shortest_grace_period()
    {
        this->start(1, silent);
        const auto caller = this->fleet->connect(0);
        caller->send(long_deadline_request("POST", "/unsafe/x", "1", "{}"));
        CPPUNIT_ASSERT(this->fleet->run_until(
            [&] { return !this->fleet->servers[0]->requests.empty(); }, seconds(1)));
        this->fleet->routers[0].signal(SIGTERM);
        CPPUNIT_ASSERT(this->exits_within(seconds(1)) == 1);
        CPPUNIT_ASSERT_EQUAL(502, status_in(caller->received));
        CPPUNIT_ASSERT(is_complete(caller));
    }

    /** Guards against connections that close without a response when the grace period is over, and
     * against a stream that ends then as if it were complete. */
    void unfinished_at_the_end_of_the_grace_period()
    {
        this->start(3, silent);
        const auto stream = this->begin_streams(1);
        const auto once = this->fleet->connect(0);
        once->send(long_deadline_request("POST", "/unsafe/x", "1", "{}"));
        const auto repeatable = this->fleet->connect(0);
        repeatable->send(long_deadline_request("GET", "/safe/x", "2"));
        const auto partial = this->fleet->connect(0);
        const std::string text = long_deadline_request("POST", "/unsafe/x", "3", "{}");
        partial->send(text.substr(0, text.size() - 1));
        CPPUNIT_ASSERT(this->fleet->run_until(
            [&] { return this->fleet->servers[0]->requests.size() == 2; }, seconds(1)));
        this->fleet->routers[0].signal(SIGTERM);
        CPPUNIT_ASSERT(this->exits_within(seconds(3)) == 1);
        CPPUNIT_ASSERT_EQUAL(502, status_in(once->received));
        CPPUNIT_ASSERT_EQUAL(502, status_in(repeatable->received));
        CPPUNIT_ASSERT_EQUAL(503, status_in(partial->received));
        for (const auto* caller : {&once, &repeatable, &partial}) {
            CPPUNIT_ASSERT(is_complete(*caller));
            CPPUNIT_ASSERT_EQUAL(std::string("close"),
                                 header_in((*caller)->received, "connection"));
        }
        CPPUNIT_ASSERT(stream[0]->closed);
        CPPUNIT_ASSERT(!is_complete(stream[0]));
    }

    /** Guards against a process that exits while a part of a complete response is in its buffer. */
    void client_that_reads_slowly()
    {
        constexpr std::size_t body_bytes = 60'000;
        this->start(8, [](const std::string& request) -> scripted_response {
            return {response_text(200, request, std::string(body_bytes, 'x')), then::keep};
        });
        const auto caller = this->fleet->connect(0, 4096);
        caller->read_slowly(1000, milliseconds(100));
        caller->send(long_deadline_request("POST", "/unsafe/x", "1", "{}"));
        this->run_for(milliseconds(500));
        this->fleet->routers[0].signal(SIGTERM);
        this->fleet->run_until([&] { return caller->closed; }, seconds(8));
        CPPUNIT_ASSERT_EQUAL(body_bytes, body_in(caller->received).size());
        CPPUNIT_ASSERT(this->exits_within(seconds(2)) == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requests_during_a_planned_stop);

} // namespace
