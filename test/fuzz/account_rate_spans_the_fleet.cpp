/** \file
 * An account's tokens per minute over all entry VMs, while home VMs restart, are partitioned
 * and reconnect. Guards against use above the bound that account_quota.h states or far from the
 * rate without faults, refusals that are late or lack a retry time, and effects on other accounts.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "support/core_fleet.h"

namespace {

using namespace worksshift;
using support::ending;

constexpr std::size_t node_count = 6;
constexpr std::uint64_t rate_per_minute = 60'000;
constexpr double rate = rate_per_minute / 60.0;
constexpr std::uint32_t cost = 100;

class account_rate_spans_the_fleet : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(account_rate_spans_the_fleet);
    CPPUNIT_TEST(close_to_the_rate_without_faults);
    CPPUNIT_TEST(a_request_larger_than_the_bucket_runs);
    CPPUNIT_TEST(a_request_that_did_not_run_is_not_charged);
    CPPUNIT_TEST(bounded_under_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::core_options make_options(std::uint64_t seed)
    {
        support::core_options options;
        options.nodes = node_count;
        options.servers = 8;
        options.data_centres = 2;
        options.ms_per_cost = 1;
        options.seed = seed;
        return options;
    }

    static void set_account_rate(support::core_fleet& fleet)
    {
        fleet.change_config([](fleet_config& config) {
            account_config account = *config.accounts.find({"acc-1"});
            account.tokens_per_minute = rate_per_minute;
            config.accounts.set(account);
        });
        fleet.run_for(seconds(12));
    }

    /** Submits requests of the limited account at a multiple of its rate, and a few of another. */
    static void submit_load(support::core_fleet& fleet, int seconds_long, double multiple)
    {
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(cost / (rate * multiple)));
        const instant end = fleet.now() + seconds(seconds_long);
        for (std::uint64_t i = 0; fleet.now() < end; ++i) {
            support::core_request request;
            request.account = i % 20 == 0 ? "acc-2" : "acc-1";
            request.chat = 1 + i;
            request.cost = cost;
            if (fleet.up(i % node_count)) fleet.submit(i % node_count, request);
            fleet.run_for(interval);
        }
    }

    static double executed_tokens(const support::core_fleet& fleet)
    {
        double sum = 0;
        for (const auto& result : fleet.results) {
            if (result.request.account == "acc-1") sum += result.runs * result.request.cost;
        }
        return sum;
    }

    /** Without faults, an account uses its rate and hardly more, and refusals come early and with a
     * retry time. */
    void close_to_the_rate_without_faults()
    {
        support::core_fleet fleet(make_options(3));
        set_account_rate(fleet);
        submit_load(fleet, 60, 5);
        fleet.run_for(seconds(5));
        const double used = executed_tokens(fleet);
        CPPUNIT_ASSERT(used <= rate * (60 + quota_burst_s) + node_count * rate);
        CPPUNIT_ASSERT(used >= 0.9 * rate * 60);
        std::size_t refused = 0;
        for (const auto& result : fleet.results) {
            if (result.request.account == "acc-2") CPPUNIT_ASSERT(result.end == ending::complete);
            if (result.end != ending::not_run) continue;
            ++refused;
            CPPUNIT_ASSERT(result.retry_after_ms > 0);
            CPPUNIT_ASSERT(result.ended - result.sent < milliseconds(500));
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    /** Guards against refusing forever a request that costs more than the bucket holds. It runs,
     * and the account's later requests are refused until the bucket has filled again. */
    void a_request_larger_than_the_bucket_runs()
    {
        support::core_fleet fleet(make_options(4));
        set_account_rate(fleet);
        support::core_request request;
        request.account = "acc-1";
        request.cost = static_cast<std::uint32_t>(3 * quota_burst_s * rate);
        const std::size_t large = fleet.submit(0, request);
        fleet.run_for(seconds(1));
        request.cost = cost;
        request.chat = 2;
        const std::size_t after = fleet.submit(1, request);
        fleet.run_for(seconds(40));
        CPPUNIT_ASSERT(fleet.results[large].end == ending::complete);
        CPPUNIT_ASSERT(fleet.results[after].end == ending::not_run);
        CPPUNIT_ASSERT(fleet.results[after].retry_after_ms > 10'000);
    }

    /** Guards against charging an account for a request that was refused without a run. */
    void a_request_that_did_not_run_is_not_charged()
    {
        support::core_fleet fleet(make_options(5));
        set_account_rate(fleet);
        for (auto& [id, server] : fleet.servers)
            server.up = false;
        support::core_request request;
        request.account = "acc-1";
        // Paying for this request makes the level of the bucket negative.
        request.cost = static_cast<std::uint32_t>(3 * quota_burst_s * rate);
        const std::size_t refused = fleet.submit(0, request);
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT(fleet.results[refused].end == ending::not_run);
        for (auto& [id, server] : fleet.servers)
            server.up = true;
        fleet.run_for(seconds(1)); // far less than the bucket needs to fill
        request.chat = 2;
        const std::size_t served = fleet.submit(0, request);
        fleet.run_for(seconds(40));
        CPPUNIT_ASSERT(fleet.results[served].end == ending::complete);
    }

    /** Guards against use above the bound while VMs restart and links are cut. */
    void bounded_under_faults()
    {
        const bool property_holds = rc::check("rate", [] {
            support::core_fleet fleet(make_options(*rc::gen::inRange<std::uint64_t>(1, 1000)));
            set_account_rate(fleet);
            const instant start = fleet.now();
            int moves = 0;
            const int steps = *rc::gen::inRange(1, 6);
            for (int i = 0; i < steps; ++i) {
                const auto node = *rc::gen::inRange<std::size_t>(0, node_count);
                switch (*rc::gen::inRange(0, 4)) {
                case 0:
                    fleet.restart(node);
                    moves += 2;
                    break;
                case 1:
                    fleet.cut(node, (node + 1) % node_count);
                    moves += 4;
                    break;
                case 2:
                    fleet.heal();
                    moves += 4;
                    break;
                default:
                    break;
                }
                submit_load(fleet, 10, 4);
            }
            const double elapsed_s = std::chrono::duration<double>(fleet.now() - start).count();
            // The rate is granted once by the home and once by entry VMs that cannot reach it; each
            // move of the home adds a full bucket, and each entry VM may have prefetched tokens.
            const double max_tokens =
                rate * (2 * elapsed_s + quota_burst_s * (1 + moves) + node_count);
            RC_ASSERT(executed_tokens(fleet) <= max_tokens);
            for (const auto& result : fleet.results) {
                if (result.end == ending::not_run) RC_ASSERT(result.runs == 0U);
                RC_ASSERT(result.endings <= 1U);
            }
        });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_rate_spans_the_fleet);

} // namespace
