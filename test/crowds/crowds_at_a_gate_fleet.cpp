/** \file
 * Crowds of callers that do not end what they begin, at one worksshiftd in a process of its own.
 * Guards against a process that ends for want of memory, at the port for callers and at the one for
 * operators, whose clients need no token to send.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "process.h"
#include "support/crowd.h"
#include "support/fleet.h"

namespace {

using namespace support;
using namespace worksshift;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;
/** Memory of the machine: the process and the bytes that its sockets have not read. */
constexpr std::size_t machine_memory = 64 * mib;
constexpr std::size_t max_body = mib;
constexpr std::size_t crowd_size = 120;

std::string head(const std::string& target, const std::string& more)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-0\r\n" + more +
           "\r\n";
}

/** A body of the largest legal size, of which \p missing bytes are not sent. */
crowd_script largest_body(const std::string& target, std::size_t missing)
{
    return announced_body(head(target, "Content-Length: " + std::to_string(max_body) + "\r\n"),
                          max_body, missing);
}

/** \p size bytes of a body in chunks, whose end does not come. */
crowd_script endless_body(const std::string& target, std::size_t size)
{
    return chunked_body(head(target, "Transfer-Encoding: chunked\r\n"), size);
}

class crowds_at_a_gate_fleet : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crowds_at_a_gate_fleet);
    CPPUNIT_TEST(announced_bodies_short_of_their_end);
    CPPUNIT_TEST(bodies_in_chunks_without_an_end);
    CPPUNIT_TEST(bodies_in_chunks_far_over_the_limit);
    CPPUNIT_TEST(whole_bodies_of_a_plain_service);
    CPPUNIT_TEST(announced_bodies_at_the_operators_port);
    CPPUNIT_TEST(bodies_in_chunks_at_the_operators_port);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<environment_variable> memory;
    std::unique_ptr<support::fleet> fleet;
    event_ptr<event_base> base;
    std::size_t most_unread = 0;

    [[nodiscard]] pid_t process() const { return this->fleet->routers[0].process.id(); }

    void run_until(const std::function<bool()>& done, duration limit)
    {
        timer ticker(this->base.get(), [] {});
        ticker.start_every(milliseconds(20));
        const instant end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end) {
            event_base_loop(this->base.get(), EVLOOP_ONCE);
            this->most_unread = std::max(this->most_unread, unread_bytes("127.0.0.1"));
        }
    }

    void start()
    {
        fleet_options options;
        options.routers = 1;
        options.engines = 1;
        options.services = 1;
        options.data_centres = 1;
        options.router_arguments = {"--body-max-kb=" + std::to_string(max_body / kib)};
        this->fleet = std::make_unique<support::fleet>(options);
        this->fleet->start();
    }

    void expect_served(const std::string& when) const
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(when, 200, this->fleet->chat(0, "chat", "text", 3).status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(when, 200,
                                     this->fleet->admin(0, "GET", "/admin/status").status);
    }

    void bear(std::uint16_t port, const crowd_script& script)
    {
        {
            const crowd present(this->base.get(), {"127.0.0.1", port}, script, crowd_size);
            this->run_until([&] { return present.done() == crowd_size; }, seconds(8));
            this->run_until([] { return false; }, seconds(1));
            this->expect_served("beside the crowd");
        }
        this->run_until([] { return false; }, milliseconds(500));
        this->expect_served("after the crowd");
        const int largest =
            support::http(this->fleet->routers[0].front, "PUT", "/desk/x",
                          {{"Authorization", "Bearer key-0"}}, std::string(max_body, 'y'))
                .status;
        CPPUNIT_ASSERT_EQUAL(200, largest);
        CPPUNIT_ASSERT(!this->fleet->routers[0].process.ended());
        if (!memory_is_measured) return;
        const std::size_t held = peak_memory(this->process()) + this->most_unread;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(held / kib) + " KiB held at the peak",
                               held <= machine_memory);
    }

    [[nodiscard]] std::uint16_t front() const { return this->fleet->routers[0].front; }
    [[nodiscard]] std::uint16_t admin() const { return this->fleet->routers[0].admin; }

public:
    void setUp() override
    {
        raise_file_limit();
        this->memory = std::make_unique<environment_variable>("WORKSSHIFT_MEMORY_MB",
                                                              std::to_string(machine_memory / mib));
        this->base = make_event_base();
        this->most_unread = 0;
        this->start();
    }

    /** Fixtures live until all tests are over; their processes must not. */
    void tearDown() override
    {
        this->fleet.reset();
        this->memory.reset();
    }

    void announced_bodies_short_of_their_end()
    {
        this->bear(this->front(), largest_body("/desk/x", 1));
    }
    void bodies_in_chunks_without_an_end()
    {
        this->bear(this->front(), endless_body("/desk/x", max_body - piece_size));
    }
    void bodies_in_chunks_far_over_the_limit()
    {
        constexpr std::size_t sent = 32 * mib;
        this->bear(this->front(), endless_body("/desk/x", sent));
    }
    void whole_bodies_of_a_plain_service()
    {
        this->bear(this->front(), largest_body("/desk/x", 0));
    }
    void announced_bodies_at_the_operators_port()
    {
        this->bear(this->admin(), largest_body("/admin/plans", 1));
    }
    void bodies_in_chunks_at_the_operators_port()
    {
        constexpr std::size_t sent = 12 * mib;
        this->bear(this->admin(), endless_body("/admin/plans", sent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowds_at_a_gate_fleet);

} // namespace
