/** \file
 * Resource use of routers: CPU time per stream event and memory per stream under a steady load
 * through one router, the idle cost of fleets of several sizes, and the time to choose a server.
 */
#include "support/benchmark_report.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;

constexpr std::size_t streams = 60;
constexpr unsigned events_per_stream = 200;
constexpr duration event_period = milliseconds(20);

/** Value of a counter in the metrics text; 0 if it is missing. */
double counter(const std::string& text, const std::string& name)
{
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

/** Concurrent streams with an event every 20 ms each, as an engine under load sends them. */
void measure_path(benchmark_report& report)
{
    router_fleet fleet(1);
    std::string config = example_config(1);
    for (std::size_t at = 0; (at = config.find(":1500", at)) != std::string::npos; ++at)
        config.replace(at, 5, ":9000");
    fleet.set_config(config);
    const auto begin = [](const std::string& request) -> scripted_response {
        return {stream_head(request) + event_chunk(1, "first"), scripted_response::then::keep};
    };
    // One server per stream, because a scripted server pushes only on its newest connection.
    std::vector<scripted_server*> engines;
    for (std::size_t i = 0; i < streams; ++i)
        engines.push_back(&fleet.add_server("e" + std::to_string(i), "llm", begin));
    fleet.start_all();
    fleet.wait_until_all_ready();
    const pid_t process = fleet.routers[0].id();
    const double before_kb = rss_kib(process);
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::string request = request_text("POST", "/once/x", "1", "{}");
    request.replace(request.find(": 2000"), 6, ": 9000");
    for (std::size_t i = 0; i < streams; ++i) {
        callers.push_back(fleet.connect(0));
        callers.back()->send(request);
        const raw_caller& caller = *callers.back();
        fleet.run_until([&] { return !caller.received.empty(); }, seconds(1));
    }
    const double per_stream_kb = (rss_kib(process) - before_kb) / streams;
    const double before = cpu_seconds(process);
    for (unsigned event = 2; event <= events_per_stream; ++event) {
        for (scripted_server* engine : engines) {
            if (engine->connections > 0) engine->push(event_chunk(event, std::string(60, 'x')));
        }
        fleet.run_until([] { return false; }, event_period);
    }
    std::size_t passed = 0;
    for (const auto& caller : callers) {
        const std::string body = body_in(caller->received);
        for (std::size_t at = 0; (at = body.find("id: ", at)) != std::string::npos; ++at)
            ++passed;
    }
    const double spent = cpu_seconds(process) - before;
    constexpr double micros = 1e6;
    report.at_most("router.processor_per_event", spent * micros / static_cast<double>(passed), "us",
                   25);
    report.note("router.events_passed", static_cast<double>(passed), "events");
    report.at_most("router.memory_per_stream", per_stream_kb, "KB", 64);
    report.at_most("router.memory_at_start", before_kb / 1024, "MB", 25);
}

/** Idle fleet: CPU time, digest traffic and store calls of a VM. */
void measure_control(std::size_t vms, benchmark_report& report)
{
    router_fleet fleet(vms);
    fleet.set_config(example_config(1));
    const auto answer_ok = [](const std::string& request) -> scripted_response {
        return {response_text(200, request, "x"), scripted_response::then::keep};
    };
    for (int i = 0; i < 20; ++i)
        fleet.add_server("s" + std::to_string(i), "desk", answer_ok);
    fleet.start_all();
    fleet.wait_until_all_ready();
    constexpr duration settle = seconds(5);
    constexpr duration span = seconds(6);
    fleet.run_until([] { return false; }, settle);
    const std::string sent = "worksshift_digest_bytes_sent_total";
    const double bytes = counter(fleet.metrics(0), sent);
    const std::size_t calls = fleet.store->watches + fleet.store->lists;
    const double before = cpu_seconds(fleet.routers[0].id());
    fleet.run_until([] { return false; }, span);
    const double s = std::chrono::duration<double>(span).count();
    const std::string size = "router.control_" + std::to_string(vms) + "_vms.";
    constexpr double percent = 100;
    report.at_most(size + "processor", (cpu_seconds(fleet.routers[0].id()) - before) / s * percent,
                   "percent", 3.3);
    report.at_most(size + "digests_sent", (counter(fleet.metrics(0), sent) - bytes) / s, "B/s",
                   12000);
    report.note(size + "store_calls",
                static_cast<double>(fleet.store->watches + fleet.store->lists - calls) / s,
                "per_s");
}

/** Mean time to choose one of \p servers engines for a prompt. */
void measure_choice(std::size_t servers, benchmark_report& report)
{
    constexpr int rounds = 400;
    server_table table({"dc"});
    for (std::size_t i = 0; i < servers; ++i) {
        server_record record;
        record.id.text = "i-" + std::to_string(i);
        record.service.text = "llm";
        table.put(record);
        table.find(record.id)->peers_in_flight = static_cast<std::uint32_t>(i % 7);
    }
    const instant now(seconds(1));
    std::size_t sum = 0;
    const instant begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        const auto key = static_cast<std::uint64_t>(i) * 7919 + 1;
        sum += table.choose({{"llm"}, true, key, {}}, now).load;
    }
    const std::chrono::duration<double, std::micro> span = std::chrono::steady_clock::now() - begin;
    report.at_most("router.choice_of_" + std::to_string(servers), span.count() / rounds, "us", 200);
    report.note("router.choice_of_" + std::to_string(servers) + ".sum", static_cast<double>(sum),
                "requests");
}

} // namespace

int main()
{
    benchmark_report report;
    for (const std::size_t servers : {93, 1400, 3000})
        measure_choice(servers, report);
    measure_path(report);
    for (const std::size_t vms : {4, 16, 48})
        measure_control(vms, report);
    return report.exit_status();
}
