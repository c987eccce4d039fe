/** \file
 * Tests of malformed responses that servers send to the router. Guards against a caller that
 * receives one as an answer, in whole or in part, against a repeated non-idempotent request, and
 * against another request on the connection of such a response.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/malformed_responses.h"
#include "support/path_rig.h"
#include "support/vm_group.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class malformed_server_responses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(malformed_server_responses);
    CPPUNIT_TEST(status_lines);
    CPPUNIT_TEST(header_lines);
    CPPUNIT_TEST(framing);
    CPPUNIT_TEST(idempotent_request_is_retried);
    CPPUNIT_TEST(in_pieces);
    CPPUNIT_TEST(connection_is_not_reused);
    CPPUNIT_TEST(counted);
    CPPUNIT_TEST(counts_against_the_server);
    CPPUNIT_TEST(before_the_first_event);
    CPPUNIT_TEST(on_resumption);
    CPPUNIT_TEST(through_another_vm);
    CPPUNIT_TEST(through_another_vm_to_a_caller);
    CPPUNIT_TEST(informational_response_before_the_answer);
    CPPUNIT_TEST(responses_without_body);
    CPPUNIT_TEST(responses_to_head);
    CPPUNIT_TEST(well_formed_responses);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;

    static scripted_response good(const std::string& request)
    {
        return {response_text(200, request, "good"), then::keep};
    }

    /** The headers with which a server proves that it answers \p request. */
    static std::string proof(const std::string& request)
    {
        return "X-Request-Id: " + header_in(request, "x-request-id") +
               "\r\nX-Response-Signature: sig\r\n";
    }

    /** Each of \p responses, to a request that must not be repeated, becomes a 502 that nobody
     * signed. */
    void become_502(const std::vector<malformed_response>& responses)
    {
        std::string taken;
        for (const malformed_response& broken : responses) {
            this->setUp();
            const scripted_server& server = this->rig->add_server(
                "a", "desk", [&broken](const std::string& request) -> scripted_response {
                    return {broken.bytes(proof(request)), then::close};
                });
            const std::string response =
                this->rig->ask(request_text("POST", "/unsafe/x", "1", "{}"));
            const bool refused = response.starts_with("HTTP/1.1 502 ") &&
                                 header_in(response, "x-response-signature").empty() &&
                                 response.find("whole") == std::string::npos;
            if (!refused || server.requests.size() != 1) taken += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    /** Guards against forwarding a response whose status or version does not exist. */
    void status_lines() { this->become_502(malformed_status_lines()); }

    /** Guards against forwarding a head with lines that are not headers, or that change the header
     * before them. */
    void header_lines() { this->become_502(malformed_header_lines()); }

    /** Guards against forwarding a body with another end or coding than its server's. */
    void framing() { this->become_502(malformed_framing()); }

    /** Guards against failing a request that another server can answer. */
    void idempotent_request_is_retried()
    {
        std::string failed;
        for (const malformed_response& broken : malformed_responses()) {
            this->setUp();
            std::size_t sent = 0;
            const auto first_is_malformed = [&](const std::string& request) -> scripted_response {
                if (++sent > 1) return good(request);
                return {broken.bytes(proof(request)), then::close};
            };
            this->rig->add_server("a", "desk", first_is_malformed);
            this->rig->add_server("b", "desk", first_is_malformed);
            const std::string response = this->rig->ask(request_text("GET", "/safe/x", "1"));
            if (status_in(response) != 200 || body_in(response) != "good")
                failed += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    /** Guards against missing a fault in a head that arrives a byte at a time. */
    void in_pieces()
    {
        scripted_server& server =
            this->rig->add_server("a", "desk", [](const std::string&) -> scripted_response {
                return {"", then::stay_silent};
            });
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text("POST", "/unsafe/x", "1", "{}"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return server.requests.size() == 1; }));
        const std::string bytes = "HTTP/1.1 000 X\r\n" + proof(server.requests.front()) +
                                  "Content-Length: 5\r\n\r\nwhole";
        for (const char byte : bytes) {
            if (server.closed == 1) break;
            server.push(std::string(1, byte));
            this->rig->run_for(milliseconds(2));
        }
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
        CPPUNIT_ASSERT_EQUAL(502, status_in(caller.received));
    }

    /** Guards against sending a request on a connection whose server sends malformed responses. */
    void connection_is_not_reused()
    {
        scripted_server& server =
            this->rig->add_server("a", "desk", [](const std::string& request) -> scripted_response {
                if (header_in(request, "x-request-id") != "1") return good(request);
                return {"HTTP/1.1 000 X\r\n" + proof(request) + "Content-Length: 0\r\n\r\n",
                        then::keep};
            });
        CPPUNIT_ASSERT_EQUAL(
            502, status_in(this->rig->ask(request_text("POST", "/unsafe/x", "1", "{}"))));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return server.closed == 1; }));
        CPPUNIT_ASSERT_EQUAL(
            200, status_in(this->rig->ask(request_text("POST", "/unsafe/x", "2", "{}"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections);
    }

    /** Guards against malformed responses that no metric shows. */
    void counted()
    {
        this->rig->add_server("a", "desk", [](const std::string& request) -> scripted_response {
            return {"HTTP/1.1 000 X\r\n" + proof(request) + "Content-Length: 0\r\n\r\n",
                    then::keep};
        });
        this->rig->ask(request_text("POST", "/unsafe/x", "1", "{}"));
        const std::string expected = "worksshift_malformed_responses_total{from=\"server\"} 1\n";
        CPPUNIT_ASSERT(this->rig->telemetry.text().find(expected) != std::string::npos);
    }

    /** Guards against sending most requests to a server whose responses are malformed. */
    void counts_against_the_server()
    {
        scripted_server& faulty =
            this->rig->add_server("a", "desk", [](const std::string& request) -> scripted_response {
                return {"HTTP/1.1 000 X\r\n" + proof(request) + "Content-Length: 0\r\n\r\n",
                        then::keep};
            });
        scripted_server& sound = this->rig->add_server("b", "desk", good);
        const instant start = std::chrono::steady_clock::now();
        for (int id = 1; id <= 40; ++id)
            this->rig->ask(request_text("POST", "/unsafe/x", std::to_string(id), "{}"));
        const duration elapsed = std::chrono::steady_clock::now() - start;
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, faulty.requests.size() + sound.requests.size());
        // It is paused once its failures weigh 2.5, which fade, and then gets one trial a pause.
        constexpr std::size_t until_paused = 4;
        const auto pauses = static_cast<std::size_t>(elapsed / server_health::initial_pause);
        CPPUNIT_ASSERT(faulty.requests.size() <= until_paused + pauses);
    }

    /** The stream of `events_to_the_third` under another status line and one more header. */
    static scripted_response malformed_stream(const std::string& request,
                                              const malformed_response& broken)
    {
        std::string text = events_to_the_third(request).bytes;
        text.replace(0, text.find("\r\n") + 2, broken.status_line + "\r\n");
        const std::size_t end_of_proof = text.find("Content-Type");
        return {text.insert(end_of_proof, broken.headers), then::close};
    }

    /** Malformed heads that leave the chunks of a stream as they are. */
    static std::vector<malformed_response> malformed_stream_heads()
    {
        return {{"status", "HTTP/1.1 000 X", "", ""},
                {"version", "HTTP/9.9 200 OK", "", ""},
                {"name", "HTTP/1.1 200 OK", "X Y: 1\r\n", ""},
                {"control byte", "HTTP/1.1 200 OK", "X\x01Y: 1\r\n", ""},
                {"continued line", "HTTP/1.1 200 OK", " more\r\n", ""},
                {"coding", "HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n", ""}};
    }

    /** Guards against passing on events under a malformed head, or failing a stream that another
     * server can begin. */
    void before_the_first_event()
    {
        for (const malformed_response& broken : malformed_stream_heads()) {
            this->setUp();
            std::size_t sent = 0;
            const auto answer = [&](const std::string& request) {
                return ++sent == 1 ? malformed_stream(request, broken)
                                   : events_to_the_third(request);
            };
            this->rig->add_server("a", "llm", answer);
            this->rig->add_server("b", "llm", answer);
            const std::string response =
                this->rig->ask(request_text("POST", "/stream/x", "1", "{}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 200, status_in(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, three_events(), body_in(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::size_t{2}, sent);
        }
    }

    /** Guards against events of a resumed stream under a malformed head. The caller's stream breaks
     * off, as no attempt is left. */
    void on_resumption()
    {
        for (const malformed_response& broken : malformed_stream_heads()) {
            this->setUp();
            std::size_t sent = 0;
            const auto answer = [&](const std::string& request) -> scripted_response {
                if (++sent > 1) return malformed_stream(request, broken);
                return {stream_head(request) + event_chunk(1, "d1"), then::close};
            };
            this->rig->add_server("a", "llm", answer);
            this->rig->add_server("b", "llm", answer);
            const std::string response =
                this->rig->ask(request_text("POST", "/stream/x", "1", "{}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::size_t{2}, sent);
            CPPUNIT_ASSERT_MESSAGE(broken.name, !response.ends_with("0\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(broken.name, response.find("d1") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(broken.name, response.find("d2") == std::string::npos);
        }
    }

    /** Guards against a malformed response of another VM to which a request was relayed. */
    void through_another_vm()
    {
        server_connections relay(this->rig->base.get(), this->rig->adapter);
        std::string taken;
        for (const malformed_response& broken : malformed_responses()) {
            scripted_server vm(this->rig->base.get(), [&](const std::string& request) {
                return scripted_response{broken.bytes(proof(request)), then::close};
            });
            bool ended = false;
            attempt_outcome end;
            sigc::connection connected = relay.on_end.connect([&](const attempt_outcome& outcome) {
                ended = true;
                end = outcome;
            });
            attempt_request request;
            request.attempt = 1;
            request.server.text = "127.0.0.1";
            request.address = vm.address();
            request.request_id = "1";
            request.head = request_text("POST", "/unsafe/x", "1");
            relay.start_attempt(request);
            CPPUNIT_ASSERT(this->rig->run_until([&ended] { return ended; }));
            if (end.result != send_progress::broken) taken += "[" + broken.name + "] ";
            connected.disconnect();
            relay.sweep(std::chrono::steady_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

    /** The same for the caller, whose VM relays the request through one that the server answers. */
    static void through_another_vm_to_a_caller()
    {
        std::string taken;
        for (const malformed_response& broken : malformed_responses()) {
            vm_group group(2);
            const scripted_server& server =
                group.add_server("a", "desk", [&broken](const std::string& request) {
                    return scripted_response{broken.bytes(proof(request)), then::close};
                });
            group.cut_off_and_detect(0, cut_kind::refused);
            raw_caller& caller = group.add_caller(0);
            caller.send(request_text("POST", "/unsafe/x", "1", "{}"));
            CPPUNIT_ASSERT(group.run_until(
                [&caller] { return caller.closed || is_complete_response(caller.received); }));
            const bool refused = caller.received.starts_with("HTTP/1.1 502 ") &&
                                 header_in(caller.received, "x-response-signature").empty() &&
                                 caller.received.find("whole") == std::string::npos;
            if (!refused || server.requests.size() != 1) taken += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

    /** Guards against passing on anything of an informational response, which ends before the
     * answer begins, or taking the answer's bytes for its body. */
    void informational_response_before_the_answer()
    {
        for (const std::string head :
             {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
              "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n",
              "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
              "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
            this->setUp();
            this->rig->add_server("a", "desk", [&](const std::string& request) {
                return scripted_response{head + good(request).bytes, then::keep};
            });
            const std::string response =
                this->rig->ask(request_text("POST", "/unsafe/x", "1", "{}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 200, status_in(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("good"), body_in(response));
            CPPUNIT_ASSERT_MESSAGE(head, response.find("X Y") == std::string::npos);
        }
    }

    /** Guards against waiting for the body of a 204 or 304, which has none whatever its headers
     * say, and against announcing or sending one to a caller that keeps its connection. */
    void responses_without_body()
    {
        for (const std::string status : {"204", "304"}) {
            for (const std::string rest :
                 {"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\n",
                  "Content-Length: 5\r\n\r\nwhole",
                  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
                this->setUp();
                this->rig->add_server("a", "desk", [&](const std::string& request) {
                    if (header_in(request, "x-request-id") == "2") return good(request);
                    std::string text = std::string("HTTP/1.1 ").append(status).append(" X\r\n");
                    return scripted_response{text.append(proof(request)).append(rest), then::keep};
                });
                const std::string message = std::string(status).append(" ").append(rest);
                raw_caller& caller = this->rig->add_caller();
                caller.send(request_text("POST", "/unsafe/x", "1", "{}"));
                const auto head_read = [&caller] { return caller.received.ends_with("\r\n\r\n"); };
                CPPUNIT_ASSERT_MESSAGE(message, this->rig->run_until(head_read));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::stoi(status),
                                             status_in(caller.received));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("sig"),
                                             header_in(caller.received, "x-response-signature"));
                CPPUNIT_ASSERT_MESSAGE(message,
                                       header_in(caller.received, "content-length").empty());
                CPPUNIT_ASSERT_MESSAGE(message,
                                       header_in(caller.received, "transfer-encoding").empty());
                caller.received.clear();
                caller.send(request_text("POST", "/unsafe/x", "2", "{}"));
                const auto answered = [&caller] { return caller.received.ends_with("good"); };
                CPPUNIT_ASSERT_MESSAGE(message, this->rig->run_until(answered));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 200, status_in(caller.received));
            }
        }
    }

    /** Guards against waiting for the body of a response to HEAD, whose headers describe one that
     * is not sent. */
    void responses_to_head()
    {
        for (const std::string rest :
             {"Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"}) {
            this->setUp();
            this->rig->add_server("a", "desk", [&](const std::string& request) {
                return scripted_response{"HTTP/1.1 200 OK\r\n" + proof(request) + rest, then::keep};
            });
            raw_caller& caller = this->rig->add_caller();
            caller.send(request_text("HEAD", "/safe/x", "1"));
            const auto head_read = [&caller] { return caller.received.ends_with("\r\n\r\n"); };
            CPPUNIT_ASSERT_MESSAGE(rest, this->rig->run_until(head_read));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, 200, status_in(caller.received));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, std::string("sig"),
                                         header_in(caller.received, "x-response-signature"));
        }
    }

    /** Guards against refusing or changing well-formed responses, which servers frame in different
     * ways. */
    void well_formed_responses()
    {
        const std::string chunks = "2\r\nwh\r\n3;x=y\r\nole\r\n0\r\nX-Trailer: 1\r\n\r\n";
        for (const auto& [status_line, rest] : std::vector<std::pair<std::string, std::string>>{
                 {"HTTP/1.1 201 Created", "Content-Length: 5\r\n\r\nwhole"},
                 {"HTTP/1.1 201 ", "content-length:5\r\nX-Empty:\r\n\r\nwhole"},
                 {"HTTP/1.1 201", "transfer-encoding: Chunked\r\n\r\n" + chunks},
                 {"HTTP/1.0 201 Created", "Content-Length: 5\r\n\r\nwhole"},
                 {"HTTP/1.0 201 Created", "\r\nwhole"},
                 {"HTTP/1.1 201 Created", "Connection: close\r\n\r\nwhole"}}) {
            this->setUp();
            this->rig->add_server("a", "desk", [&](const std::string& request) {
                std::string text = status_line + "\r\n" + proof(request);
                return scripted_response{text.append("X-A: \xc3\xa4 b\r\n").append(rest),
                                         then::close};
            });
            const std::string response =
                this->rig->ask(request_text("POST", "/unsafe/x", "1", "{}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, 201, status_in(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, std::string("sig"),
                                         header_in(response, "x-response-signature"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, std::string("\xc3\xa4 b"),
                                         header_in(response, "x-a"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, std::string("whole"), body_in(response));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_server_responses);

} // namespace
