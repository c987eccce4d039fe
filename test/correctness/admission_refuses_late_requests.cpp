/** \file
 * Tests of admission control. Guards against refusing requests while slots are free or after they
 * may have run, against admitting requests that no engine can start in time, and against
 * concentrating load on slow engines or on the first engine of a frequent prompt.
 */
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "admission.h"

namespace {

using namespace worksshift;

const service_id llm{"llm"};
constexpr std::uint32_t slots = 10;
constexpr std::size_t engines = 6;

class admission_refuses_late_requests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_refuses_late_requests);
    CPPUNIT_TEST(free_slots);
    CPPUNIT_TEST(low_priority_with_free_slots);
    CPPUNIT_TEST(no_slot_in_time);
    CPPUNIT_TEST(requests_that_may_have_run);
    CPPUNIT_TEST(retry_after_grows);
    CPPUNIT_TEST(limited_to_service_rate_while_busy);
    CPPUNIT_TEST(slow_engine);
    CPPUNIT_TEST(hot_prompt);
    CPPUNIT_TEST(reported_load_overrides_sums);
    CPPUNIT_TEST_SUITE_END();

    instant now{seconds(100)};
    std::unique_ptr<server_table> table;
    std::unique_ptr<admission> admission_control;

    server_entry& engine(std::size_t at) { return *this->table->find({"e" + std::to_string(at)}); }

    /** Sets the number of other VMs' requests at every engine. */
    void load_all(std::uint32_t requests)
    {
        for (std::size_t i = 0; i < engines; ++i)
            this->engine(i).peers_in_flight = requests;
        this->table->sum_loads(this->now);
    }

    admission_decision ask(std::uint64_t prompt = 7, bool may_refuse = true)
    {
        return this->admission_control->decide({llm, true, prompt, {}, 0}, may_refuse, this->now);
    }

    bool is_sent(std::uint64_t prompt = 7, bool may_refuse = true)
    {
        return std::holds_alternative<admit_to>(this->ask(prompt, may_refuse));
    }

public:
    void setUp() override
    {
        this->table = std::make_unique<server_table>(data_centre_id{"dc"}, 1U);
        this->table->policy.load_spread = 0;
        this->admission_control = std::make_unique<admission>(*this->table, 1U);
        for (std::size_t i = 0; i < engines; ++i) {
            server_record record;
            record.id = {"e" + std::to_string(i)};
            record.service = llm;
            record.slots = slots;
            this->table->put(record);
        }
        this->table->set_objective(llm, milliseconds(400));
        // Requests hold a slot for one second, so a full engine frees one every 100 ms.
        this->table->on_finished(this->engine(0), seconds(1));
    }

    /** Guards against refusals while every engine has a free slot. */
    void free_slots()
    {
        this->load_all(slots - 1);
        CPPUNIT_ASSERT(this->is_sent());
    }

    /** Guards against refusing low-priority requests while slots are free. */
    void low_priority_with_free_slots()
    {
        this->load_all(1);
        for (int i = 0; i < 400; ++i) {
            this->now += milliseconds(20);
            const unsigned priority = i % 4;
            const admission_decision decided =
                this->admission_control->decide({llm, true, 7, {}, priority}, true, this->now);
            CPPUNIT_ASSERT(std::holds_alternative<admit_to>(decided));
        }
    }

    /** Guards against admitting a request whose wait for a slot exceeds the limit. */
    void no_slot_in_time()
    {
        // The limit is half of the objective, 200 ms: two requests may wait, a third may not.
        this->load_all(slots + 1);
        CPPUNIT_ASSERT(this->is_sent());
        this->load_all(slots + 2);
        const admission_decision decided = this->ask();
        const auto* refusal = std::get_if<retry_later>(&decided);
        CPPUNIT_ASSERT(refusal != nullptr);
        CPPUNIT_ASSERT(refusal->placement.wait > milliseconds(200));
        CPPUNIT_ASSERT(refusal->retry_after >= overload_tracker::min_overload_retry_after);
    }

    /** Guards against refusing a request as "not run" that may have run. */
    void requests_that_may_have_run()
    {
        this->load_all(slots * 3);
        CPPUNIT_ASSERT(this->is_sent(7, false));
    }

    /** Guards against a Retry-After that does not grow during an overload or is not reset after it.
     */
    void retry_after_grows()
    {
        this->load_all(slots * 3);
        duration last{};
        for (int i = 0; i < 80; ++i) {
            const admission_decision decided = this->ask();
            last = std::get<retry_later>(decided).retry_after;
            this->now += milliseconds(50);
        }
        // After four seconds of overload, randomised by up to half in either direction.
        CPPUNIT_ASSERT(last >= milliseconds(1950) && last <= milliseconds(6000));
        this->now += seconds(10);
        CPPUNIT_ASSERT_EQUAL(duration(overload_tracker::min_overload_retry_after),
                             std::get<retry_later>(this->ask()).retry_after);
    }

    /** Guards against admitting more than the engines complete: 200 requests per second arrive, and
     * 60 are completed. */
    void limited_to_service_rate_while_busy()
    {
        const auto admitted_of_200 = [&] {
            int admitted = 0;
            for (int i = 0; i < 200; ++i) {
                this->now += milliseconds(5);
                this->admission_control->on_request(llm, 0, this->now);
                admitted += this->is_sent(0) ? 1 : 0;
            }
            return admitted;
        };
        this->load_all(slots / 2 - 1);
        CPPUNIT_ASSERT_EQUAL(200, admitted_of_200());
        this->load_all(slots);
        admitted_of_200();
        const int admitted = admitted_of_200();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted >= 20 && admitted <= 90);
    }

    /** Guards against preferring a slow engine, and against refusing when only it has a slot. */
    void slow_engine()
    {
        this->load_all(0);
        const placement_result first_choice = std::get<admit_to>(this->ask()).placement;
        for (std::size_t i = 0; i < engines; ++i)
            this->engine(i).first_delay.add(milliseconds(60), this->now);
        for (int i = 0; i < 20; ++i)
            first_choice.row->first_delay.add(milliseconds(900), this->now);
        this->table->mark_slow(this->now);
        CPPUNIT_ASSERT(std::get<admit_to>(this->ask()).placement.row != first_choice.row);
        // The slow engine is still used if no other has a slot.
        this->load_all(slots * 3);
        first_choice.row->peers_in_flight = 0;
        this->table->sum_loads(this->now);
        CPPUNIT_ASSERT(this->is_sent());
    }

    /** Guards against a frequent prompt filling one engine, and against spreading other prompts. */
    void hot_prompt()
    {
        this->load_all(1);
        const auto engines_used = [&](std::uint64_t prompt) {
            std::set<server_entry*> rows;
            for (int i = 0; i < 60; ++i)
                rows.insert(std::get<admit_to>(this->ask(prompt)).placement.row);
            return rows.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines_used(8));
        for (int i = 0; i < 200; ++i) {
            this->now += milliseconds(40);
            this->admission_control->on_request(llm, 8, this->now);
        }
        CPPUNIT_ASSERT(engines_used(8) > 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines_used(9));
    }

    /** Guards against ignoring a load that an engine reported, using an older one, or keeping it
     * after it expired. */
    void reported_load_overrides_sums()
    {
        this->load_all(0);
        server_entry& row = this->engine(2);
        row.set_reported_load(9, this->now);
        row.in_flight += 2;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{11}, row.load());
        row.set_reported_load(4, this->now - milliseconds(10));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an older stated load is ignored", std::uint32_t{11},
                                     row.load());
        this->table->expire_reported_loads(this->now + reported_load_lifetime + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, row.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_refuses_late_requests);

} // namespace
