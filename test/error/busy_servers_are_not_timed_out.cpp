/** \file
 * Tests of the silence timeout. Guards against retrying a request that waits in the queue of a
 * server which answers other requests, and against leaving a request at a server that sends nothing
 * at all, also when a busy server becomes silent.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class busy_servers_are_not_timed_out : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(busy_servers_are_not_timed_out);
    CPPUNIT_TEST(silent_server_is_abandoned);
    CPPUNIT_TEST(busy_server_is_awaited);
    CPPUNIT_TEST(busy_server_becomes_silent);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    std::vector<scripted_server*> engines;

    static bool waits(const std::string& request)
    {
        return header_in(request, "x-request-id") == "waits";
    }

    [[nodiscard]] std::size_t times_sent() const
    {
        std::size_t count = 0;
        for (const scripted_server* server : this->engines)
            count += static_cast<std::size_t>(std::ranges::count_if(server->requests, waits));
        return count;
    }

    /** A request with the same prompt each time, so that all requests go to one engine. */
    static std::string with_prompt(const std::string& target, const std::string& id)
    {
        std::string text = request_text("POST", target, id, "x");
        return text.insert(text.find("X-Api-Key"), "X-Prompt-Prefix: aa:100,bb:10\r\n");
    }

    /** Has other callers' requests answered for \p span. Returns whether answers arrived without a
     * gap: a test process that was not scheduled for a while receives none, which looks like a
     * silent server. */
    bool keep_answering(duration span)
    {
        const instant end = std::chrono::steady_clock::now() + span;
        instant last = std::chrono::steady_clock::now();
        bool steady = true;
        for (unsigned id = 0; std::chrono::steady_clock::now() < end; ++id) {
            this->rig->add_caller().send(with_prompt("/once/x", std::to_string(id)));
            this->rig->run_for(milliseconds(40));
            const instant time = std::chrono::steady_clock::now();
            steady = steady && time - last < server_entry::unresponsive_after / 2;
            last = time;
        }
        return steady;
    }

    /** Repeats set-up and waiting until answers arrive without a gap, which a loaded machine may
     * prevent in some tries. */
    void wait_during_answers(duration span)
    {
        constexpr int max_tries = 10;
        for (int i = 0; i < max_tries; ++i) {
            this->tearDown();
            this->setUp();
            this->ask_and_wait();
            if (this->keep_answering(span)) return;
        }
        CPPUNIT_FAIL("answers were interrupted in every try: the machine is overloaded");
    }

    void ask_and_wait()
    {
        this->rig->add_caller().send(with_prompt("/stream/x", "waits"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return this->times_sent() == 1; }));
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        for (const char* id : {"a", "b"}) {
            this->engines.push_back(
                &this->rig->add_server(id, "llm", [](const std::string& request) {
                    if (waits(request)) return scripted_response{{}, then::stay_silent};
                    return scripted_response{
                        stream_head(request) + event_chunk(1, "x") + "0\r\n\r\n", then::keep};
                }));
        }
    }

    void tearDown() override { this->engines.clear(); }

    /** Guards against waiting for a silent server beyond the silence timeout. */
    void silent_server_is_abandoned()
    {
        this->ask_and_wait();
        this->rig->run_for(min_silence_timeout + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->times_sent());
    }

    /** Guards against a retry while the server answers other requests. */
    void busy_server_is_awaited()
    {
        this->wait_during_answers(min_silence_timeout + milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->times_sent());
    }

    /** Guards against waiting on when a busy server stops answering. */
    void busy_server_becomes_silent()
    {
        this->wait_during_answers(min_silence_timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->times_sent());
        this->rig->run_for(server_entry::unresponsive_after + milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->times_sent());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(busy_servers_are_not_timed_out);

} // namespace
