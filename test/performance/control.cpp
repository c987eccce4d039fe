/** \file
 * Control traffic, CPU time and memory per node for fleets of 8, 60, 240 and 480 nodes, idle and
 * with VM replacements at 100 times the required rate of 310 a day. docs/CAPACITY.md extrapolates
 * from the results.
 */
#include <chrono>

#include "log.h"
#include "support/benchmark_report.h"
#include "support/core_fleet.h"

namespace {

using namespace worksshift;

double own_cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure(support::benchmark_report& out, std::size_t nodes)
{
    const bool large = nodes >= 60;
    support::core_options options;
    options.nodes = nodes;
    options.servers = nodes * 1400 / 480;
    options.data_centres = large ? 13 : 4;
    options.regions = large ? 5 : 0;
    options.models = std::max<std::size_t>(1, options.servers / 13);
    if (large && options.models % 5 != 0) options.models += 5 - options.models % 5;
    options.heartbeat = milliseconds(250);
    const double memory_before = support::own_rss_kib();
    support::core_fleet fleet(options);
    fleet.run_for(seconds(15));
    const std::string name = "control." + std::to_string(nodes);
    const double count = static_cast<double>(nodes);
    out.note(name + ".memory_per_node", (support::own_rss_kib() - memory_before) / count, "KB");
    const auto window = [&](const char* kind, bool churn) {
        fleet.gossip_bytes = 0;
        fleet.gossip_by_kind.clear();
        const double cpu_before = own_cpu_seconds();
        constexpr int span_s = 20;
        // Interval of replacements: 100 times the required 310 a day of 480 nodes,
        // scaled to this fleet; the first is at 1 s, so that there is at least one.
        const double replacement_interval_s = 86400.0 / 310 / 100 * 480 / count;
        double next_replacement_s = 1;
        for (int s = 0; s < span_s; ++s) {
            while (churn && next_replacement_s <= s) {
                fleet.restart(static_cast<std::size_t>(next_replacement_s * 37) % nodes);
                next_replacement_s += replacement_interval_s;
            }
            fleet.run_for(seconds(1));
        }
        const std::string prefix = name + "." + kind;
        const double bytes = static_cast<double>(fleet.gossip_bytes) / count / span_s;
        out.at_most(prefix + ".gossip_bytes", bytes, "B/s/node", 12'000);
        for (const auto& [what, size] : fleet.gossip_by_kind) {
            const std::string figure = prefix + ".gossip_bytes.";
            out.note(std::string(figure).append(what), static_cast<double>(size) / count / span_s,
                     "B/s/node");
        }
        const double cpu = own_cpu_seconds() - cpu_before;
        out.at_most(prefix + ".cpu_share", cpu / count / span_s, "cores/node", 0.033);
    };
    window("idle", false);
    window("churn_100x", true);
}

} // namespace

int main()
{
    start_log(log_level::error, "measure");
    support::benchmark_report out;
    for (const std::size_t nodes : {8U, 60U, 240U, 480U})
        measure(out, nodes);
    return out.exit_status();
}
