/** \file
 * Time of the decisions on one request, from arrival to the end of its call, with 20 and 1,400
 * servers and with 10 and 36,000 client accounts; the size of a configuration, the memory of a chat
 * and an account, and the time to apply configuration changes.
 */
#include <chrono>

#include "log.h"
#include "plans.h"
#include "support/benchmark_report.h"
#include "support/core_fleet.h"
#include "sync_config.h"

namespace {

using namespace worksshift;

/** Wall-clock microseconds per request through one simulated node that is both entry and gate. */
double time_requests(std::size_t servers, std::uint32_t accounts)
{
    support::core_options options;
    options.nodes = 1;
    options.servers = servers;
    options.data_centres = 1;
    options.models = std::max<std::size_t>(1, servers / 13);
    options.accounts = accounts;
    options.ms_per_cost = 1;
    support::core_fleet fleet(options);
    fleet.run_for(seconds(2));
    constexpr int requests = 4000;
    std::mt19937_64 random(3);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < requests; ++i) {
        support::core_request request;
        request.service = "model-" + std::to_string(random() % options.models);
        request.account = "acc-" + std::to_string(random() % accounts);
        request.chat = 1 + random() % 1000;
        request.returning = true;
        fleet.submit(0, request);
        fleet.run_for(milliseconds(2));
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / requests;
}

/** Time for which a change of one account blocks the event loop, so that no tokens are relayed: on
 * the VM that makes the plan and writes the change, and on any other VM, which applies it. */
void time_changes(support::benchmark_report& out, const config_documents& documents)
{
    config_state writer;
    config_state reader;
    offer_config(writer, documents);
    offer_config(reader, documents);
    std::vector<double> write_ms;
    std::vector<double> apply_ms;
    for (int i = 0; i < 100; ++i) {
        const auto start = std::chrono::steady_clock::now();
        const nlohmann::json wanted{{"kind", "set_account"},
                                    {"client_account", "client-account-" + std::to_string(i * 7)},
                                    {"weight", 2 + i}};
        const plan item = make_plan(*writer.config, wanted, "p-" + std::to_string(i), "ops", 1);
        const config_documents changed_documents =
            write_changed_config(apply_plan(*writer.config, item, 1), *writer.config);
        const auto written_at = std::chrono::steady_clock::now();
        offer_config(reader, changed_documents);
        const auto end = std::chrono::steady_clock::now();
        offer_config(writer, changed_documents);
        write_ms.push_back(std::chrono::duration<double, std::milli>(written_at - start).count());
        apply_ms.push_back(std::chrono::duration<double, std::milli>(end - written_at).count());
    }
    out.at_most("decisions.changes_taken", static_cast<double>(101 - reader.revision()), "missing",
                0);
    out.at_most("decisions.config_change_p50", support::percentile(apply_ms, 0.5), "ms", 20);
    out.note("decisions.config_change_worst", support::percentile(apply_ms, 1), "ms");
    out.note("decisions.plan_and_write_p50", support::percentile(write_ms, 0.5), "ms");
}

} // namespace

int main()
{
    start_log(log_level::error, "measure");
    support::benchmark_report out;
    // Memory is measured first, since later allocations would reuse memory that was freed earlier.
    const double before = support::own_rss_kib();
    constexpr std::size_t chats = 200'000;
    chat_directory directory(chats, std::chrono::hours(12));
    for (std::uint64_t i = 0; i < chats; ++i) {
        directory.record({"model-1"}, chat_key{hash_of(std::to_string(i))}, {"server-17"},
                         instant{});
    }
    const double after_chats = support::own_rss_kib();
    out.note("decisions.memory_per_chat", (after_chats - before) * 1024 / chats, "B");
    constexpr std::uint32_t accounts = 36'000;
    fleet_config config;
    config.revision = 1;
    std::vector<account_config> rows;
    for (std::uint32_t i = 0; i < accounts; ++i) {
        account_config account;
        account.id.text = "client-account-" + std::to_string(i);
        account.key_sha256 = std::string(56, '0') + std::to_string(10'000'000 + i);
        rows.push_back(account);
    }
    config.accounts.assign(std::move(rows));
    const config_documents documents = write_fleet_config(config);
    const fleet_config parsed = parse_fleet_config(documents);
    out.note("decisions.memory_per_account",
             (support::own_rss_kib() - after_chats) * 1024 / accounts / 2, "B");
    std::size_t largest_bytes = 0;
    std::size_t total_bytes = 0;
    for (const auto& [name, content] : documents.shards) {
        largest_bytes = std::max(largest_bytes, content.size());
        total_bytes += content.size();
    }
    out.at_most("decisions.largest_shard", static_cast<double>(largest_bytes), "B", 1'000'000);
    out.note("decisions.documents", static_cast<double>(total_bytes), "B");
    out.note("decisions.manifest", static_cast<double>(documents.manifest.size()), "B");
    const double small = time_requests(20, 10);
    const double many_servers = time_requests(1400, 10);
    const double many_accounts = time_requests(20, 36'000);
    out.note("decisions.20_servers_10_accounts", small, "us/request");
    out.note("decisions.1400_servers_10_accounts", many_servers, "us/request");
    out.note("decisions.20_servers_36000_accounts", many_accounts, "us/request");
    // Here one node is the gate of all 1,400 servers; in a fleet of that size it would have 3.
    out.at_most("decisions.accounts_slope", many_accounts / small, "ratio", 1.5);

    const auto start = std::chrono::steady_clock::now();
    parse_fleet_config(documents);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    out.note("decisions.cpu_per_first_config", elapsed.count(), "s");
    time_changes(out, documents);
    return parsed.accounts.size() == accounts ? out.exit_status() : 1;
}
