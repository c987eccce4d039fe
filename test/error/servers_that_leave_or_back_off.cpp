/** \file
 * Guards against requests to a server whose responses say that it is leaving, or that it is backing
 * off after it rejected a request. It must get no more requests, whatever the registry says;
 * callers are served by other servers, or refused at once with the time for a retry.
 *
 * Before the two headers were decoded, only the registry and failed attempts took a server out of
 * use. Requests reached an engine two seconds after it had said that it is leaving, because its
 * registry entry was delayed for twelve seconds while the store was unavailable. Engines that had
 * asked for a back-off of three seconds got five requests of one VM in that time. Without the
 * decoding seven of these cases fail.
 */
#include <algorithm>
#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

/** Requests that may reach a server after it asked for a back-off: those already on their way. */
constexpr std::size_t max_late_requests = 2;

class servers_that_leave_or_back_off : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(servers_that_leave_or_back_off);
    CPPUNIT_TEST(leaving_server_gets_no_requests);
    CPPUNIT_TEST(leaving_engine_gets_no_requests);
    CPPUNIT_TEST(leaving_state_persists);
    CPPUNIT_TEST(restart_ends_leaving_state);
    CPPUNIT_TEST(invalid_leaving_headers);
    CPPUNIT_TEST(backing_off_server_gets_no_requests);
    CPPUNIT_TEST(callers_get_the_remaining_backoff);
    CPPUNIT_TEST(backoff_persists);
    CPPUNIT_TEST(invalid_backoff_periods);
    CPPUNIT_TEST(excessive_backoff_periods);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    std::string first_headers; ///< additional headers of the first server's responses
    int first_status = 200;
    unsigned ids = 0;

    scripted_response answer_first(const std::string& request) const
    {
        if (request.starts_with("POST")) {
            std::string head = stream_head(request);
            head.insert(head.find("Content-Type"), this->first_headers);
            return {head + event_chunk(1, "x") + "0\r\n\r\n", then::keep};
        }
        return {response_text(this->first_status, request, "first", this->first_headers),
                then::keep};
    }

    static scripted_response answer_second(const std::string& request)
    {
        if (request.starts_with("POST")) {
            return {stream_head(request) + event_chunk(1, "x") + "0\r\n\r\n", then::keep};
        }
        return {response_text(200, request, "second"), then::keep};
    }

    void start(const std::string& service, bool second)
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        this->rig->add_server("first", service, [this](const std::string& request) {
            return this->answer_first(request);
        });
        if (second) this->rig->add_server("second", service, answer_second);
    }

    [[nodiscard]] std::size_t received(std::size_t server) const
    {
        return this->rig->all_servers()[server]->requests.size();
    }

    std::string ask(const std::string& method = "GET", const std::string& target = "/safe/x")
    {
        raw_caller& caller = this->rig->add_caller();
        const std::string body = method == "POST" ? "x" : "";
        caller.send(request_text(method, target, std::to_string(++this->ids), body));
        const auto complete = [&caller] {
            const std::string length = header_in(caller.received, "content-length");
            return caller.received.ends_with("0\r\n\r\n") ||
                   (!length.empty() && body_in(caller.received).size() >= std::stoul(length));
        };
        CPPUNIT_ASSERT(this->rig->run_until(complete));
        return caller.received;
    }

    static int status_of(const std::string& answer) { return std::stoi(answer.substr(9, 3)); }

    void ask_until_first_answers(const std::string& method = "GET",
                                 const std::string& target = "/safe/x")
    {
        const std::size_t before = this->received(0);
        for (int i = 0; i < 200 && this->received(0) == before; ++i)
            this->ask(method, target);
        CPPUNIT_ASSERT(this->received(0) > before);
    }

    /** Sends many requests, which all must be answered with \p status. Returns the number that the
     * first server got. */
    std::size_t count_sent_to_first(int status = 200, const std::string& method = "GET",
                                    const std::string& target = "/safe/x")
    {
        const std::size_t before = this->received(0);
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT_EQUAL(status, status_of(this->ask(method, target)));
        return this->received(0) - before;
    }

    /** Checks that the first server gets requests. The second one is removed first, because the
     * random selection among two may long skip one whose only response was slow. */
    void check_first_serves()
    {
        this->rig->table.remove(server_id{"second"});
        const std::size_t before = this->received(0);
        CPPUNIT_ASSERT_EQUAL(200, status_of(this->ask()));
        CPPUNIT_ASSERT_EQUAL(before + 1, this->received(0));
    }

    void reject_with_retry_after(const std::string& retry_after)
    {
        this->first_status = 503;
        this->first_headers = "X-Not-Executed: 1\r\nRetry-After: " + retry_after + "\r\n";
    }

    void serve_again()
    {
        this->first_status = 200;
        this->first_headers.clear();
    }

    /** The registry entry expires and reappears, as after an outage of the store. */
    void recreate_entry(std::uint64_t started_at_ms = 0)
    {
        server_record record = this->rig->table.find(server_id{"first"})->record;
        record.started_at_ms = started_at_ms;
        this->rig->table.remove(record.id);
        this->rig->table.sweep(std::chrono::steady_clock::now());
        this->rig->table.put(record, std::chrono::steady_clock::now());
    }

