/** \file
 * Decisions on response data buffered for clients, and on responses without an end. Guards against
 * a process that runs out of memory behind clients that do not read, against a client that reads
 * slowly but steadily and is cut off, and against a server that waits for longer than it does.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "output_limits.h"

namespace {

using namespace worksshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kib = 1024;
constexpr instant start{std::chrono::hours(1)};

class output_limits_decide : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(output_limits_decide);
    CPPUNIT_TEST(pauses_above_the_bound_and_resumes_below_half);
    CPPUNIT_TEST(bound_shrinks_with_the_number_of_clients);
    CPPUNIT_TEST(unread_response_is_closed_in_time);
    CPPUNIT_TEST(steady_reader_is_kept_and_its_server_read);
    CPPUNIT_TEST(no_extra_read_while_the_total_is_exceeded);
    CPPUNIT_TEST(complete_response_has_more_time);
    CPPUNIT_TEST(longest_unread_are_closed_first);
    CPPUNIT_TEST(endless_by_size_or_time);
    CPPUNIT_TEST_SUITE_END();

    output_limits limits;

    static client_output paused(std::size_t buffered, duration read_after)
    {
        return {buffered, false, false, true, start, start + read_after};
    }

public:
    void pauses_above_the_bound_and_resumes_below_half()
    {
        const output_total total{65 * kib, 1};
        const auto decide = [&](std::size_t buffered, bool is_paused) {
            const client_output client{buffered, false, false, is_paused, start, start};
            return this->limits.decide(client, total, start);
        };
        CPPUNIT_ASSERT(decide(64 * kib, false) == output_action::none);
        CPPUNIT_ASSERT(decide(64 * kib + 1, false) == output_action::pause);
        CPPUNIT_ASSERT(decide(33 * kib, true) == output_action::none);
        CPPUNIT_ASSERT(decide(32 * kib, true) == output_action::resume);
    }

    void bound_shrinks_with_the_number_of_clients()
    {
        CPPUNIT_ASSERT_EQUAL(64 * kib, this->limits.client_bound({0, 0}));
        CPPUNIT_ASSERT_EQUAL(64 * kib, this->limits.client_bound({0, 256}));
        CPPUNIT_ASSERT_EQUAL(32 * kib, this->limits.client_bound({0, 512}));
        CPPUNIT_ASSERT_EQUAL(16 * kib, this->limits.client_bound({0, 100000}));
    }

    void unread_response_is_closed_in_time()
    {
        const output_total total{70 * kib, 1};
        client_output client = paused(70 * kib, -seconds(5));
        // It read nothing while less than the bound was buffered: its server was read until now.
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + seconds(1)) ==
                       output_action::none);
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(2001)) ==
                       output_action::close);
        client.from_vm = true;
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(2001)) ==
                       output_action::none);
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(3001)) ==
                       output_action::close);
    }

    void steady_reader_is_kept_and_its_server_read()
    {
        const output_total total{60 * kib, 1};
        const client_output client = paused(60 * kib, milliseconds(900));
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(950)) ==
                       output_action::none);
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(1000)) ==
                       output_action::resume);
        const client_output full = paused(80 * kib, milliseconds(900));
        CPPUNIT_ASSERT(this->limits.decide(full, total, start + milliseconds(1000)) ==
                       output_action::none);
    }

    void no_extra_read_while_the_total_is_exceeded()
    {
        const output_total total{33 * kib * kib, 600};
        const client_output client = paused(60 * kib, milliseconds(900));
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + milliseconds(1500)) ==
                       output_action::none);
    }

    void complete_response_has_more_time()
    {
        const output_total total{70 * kib, 1};
        const client_output client{70 * kib, false, true, false, {}, start};
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + seconds(9)) ==
                       output_action::none);
        CPPUNIT_ASSERT(this->limits.decide(client, total, start + seconds(11)) ==
                       output_action::close);
    }

    void longest_unread_are_closed_first()
    {
        output_bounds bounds;
        bounds.total = 100;
        const output_limits small(bounds);
        const std::vector<client_output> clients{paused(50, seconds(3)), paused(40, seconds(1)),
                                                 paused(0, seconds(0)), paused(30, seconds(2))};
        CPPUNIT_ASSERT(small.choose_to_close(clients, {120, 3}) == std::vector<std::size_t>{1});
        CPPUNIT_ASSERT(
            (small.choose_to_close(clients, {150, 3}) == std::vector<std::size_t>{1, 3}));
        CPPUNIT_ASSERT(small.choose_to_close(clients, {100, 3}).empty());
    }

    void endless_by_size_or_time()
    {
        response_progress progress;
        CPPUNIT_ASSERT(!endless_reason(progress, 100, seconds(2), start + seconds(60)));
        progress.add(60, start);
        CPPUNIT_ASSERT(!endless_reason(progress, 100, seconds(2), start + seconds(2)));
        CPPUNIT_ASSERT(!endless_reason(progress, 100, std::nullopt, start + seconds(60)));
        CPPUNIT_ASSERT(endless_reason(progress, 100, seconds(2), start + milliseconds(2001)) ==
                       std::string_view("time"));
        progress.add(60, start);
        CPPUNIT_ASSERT(endless_reason(progress, 100, std::nullopt, start) ==
                       std::string_view("size"));
        progress.reset();
        CPPUNIT_ASSERT(!endless_reason(progress, 100, seconds(2), start + seconds(60)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(output_limits_decide);

} // namespace
