/** \file
 * Decisions of the admission control of a plain service, from response times that a test states.
 * Guards against refusals that responses do not justify, and against times to retry that the client
 * cannot use.
 */
#include <array>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "plain_admission.h"

namespace {

using namespace worksshift;

class plain_admission_decides : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_admission_decides);
    CPPUNIT_TEST(short_responses);
    CPPUNIT_TEST(full_queues);
    CPPUNIT_TEST(few_slots_in_use);
    CPPUNIT_TEST(failures_are_no_overload);
    CPPUNIT_TEST(one_slow_server);
    CPPUNIT_TEST(disabled);
    CPPUNIT_TEST(opens_when_queues_are_empty);
    CPPUNIT_TEST(retry_within_a_third);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration objective = milliseconds(150);
    static constexpr duration remaining = milliseconds(1500);
    static constexpr double share = 0.38;

    std::array<server_entry, 4> rows;
    plain_admission control;
    instant time = instant(seconds(1000));
    std::minstd_rand random;

    /** Sends 20 requests/s for \p span. The servers respond in \p spans, and fail if that is zero.
     */
    std::size_t run(std::array<milliseconds, 4> spans, duration span, std::uint32_t load,
                    double target = share)
    {
        std::vector<server_entry*> servers;
        for (server_entry& row : this->rows) {
            row.record.slots = 6;
            row.peers_in_flight = load;
            servers.push_back(&row);
        }
        std::size_t refused = 0;
        const instant end = this->time + span;
        for (std::size_t i = 0; this->time < end; ++i, this->time += milliseconds(50)) {
            server_entry& row = this->rows[i % 4];
            const milliseconds taken = spans[i % 4];
            const std::uint32_t answered = taken > milliseconds{} ? 1 : 0;
            row.outcomes.add(answered * 5, (1 - answered) * 5, taken, this->time);
            row.own_outcomes.add(answered, 1 - answered, taken, this->time);
            this->control.update(servers, objective, target, this->time);
            if (!this->control.admit(0, remaining, objective, this->time)) {
                ++refused;
                this->control.refuse(remaining, objective, this->time, this->random);
            }
        }
        return refused;
    }
    static std::array<milliseconds, 4> all(int ms)
    {
        return {milliseconds(ms), milliseconds(ms), milliseconds(ms), milliseconds(ms)};
    }

public:
    void short_responses()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(all(50), seconds(10), 6));
    }
    void full_queues()
    {
        this->run(all(30), seconds(3), 3);
        CPPUNIT_ASSERT(this->run(all(160), seconds(3), 30) > 0);
    }
    void few_slots_in_use()
    {
        this->run(all(30), seconds(3), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(all(160), seconds(5), 2));
    }
    void failures_are_no_overload()
    {
        this->run(all(30), seconds(3), 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(all(0), seconds(10), 30));
    }
    void one_slow_server()
    {
        this->run(all(30), seconds(3), 3);
        const std::array spans{milliseconds(400), milliseconds(30), milliseconds(30),
                               milliseconds(30)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(spans, seconds(10), 6));
    }
    void disabled()
    {
        this->run(all(30), seconds(3), 3, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(all(160), seconds(5), 30, 0));
    }
    /** Guards against refusals that go on after an overload. */
    void opens_when_queues_are_empty()
    {
        this->run(all(30), seconds(3), 3);
        CPPUNIT_ASSERT(this->run(all(160), seconds(3), 30) > 0);
        this->run(all(30), seconds(15), 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->run(all(30), seconds(5), 2));
    }
    void retry_within_a_third()
    {
        for (int i = 0; i < 100; ++i) {
            const duration after =
                this->control.refuse(remaining, objective, this->time, this->random);
            CPPUNIT_ASSERT(after > duration::zero());
            CPPUNIT_ASSERT(after <= remaining / 3);
        }
        const duration late = this->control.refuse(-remaining, objective, this->time, this->random);
        CPPUNIT_ASSERT(late >= duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_admission_decides);

} // namespace
