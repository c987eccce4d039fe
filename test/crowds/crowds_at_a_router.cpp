/** \file
 * Crowds of callers that send what the limits forbid, or do not end what they begin, at one
 * worksshift-router in a process of its own. Guards against a process that ends for want of memory
 * or descriptors, or that shuts out the callers that behave.
 *
 * The limits of the test are a sixteenth to a quarter of the real ones, so that a small crowd shows
 * what a large one does to a real machine.
 */
#include <algorithm>
#include <csignal>

#include <cppunit/extensions/HelperMacros.h>

#include "process.h"
#include "support/crowd.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;
/** Memory of the machine: the process and the bytes that its sockets have not read. */
constexpr std::size_t machine_memory = 64 * mib;
constexpr std::size_t machine_descriptors = 400;
/** The largest legal body. */
constexpr std::size_t max_body = mib;
constexpr std::size_t crowd_size = 120;
/** More than all buffers of one response. */
constexpr std::size_t large_response = 256 * kib;

std::string config_with_max_body(std::uint64_t version, std::size_t max_body_bytes)
{
    std::string text = example_config(version);
    const auto replace_all = [&](const std::string& from, const std::string& to) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
            text.replace(at, from.size(), to);
    };
    replace_all("\"timeoutMs\":1500", "\"timeoutMs\":60000");
    replace_all("\"maxHeaderBytes\":2048", "\"maxHeaderBytes\":16384");
    replace_all("\"maxBodyBytes\":4096", "\"maxBodyBytes\":" + std::to_string(max_body_bytes));
    replace_all("\"headerTimeoutMs\":200", "\"headerTimeoutMs\":3000");
    // Longer than each test, so that no connection of a crowd ends by itself.
    replace_all("\"idleTimeoutMs\":1000", "\"idleTimeoutMs\":600000");
    return text;
}

/** Head of a request to a server that answers, or to one that does not. */
std::string head(const std::string& target, const std::string& more)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Api-Key: k1\r\n" +
           "X-Deadline-Ms: 60000\r\n" + more + "\r\n";
}

