/** \file
 * Guards against a stated pace, however extreme, that makes VMs exceed the load bound of an engine.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "server_table.h"

namespace {

using namespace worksshift;

class paces_keep_the_load_bound : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(paces_keep_the_load_bound);
    CPPUNIT_TEST(selected_engine_is_within_its_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Random loads and paces; the engine is below its bound, or none is and it has the least
     * load. */
    static void selected_engine_is_within_its_bound()
    {
        const bool passed = rc::check("the load bound holds at any pace", [] {
            const auto count = *rc::gen::inRange<std::size_t>(1, 24);
            const auto loads = *rc::gen::container<std::vector<unsigned>>(
                count, rc::gen::inRange<unsigned>(0, 60));
            const auto figures = *rc::gen::container<std::vector<int>>(
                count, rc::gen::element(0, 1, 25, 90, 100, 130, 400, 100000));
            const auto key = *rc::gen::weightedOneOf<std::uint64_t>(
                {{1, rc::gen::just<std::uint64_t>(0)}, {3, rc::gen::arbitrary<std::uint64_t>()}});
            server_table table({"dc"}, 1);
            service_traits traits;
            traits.engine = true;
            table.set_traits({"llm"}, traits);
            table.set_objective({"llm"}, milliseconds(300));
            const instant now(seconds(100));
            double total = 0;
            for (std::size_t i = 0; i < count; ++i) {
                server_record record;
                record.id.text = "s" + std::to_string(i);
                record.service.text = "llm";
                record.slots = 8;
                table.put(record, now);
                server_entry& row = *table.find(record.id);
                row.peers_in_flight = loads[i];
                total += loads[i];
                for (int second = 0; second < 20; ++second) {
                    server_table::note_pace(row, figures[i] / 100.0,
                                            now + std::chrono::seconds(second));
                }
                table.on_finished(row, seconds(1));
            }
            table.update_paces(now + seconds(20));
            table.sum_loads(now + seconds(20));
            const placement_result chosen =
                table.choose({{"llm"}, true, key, {}}, now + seconds(20));
            RC_ASSERT(chosen.row != nullptr);
            const double mean = total / static_cast<double>(count);
            const bool within =
                chosen.row->load() + 1 <= load_bound_multiple * mean + load_bound_offset;
            RC_ASSERT(within || chosen.row->load() == std::ranges::min(loads));
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(paces_keep_the_load_bound);

} // namespace
