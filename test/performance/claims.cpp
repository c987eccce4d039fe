/** \file
 * Cost of claims of idempotency keys: 8 simulated nodes serve non-idempotent requests, each with a
 * key of its own, at today's rate (60/s) and at four times that rate. The ratio of bytes written in
 * the last quarter of the run to those in the first shows whether a claim costs more as claims
 * accumulate.
 */
#include <chrono>

#include "log.h"
#include "support/benchmark_report.h"
#include "support/core_fleet.h"

namespace {

using namespace worksshift;
using support::ending;

constexpr int quarters = 4;

void measure_rate(support::benchmark_report& out, int per_second, int quarter_s)
{
    support::core_options options;
    options.nodes = 8;
    options.servers = 4;
    options.plain = true;
    options.ms_per_cost = 0.5;
    support::core_fleet fleet(options);
    fleet.run_for(seconds(12));
    const std::string name = "claims." + std::to_string(per_second) + "_a_second";
    std::vector<double> bytes_by_quarter;
    const std::uint64_t writes_before = fleet.platform_writes;
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t number = 0;
    for (int quarter = 0; quarter < quarters; ++quarter) {
        const std::uint64_t bytes_before = fleet.platform_bytes_written;
        for (int i = 0; i < quarter_s * per_second; ++i) {
            support::core_request request;
            request.idempotent = false;
            request.claim_key = "ticket-key-" + std::to_string(++number);
            request.deadline = seconds(5);
            fleet.submit(number % options.nodes, request);
            fleet.run_for(std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(1.0 / per_second)));
        }
        bytes_by_quarter.push_back(
            static_cast<double>(fleet.platform_bytes_written - bytes_before));
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    fleet.run_for(seconds(6));
    std::vector<double> wait_ms;
    double not_served = 0;
    for (const support::core_result& result : fleet.results) {
        if (result.end != ending::complete) ++not_served;
        if (result.was_sent) {
            wait_ms.push_back(
                std::chrono::duration<double, std::milli>(result.started - result.sent).count());
        }
    }
    const double total_s = quarters * quarter_s;
    const auto writes = static_cast<double>(fleet.platform_writes - writes_before);
    out.at_most(name + ".not_served", not_served, "requests", 0);
    out.at_most(name + ".writes", writes / total_s, "1/s", 400);
    out.note(name + ".bytes_written", bytes_by_quarter.back() / quarter_s, "B/s");
    out.at_most(name + ".bytes_last_to_first_quarter",
                bytes_by_quarter.back() / bytes_by_quarter.front(), "ratio", 2.5);
    out.note(name + ".wait_p50", support::percentile(wait_ms, 0.5), "ms");
    out.note(name + ".wait_p99", support::percentile(wait_ms, 0.99), "ms");
    out.note(name + ".whole_run", elapsed.count() / static_cast<double>(number), "us/request");
}

} // namespace

int main()
{
    start_log(log_level::error, "measure");
    support::benchmark_report out;
    measure_rate(out, 60, 150);
    measure_rate(out, 240, 60);
    return out.exit_status();
}
