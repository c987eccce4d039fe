/** \file
 * A server of `http_listener`, in one event loop with raw clients. Guards against memory that is
 * counted for longer than it is held, against an answer that is cut off to make room, and against
 * connections beyond the bound.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "http_listener.h"
#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;

constexpr std::size_t max_connections = 3;
constexpr const char* request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

class internal_ports_are_bounded : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(internal_ports_are_bounded);
    CPPUNIT_TEST(kept_connection_holds_no_more_with_each_request);
    CPPUNIT_TEST(connections_beyond_the_bound);
    CPPUNIT_TEST(answer_in_progress_is_not_cut_off);
    CPPUNIT_TEST(body_without_end);
    CPPUNIT_TEST(unfinished_requests_while_the_account_is_exceeded);
    CPPUNIT_TEST_SUITE_END();

    event_ptr<event_base> base;
    std::unique_ptr<memory_account> account;
    std::unique_ptr<http_listener> listener;
    std::unique_ptr<timer> ticker;
    std::vector<std::unique_ptr<raw_caller>> clients;
    evhttp_request* streamed = nullptr; ///< whose response has begun
    link_address at;

    raw_caller& connect()
    {
        this->clients.push_back(std::make_unique<raw_caller>(this->base.get(), this->at));
        return *this->clients.back();
    }

    bool run_until(const std::function<bool()>& done)
    {
        const instant end = std::chrono::steady_clock::now() + seconds(5);
        while (!done()) {
            if (std::chrono::steady_clock::now() > end) return false;
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return true;
    }

    void stream(const char* bytes) const
    {
        const event_ptr<evbuffer> chunk(evbuffer_new());
        evbuffer_add(chunk.get(), bytes, std::char_traits<char>::length(bytes));
        evhttp_send_reply_chunk(this->streamed, chunk.get());
    }

    std::size_t open_clients() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->clients, [](const auto& client) { return !client->closed; }));
    }

public:
    void setUp() override
    {
        this->base = make_event_base();
        this->at = {"127.0.0.1", free_port()};
        this->account = std::make_unique<memory_account>();
        http_bounds bounds;
        bounds.connections = max_connections;
        this->listener = std::make_unique<http_listener>(this->base.get(), this->at, "tests",
                                                         bounds, *this->account);
        this->listener->on_request("/x", [](evhttp_request* incoming) {
            evbuffer_add(evhttp_request_get_output_buffer(incoming), "answer", 6);
            evhttp_send_reply(incoming, 200, nullptr, nullptr);
        });
        this->listener->on_other_request([this](evhttp_request* incoming) {
            this->streamed = incoming;
            evhttp_send_reply_start(incoming, 200, nullptr);
            this->stream("first;");
        });
        this->ticker =
            std::make_unique<timer>(this->base.get(), [this] { this->listener->sweep(); });
        this->ticker->start_every(milliseconds(5));
    }

    /** Fixtures live until all tests are over; their sockets must not. */
    void tearDown() override
    {
        this->clients.clear();
        this->ticker.reset();
        this->listener.reset();
        this->account.reset();
        this->base.reset();
    }

    void kept_connection_holds_no_more_with_each_request()
    {
        raw_caller& client = this->connect();
        for (int count = 0; count < 100; ++count) {
            client.received.clear();
            client.send(request);
            CPPUNIT_ASSERT(this->run_until([&] { return client.received.ends_with("answer"); }));
        }
        CPPUNIT_ASSERT_EQUAL(connection_bytes, this->account->held());
        client.leave();
        CPPUNIT_ASSERT(this->run_until([&] { return this->account->held() == 0; }));
    }

    /** The connections that were used last stay. */
    void connections_beyond_the_bound()
    {
        for (std::size_t i = 0; i < max_connections + 2; ++i) {
            raw_caller& client = this->connect();
            client.send(request);
            CPPUNIT_ASSERT(this->run_until([&] { return client.received.ends_with("answer"); }));
        }
        CPPUNIT_ASSERT(this->run_until([&] { return this->open_clients() == max_connections; }));
        CPPUNIT_ASSERT(this->clients[0]->closed && this->clients[1]->closed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->listener->closed_for_room());
    }

    void answer_in_progress_is_not_cut_off()
    {
        raw_caller& reader = this->connect();
        reader.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->run_until([&] { return body_in(reader.received) == "first;"; }));
        for (std::size_t i = 0; i < 2 * max_connections; ++i) {
            raw_caller& client = this->connect();
            client.send(request);
            this->run_until([&] { return client.received.ends_with("answer"); });
        }
        CPPUNIT_ASSERT(this->run_until([&] { return this->open_clients() == max_connections; }));
        this->stream("last;");
        evhttp_send_reply_end(this->streamed);
        CPPUNIT_ASSERT(this->run_until([&] { return reader.received.ends_with("0\r\n\r\n"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("first;last;"), body_in(reader.received));
    }

    void body_without_end()
    {
        raw_caller& client = this->connect();
        client.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
        for (int count = 0; count < 100; ++count)
            client.send(chunk);
        CPPUNIT_ASSERT(this->run_until([&] { return client.closed; }));
        CPPUNIT_ASSERT(this->run_until([&] { return this->account->held() == 0; }));
    }

    void unfinished_requests_while_the_account_is_exceeded()
    {
        caller_bounds bounds = bounds_of({});
        bounds.memory = 3 * connection_bytes;
        this->account->set_bounds(bounds);
        raw_caller& client = this->connect();
        client.send("GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(10000, 'x'));
        CPPUNIT_ASSERT(this->run_until([&] { return client.closed; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->listener->closed_for_room());
        CPPUNIT_ASSERT(this->run_until([&] { return this->account->held() == 0; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(internal_ports_are_bounded);

} // namespace
