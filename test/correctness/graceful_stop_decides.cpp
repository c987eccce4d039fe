/** \file
 * The phases of a shutdown, for the shortest, the usual and the longest grace period that the
 * settings allow.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "graceful_stop.h"

namespace {

using namespace worksshift;

class graceful_stop_decides : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(graceful_stop_decides);
    CPPUNIT_TEST(serves_everything_before_the_stop);
    CPPUNIT_TEST(late_requests_must_end_in_time);
    CPPUNIT_TEST(later_stop_requests_change_nothing);
    CPPUNIT_TEST(grace_period_may_change);
    CPPUNIT_TEST(accept_time_may_be_set);
    CPPUNIT_TEST_SUITE_END();

    const instant start = instant{} + seconds(1000);

    [[nodiscard]] graceful_stop begun(duration grace) const
    {
        graceful_stop stop;
        stop.set_grace(grace);
        stop.begin(this->start);
        return stop;
    }

public:
    /** Guards against refusing requests of a VM that is not stopping. */
    void serves_everything_before_the_stop()
    {
        const graceful_stop stop;
        CPPUNIT_ASSERT(!stop.stopping());
        CPPUNIT_ASSERT(stop.accepts_connections(this->start));
        CPPUNIT_ASSERT(stop.serves(this->start, this->start + std::chrono::hours(1)));
    }

    /** Guards against accepting a request that the end of the stop cuts off, against refusing one
     * that ends before, and against accepting connections until the process is killed. */
    void late_requests_must_end_in_time()
    {
        struct expected {
            duration grace;
            duration accept_time;
        };
        for (const auto& [grace, accept_time] :
             {expected{seconds(1), milliseconds(300)}, expected{seconds(4), milliseconds(1800)},
              expected{seconds(8), milliseconds(2700)},
              expected{seconds(3600), milliseconds(2700)}}) {
            const graceful_stop stop = this->begun(grace);
            const instant late = this->start + accept_time;
            const instant end = this->start + grace - graceful_stop::end_margin;
            CPPUNIT_ASSERT(stop.requests_end_at() == end);
            CPPUNIT_ASSERT(stop.serves(late - milliseconds(1), end + seconds(10)));
            CPPUNIT_ASSERT(stop.serves(late, end));
            CPPUNIT_ASSERT(!stop.serves(late, end + milliseconds(1)));
            CPPUNIT_ASSERT(!stop.accepts_connections(late));
        }
    }

    /** Guards against a second signal that prolongs the stop beyond the grace period. */
    void later_stop_requests_change_nothing()
    {
        graceful_stop stop = this->begun(seconds(8));
        const instant end = stop.requests_end_at();
        stop.begin(this->start + seconds(3));
        CPPUNIT_ASSERT(stop.requests_end_at() == end);
        CPPUNIT_ASSERT(stop.elapsed(this->start + seconds(5)) == seconds(5));
    }

    /** Guards against settings that are read again during a stop and have no effect. */
    void grace_period_may_change()
    {
        graceful_stop stop = this->begun(seconds(8));
        stop.set_grace(seconds(6));
        CPPUNIT_ASSERT(stop.requests_end_at() ==
                       this->start + seconds(6) - graceful_stop::end_margin);
    }

    /** Guards against an accept time that is ignored, or that leaves requests no time to end. */
    void accept_time_may_be_set()
    {
        graceful_stop stop = this->begun(seconds(20));
        const duration half = (seconds(20) - graceful_stop::end_margin) / 2;
        for (const auto& [set, expected] :
             {std::pair<duration, duration>{duration::zero(), duration::zero()},
              {seconds(5), seconds(5)},
              {seconds(600), half}}) {
            stop.set_accept_time(set);
            CPPUNIT_ASSERT(stop.accepts_connections(this->start + expected - milliseconds(1)));
            CPPUNIT_ASSERT(!stop.accepts_connections(this->start + expected));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(graceful_stop_decides);

} // namespace
