/** \file
 * The required fault scenarios on real processes: 8 routers, 20 engines and 4 plain services under
 * load that checks every response, while routers are killed, suspended and stopped, engines crash
 * and break responses off, and the platform is down. Also non-idempotent tickets, whose runs are
 * counted at the services.
 */
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

#include "support/benchmark_report.h"
#include "support/fleet.h"

namespace {

using support::benchmark_report;

constexpr std::size_t router_count = 8;

/** Counts of the responses to tickets. */
struct ticket_result {
    std::uint32_t sent = 0;
    std::uint32_t created = 0;
    std::uint32_t not_run = 0;
    std::uint32_t unknown = 0;
    std::map<std::string, std::string> outcome_by_body;
};

/** Sends \p rounds tickets, each twice with the same key, through different routers. */
ticket_result send_tickets(const support::fleet& fleet, int rounds)
{
    ticket_result result;
    for (int i = 0; i < rounds; ++i) {
        const std::string body = "ticket " + std::to_string(i);
        for (std::size_t copy = 0; copy < 2; ++copy) {
            const auto& router =
                fleet.routers[(static_cast<std::size_t>(i) + 3 * copy) % router_count];
            const support::reply answer =
                support::http(router.front, "POST", "/desk/tickets",
                              {{"Authorization", "Bearer key-2"},
                               {"Idempotency-Key", "k" + std::to_string(i)},
                               {"X-Deadline-Ms", "4000"}},
                              body, 6000);
            ++result.sent;
            const std::string outcome = answer.header("X-Worksshift-Outcome");
            if (answer.status == 201) ++result.created;
            if (outcome == "not_run") ++result.not_run;
            if (outcome == "unknown") ++result.unknown;
            if (answer.status == 201) result.outcome_by_body[body] = "done";
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
    }
    return result;
}

struct tally {
    std::uint32_t most_runs = 0;
    std::uint32_t distinct = 0;
};

tally count_runs(const support::fleet& fleet)
{
    std::map<std::string, std::uint32_t> runs;
    for (std::size_t i = 0; i < fleet.services.size(); ++i) {
        const nlohmann::json stats = fleet.service_stats(i);
        for (const auto& [body, count] : stats["runs"].items()) {
            runs[body] += count.get<std::uint32_t>();
        }
    }
    tally result;
    result.distinct = static_cast<std::uint32_t>(runs.size());
    for (const auto& [body, count] : runs)
        result.most_runs = std::max(result.most_runs, count);
    return result;
}

void disturb(support::fleet& fleet)
{
    const auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
    pause(2000);
    fleet.routers[5].process.signal(SIGKILL);
    fleet.routers[5].process.wait();
    pause(2000);
    fleet.engines[3].process.signal(SIGKILL);
    fleet.engines[3].process.wait();
    for (const std::size_t engine : {7U, 8U, 9U}) {
        support::http(fleet.engines[engine].port, "POST", "/fault?mode=break&count=3&after=5");
    }
    pause(1500);
    fleet.routers[6].process.signal(SIGSTOP);
    fleet.set_faults({{"down", true}});
    fleet.start_router(5);
    pause(4000);
    fleet.routers[6].process.signal(SIGCONT);
    pause(1000);
    fleet.set_faults({{"down", false}});
    fleet.start_engine(3);
    fleet.routers[4].process.signal(SIGTERM);
    pause(3000);
}

} // namespace

int main()
{
    support::fleet_options options;
    options.routers = router_count;
    options.engines = 20;
    options.services = 4;
    options.data_centres = 4;
    options.engine_limit = 40;
    support::fleet fleet(options);
    fleet.start();
    const std::string report = std::string(WORKSSHIFT_BINARY_DIR) + "/faults-report.json";
    // Load goes only to the routers that are neither killed, suspended nor stopped, as a load
    // balancer would send it.
    std::string targets;
    for (const std::size_t i : {0U, 1U, 2U, 3U}) {
        targets += (i == 0 ? "" : ",") + ("127.0.0.1:" + std::to_string(fleet.routers[i].front));
    }
    support::child load =
        fleet.start_load({"--targets", targets, "--rate", "120", "--duration-s", "15", "--chats",
                          "300", "--tokens", "40", "--drain-s", "40"},
                         report);
    ticket_result tickets;
    std::thread sender([&] { tickets = send_tickets(fleet, 150); });
    disturb(fleet);
    sender.join();
    const int stopped = fleet.routers[4].process.wait();
    const int checked = load.wait();
    std::ifstream file(report);
    const nlohmann::json result = nlohmann::json::parse(file);
    const tally runs = count_runs(fleet);

    benchmark_report out;
    const double sent = result["sent"];
    out.note("faults.chats_sent", sent, "requests");
    out.at_most("faults.wrong_answers", result["wrong"], "requests", 0);
    out.at_most("faults.unfinished", result["unfinished"], "requests", 0);
    out.at_most("faults.broken_share", result["broken"].get<double>() / sent, "ratio", 0.01);
    out.at_most("faults.unknown_share", result["unknown"].get<double>() / sent, "ratio", 0.01);
    out.at_most("faults.not_run_share", result["not_run"].get<double>() / sent, "ratio", 0.02);
    out.at_least("faults.whole_share", result["whole"].get<double>() / sent, "ratio", 0.97);
    out.at_most("faults.load_exit", checked, "status", 0);
    out.at_most("faults.planned_stop_exit", stopped, "status", 0);
    out.note("faults.tickets_sent", tickets.sent, "requests");
    out.note("faults.tickets_created_or_replayed", tickets.created, "requests");
    out.note("faults.tickets_not_run", tickets.not_run, "requests");
    out.note("faults.tickets_unknown", tickets.unknown, "requests");
    out.at_most("faults.most_runs_of_one_ticket", runs.most_runs, "runs", 1);
    out.at_least("faults.tickets_run", runs.distinct, "tickets",
                 static_cast<double>(tickets.outcome_by_body.size()));
    return out.exit_status();
}
