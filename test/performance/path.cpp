/** \file
 * Cost of the request path on loopback, compared in one run to direct calls of the fake engine:
 * requests per second, added latency to the first token and per token, CPU time per token, memory
 * per stream, and thousands of concurrent streams with every response checked.
 */
#include <chrono>
#include <thread>

#include "support/benchmark_report.h"
#include "support/fleet.h"

namespace {

using support::cpu_seconds;
using support::rss_kib;

double total(const support::fleet& fleet, double (*measure)(pid_t))
{
    double sum = 0;
    for (const support::router& item : fleet.routers)
        sum += measure(item.process.id());
    return sum;
}

support::fleet_options make_options()
{
    support::fleet_options options;
    options.routers = 3;
    options.engines = 4;
    options.services = 1;
    options.data_centres = 1;
    options.engine_limit = 4000;
    options.bound = 4;
    options.engine_arguments = {"--prefill-us", "0", "--token-interval-ms", "10"};
    return options;
}

} // namespace

int main()
{
    support::benchmark_report out;
    support::fleet fleet(make_options());
    fleet.start();
    std::string engines;
    for (const support::endpoint& item : fleet.engines) {
        engines += (engines.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(item.port);
    }
    const std::vector<std::string> half_load{"--rate",   "100", "--duration-s", "8",
                                             "--tokens", "50",  "--chats",      "500"};
    auto direct_words = half_load;
    direct_words.insert(direct_words.end(), {"--targets", engines});
    const nlohmann::json direct = fleet.load(direct_words);
    const double cpu_before = total(fleet, cpu_seconds);
    const nlohmann::json routed = fleet.load(half_load);
    const double cpu = total(fleet, cpu_seconds) - cpu_before;
    const auto added = [&](const char* what, const char* share) {
        return routed[what][share].get<double>() - direct[what][share].get<double>();
    };
    for (const char* share : {"p50", "p95"}) {
        out.note(std::string("path.added_first_token_") + share, added("first_token_ms", share),
                 "ms");
        out.note(std::string("path.added_between_tokens_") + share,
                 added("between_tokens_ms", share), "ms");
    }
    out.at_most("path.added_first_token_p99", added("first_token_ms", "p99"), "ms", 5);
    out.note("path.added_between_tokens_p99", added("between_tokens_ms", "p99"), "ms");
    const double tokens = routed["whole"].get<double>() * 50;
    out.at_most("path.cpu_per_token", cpu * 1e6 / tokens, "us", 25);
    out.at_most("path.wrong_answers", routed["wrong"], "requests", 0);

    // Requests with one token show the cost per request.
    const double cpu_short = total(fleet, cpu_seconds);
    const nlohmann::json short_run = fleet.load(
        {"--rate", "600", "--duration-s", "6", "--tokens", "1", "--chats", "2000", "--turns", "2"});
    const double short_cpu = total(fleet, cpu_seconds) - cpu_short;
    out.note("path.requests_per_core_second", short_run["whole"].get<double>() / short_cpu, "1/s");

    // Many concurrent streams, with a token every 500 ms each so that 5,000 fit on one machine.
    support::fleet_options slow = make_options();
    slow.engine_arguments = {"--prefill-us", "0", "--token-interval-ms", "500"};
    support::fleet wide(slow);
    wide.start();
    const double memory_before = total(wide, rss_kib);
    const std::string report = std::string(WORKSSHIFT_BINARY_DIR) + "/path-report.json";
    support::child load = wide.start_load({"--rate", "700", "--duration-s", "9", "--tokens", "20",
                                           "--chats", "12000", "--drain-s", "60"},
                                          report);
    std::this_thread::sleep_for(std::chrono::milliseconds(9500));
    const double memory = total(wide, rss_kib) - memory_before;
    load.wait();
    std::ifstream file(report);
    const nlohmann::json many = nlohmann::json::parse(file);
    const double open = many["open_at_most"];
    out.at_least("path.streams_at_once", open, "streams", 5000);
    out.at_most("path.streams_lost", many["sent"].get<double>() - many["whole"].get<double>(),
                "streams", 0);
    out.at_most("path.memory_per_stream", memory / open, "KB", 64);
    return out.exit_status();
}
