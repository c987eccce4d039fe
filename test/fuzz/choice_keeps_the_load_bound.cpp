/** \file
 * Guards against an engine selection that exceeds the load bound, selects an engine that is
 * draining or was already tried, or differs between VMs with the same information; and against
 * retries of all VMs together beyond the fleet's retry budget.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "fleet_retry_budget.h"
#include "server_table.h"

namespace {

using namespace worksshift;

class choice_keeps_the_load_bound : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(choice_keeps_the_load_bound);
    CPPUNIT_TEST(selected_engine_is_eligible);
    CPPUNIT_TEST(retries_stay_within_the_fleet_budget);
    CPPUNIT_TEST_SUITE_END();

    static void fill(server_table& table, const std::vector<unsigned>& loads,
                     const std::vector<bool>& leaving)
    {
        for (std::size_t i = 0; i < loads.size(); ++i) {
            server_record record;
            record.id.text = "s" + std::to_string(i);
            record.service.text = "llm";
            record.draining = leaving[i];
            table.put(record);
            table.find(record.id)->peers_in_flight = loads[i];
        }
    }

public:
    /** Random loads, draining engines and prompts. */
    static void selected_engine_is_eligible()
    {
        const bool passed = rc::check("the chosen engine is one that may be chosen", [] {
            const auto count = *rc::gen::inRange<std::size_t>(1, 24);
            const auto loads = *rc::gen::container<std::vector<unsigned>>(
                count, rc::gen::inRange<unsigned>(0, 40));
            const auto leaving = *rc::gen::container<std::vector<bool>>(
                count, rc::gen::weightedElement<bool>({{4, false}, {1, true}}));
            const auto key = *rc::gen::arbitrary<std::uint64_t>();
            server_table here({"dc"});
            server_table there({"other"});
            fill(here, loads, leaving);
            fill(there, loads, leaving);
            const std::vector<server_id> tried{{"s0"}};
            const placement_request wanted{{"llm"}, true, key, tried};
            const instant now(seconds(1));
            const placement_result chosen = here.choose(wanted, now);
            double total = 0;
            double open = 0;
            unsigned least = 1000;
            for (std::size_t i = 1; i < count; ++i) {
                if (leaving[i]) continue;
                total += loads[i];
                ++open;
                least = std::min(least, loads[i]);
            }
            if (open == 0) {
                RC_ASSERT(chosen.row == nullptr);
                return;
            }
            RC_ASSERT(chosen.row != nullptr);
            RC_ASSERT(!chosen.row->record.draining);
            RC_ASSERT(chosen.row->record.id.text != "s0");
            const double bound = load_bound_multiple * total / open + load_bound_offset;
            RC_ASSERT(chosen.row->load() + 1 <= bound || chosen.row->load() == least);
            if (key == 0) return;
            RC_ASSERT(there.choose(wanted, now).row->record.id == chosen.row->record.id);
            RC_ASSERT(chosen.cached_at != chosen.row);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** Random requests at several VMs that share one retry budget. */
    static void retries_stay_within_the_fleet_budget()
    {
        const bool passed = rc::check("repeats of all VMs stay within the window's bound", [] {
            const auto vms = *rc::gen::inRange<std::size_t>(1, 12);
            const fleet_retry_settings settings{0.2, seconds(10), 56};
            std::vector<fleet_retry_budget> budgets(vms);
            std::vector<instant> requests;
            std::vector<instant> retries;
            instant now(seconds(100));
            const auto steps = *rc::gen::inRange<std::size_t>(1, 600);
            for (std::size_t i = 0; i < steps; ++i) {
                now += milliseconds(*rc::gen::inRange(0, 100));
                fleet_retry_budget& budget = budgets[*rc::gen::inRange<std::size_t>(0, vms)];
                if (*rc::gen::inRange(0, 3) > 0) {
                    budget.on_request(now, settings);
                    requests.push_back(now);
                }
                if (budget.withdraw(now, settings, {vms, instant{}})) retries.push_back(now);
                const auto within = [&](const instant& at) { return now - at <= settings.window; };
                const auto request_count = std::ranges::count_if(requests, within);
                const auto retry_count = std::ranges::count_if(retries, within);
                RC_ASSERT(static_cast<double>(retry_count) <=
                          settings.ratio * static_cast<double>(request_count) + settings.slack);
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(choice_keeps_the_load_bound);

} // namespace
