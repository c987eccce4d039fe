/** \file
 * Engines that state their paces. Guards against requests that wait at a slow engine as if it freed
 * its slots at the usual speed, against a service rate that ignores slow machines, and against
 * prompts that are processed again because of a small or passing difference.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "admission.h"
#include "server_table.h"

namespace {

using namespace worksshift;

constexpr std::size_t engine_count = 10;
constexpr std::uint32_t slot_count = 32;
constexpr std::uint64_t prompt = 77;
const service_id service{"llm"};

class engines_of_unequal_speed : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engines_of_unequal_speed);
    CPPUNIT_TEST(quarter_speed_engine_loses_its_prompts);
    CPPUNIT_TEST(moderately_slow_engine_keeps_its_prompts);
    CPPUNIT_TEST(slow_engine_is_normal_again_well_below_the_bound);
    CPPUNIT_TEST(no_engine_is_slow_while_all_are);
    CPPUNIT_TEST(slots_become_free_more_slowly_at_a_slow_engine);
    CPPUNIT_TEST(service_rate_falls_with_slow_engines);
    CPPUNIT_TEST(request_spans_are_compared_at_the_usual_pace);
    CPPUNIT_TEST(failing_engine_is_not_a_fast_one);
    CPPUNIT_TEST(slow_engine_is_used_when_the_others_have_no_slot);
    CPPUNIT_TEST(requests_without_prompt_avoid_slow_engines);
    CPPUNIT_TEST(policy_disables_paces);
    CPPUNIT_TEST(paces_pass_to_other_vms);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<server_table> table;
    instant now{seconds(1000)};
    const placement_request wanted{service, true, prompt, {}};

    static std::unique_ptr<server_table> make_table()
    {
        auto made = std::make_unique<server_table>(data_centre_id{"dc"}, 1);
        for (std::size_t i = 0; i < engine_count; ++i) {
            server_record record;
            record.id.text = "engine-" + std::to_string(i);
            record.service = service;
            record.slots = slot_count;
            made->put(record, instant(seconds(1)));
        }
        service_traits traits;
        traits.engine = true;
        made->set_traits(service, traits);
        made->set_objective(service, milliseconds(600));
        made->policy.load_spread = 0;
        return made;
    }

    /** Every engine states 1, and those in \p rows state \p figure, for 30 s. */
    void state(const std::vector<server_entry*>& rows, double figure)
    {
        for (int i = 0; i < 60; ++i) {
            this->now += milliseconds(500);
            for (auto& [id, row] : this->table->rows()) {
                const bool listed = std::ranges::find(rows, &row) != rows.end();
                server_table::note_pace(row, listed ? figure : 1, this->now);
            }
        }
        this->table->update_paces(this->now);
        this->table->sum_loads(this->now);
    }

    std::vector<server_entry*> all_engines()
    {
        std::vector<server_entry*> rows;
        for (auto& [id, row] : this->table->rows())
            rows.push_back(&row);
        return rows;
    }

    server_entry* chosen() { return this->table->choose(this->wanted, this->now).row; }

