/** \file
 * The demonstration: a fleet of separate processes on loopback serves chats and tickets while a
 * server is drained and a router stopped, and a short report states whether each guarantee held.
 * Exit status 1 if one did not.
 */
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

#include "support/fleet.h"

namespace {

/** Prints one line of the report per check and records failures. */
class report {
public:
    void say(bool held, const std::string& what)
    {
        std::printf("  %s  %s\n", held ? "ok    " : "BROKEN", what.c_str());
        std::fflush(stdout);
        this->broken = this->broken || !held;
    }
    [[nodiscard]] int exit_status() const { return this->broken ? 1 : 0; }

private:
    bool broken = false;
};

void pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void show_chats(const support::fleet& fleet, report& out)
{
    std::size_t whole = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        const std::string text = "check valve part " + std::to_string(i % 4);
        const support::reply answer = fleet.chat(i % 3, "chat-" + std::to_string(i % 4), text, 25);
        if (answer.complete && answer.body == support::expected_stream(text, 25)) ++whole;
    }
    out.say(whole == 12, "12 streamed answers through 3 routers, each whole and its caller's own");
    double prompt = 0;
    double reused = 0;
    for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
        const nlohmann::json stats = fleet.engine_stats(i);
        prompt += stats["prompt_tokens"].get<double>();
        reused += stats["reused_tokens"].get<double>();
    }
    char line[120];
    std::snprintf(line, sizeof line,
                  "chats that return find their cache: %.0f of %.0f prompt tokens reused", reused,
                  prompt);
    out.say(reused >= prompt * 0.6, line);
}

void show_ticket(const support::fleet& fleet, report& out)
{
    const std::vector<worksshift::header> headers{{"Authorization", "Bearer key-0"},
                                                  {"Idempotency-Key", "job-17"}};
    const auto first =
        support::http(fleet.routers[0].front, "POST", "/desk/tickets", headers, "job 17");
    const auto second =
        support::http(fleet.routers[1].front, "POST", "/desk/tickets", headers, "job 17");
    std::uint32_t runs = 0;
    for (std::size_t i = 0; i < fleet.services.size(); ++i) {
        const nlohmann::json stats = fleet.service_stats(i);
        runs += stats["runs"].value("job 17", 0U);
    }
    out.say(first.status == 201 && second.status == 201 && first.body == second.body && runs == 1,
            "a ticket sent twice with one key, through two routers: run " + std::to_string(runs) +
                " time, both callers got the same answer");
}

void show_drain(const support::fleet& fleet, report& out)
{
    const auto accepted = fleet.change(0, {{"kind", "drain_server"}, {"server", "engine-1"}});
    const bool everywhere = support::fleet::wait_for(
        [&] {
            for (std::size_t r = 0; r < fleet.routers.size(); ++r) {
                if (fleet.metric(r, "worksshift_config_revision") < 2) return false;
            }
            return true;
        },
        12000);
    out.say(accepted.status == 200 && everywhere,
            "draining engine-1 was planned, confirmed, and is in force on every router");
    pause(3000);
    const double before = fleet.engine_stats(1)["requests"];
    pause(2000);
    const double after = fleet.engine_stats(1)["requests"];
    out.say(after == before, "engine-1 got no new work from 3 s after the drain on");
}

} // namespace

int main()
{
    report out;
    support::fleet_options options;
    options.engine_arguments = {"--token-interval-ms", "20"};
    support::fleet fleet(options);
    std::puts(
        "worksshift demonstration: a fake platform, 4 fake engines in 2 data centres, 2 fake\n"
        "plain services and 3 routers, all separate processes on loopback\n");
    fleet.start();
    show_chats(fleet, out);
    show_ticket(fleet, out);
    const std::string file = std::string(WORKSSHIFT_BINARY_DIR) + "/demo-report.json";
    support::child load = fleet.start_load(
        {"--rate", "40", "--duration-s", "14", "--chats", "60", "--tokens", "40", "--turns", "8"},
        file);
    pause(1500);
    show_drain(fleet, out);
    fleet.routers[2].process.signal(SIGTERM);
    const int stopped = fleet.routers[2].process.wait();
    out.say(stopped == 0, "a router stopped by SIGTERM under load ended with nothing cut off");
    load.wait();
    std::ifstream stream(file);
    const nlohmann::json result = nlohmann::json::parse(stream);
    out.say(result["wrong"] == 0 && result["unfinished"] == 0,
            "no caller got a wrong or partial answer as if it were whole, and all got an end (" +
                result["whole"].dump() + " whole of " + result["sent"].dump() + ")");
    out.say(result["broken"] == 0 && result["unknown"] == 0,
            "no request in progress was cut off; the stopped router's port refused " +
                result["refused_connections"].dump() + " later connections");
    std::puts("");
    return out.exit_status();
}
