/** \file
 * Requests that are in progress or arrive at a stopping `worksshiftd`, on connections that were
 * open before. Each gets a complete response: it is served if it can end before the stop deadline,
 * and refused at once if not.
 */
#include <csignal>

#include <cppunit/extensions/HelperMacros.h>

#include "support/fleet.h"

namespace {

using support::kept_connection;

constexpr std::uint32_t token_interval_ms = 50;
constexpr std::uint32_t tokens_per_s = 1000 / token_interval_ms;

class requests_late_in_a_gate_fleet_stop : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requests_late_in_a_gate_fleet_stop);
    CPPUNIT_TEST(sent_as_the_last_response_ends);
    CPPUNIT_TEST(deadline_after_the_stop);
    CPPUNIT_TEST(unfinished_at_the_stop_deadline);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<support::fleet> fleet;

    void start(unsigned stop_deadline_s)
    {
        support::fleet_options options;
        options.engine_arguments = {"--token-interval-ms", std::to_string(token_interval_ms)};
        options.router_arguments = {"--stop-deadline-s=" + std::to_string(stop_deadline_s)};
        this->fleet = std::make_unique<support::fleet>(options);
        this->fleet->start();
    }

    [[nodiscard]] std::size_t running() const
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < this->fleet->engines.size(); ++i)
            sum += this->fleet->engine_stats(i)["running"].get<std::size_t>();
        return sum;
    }

    /** Sends a chat request whose response takes \p tokens tokens. */
    static void send(const kept_connection& connection, const std::string& text,
                     std::uint32_t tokens, unsigned deadline_ms, bool stream = true)
    {
        const std::string body = support::chat_body(text, tokens, stream).dump();
        connection.send("POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n"
                        "Authorization: Bearer key-0\r\nX-Chat-Id: " +
                        text + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /** A connection to the first VM on which a stream of \p tokens tokens has begun. */
    [[nodiscard]] kept_connection begin_stream(const std::string& text, std::uint32_t tokens) const
    {
        kept_connection connection(this->fleet->routers[0].front);
        send(connection, text, tokens, 60'000);
        const auto has_data = [](const std::string& bytes) {
            return !support::parse_reply(bytes).body.empty();
        };
        CPPUNIT_ASSERT(connection.read_until(has_data, 5000));
        return connection;
    }

public:
    /** Guards against a request that is accepted after the process has decided to exit, and is cut
     * off 0.3 s later. */
    void sent_as_the_last_response_ends()
    {
        this->start(20);
        kept_connection connection = this->begin_stream("first", 2 * tokens_per_s);
        this->fleet->routers[0].process.signal(SIGTERM);
        const support::reply first = connection.receive(5000);
        CPPUNIT_ASSERT(first.complete);
        CPPUNIT_ASSERT_EQUAL(std::string(), first.header("Connection"));
        send(connection, "second", tokens_per_s, 5000);
        const support::reply second = connection.receive(5000);
        CPPUNIT_ASSERT(second.complete);
        CPPUNIT_ASSERT_EQUAL(200, second.status);
        CPPUNIT_ASSERT_EQUAL(support::expected_stream("second", tokens_per_s), second.body);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), second.header("Connection"));
        CPPUNIT_ASSERT_EQUAL(0, this->fleet->routers[0].process.wait());
    }

    /** Guards against a request that is accepted after the VM has stopped to accept connections,
     * and cut off at the stop deadline. */
    void deadline_after_the_stop()
    {
        this->start(6);
        kept_connection connection = this->begin_stream("first", 2 * tokens_per_s);
        this->fleet->routers[0].process.signal(SIGTERM);
        CPPUNIT_ASSERT(connection.receive(5000).complete);
        send(connection, "second", 10 * tokens_per_s, 20'000);
        const support::reply second = connection.receive(1000);
        CPPUNIT_ASSERT(second.complete);
        CPPUNIT_ASSERT_EQUAL(503, second.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), second.header("X-Worksshift-Outcome"));
        CPPUNIT_ASSERT_EQUAL(std::string("close"), second.header("Connection"));
        CPPUNIT_ASSERT(!second.header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->running());
        CPPUNIT_ASSERT_EQUAL(0, this->fleet->routers[0].process.wait());
    }

    /** Guards against connections that close without a response at the stop deadline, and against
     * a stream that ends then as if it were complete. */
    void unfinished_at_the_stop_deadline()
    {
        this->start(2);
        kept_connection stream = this->begin_stream("stream", 10 * tokens_per_s);
        kept_connection whole(this->fleet->routers[0].front);
        send(whole, "whole", 10 * tokens_per_s, 20'000, false);
        CPPUNIT_ASSERT(support::fleet::wait_for([this] { return this->running() == 2; }, 5000));
        this->fleet->routers[0].process.signal(SIGTERM);
        const support::reply unknown = whole.receive(5000);
        CPPUNIT_ASSERT(unknown.complete);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), unknown.header("X-Worksshift-Outcome"));
        CPPUNIT_ASSERT(!stream.receive(1000).complete);
        CPPUNIT_ASSERT_EQUAL(1, this->fleet->routers[0].process.wait());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requests_late_in_a_gate_fleet_stop);

} // namespace
