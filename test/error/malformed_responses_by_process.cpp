/** \file
 * Malformed responses of servers to a `worksshift-router` and to a fleet of `worksshiftd`, as
 * processes. Guards against readers of responses that the tests in one process do not use.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/malformed_responses.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using then = scripted_response::then;

class malformed_responses_by_process : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(malformed_responses_by_process);
    CPPUNIT_TEST(router);
    CPPUNIT_TEST(service_of_a_gate_fleet);
    CPPUNIT_TEST(engine_of_a_gate_fleet);
    CPPUNIT_TEST_SUITE_END();

    /** Responses of a server in trouble: one of each kind. */
    static std::vector<malformed_response> samples()
    {
        const std::string length = "Content-Length: 5\r\n";
        return {{"status", "HTTP/1.1 000 X", length, "whole"},
                {"status 999", "HTTP/1.1 999 X", length, "whole"},
                {"version", "HTTP/0.0 200 OK", length, "whole"},
                {"blank in a name", "HTTP/1.1 200 OK", "X Y: 1\r\n" + length, "whole"},
                {"control byte in a name", "HTTP/1.1 200 OK", "X\x01Y: 1\r\n" + length, "whole"},
                {"continued line", "HTTP/1.1 200 OK", " more\r\n" + length, "whole"},
                {"coding", "HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n", "whole"},
                {"two lengths", "HTTP/1.1 200 OK", length + length, "whole"}};
    }

    static fleet_options gate_fleet()
    {
        fleet_options options;
        options.routers = 2;
        options.engines = 1;
        options.services = 1;
        options.data_centres = 1;
        return options;
    }

public:
    static void router()
    {
        router_fleet fleet(1);
        fleet.set_config(example_config(1));
        std::string bytes;
        const scripted_server& server =
            fleet.add_server("a", "desk", [&bytes](const std::string& request) {
                if (bytes.empty())
                    return scripted_response{response_text(200, request, "good"), then::keep};
                return scripted_response{bytes, then::close};
            });
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        std::size_t broken_responses = 0;
        for (const malformed_response& broken : samples()) {
            // A response in between keeps the server from being paused.
            for (int i = 0; i < 2; ++i) {
                bytes.clear();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    broken.name, 200,
                    status_in(fleet.ask(0, request_text("POST", "/unsafe/x", "1", "{}"))));
            }
            bytes = broken.bytes("X-Request-Id: 2\r\nX-Response-Signature: sig\r\n");
            const std::size_t before = server.requests.size();
            const std::string response = fleet.ask(0, request_text("POST", "/unsafe/x", "2", "{}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 502, status_in(response));
            CPPUNIT_ASSERT_MESSAGE(broken.name,
                                   header_in(response, "x-response-signature").empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, before + 1, server.requests.size());
            ++broken_responses;
        }
        const std::string counted = "worksshift_malformed_responses_total{from=\"server\"} " +
                                    std::to_string(broken_responses) + "\n";
        CPPUNIT_ASSERT(fleet.metrics(0).find(counted) != std::string::npos);
    }

    /** Through each of two VMs, at least one of which is not the server's gate. */
    static void service_of_a_gate_fleet()
    {
        fleet gates(gate_fleet());
        gates.start();
        const worksshift::header key{"Authorization", "Bearer key-1"};
        const std::uint16_t service = gates.services.front().port;
        for (const support::router& vm : gates.routers) {
            const std::uint16_t port = vm.front;
            for (const malformed_response& broken : samples()) {
                http(service, "POST", "/fault?mode=raw&count=1", {}, broken.bytes("X-A: a\r\n"));
                const reply lost = http(port, "POST", "/desk/tickets", {key}, broken.name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 502, lost.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::string("unknown"),
                                             lost.header("X-Worksshift-Outcome"));
                const reply next = http(port, "POST", "/desk/tickets", {key}, "next");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 201, next.status);
            }
        }
        const std::string name = "worksshift_malformed_responses_total{from=\"server\"}";
        const auto expected = static_cast<double>(samples().size() * gates.routers.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, gates.metric(0, name) + gates.metric(1, name), 0.1);
    }

    static void engine_of_a_gate_fleet()
    {
        fleet gates(gate_fleet());
        gates.start();
        const std::uint16_t engine = gates.engines.front().port;
        for (malformed_response broken : samples()) {
            broken.headers.insert(0, "Content-Type: text/event-stream\r\n");
            http(engine, "POST", "/fault?mode=raw&count=1", {}, broken.bytes("X-A: a\r\n"));
            const reply response = gates.chat(0, "chat " + broken.name, broken.name, 12);
            const bool retried = response.status == 200 && response.complete &&
                                 response.body == expected_stream(broken.name, 12);
            const bool refused =
                response.status >= 500 && !response.header("X-Worksshift-Outcome").empty();
            CPPUNIT_ASSERT_MESSAGE(broken.name, retried || refused);
            const auto served = [&] { return gates.chat(0, "next", "next", 4).status == 200; };
            CPPUNIT_ASSERT_MESSAGE(broken.name, fleet::wait_for(served, 10000));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_responses_by_process);

} // namespace
