/** \file
 * The decisions of `memory_account`. Guards against bounds that do not fit the machine, large
 * bodies that take the room of small ones, and against refusing requests that make progress while
 * others hold memory without any.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "memory_account.h"

namespace {

using namespace worksshift;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;
const instant start = instant{} + seconds(100);

class memory_account_decides : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_account_decides);
    CPPUNIT_TEST(bounds_fit_the_machine);
    CPPUNIT_TEST(large_bodies_leave_room_for_small_ones);
    CPPUNIT_TEST(charges_count_what_is_held);
    CPPUNIT_TEST(a_charge_may_outlive_its_account);
    CPPUNIT_TEST(stalled_requests_are_refused_by_size_and_time);
    CPPUNIT_TEST(a_trickle_is_no_progress);
    CPPUNIT_TEST(a_body_behind_its_time_is_no_progress);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The account, the unread bytes and 40 MB for the process itself fit the smallest machine, and
     * the largest legal body fits several times. */
    void bounds_fit_the_machine()
    {
        for (const std::size_t memory_mb : {64, 160, 260, 1024}) {
            const machine_limits machine{memory_mb * mib, 4100};
            const caller_bounds bounds = bounds_of(machine);
            // Of each caller's connection, and of that to the server of its request.
            const std::size_t unread =
                bounds.connections * 2 * static_cast<std::size_t>(receive_buffer_bytes);
            CPPUNIT_ASSERT(bounds.memory + unread + machine.memory_bytes / 4 <=
                           machine.memory_bytes);
            CPPUNIT_ASSERT(bounds.output < bounds.memory);
            // Each connection of a caller may need one to a server.
            CPPUNIT_ASSERT(2 * bounds.connections + bounds.idle_server_connections <=
                           bounds.sockets);
            CPPUNIT_ASSERT(bounds.sockets + bounds.internal_connections + 200 <= 4100);
        }
        CPPUNIT_ASSERT(bounds_of({160 * mib, 4100}).large_memory > 32 * mib);
    }

    void large_bodies_leave_room_for_small_ones()
    {
        memory_account account({.memory = 8 * mib, .large_memory = 6 * mib});
        memory_charge held(account, memory_use::incoming);
        held.set(6 * mib);
        CPPUNIT_ASSERT(!account.has_room(1, true));
        CPPUNIT_ASSERT(account.has_room(2 * mib, false));
        CPPUNIT_ASSERT_EQUAL(mib, account.missing(mib, true));
        CPPUNIT_ASSERT(!account.exceeded());
        held.set(8 * mib + 1);
        CPPUNIT_ASSERT(account.exceeded());
    }

    void charges_count_what_is_held()
    {
        memory_account account;
        memory_charge first(account, memory_use::incoming);
        first.set(10 * kib);
        {
            memory_charge moved = std::move(first);
            moved.set_use(memory_use::request);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, account.held(memory_use::incoming));
            CPPUNIT_ASSERT_EQUAL(10 * kib, account.held(memory_use::request));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, account.held());
    }

    /** libevent frees the buffers that refer to bodies with its loop, after all else. */
    void a_charge_may_outlive_its_account()
    {
        auto account = std::make_unique<memory_account>();
        memory_charge charge(*account, memory_use::request);
        charge.set(10 * kib);
        account.reset();
        charge.set(0);
    }

    void stalled_requests_are_refused_by_size_and_time()
    {
        const std::vector<memory_holder> partial{
            {4 * mib, start},                // largest, but progressing
            {1 * mib, start - seconds(2)},   // 2 MiB s
            {2 * mib, start - seconds(3)},   // 6 MiB s
            {100 * kib, start - seconds(9)}, // 0.9 MiB s
            {0, start - seconds(60)},        // holds nothing
        };
        using order = std::vector<std::size_t>;
        const instant now = start + milliseconds(100);
        CPPUNIT_ASSERT(order{2} == memory_account::choose_to_refuse(partial, mib, true, now));
        CPPUNIT_ASSERT((order{2, 1}) ==
                       memory_account::choose_to_refuse(partial, 2 * mib + 1, true, now));
        CPPUNIT_ASSERT((order{2, 1, 3}) ==
                       memory_account::choose_to_refuse(partial, 100 * mib, true, now));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{4},
            memory_account::choose_to_refuse(partial, 100 * mib, false, now).size());
        CPPUNIT_ASSERT(memory_account::choose_to_refuse(partial, 0, false, now).empty());
    }

    /** 10 Mbit/s is progress; a byte every 100 ms is none. */
    void a_trickle_is_no_progress()
    {
        input_progress steady;
        input_progress trickle;
        steady.begin(start);
        trickle.begin(start);
        constexpr std::size_t bytes_per_10_ms = 12500;
        instant now = start;
        for (int step = 0; step < 340; ++step) {
            now += milliseconds(10);
            steady.add(bytes_per_10_ms, now);
            CPPUNIT_ASSERT(now - steady.at < stalled_after);
            if (step % 10 == 0) trickle.add(1, now);
        }
        CPPUNIT_ASSERT(now - trickle.at > stalled_after);
    }

    /** Such a body would hold its room for two minutes. */
    void a_body_behind_its_time_is_no_progress()
    {
        constexpr std::size_t announced = 4 * mib;
        constexpr std::size_t quick_bytes = 125 * kib; // each 100 ms, 10 Mbit/s
        input_progress quick;
        input_progress slow;
        quick.begin(start, announced);
        slow.begin(start, announced);
        instant now = start;
        for (int step = 0; step < 20; ++step) {
            now += milliseconds(100);
            quick.add(quick_bytes, now);
            slow.add(progress_bytes, now);
        }
        CPPUNIT_ASSERT(now == quick.unchanged_since(now));
        CPPUNIT_ASSERT(start == slow.unchanged_since(now));
        // Without an announced length only the time tells.
        input_progress chunked;
        chunked.begin(start);
        chunked.add(progress_bytes, now);
        CPPUNIT_ASSERT(now == chunked.unchanged_since(now));
        now = start + receive_time + milliseconds(1);
        chunked.add(progress_bytes, now);
        CPPUNIT_ASSERT(start == chunked.unchanged_since(now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_account_decides);

} // namespace
