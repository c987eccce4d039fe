/** \file
 * Planned stops: with many streams in flight, a server is drained and every router in turn is
 * stopped and replaced. Measures broken streams, and new work on the drained server after 3 s.
 */
#include <chrono>
#include <fstream>
#include <thread>

#include "support/benchmark_report.h"
#include "support/fleet.h"

int main()
{
    support::fleet_options options;
    options.routers = 4;
    options.engines = 12;
    options.services = 1;
    options.data_centres = 2;
    options.engine_limit = 150;
    options.engine_arguments = {"--token-interval-ms", "40"};
    support::fleet fleet(options);
    fleet.start();
    const std::string report = std::string(WORKSSHIFT_BINARY_DIR) + "/drain-report.json";
    support::child load = fleet.start_load({"--rate", "250", "--duration-s", "22", "--chats",
                                            "2000", "--tokens", "100", "--drain-s", "60"},
                                           report);
    const auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
    pause(4000);
    const auto request_count = [&](std::size_t i) {
        return fleet.engine_stats(i)["requests"].get<double>();
    };
    fleet.change(0, {{"kind", "drain_server"}, {"server", "engine-0"}});
    pause(3000);
    const double at_3_s = request_count(0);
    pause(1500);
    const double late_work = request_count(0) - at_3_s;
    const bool drained =
        support::fleet::wait_for([&] { return fleet.engine_stats(0)["running"] == 0; }, 10000);
    int bad_exits = 0;
    double longest_stop_s = 0;
    for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
        const auto start = std::chrono::steady_clock::now();
        fleet.routers[i].process.signal(SIGTERM);
        if (fleet.routers[i].process.wait() != 0) ++bad_exits;
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        longest_stop_s = std::max(longest_stop_s, elapsed.count());
        fleet.start_router(i);
        support::fleet::wait_for([&] { return fleet.converged(fleet.routers.size()); }, 8000);
    }
    load.wait();
    std::ifstream file(report);
    const nlohmann::json result = nlohmann::json::parse(file);
    support::benchmark_report out;
    out.note("drain.streams_sent", result["sent"], "requests");
    out.at_least("drain.open_at_most", result["open_at_most"], "requests", 900);
    out.at_most("drain.streams_cut", result["broken"], "requests", 0);
    out.at_most("drain.wrong_answers", result["wrong"], "requests", 0);
    out.at_most("drain.unknown", result["unknown"], "requests", 0);
    out.note("drain.not_run", result["not_run"], "requests");
    out.note("drain.connections_refused_after_stop", result["refused_connections"], "requests");
    out.at_most("drain.new_work_on_drained_server_after_3_s", late_work, "requests", 0);
    out.at_least("drain.server_emptied", drained ? 1 : 0, "flag", 1);
    out.at_most("drain.unclean_exits", bad_exits, "processes", 0);
    out.note("drain.longest_stop", longest_stop_s, "s");
    return out.exit_status();
}