std::string with_length(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

constexpr const char* chunked = "Transfer-Encoding: chunked\r\n";

/** A body of the largest legal size, of which \p missing bytes are not sent. */
crowd_script largest_body(const std::string& target, std::size_t missing,
                          const std::string& more = {})
{
    return announced_body(head(target, with_length(max_body) + more), max_body, missing);
}

/** A body of nearly the largest legal size in chunks, whose end does not come. */
crowd_script largest_chunked_body(std::size_t chunk_size)
{
    return chunked_body(head("/safe/x", chunked), max_body - piece_size, chunk_size);
}

class crowds_at_a_router : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crowds_at_a_router);
    CPPUNIT_TEST(announced_bodies_short_of_their_end);
    CPPUNIT_TEST(whole_bodies_answered_at_once);
    CPPUNIT_TEST(whole_bodies_at_a_silent_server);
    CPPUNIT_TEST(bodies_in_chunks_without_an_end);
    CPPUNIT_TEST(bodies_in_small_chunks_without_an_end);
    CPPUNIT_TEST(bodies_that_end_byte_by_byte);
    CPPUNIT_TEST(bodies_announced_far_over_the_limit);
    CPPUNIT_TEST(bodies_in_chunks_far_over_the_limit);
    CPPUNIT_TEST(bodies_sent_without_waiting_to_continue);
    CPPUNIT_TEST(bodies_behind_a_request_that_waits);
    CPPUNIT_TEST(heads_short_of_their_end);
    CPPUNIT_TEST(heads_of_many_short_lines);
    CPPUNIT_TEST(chunk_extensions_without_an_end);
    CPPUNIT_TEST(trailers_without_an_end);
    CPPUNIT_TEST(bodies_without_an_end_at_the_metrics_port);
    CPPUNIT_TEST(bodies_without_an_end_at_the_readiness_port);
    CPPUNIT_TEST(bodies_without_an_end_at_the_port_for_vms);
    CPPUNIT_TEST(bodies_of_a_vm_short_of_their_end);
    CPPUNIT_TEST(bodies_at_the_relay_port_from_elsewhere);
    CPPUNIT_TEST(more_busy_clients_than_descriptors);
    CPPUNIT_TEST(more_idle_clients_than_descriptors);
    CPPUNIT_TEST(fewer_descriptors_than_set);
    CPPUNIT_TEST(responses_that_are_not_read);
    CPPUNIT_TEST(waves_that_leave_by_reset);
    CPPUNIT_TEST(two_kinds_at_once);
    CPPUNIT_TEST(stop_amid_a_crowd);
    CPPUNIT_TEST(configuration_with_a_lower_limit_amid_a_crowd);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<environment_variable> memory;
    std::unique_ptr<environment_variable> descriptors;
    std::unique_ptr<router_fleet> fleet;
    std::size_t most_held = 0;
    instant next_sample{};
    unsigned asked = 0;

    void sample()
    {
        const instant time = std::chrono::steady_clock::now();
        if (time < this->next_sample) return;
        const pid_t process = this->fleet->routers[0].id();
        const std::size_t unread = unread_bytes(this->fleet->front(0).address, process);
        this->most_held = std::max(this->most_held, peak_memory(process) + unread);
        // The list of sockets is that of the whole machine. The servers of the test run in the same
        // loop, so the samples may take a small part of its time only.
        const instant end = std::chrono::steady_clock::now();
        this->next_sample = end + std::max<duration>(milliseconds(20), 10 * (end - time));
    }

    bool run_until(const std::function<bool()>& done, duration limit)
    {
        return this->fleet->run_until(
            [&] {
                this->sample();
                return done();
            },
            limit);
    }

    void run_for(duration span)
    {
        this->run_until([] { return false; }, span);
    }

    void start(std::size_t routers = 1)
    {
        this->fleet = std::make_unique<router_fleet>(routers);
        this->fleet->set_config(config_with_max_body(1, max_body));
        const auto answer = [](const std::string& request) -> scripted_response {
            if (request.find(" /safe/silent") != std::string::npos) return {"", then::stay_silent};
            if (request.find(" /safe/large") != std::string::npos)
                return {response_text(200, request, std::string(large_response, 'y')), then::keep};
            return {response_text(200, request, "answer"), then::keep};
        };
        for (const char* id : {"a", "b"})
            this->fleet->add_server(id, "desk", answer);
        this->fleet->start_all();
        CPPUNIT_ASSERT(this->fleet->wait_until_all_ready());
    }

    std::string ask(const std::string& body, duration limit)
    {
        const auto caller = this->fleet->connect(0);
        // Not bound to the speed of the machine, nor of a sanitized process.
        const std::string deadline = "X-Deadline-Ms: 2000";
        std::string text =
            request_text("POST", "/safe/x", "q" + std::to_string(++this->asked), body);
        text.replace(text.find(deadline), deadline.size(), "X-Deadline-Ms: 60000");
        caller->send(text);
        this->run_until([&] { return caller->closed || is_complete_response(caller->received); },
                        limit);
        return caller->received;
    }

    void expect_served(const std::string& body, const std::string& when)
    {
        const std::string answer = this->ask(body, seconds(30));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ", " + std::to_string(body.size()) +
                                         " bytes: " + answer.substr(0, 200),
                                     200, status_in(answer));
    }

    /** Whether a request is served at the first attempt or a later one. */
    void expect_served_at_last(const std::string& body, const std::string& when)
    {
        std::string answer;
        for (int attempt = 0; attempt < 20 && status_in(answer) != 200; ++attempt) {
            if (attempt > 0) this->run_for(milliseconds(500));
            answer = this->ask(body, seconds(10));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ": " + answer.substr(0, 200), 200, status_in(answer));
    }

    void expect_in_bounds(std::size_t descriptor_bound)
    {
        CPPUNIT_ASSERT(!this->fleet->routers[0].ended());
        this->next_sample = {};
        this->sample();
        if (memory_is_measured) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(this->most_held / kib) + " KiB held at the peak",
                                   this->most_held <= machine_memory);
        }
        CPPUNIT_ASSERT(open_descriptors(this->fleet->routers[0].id()) <= descriptor_bound);
    }

    /** Lets a crowd send all it has, holds it for a while, and checks that callers are served while
     * it stays and after it has left, all within the machine's memory. \p clients: see `crowd`. */
    void bear(const link_address& to, const crowd_script& script, std::size_t clients,
              duration limit = seconds(8))
    {
        {
            crowd present(this->fleet->base.get(), to, script, clients);
            this->run_until([&] { return present.done() == clients; }, limit);
            this->run_for(seconds(1));
            this->expect_served("", "beside the crowd");
            this->expect_served_at_last(std::string(max_body, 'y'), "beside the crowd");
        }
        this->run_for(milliseconds(500));
        this->expect_served("", "after the crowd");
        this->expect_served(std::string(max_body, 'y'), "after the crowd");
        constexpr std::size_t many = 20000;
        this->expect_in_bounds(many);
    }

    void bear(const crowd_script& script, std::size_t clients = crowd_size)
    {
        this->start();
        this->bear(this->fleet->front(0), script, clients);
    }

    /** A body in chunks without an end, in place of a request without a body. */
    static crowd_script endless_body(const std::string& target)
    {
        constexpr std::size_t sent_bytes = 32 * mib;
        return chunked_body(head(target, chunked), sent_bytes);
    }