public:
    void setUp() override
    {
        this->now = instant(seconds(1000));
        this->table = make_table();
    }

    void quarter_speed_engine_loses_its_prompts()
    {
        server_entry* first = this->chosen();
        this->state({first}, 4);
        CPPUNIT_ASSERT(first->slow_by_pace);
        CPPUNIT_ASSERT(this->chosen() != first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table->slow_servers());
        CPPUNIT_ASSERT(this->table->mean_paces().at(service) > 1.2);
    }

    void moderately_slow_engine_keeps_its_prompts()
    {
        server_entry* first = this->chosen();
        this->state({first}, 1.5);
        CPPUNIT_ASSERT(!first->slow_by_pace);
        CPPUNIT_ASSERT(this->chosen() == first);
    }

    /** Prompts would move at every small change of a pace near the bound. */
    void slow_engine_is_normal_again_well_below_the_bound()
    {
        server_entry* first = this->chosen();
        this->state({first}, 4);
        this->state({first}, 1.6);
        CPPUNIT_ASSERT(first->slow_by_pace);
        this->state({first}, 1);
        CPPUNIT_ASSERT(!first->slow_by_pace);
        CPPUNIT_ASSERT(this->chosen() == first);
    }

    void no_engine_is_slow_while_all_are()
    {
        server_entry* first = this->chosen();
        this->state(this->all_engines(), 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->table->slow_servers());
        CPPUNIT_ASSERT(this->chosen() == first);
    }

    /** One request above the slots waits 1 s / 32 x 8 = 250 ms at the usual pace, within the
     * limit of 300 ms, and longer than it at 1.5. */
    void slots_become_free_more_slowly_at_a_slow_engine()
    {
        server_entry* first = this->chosen();
        for (auto& [id, row] : this->table->rows()) {
            for (int i = 0; i < 10; ++i)
                this->table->on_finished(row, seconds(1));
            row.peers_in_flight = slot_count - 8;
        }
        first->peers_in_flight = slot_count + 7;
        this->state({}, 1);
        CPPUNIT_ASSERT(this->chosen() == first);
        this->state({first}, 1.5);
        CPPUNIT_ASSERT(!first->slow_by_pace);
        CPPUNIT_ASSERT(this->chosen() != first);
    }

    /** Ten engines serve 320 requests/s; with a third of them at a quarter of the speed, admission
     * must not count on that rate. */
    void service_rate_falls_with_slow_engines()
    {
        server_entry& any = this->table->rows().begin()->second;
        for (int i = 0; i < 100; ++i)
            this->table->on_finished(any, seconds(1));
        this->state({}, 1);
        const service_load usual = this->table->load_of(service);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(320, usual.slots / usual.span_s, 1);
        std::vector<server_entry*> slow = this->all_engines();
        slow.resize(3);
        this->state(slow, 4);
        const service_load load = this->table->load_of(service);
        CPPUNIT_ASSERT_EQUAL(usual.slots, load.slots);
        const double rate = load.slots / load.span_s;
        // 7 engines and 3 at a quarter, whose pace is underestimated by the prior.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rate), rate > 245 && rate < 265);
    }

    /** Requests of slow engines must not raise the span twice: measured, and by the pace. */
    void request_spans_are_compared_at_the_usual_pace()
    {
        this->state(this->all_engines(), 2);
        server_entry& any = this->table->rows().begin()->second;
        for (int i = 0; i < 200; ++i)
            this->table->on_finished(any, seconds(2));
        this->table->sum_loads(this->now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, this->table->load_of(service).span_s, 0.05);
    }

    void failing_engine_is_not_a_fast_one()
    {
        server_entry* first = this->chosen();
        first->failing = true;
        this->state({first}, 0.25);
        CPPUNIT_ASSERT_EQUAL(1.0, first->expected_pace);
    }

    void slow_engine_is_used_when_the_others_have_no_slot()
    {
        server_entry* first = this->chosen();
        this->state({first}, 4);
        for (auto& [id, row] : this->table->rows()) {
            this->table->on_finished(row, seconds(1));
            row.peers_in_flight = &row == first ? 0 : slot_count + 40;
        }
        this->table->sum_loads(this->now);
        CPPUNIT_ASSERT(this->chosen() == first);
    }

    void requests_without_prompt_avoid_slow_engines()
    {
        server_entry& slow = this->table->rows().begin()->second;
        for (auto& [id, row] : this->table->rows())
            row.peers_in_flight = 6;
        slow.peers_in_flight = 4;
        this->state({&slow}, 4);
        const placement_request no_prompt{service, true, 0, {}};
        CPPUNIT_ASSERT(this->table->choose(no_prompt, this->now).row != &slow);
    }

    void policy_disables_paces()
    {
        this->table->policy.slow_pace = 0;
        server_entry* first = this->chosen();
        this->state({first}, 4);
        CPPUNIT_ASSERT_EQUAL(1.0, first->expected_pace);
        CPPUNIT_ASSERT(this->chosen() == first);
    }

    void paces_pass_to_other_vms()
    {
        server_entry* first = this->chosen();
        const std::unique_ptr<server_table> other = make_table();
        for (int i = 0; i < 30; ++i) {
            this->now += seconds(1);
            first->set_reported_load(3, this->now);
            first->reported_here = true;
            server_table::note_pace(*first, 4, this->now);
            for (const reported_load& report : this->table->drain_reported_loads(this->now))
                other->apply_reported_load(report, this->now);
        }
        other->update_paces(this->now);
        CPPUNIT_ASSERT(other->find(first->record.id)->slow_by_pace);
        // A figure is passed on once.
        first->set_reported_load(3, this->now + seconds(1));
        first->reported_here = true;
        const auto again = this->table->drain_reported_loads(this->now + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
        CPPUNIT_ASSERT_EQUAL(0, int{again[0].pace});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engines_of_unequal_speed);

} // namespace
