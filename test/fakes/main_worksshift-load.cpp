/** \file
 * The load tool. Prints a report as JSON, or with `--table 1` as a table. Exit status 1 if a
 * response looked complete but was wrong, or a request did not end.
 */
#include <csignal>
#include <iostream>
#include <sstream>

#include "fakes/fake_http.h"
#include "fakes/load_run.h"
#include "settings.h"

namespace {

fakes::load_settings read_settings(const fakes::arguments& command_line)
{
    fakes::load_settings options;
    std::istringstream targets(command_line.text("targets", "127.0.0.1:8080"));
    for (std::string target; std::getline(targets, target, ',');) {
        options.targets.push_back(worksshift::parse_address("targets", target));
    }
    options.model = command_line.text("model", options.model);
    options.accounts = command_line.number("accounts", options.accounts);
    options.zipf = command_line.real("zipf", options.zipf);
    options.rate = command_line.real("rate", options.rate);
    options.duration_s = command_line.real("duration-s", options.duration_s);
    options.drain_s = command_line.real("drain-s", options.drain_s);
    options.chats = command_line.number("chats", options.chats);
    options.turns = command_line.number("turns", options.turns);
    options.tokens = command_line.number("tokens", options.tokens);
    options.prompt_characters = command_line.number("prompt-characters", options.prompt_characters);
    options.deadline_ms = command_line.number("deadline-ms", options.deadline_ms);
    options.stream = command_line.number("stream", 1) != 0;
    options.seed = command_line.number("seed", 1);
    return options;
}

void print_table(const nlohmann::json& report)
{
    for (const auto& [name, value] : report.items())
        std::cout << name << '\t' << value << '\n';
}

} // namespace

int main(int count, char** values)
{
    try {
        std::signal(SIGPIPE, SIG_IGN);
        const fakes::arguments command_line(count, values);
        const worksshift::event_ptr<event_base> base(event_base_new());
        fakes::load_run run(base.get(), read_settings(command_line));
        const nlohmann::json report = run.run();
        if (command_line.number("table", 0) != 0) {
            print_table(report);
        } else {
            std::cout << report.dump() << '\n';
        }
        return report["wrong"] == 0 && report["unfinished"] == 0 ? 0 : 1;
    } catch (const std::exception& fault) {
        std::cerr << "worksshift-load: " << fault.what() << '\n';
        return 2;
    }
}
