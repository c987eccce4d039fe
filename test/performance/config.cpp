/** \file
 * Time from the acceptance of a configuration change until it is in force on all nodes, and the
 * platform calls that it takes: with 8 real processes, without and with 5% datagram loss, and with
 * 480 simulated nodes, compared with a baseline in which each node watches the platform.
 */
#include <algorithm>
#include <chrono>
#include <thread>

#include "log.h"
#include "support/benchmark_report.h"
#include "support/core_fleet.h"
#include "support/fleet.h"

namespace {

constexpr std::size_t router_count = 8;

using support::percentile;

double platform_calls(const support::fleet& fleet)
{
    const nlohmann::json calls = support::http(fleet.platform_port, "GET", "/control/calls").json();
    double sum = 0;
    for (const auto& [kind, count] : calls.items())
        sum += count.get<double>();
    return sum;
}

void measure_processes(support::benchmark_report& out, const std::string& name, int changes,
                       const std::vector<std::string>& arguments)
{
    support::fleet_options options;
    options.routers = router_count;
    options.engines = 8;
    options.services = 1;
    options.data_centres = 4;
    options.router_arguments = arguments;
    support::fleet fleet(options);
    fleet.start();
    const auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
    pause(2000);
    const double idle_before = platform_calls(fleet);
    pause(10000);
    out.note(name + ".platform_calls_at_rest",
             (platform_calls(fleet) - idle_before) / 10 / router_count, "1/s/node");
    std::vector<double> seconds_to_all;
    const double before = platform_calls(fleet);
    double lowest = 0;
    int refused = 0;
    for (int i = 0; i < changes; ++i) {
        pause(200); // a VM may make 20 platform calls per second; a change takes about 20
        const auto accepted = fleet.change(static_cast<std::size_t>(i) % router_count,
                                           {{"kind", "set_account"},
                                            {"client_account", "acc-" + std::to_string(i % 10)},
                                            {"weight", 1 + i}});
        const auto start = std::chrono::steady_clock::now();
        if (accepted.status != 200) {
            ++refused;
            continue;
        }
        const double revision = accepted.json()["revision"];
        support::fleet::wait_for(
            [&] {
                for (std::size_t r = 0; r < router_count; ++r) {
                    const double in_force = fleet.metric(r, "worksshift_config_revision");
                    if (in_force < revision) return false;
                    lowest = std::max(lowest, revision - in_force);
                }
                return true;
            },
            12000);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        seconds_to_all.push_back(elapsed.count());
    }
    out.at_most(name + ".refused", refused, "changes", 0);
    out.note(name + ".in_force_everywhere_p50", percentile(seconds_to_all, 0.5), "s");
    out.at_most(name + ".in_force_everywhere_p99", percentile(seconds_to_all, 0.99), "s", 2);
    out.note(name + ".in_force_everywhere_worst", percentile(seconds_to_all, 1), "s");
    out.note(name + ".platform_calls_per_change",
             (platform_calls(fleet) - before) / static_cast<double>(changes), "calls");
}

/** Seconds until every node has the newest revision after \p burst simultaneous changes; more than
 * 60 if that was not reached within 60 s. */
double propagation_time_s(support::core_fleet& fleet, int burst)
{
    for (int i = 0; i < burst; ++i) {
        fleet.change_config(
            [&](worksshift::fleet_config& config) {
                worksshift::account_config account =
                    config.accounts.buckets().front()->accounts.front();
                account.weight = 1 + i;
                config.accounts.set(account);
            },
            7);
    }
    const auto start = fleet.now();
    for (;;) {
        fleet.run_for(worksshift::milliseconds(50));
        bool all = true;
        for (std::size_t i = 0; i < fleet.size() && all; ++i) {
            all = fleet.node_at(i).config().revision() == fleet.config().revision;
        }
        const std::chrono::duration<double> elapsed = fleet.now() - start;
        if (all || elapsed.count() > 60) return elapsed.count();
    }
}

void measure_large(support::benchmark_report& out)
{
    support::core_options options = support::target_fleet_options();
    options.heartbeat = worksshift::milliseconds(250);
    support::core_fleet fleet(options);
    fleet.run_for(worksshift::seconds(15));
    out.at_most("config.480.in_force_everywhere_one_change", propagation_time_s(fleet, 1), "s", 5);
    out.at_most("config.480.in_force_everywhere_burst_of_50", propagation_time_s(fleet, 50), "s",
                5);
    // Two watchers in each of 13 data centres make calls that wait 30 s; in the baseline, each of
    // the 480 nodes makes such calls.
    out.note("config.480.platform_watches", 2.0 * 13 / 30, "calls/s");
    out.note("config.480.baseline_each_node_watches", 480.0 / 30, "calls/s");
}

} // namespace

int main()
{
    worksshift::start_log(worksshift::log_level::error, "measure");
    support::benchmark_report out;
    measure_processes(out, "config.8", 150, {});
    measure_processes(out, "config.8_loss_5_percent", 50, {"--test-datagram-loss-percent=5"});
    measure_large(out);
    return out.exit_status();
}
