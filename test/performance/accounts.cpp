/** \file
 * A fleet with many client accounts: the time to load the first configuration, and the gaps between
 * tokens while changes of single accounts are applied. Without changes, streams have a token every
 * 20 ms.
 */
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "support/benchmark_report.h"
#include "support/fleet.h"

namespace {

using support::percentile;

/** Runs streams while \p changes account changes are made one after another, and counts those that
 * failed in \p refused. Returns the load generator's report. */
nlohmann::json load_while_changing(support::fleet& fleet, int changes, int& refused)
{
    const std::string report = std::string(WORKSSHIFT_BINARY_DIR) + "/accounts-report.json";
    support::child load =
        fleet.start_load({"--rate", "10", "--duration-s", "8", "--chats", "200", "--tokens", "100",
                          "--accounts", "10", "--drain-s", "20"},
                         report);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (int i = 0; i < changes; ++i) {
        const support::reply answer =
            fleet.change(0, {{"kind", "set_account"},
                             {"client_account", "acc-" + std::to_string(20 + i)},
                             {"weight", 2}});
        if (answer.status != 200) ++refused;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    load.wait();
    std::ifstream file(report);
    return nlohmann::json::parse(file);
}

} // namespace

int main(int count, char** values)
{
    support::fleet_options options;
    options.accounts = count > 1 ? std::strtoul(values[1], nullptr, 10) : 36'000;
    options.routers = 4;
    options.services = 1;
    options.engine_arguments = {"--token-interval-ms", "20"};
    support::fleet fleet(options);
    const auto start = std::chrono::steady_clock::now();
    fleet.start();
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - start;
    support::benchmark_report out;
    out.note("accounts.count", static_cast<double>(options.accounts), "accounts");
    out.note("accounts.first_configuration", spent.count(), "s");
    int refused = 0;
    const nlohmann::json calm = load_while_changing(fleet, 0, refused);
    const nlohmann::json changing = load_while_changing(fleet, 15, refused);
    out.at_most("accounts.changes_refused", refused, "changes", 0);
    out.at_most("accounts.not_whole",
                changing["sent"].get<double>() - changing["whole"].get<double>(), "requests", 0);
    out.note("accounts.between_tokens_p99_calm", calm["between_tokens_ms"]["p99"], "ms");
    out.at_most("accounts.between_tokens_p99_changing", changing["between_tokens_ms"]["p99"], "ms",
                75);
    return out.exit_status();
}