public:
    void setUp() override
    {
        raise_file_limit();
        this->memory = std::make_unique<environment_variable>("WORKSSHIFT_MEMORY_MB",
                                                              std::to_string(machine_memory / mib));
        this->most_held = 0;
    }

    /** Fixtures live until all tests are over; their processes must not. */
    void tearDown() override
    {
        this->fleet.reset();
        this->memory.reset();
        this->descriptors.reset();
    }

    void announced_bodies_short_of_their_end() { this->bear(largest_body("/safe/x", 1)); }
    void whole_bodies_answered_at_once() { this->bear(largest_body("/safe/x", 0)); }
    void whole_bodies_at_a_silent_server() { this->bear(largest_body("/safe/silent", 0)); }
    void bodies_in_chunks_without_an_end() { this->bear(largest_chunked_body(piece_size)); }

    void bodies_in_small_chunks_without_an_end()
    {
        constexpr std::size_t small_chunk = 16;
        this->bear(largest_chunked_body(small_chunk));
    }

    void bodies_that_end_byte_by_byte()
    {
        constexpr std::size_t bytes_left = 1000;
        crowd_script script = largest_body("/safe/x", bytes_left);
        script.trickle = milliseconds(100);
        this->bear(script);
    }

    void bodies_announced_far_over_the_limit()
    {
        crowd_script script = endless_body("/safe/x");
        script.opening = head("/safe/x", with_length(1024 * mib));
        script.piece = std::string(piece_size, 'x');
        this->bear(script);
    }

    void bodies_in_chunks_far_over_the_limit() { this->bear(endless_body("/safe/x")); }

    void bodies_sent_without_waiting_to_continue()
    {
        this->bear(largest_body("/safe/x", 1, "Expect: 100-continue\r\n"));
    }

    void bodies_behind_a_request_that_waits()
    {
        constexpr std::size_t clients = 500;
        crowd_script script = largest_body("/safe/x", 0);
        script.opening = head("/safe/silent", with_length(1)) + "x" + script.opening;
        this->bear(script, clients);
    }

    void heads_short_of_their_end()
    {
        constexpr std::size_t clients = 3000;
        constexpr std::size_t head_size = 15 * kib;
        crowd_script script;
        script.opening =
            "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(head_size, 'x');
        this->bear(script, clients);
    }

    /** Each line takes several times its length in memory. */
    void heads_of_many_short_lines()
    {
        constexpr std::size_t clients = 500;
        constexpr std::size_t head_size = 15 * kib;
        crowd_script script;
        script.opening = "POST /safe/x HTTP/1.1\r\nHost: h\r\n";
        while (script.opening.size() < head_size)
            script.opening += "a:b\r\n";
        this->bear(script, clients);
    }

    void chunk_extensions_without_an_end()
    {
        crowd_script script;
        script.opening = head("/safe/x", chunked) + "1;x=";
        script.piece = std::string(piece_size, 'x');
        script.pieces = 4 * mib / piece_size;
        this->bear(script);
    }

    void trailers_without_an_end()
    {
        crowd_script script;
        script.opening = head("/safe/x", chunked) + "0\r\n";
        while (script.piece.size() < piece_size)
            script.piece += "X-Trailer: x\r\n";
        script.pieces = 4 * mib / script.piece.size();
        this->bear(script);
    }

    void bodies_without_an_end_at_the_metrics_port()
    {
        constexpr std::size_t clients = 8;
        this->start();
        this->bear(this->fleet->metrics_address(0), endless_body("/metrics"), clients);
    }

    void bodies_without_an_end_at_the_readiness_port()
    {
        constexpr std::size_t clients = 8;
        this->start();
        this->bear(this->fleet->readiness(0), endless_body("/api/ready"), clients);
    }

    void bodies_without_an_end_at_the_port_for_vms()
    {
        constexpr std::size_t clients = 8;
        this->start();
        this->bear(this->fleet->peer(0), endless_body("/config"), clients);
    }

    /** Another VM holds as many requests as its callers begin. */
    void bodies_of_a_vm_short_of_their_end()
    {
        this->start(2);
        crowd_script script = largest_body("/safe/x", 1);
        script.source = this->fleet->front(1).address;
        this->bear(this->fleet->relay(0), script, crowd_size);
    }

    void bodies_at_the_relay_port_from_elsewhere()
    {
        this->start();
        this->bear(this->fleet->relay(0), largest_body("/safe/x", 1), crowd_size);
    }

    void bear_more_than_descriptors(const crowd_script& script,
                                    std::size_t set_descriptors = machine_descriptors)
    {
        constexpr std::size_t clients = 600;
        this->descriptors = std::make_unique<environment_variable>("WORKSSHIFT_MAX_DESCRIPTORS",
                                                                   std::to_string(set_descriptors));
        this->start();
        limit_descriptors(this->fleet->routers[0].id(), machine_descriptors);
        // Reads the settings, and the limit of the system, again.
        this->fleet->routers[0].signal(SIGHUP);
        this->run_for(milliseconds(100));
        {
            const crowd present(this->fleet->base.get(), this->fleet->front(0), script, clients);
            this->run_for(seconds(3));
            this->expect_served_at_last("", "beside the crowd");
        }
        this->run_for(milliseconds(500));
        this->expect_served("", "after the crowd");
        this->expect_in_bounds(machine_descriptors);
    }

    /** Each sends its next request as soon as the last one is answered. */
    static crowd_script busy_client()
    {
        crowd_script script;
        script.opening = head("/safe/x", with_length(1)) + "x";
        script.asks_again = true;
        script.reconnects = true;
        return script;
    }

    void more_busy_clients_than_descriptors() { this->bear_more_than_descriptors(busy_client()); }

    /** The system grants the process less than its settings say. */
    void fewer_descriptors_than_set()
    {
        this->bear_more_than_descriptors(busy_client(), 10 * machine_descriptors);
    }

    void more_idle_clients_than_descriptors()
    {
        crowd_script script;
        script.opening = head("/safe/x", with_length(1)) + "x";
        this->bear_more_than_descriptors(script);
    }

    /** What the servers have sent and the router does not read, waits in the system's buffers. */
    void responses_that_are_not_read()
    {
        constexpr std::size_t clients = 1000;
        crowd_script script;
        script.opening = head("/safe/large", with_length(1)) + "x";
        script.reads = false;
        script.receive_buffer = 4 * kib;
        this->bear(script, clients);
    }

    /** What one wave leaves behind must not add up. */
    void waves_that_leave_by_reset()
    {
        this->start();
        for (int wave = 0; wave < 4; ++wave) {
            crowd present(this->fleet->base.get(), this->fleet->front(0),
                          largest_body("/safe/x", wave % 2 == 0 ? 1 : 0), crowd_size);
            this->run_until([&] { return present.done() == crowd_size; }, seconds(8));
            this->run_for(milliseconds(300));
            present.reset_half();
            this->run_for(milliseconds(100));
        }
        this->run_for(milliseconds(500));
        this->expect_served("", "after the waves");
        this->expect_served(std::string(max_body, 'y'), "after the waves");
        this->expect_in_bounds(crowd_size);
    }

    void two_kinds_at_once()
    {
        this->start();
        const crowd other(this->fleet->base.get(), this->fleet->front(0),
                          largest_chunked_body(piece_size), crowd_size);
        this->bear(this->fleet->front(0), largest_body("/safe/silent", 0), crowd_size);
    }

    /** The process ends by itself within the grace period. */
    void stop_amid_a_crowd()
    {
        this->start();
        const crowd unfinished(this->fleet->base.get(), this->fleet->front(0),
                               largest_body("/safe/x", 1), crowd_size);
        const crowd waiting(this->fleet->base.get(), this->fleet->front(0),
                            largest_body("/safe/silent", 0), crowd_size);
        this->run_for(seconds(1));
        this->expect_in_bounds(2 * crowd_size + crowd_size);
        this->fleet->routers[0].signal(SIGTERM);
        std::optional<int> status;
        CPPUNIT_ASSERT(this->fleet->run_until(
            [&] {
                status = this->fleet->routers[0].exit_status();
                return status.has_value();
            },
            seconds(this->fleet->stop_grace_s + 2)));
        constexpr int cut_off = 1;
        CPPUNIT_ASSERT(status == std::optional(0) || status == std::optional(cut_off));
    }

    void configuration_with_a_lower_limit_amid_a_crowd()
    {
        this->start();
        constexpr std::size_t lower = max_body / 4;
        {
            const crowd present(this->fleet->base.get(), this->fleet->front(0),
                                largest_chunked_body(piece_size), crowd_size);
            this->run_for(milliseconds(200));
            this->fleet->set_config(config_with_max_body(2, lower));
            this->run_for(seconds(1));
            this->expect_served("", "beside the crowd");
        }
        this->run_for(milliseconds(500));
        this->expect_served(std::string(lower, 'y'), "after the crowd");
        CPPUNIT_ASSERT_EQUAL(413, status_in(this->ask(std::string(lower + 1, 'y'), seconds(5))));
        this->expect_in_bounds(crowd_size);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowds_at_a_router);

} // namespace