public:
    void tearDown() override
    {
        this->rig.reset();
        this->serve_again();
    }

    /** A leaving server gets no further requests. */
    void leaving_server_gets_no_requests()
    {
        this->start("desk", true);
        this->first_headers = "Server-Leaving: 1\r\n";
        this->ask_until_first_answers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_sent_to_first());
        // Without another server, the request is refused as not run, with a time for the retry.
        this->rig->table.remove(server_id{"second"});
        const std::string answer = this->ask();
        CPPUNIT_ASSERT_EQUAL(503, status_of(answer));
        CPPUNIT_ASSERT(!header_in(answer, "retry-after").empty());
    }

    /** The same for an engine that says so in the head of a stream. */
    void leaving_engine_gets_no_requests()
    {
        this->start("llm", true);
        this->first_headers = "Server-Leaving: 1\r\n";
        this->ask_until_first_answers("POST", "/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_sent_to_first(200, "POST", "/stream/x"));
    }

    /** Neither a response without the header nor a new registry entry ends the leaving state. */
    void leaving_state_persists()
    {
        this->start("desk", true);
        this->first_headers = "Server-Leaving: 1\r\n";
        this->ask_until_first_answers();
        // A later response without the header may have been generated before the one with it.
        this->serve_again();
        const server_record ready = this->rig->table.find(server_id{"first"})->record;
        this->rig->table.put(ready, std::chrono::steady_clock::now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_sent_to_first());
        this->recreate_entry();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_sent_to_first());
    }

    /** A server that restarted under its id gets requests again. */
    void restart_ends_leaving_state()
    {
        this->start("desk", true);
        this->first_headers = "Server-Leaving: 1\r\n";
        this->ask_until_first_answers();
        this->serve_again();
        this->recreate_entry(5000);
        this->check_first_serves();
    }

    /** Invalid values of the header are ignored. */
    void invalid_leaving_headers()
    {
        for (const char* value : {"0", "", "no", "-1", "99999999999999999999999999"}) {
            this->start("desk", true);
            this->first_headers = std::string("Server-Leaving: ") + value + "\r\n";
            this->ask_until_first_answers();
            this->check_first_serves();
        }
    }

    /** The server gets nothing during the back-off period, and requests again after it. */
    void backing_off_server_gets_no_requests()
    {
        this->start("desk", true);
        this->reject_with_retry_after("1.5");
        const instant begin = std::chrono::steady_clock::now();
        this->ask_until_first_answers();
        this->rig->run_for(milliseconds(500));
        const std::size_t before = this->received(0);
        // Paced to limit the connections, as each caller's stays open until the test ends.
        while (std::chrono::steady_clock::now() - begin < milliseconds(1400)) {
            CPPUNIT_ASSERT_EQUAL(200, status_of(this->ask()));
            this->rig->run_for(milliseconds(5));
        }
        CPPUNIT_ASSERT(this->received(0) - before <= max_late_requests);
        this->serve_again();
        this->rig->run_for(milliseconds(300));
        this->check_first_serves();
    }

    /** If all servers are backing off, callers get the remaining time as Retry-After. */
    void callers_get_the_remaining_backoff()
    {
        this->start("desk", false);
        this->reject_with_retry_after("1.5");
        this->ask();
        this->rig->run_for(milliseconds(500));
        const std::size_t before = this->received(0);
        const instant begin = std::chrono::steady_clock::now();
        const std::string answer = this->ask();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(503, status_of(answer));
        const double retry_after = std::stod(header_in(answer, "retry-after"));
        CPPUNIT_ASSERT(retry_after > 0.6 && retry_after <= 1.1);
        CPPUNIT_ASSERT_EQUAL(before, this->received(0));
    }

    /** A registry entry that expires and reappears does not end the back-off period. */
    void backoff_persists()
    {
        this->start("desk", true);
        this->reject_with_retry_after("3");
        this->ask_until_first_answers();
        // The server would now accept requests, so only the remembered back-off keeps them away.
        this->serve_again();
        this->recreate_entry();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_sent_to_first());
    }

    /** Invalid back-off periods, and those of zero length, are ignored. */
    void invalid_backoff_periods()
    {
        for (const char* value : {"-5", "-1e999", "1e-999", "nan", "inf", "abc", "", "0", "1e",
                                  "Wed, 21 Oct 2015 07:28:00 GMT"}) {
            this->start("desk", true);
            this->reject_with_retry_after(value);
            this->ask_until_first_answers();
            this->serve_again();
            this->check_first_serves();
        }
    }

    /** An excessive back-off period ends with a restart of the server. */
    void excessive_backoff_periods()
    {
        for (const char* value : {"1e300", "1e999", "99999999999999999999999999"}) {
            this->start("desk", true);
            this->reject_with_retry_after(value);
            this->ask_until_first_answers();
            CPPUNIT_ASSERT(this->count_sent_to_first() <= max_late_requests);
            // The server restarts, and gets requests again.
            this->serve_again();
            this->recreate_entry(7000);
            this->check_first_serves();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(servers_that_leave_or_back_off);

} // namespace
