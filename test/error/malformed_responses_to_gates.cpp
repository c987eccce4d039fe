/** \file
 * Tests of malformed responses to a gate's calls of servers (`server_calls`) and to calls of other
 * processes (`http_client`: the store, peers, load reports and orders of engines). Guards against
 * passing one on, or taking one for a state.
 */
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include "engine_client.h"
#include "platform.h"
#include "server_calls.h"
#include "store_watch_client.h"
#include "support/malformed_responses.h"
#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

/** What a gate sent to the entry VM of one call, and how the call ended. */
struct gate_result {
    bool has_head = false;
    attempt_head head;
    std::string body;
    bool ended = false;
    call_ended end;
};

class malformed_responses_to_gates : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(malformed_responses_to_gates);
    CPPUNIT_TEST(well_formed_call);
    CPPUNIT_TEST(malformed_calls);
    CPPUNIT_TEST(refusal_under_a_malformed_head);
    CPPUNIT_TEST(malformed_stream);
    CPPUNIT_TEST(connection_is_not_reused);
    CPPUNIT_TEST(connection_is_reused);
    CPPUNIT_TEST(connection_is_reused_after_a_full_window);
    CPPUNIT_TEST(unsolicited_response_is_discarded);
    CPPUNIT_TEST(response_sent_before_the_request);
    CPPUNIT_TEST(informational_response_before_the_answer);
    CPPUNIT_TEST(responses_without_body);
    CPPUNIT_TEST(response_to_head);
    CPPUNIT_TEST(malformed_responses_of_other_processes);
    CPPUNIT_TEST(well_formed_responses_of_other_processes);
    CPPUNIT_TEST(malformed_load_reports_and_orders);
    CPPUNIT_TEST(malformed_pages_of_the_store);
    CPPUNIT_TEST_SUITE_END();

    event_ptr<event_base> base;
    std::unique_ptr<server_calls> calls;
    std::unique_ptr<http_client> client;
    std::map<std::uint64_t, gate_result> results;
    std::uint64_t last_call = 0;

    bool run_until(const std::function<bool()>& done)
    {
        const instant limit = std::chrono::steady_clock::now() + seconds(5);
        while (!done()) {
            const instant now = std::chrono::steady_clock::now();
            if (now > limit) return false;
            constexpr timeval longest_wait{.tv_sec = 0, .tv_usec = 5000};
            event_base_loopexit(this->base.get(), &longest_wait);
            event_base_loop(this->base.get(), EVLOOP_ONCE);
            this->calls->sweep(now);
            this->client->sweep();
        }
        return true;
    }

    static server_config config_of(const link_address& address)
    {
        server_config config;
        config.id.text = to_string(address);
        config.address = address.address;
        config.port = address.port;
        return config;
    }

    /** Starts a call and returns where its result will be. */
    const gate_result& start(const server_config& server, const std::string& method = "POST")
    {
        open_attempt attempt;
        attempt.id = {1, ++this->last_call};
        attempt.request_id = std::to_string(this->last_call);
        attempt.method = method;
        attempt.path = "/tickets";
        attempt.body = method == "POST" ? "{}" : "";
        start_call call;
        call.server = server;
        call.entry.text = "entry";
        call.request = std::make_shared<const open_attempt>(attempt);
        this->calls->start(call, std::chrono::steady_clock::now());
        return this->results[this->last_call];
    }

    /** Calls the server and returns the result. */
    const gate_result& call(const scripted_server& server)
    {
        const gate_result& result = this->start(config_of(server.address()));
        CPPUNIT_ASSERT(this->run_until([&result] { return result.ended; }));
        return result;
    }

    /** Calls `http_client` and returns the response. */
    http_response fetch(const scripted_server& server)
    {
        bool ended = false;
        http_response received;
        this->client->call(server.address(), "GET", "/x", {}, {}, {seconds(2)},
                           [&](const http_response& response) {
                               received = response;
                               ended = true;
                           });
        CPPUNIT_ASSERT(this->run_until([&ended] { return ended; }));
        return received;
    }

    static std::string well_formed(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

public:
    void setUp() override
    {
        this->base = make_event_base();
        this->results.clear();
        this->calls = std::make_unique<server_calls>(this->base.get(), seconds(2));
        this->client = std::make_unique<http_client>(this->base.get());
        this->calls->on_frame.connect([this](const vm_id&, const link_message& message) {
            if (const auto* head = std::get_if<attempt_head>(&message)) {
                this->results[head->id.sequence].head = *head;
                this->results[head->id.sequence].has_head = true;
            } else if (const auto* data = std::get_if<attempt_data>(&message)) {
                this->results[data->id.sequence].body += data->bytes;
            }
        });
        this->calls->on_ended.connect([this](const call_ended& end) {
            this->results[end.id.sequence].end = end;
            this->results[end.id.sequence].ended = true;
        });
    }

    void tearDown() override
    {
        this->client.reset();
        this->calls.reset();
        this->base.reset();
    }

    /** Guards against changing well-formed responses, which servers frame in different ways. */
    void well_formed_call()
    {
        for (const std::string bytes :
             {"HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX-A: \xc3\xa4 b\r\n\r\nwhole",
              "HTTP/1.1 201\r\ntransfer-encoding: Chunked\r\nX-A:\t\xc3\xa4 b \r\n\r\n"
              "2\r\nwh\r\n3\r\nole\r\n0\r\nX-Trailer: 1\r\n\r\n",
              "HTTP/1.0 201 Created\r\nX-A:\xc3\xa4 b\r\nContent-Length: 5\r\n\r\nwhole",
              "HTTP/1.1 201 \r\nX-A: \xc3\xa4 b\r\ncontent-length:5\r\nX-Empty:\r\n\r\nwhole"}) {
            const scripted_server server(this->base.get(), [&bytes](const std::string&) {
                return scripted_response{bytes, then::keep};
            });
            const gate_result& result = this->call(server);
            CPPUNIT_ASSERT_MESSAGE(bytes, result.end.result == outcome::done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 201, static_cast<int>(result.head.status));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("whole"), result.body);
            const auto value = std::ranges::find(result.head.headers, "X-A", &header::name);
            CPPUNIT_ASSERT_MESSAGE(bytes, value != result.head.headers.end());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("\xc3\xa4 b"), value->value);
        }
    }

    /** Guards against passing on a malformed response as complete, or a malformed head at all. */
    void malformed_calls()
    {
        std::string taken;
        std::string forwarded;
        for (const malformed_response& broken : malformed_responses()) {
            const scripted_server server(this->base.get(), [&broken](const std::string&) {
                return scripted_response{broken.bytes("X-A: a\r\n"), then::close};
            });
            const gate_result& result = this->call(server);
            const bool failed = result.end.result == outcome::unknown && result.end.server_fault;
            if (!failed) taken += "[" + broken.name + "] ";
            const bool sound_head = broken.status_line == "HTTP/1.1 200 OK" &&
                                    (broken.headers == "Transfer-Encoding: chunked\r\n" ||
                                     broken.headers == "Content-Length: 9\r\n");
            if (result.has_head && !sound_head) forwarded += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
        CPPUNIT_ASSERT_EQUAL(std::string(), forwarded);
    }

    /** Guards against believing that a request did not run because a malformed head says so. */
    void refusal_under_a_malformed_head()
    {
        const scripted_server server(this->base.get(), [](const std::string&) {
            return scripted_response{
                "HTTP/1.1 000 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", then::keep};
        });
        CPPUNIT_ASSERT(this->call(server).end.result == outcome::unknown);
    }

    /** Guards against passing on events under a malformed head. */
    void malformed_stream()
    {
        for (const std::string head : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                                       "HTTP/1.1 200 OK\r\nX\x01: 1\r\n"}) {
            const scripted_server server(this->base.get(), [&head](const std::string&) {
                return scripted_response{head + "Content-Type: text/event-stream\r\n"
                                                "Transfer-Encoding: chunked\r\n\r\n"
                                                "f\r\ndata: [DONE]\n\n\n\r\n0\r\n\r\n",
                                         then::keep};
            });
            const gate_result& result = this->call(server);
            CPPUNIT_ASSERT_MESSAGE(head, result.end.result == outcome::unknown);
            CPPUNIT_ASSERT_MESSAGE(head, !result.has_head);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string(), result.body);
        }
    }

    /** Guards against another request on the connection of a malformed response. */
    void connection_is_not_reused()
    {
        const scripted_server server(this->base.get(), [](const std::string&) {
            return scripted_response{"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", then::keep};
        });
        this->call(server);
        CPPUNIT_ASSERT(this->run_until([&server] { return server.closed == 1; }));
        this->call(server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections);
    }

    /** Guards against opening a connection for each request. */
    void connection_is_reused()
    {
        const scripted_server server(this->base.get(), [](const std::string&) {
            return scripted_response{well_formed("whole"), then::keep};
        });
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(this->call(server).end.result == outcome::done);
            this->run_until([this] { return this->calls->size() == 0; });
            this->calls->sweep(std::chrono::steady_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections);
    }

    /** Guards against a connection that is not read any more, as its last response filled the
     * window of its caller. */
    void connection_is_reused_after_a_full_window()
    {
        const std::string body(data_window_bytes, 'x');
        const scripted_server server(this->base.get(), [&body](const std::string&) {
            return scripted_response{well_formed(body), then::keep};
        });
        for (int i = 0; i < 3; ++i) {
            const gate_result& result = this->call(server);
            CPPUNIT_ASSERT(result.end.result == outcome::done);
            CPPUNIT_ASSERT_EQUAL(body.size(), result.body.size());
            this->calls->sweep(std::chrono::steady_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections);
    }

    /** Guards against answering a request with a response that was sent before it. */
    void unsolicited_response_is_discarded()
    {
        scripted_server server(this->base.get(), [](const std::string&) {
            return scripted_response{well_formed("whole") + well_formed("other"), then::keep};
        });
        for (int i = 0; i < 3; ++i) {
            const gate_result& result = this->call(server);
            CPPUNIT_ASSERT(result.end.result == outcome::done);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.body);
            this->calls->sweep(std::chrono::steady_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.connections);
    }

    /** The same for a response that arrived on an idle connection and was not read yet. */
    void response_sent_before_the_request()
    {
        evutil_socket_t accepted = -1;
        const loopback_listener listener(
            this->base.get(), [&accepted](evutil_socket_t socket) { accepted = socket; });
        const auto send = [&accepted](const std::string& bytes) {
            static_cast<void>(::send(accepted, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        };
        const gate_result& first = this->start(config_of(listener.address()));
        CPPUNIT_ASSERT(this->run_until([&accepted] { return accepted >= 0; }));
        send(well_formed("first"));
        CPPUNIT_ASSERT(this->run_until([&first] { return first.ended; }));
        this->calls->sweep(std::chrono::steady_clock::now());
        send(well_formed("other"));
        const evutil_socket_t idle = std::exchange(accepted, -1);
        const gate_result& second = this->start(config_of(listener.address()));
        const auto goes_on = [&] { return accepted >= 0 || second.ended; };
        CPPUNIT_ASSERT(this->run_until(goes_on));
        evutil_closesocket(idle);
        CPPUNIT_ASSERT(!second.ended);
        send(well_formed("second"));
        CPPUNIT_ASSERT(this->run_until([&second] { return second.ended; }));
        evutil_closesocket(accepted);
        CPPUNIT_ASSERT(second.end.result == outcome::done);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), second.body);
    }

    /** Guards against taking an informational response for the answer. */
    void informational_response_before_the_answer()
    {
        for (const std::string head :
             {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"}) {
            const scripted_server server(this->base.get(), [&head](const std::string&) {
                return scripted_response{head + well_formed("whole"), then::keep};
            });
            const gate_result& result = this->call(server);
            CPPUNIT_ASSERT_MESSAGE(head, result.end.result == outcome::done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 200, static_cast<int>(result.head.status));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("whole"), result.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("whole"), this->fetch(server).body);
        }
    }

    /** Guards against waiting for the body of a 204 or 304, and against announcing one that is not
     * sent. */
    void responses_without_body()
    {
        for (const std::string status : {"204", "304"}) {
            for (const std::string rest :
                 {"\r\n", "Content-Length: 5\r\n\r\n", "Content-Length: 5\r\n\r\nwhole"}) {
                const scripted_server server(this->base.get(), [&](const std::string&) {
                    return scripted_response{
                        std::string("HTTP/1.1 ").append(status).append(" X\r\n").append(rest),
                        then::keep};
                });
                const std::string message = std::string(status).append(" ").append(rest);
                const gate_result& result = this->call(server);
                CPPUNIT_ASSERT_MESSAGE(message, result.end.result == outcome::done);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), result.body);
                for (const header& field : result.head.headers)
                    CPPUNIT_ASSERT_MESSAGE(message, field.name != "Content-Length");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::stoi(status),
                                             this->fetch(server).status);
            }
        }
    }

    /** Guards against waiting for the body of a response to HEAD, and against a connection that is
     * not used again after one. */
    void response_to_head()
    {
        const scripted_server server(this->base.get(), [](const std::string& request) {
            const std::string whole = well_formed("whole");
            const bool head = request.starts_with("HEAD ");
            return scripted_response{head ? whole.substr(0, whole.size() - 5) : whole, then::keep};
        });
        for (const std::string method : {"HEAD", "POST", "HEAD", "POST"}) {
            const gate_result& result = this->start(config_of(server.address()), method);
            CPPUNIT_ASSERT(this->run_until([&result] { return result.ended; }));
            CPPUNIT_ASSERT(result.end.result == outcome::done);
            CPPUNIT_ASSERT_EQUAL(std::string(method == "POST" ? "whole" : ""), result.body);
            const auto length =
                std::ranges::find(result.head.headers, "Content-Length", &header::name);
            CPPUNIT_ASSERT(length != result.head.headers.end());
            CPPUNIT_ASSERT_EQUAL(std::string("5"), length->value);
            this->calls->sweep(std::chrono::steady_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections);
    }

    /** Guards against a malformed response of another process that counts as one. */
    void malformed_responses_of_other_processes()
    {
        std::string taken;
        for (const malformed_response& broken : malformed_responses()) {
            const scripted_server server(this->base.get(), [&broken](const std::string&) {
                return scripted_response{broken.bytes("X-A: a\r\n"), then::close};
            });
            const http_response response = this->fetch(server);
            if (response.status != 0 || !response.body.empty() || !response.headers.empty())
                taken += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

    /** Guards against changing well-formed responses of other processes. */
    void well_formed_responses_of_other_processes()
    {
        for (const std::string bytes :
             {"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nwhole",
              "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nwhole\r\n0\r\n\r\n",
              "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nwhole"}) {
            const scripted_server server(this->base.get(), [&bytes](const std::string&) {
                return scripted_response{bytes, then::close};
            });
            const http_response response = this->fetch(server);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 200, response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("whole"), response.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("b"), response.header_value("x-a"));
        }
    }

    /** Guards against a load or an acceptance of an order that no engine stated. */
    void malformed_load_reports_and_orders()
    {
        std::string taken;
        engine_client engines(*this->client);
        for (malformed_response broken : malformed_status_lines()) {
            // As 200, it would be taken.
            broken.body = R"({"running":3})";
            broken.headers = "Content-Length: " + std::to_string(broken.body.size()) + "\r\n";
            const scripted_server server(this->base.get(), [&broken](const std::string&) {
                return scripted_response{broken.bytes(""), then::close};
            });
            bool reported = false;
            bool ordered = false;
            bool accepted = false;
            engines.request_load_report(config_of(server.address()), {},
                                        [&reported](const load_report&) { reported = true; });
            start_order order;
            order.server = config_of(server.address());
            engines.send_order(order, [&](const order_result& result) {
                ordered = true;
                accepted = result.accepted;
            });
            CPPUNIT_ASSERT(this->run_until([&] { return ordered && server.closed == 2; }));
            if (reported || accepted) taken += "[" + broken.name + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

    /** Whether a list of the store's objects is taken from a response with this head. */
    bool is_listed(const std::string& head)
    {
        const std::string page = R"({"asOf":7,"truncated":false,"items":[],"events":[]})";
        const scripted_server server(this->base.get(), [&](const std::string&) {
            return scripted_response{head + "Content-Length: " + std::to_string(page.size()) +
                                         "\r\n\r\n" + page,
                                     then::close};
        });
        const protocol adapter = platform_protocol();
        store_watch watch(object_kind::servers);
        bool listed = false;
        watch.on_list.connect([&listed](const auto&) { listed = true; });
        store_watch_client reader(this->base.get(), *this->client, server.address(), adapter,
                                  watch);
        watch.set_mode(read_mode::linearizable, std::chrono::steady_clock::now());
        reader.proceed();
        CPPUNIT_ASSERT(this->run_until([&server] { return server.closed >= 1; }));
        // No call may outlive its reader.
        watch.set_mode(std::nullopt, std::chrono::steady_clock::now());
        this->client = std::make_unique<http_client>(this->base.get());
        return listed;
    }

    /** Guards against a malformed response of the store that is taken for its state. */
    void malformed_pages_of_the_store()
    {
        CPPUNIT_ASSERT(this->is_listed("HTTP/1.1 200 OK\r\n"));
        std::string taken;
        for (const std::string head :
             {"HTTP/1.1 000 X\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 20 X\r\n",
              "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\n X: 1\r\n",
              "HTTP/1.1 200 OK\r\nX: a\x01\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
              "HTTP/1.1 65736 X\r\n"}) {
            if (this->is_listed(head)) taken += "[" + head + "] ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_responses_to_gates);

} // namespace
