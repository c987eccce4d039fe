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

fakes::load_settings read_settings(const fakes::arguments& given)
{
    fakes::load_settings options;
    std::istringstream targets(given.text("targets", "127.0.0.1:8080"));
    for (std::string target; std::getline(targets, target, ',');) {
        options.targets.push_back(worksshift::parse_address("targets", target));
    }
    options.model = given.text("model", options.model);
    options.accounts = given.number("accounts", options.accounts);
    options.zipf = given.real("zipf", options.zipf);
    options.rate = given.real("rate", options.rate);
    options.duration_s = given.real("duration-s", options.duration_s);
    options.drain_s = given.real("drain-s", options.drain_s);
    options.chats = given.number("chats", options.chats);
    options.turns = given.number("turns", options.turns);
    options.tokens = given.number("tokens", options.tokens);
    options.prompt_characters = given.number("prompt-characters", options.prompt_characters);
    options.deadline_ms = given.number("deadline-ms", options.deadline_ms);
    options.stream = given.number("stream", 1) != 0;
    options.seed = given.number("seed", 1);
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
        const fakes::arguments given(count, values);
        const worksshift::event_ptr<event_base> base(event_base_new());
        fakes::load_run run(base.get(), read_settings(given));
        const nlohmann::json report = run.run();
        if (given.number("table", 0) != 0) {
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
