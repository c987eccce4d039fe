/** \file
 * Claims of idempotency keys while the platform is unavailable or loses the responses to successful
 * writes, and while home nodes fail or are partitioned and replaced. Guards against a key whose
 * requests run more than once in total, and against a key that stays claimed although its request
 * is known not to have run.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/inject_fault.h"

namespace {

using namespace worksshift;
using support::ending;

constexpr std::size_t node_count = 3;

class claims_are_granted_once : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_are_granted_once);
    CPPUNIT_TEST(a_key_runs_at_most_once_under_faults);
    CPPUNIT_TEST(a_request_that_did_not_run_releases_its_key);
    CPPUNIT_TEST(a_new_home_reads_older_slices);
    CPPUNIT_TEST(a_failed_write_grants_no_claim);
    CPPUNIT_TEST(an_unknown_outcome_keeps_the_key);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::core_options make_options(std::uint64_t seed)
    {
        support::core_options options;
        options.nodes = node_count;
        options.servers = 2;
        options.data_centres = 1;
        options.plain = true;
        options.ms_per_cost = 1;
        options.settings.claims_per_slice = 2; // so that slices are sealed frequently
        options.seed = seed;
        return options;
    }

    static support::core_request make_request(std::uint64_t key)
    {
        support::core_request request;
        request.idempotent = false;
        request.claim_key = "key-" + std::to_string(key);
        request.deadline = seconds(8);
        return request;
    }

    /** A key must not run twice under faults of the platform, nodes, links and servers. */
    void a_key_runs_at_most_once_under_faults()
    {
        const bool passed = rc::check("one key runs once", [] {
            support::core_fleet fleet(make_options(*rc::gen::inRange<std::uint64_t>(1, 1000)));
            // VMs with different settings seal slices at different sizes.
            fleet.node_at(1).data().settings.claims_per_slice = 5;
            fleet.run_for(seconds(12));
            const int steps = *rc::gen::inRange(2, 30);
            for (int i = 0; i < steps; ++i) {
                const auto node = *rc::gen::inRange<std::size_t>(0, node_count);
                const int action = *rc::gen::inRange(0, support::fault_kinds + 5);
                if (action < support::fault_kinds) {
                    support::inject_fault(fleet, action, node);
                } else if (action == support::fault_kinds) {
                    for (auto& [id, server] : fleet.servers)
                        server.crash_next = true;
                } else if (fleet.up(node)) {
                    fleet.submit(node, make_request(*rc::gen::inRange<std::uint64_t>(0, 3)));
                }
                fleet.run_for(milliseconds(*rc::gen::element(3, 12, 100, 900, 7000)));
            }
            std::map<std::string, std::uint32_t> runs;
            for (const auto& result : fleet.results) {
                runs[result.request.claim_key] += result.runs;
                if (result.end == ending::not_run) RC_ASSERT(result.runs == 0U);
            }
            for (const auto& [key, count] : runs)
                RC_ASSERT(count <= 1U);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** A request that did not run must release its key; one that completed must be replayed. */
    void a_request_that_did_not_run_releases_its_key()
    {
        support::core_fleet fleet(make_options(1));
        fleet.run_for(seconds(12));
        for (auto& [id, server] : fleet.servers)
            server.up = false;
        const std::size_t refused = fleet.submit(0, make_request(1));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[refused].end == ending::not_run);
        for (auto& [id, server] : fleet.servers)
            server.up = true;
        const std::size_t again = fleet.submit(1, make_request(1));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[again].end == ending::complete);
        const std::size_t repeated = fleet.submit(2, make_request(1));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[repeated].end == ending::replayed);
        CPPUNIT_ASSERT_EQUAL(1U, fleet.results[again].runs);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.results[repeated].runs);
    }

    static std::uint32_t runs_of(const support::core_fleet& fleet, const std::string& key)
    {
        std::uint32_t runs = 0;
        for (const auto& result : fleet.results) {
            if (result.request.claim_key == key) runs += result.runs;
        }
        return runs;
    }

    /** A home that restarted must read older slices, or recorded requests would run again. */
    void a_new_home_reads_older_slices()
    {
        support::core_fleet fleet(make_options(2));
        fleet.run_for(seconds(12));
        constexpr std::uint64_t key_count = 400; // several slices of two in each of 64 buckets
        for (std::uint64_t key = 0; key < key_count; ++key) {
            fleet.submit(key % node_count, make_request(key));
            fleet.run_for(milliseconds(20));
        }
        fleet.run_for(seconds(10));
        for (std::size_t node = 0; node < node_count; ++node)
            fleet.restart(node);
        fleet.run_for(seconds(15));
        const std::size_t first_repeat = fleet.results.size();
        for (std::uint64_t key = 0; key < key_count; ++key) {
            fleet.submit(key % node_count, make_request(key));
            fleet.run_for(milliseconds(20));
        }
        fleet.run_for(seconds(10));
        for (std::size_t i = 0; i < fleet.results.size(); ++i) {
            const ending expected = i < first_repeat ? ending::complete : ending::replayed;
            CPPUNIT_ASSERT(fleet.results[i].end == expected);
            CPPUNIT_ASSERT_EQUAL(i < first_repeat ? 1U : 0U, fleet.results[i].runs);
        }
    }

    /** A claim whose write failed must not be granted, and must not stay claimed afterwards. */
    void a_failed_write_grants_no_claim()
    {
        support::core_fleet fleet(make_options(3));
        fleet.run_for(seconds(12));
        // A first claim makes the home cache the bucket before the platform becomes unavailable.
        fleet.submit(0, make_request(1));
        fleet.run_for(seconds(2));
        fleet.set_platform(false);
        std::uint64_t key = 2;
        const auto bucket_of = [](std::uint64_t number) {
            return claim_bucket("acc-0/key-" + std::to_string(number));
        };
        while (bucket_of(key) != bucket_of(1))
            ++key;
        const std::size_t refused = fleet.submit(0, make_request(key));
        fleet.run_for(seconds(6));
        CPPUNIT_ASSERT(fleet.results[refused].end == ending::not_run);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.results[refused].runs);
        fleet.set_platform(true);
        const std::size_t served = fleet.submit(1, make_request(key));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[served].end == ending::complete);
        CPPUNIT_ASSERT_EQUAL(1U, runs_of(fleet, "key-" + std::to_string(key)));
    }

    /** A request with an unknown outcome must keep its key, or a retry could run it twice. */
    void an_unknown_outcome_keeps_the_key()
    {
        support::core_options options = make_options(4);
        options.pieces = 3;
        support::core_fleet fleet(options);
        fleet.run_for(seconds(12));
        for (auto& [id, server] : fleet.servers)
            server.crash_next = true;
        const std::size_t broken = fleet.submit(0, make_request(1));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[broken].end == ending::unknown);
        for (auto& [id, server] : fleet.servers)
            server.crash_next = false;
        const std::size_t again = fleet.submit(1, make_request(1));
        fleet.run_for(seconds(3));
        CPPUNIT_ASSERT(fleet.results[again].end == ending::unknown);
        CPPUNIT_ASSERT_EQUAL(1U, runs_of(fleet, "key-1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_are_granted_once);

} // namespace
