/** \file
 * The operators' command line client of the administration API. Exit codes: 0 success, 1 rejected
 * (a conflict or an invalid intent), 2 wrong usage, 3 the node did not answer, 4 the plan was not
 * in force on all live nodes in time.
 */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "http_client.h"
#include "settings.h"

namespace {

using nlohmann::json;
using namespace worksshift;

constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_no_answer = 3;
constexpr int exit_timeout = 4;

constexpr const char* usage = R"(worksshift: operators' command

  worksshift status [--json]             the fleet as one node sees it
  worksshift config                      the configuration in force
  worksshift bootstrap FILE              the first configuration, from a JSON document
  worksshift plan drain SERVER           each of these stores a plan and prints it
  worksshift plan undrain SERVER
  worksshift plan remove SERVER
  worksshift plan add SERVICE ID DATA_CENTRE ADDRESS PORT LIMIT
  worksshift plan bound SERVICE BOUND
  worksshift plan fencing SERVICE true|false       whether engines refuse old fencing numbers
  worksshift plan add-version SERVICE VERSION      engines load it; callers do not get it yet
  worksshift plan serve-version SERVICE VERSION    engines that have it loaded serve by it
  worksshift plan retire-version SERVICE VERSION   engines unload it
  worksshift plan account ACCOUNT [weight=N] [reserved=N] [concurrency=N] [tokens_per_minute=N]
  worksshift plan add-account ACCOUNT KEY_SHA256
  worksshift plan remove-account ACCOUNT
  worksshift rollback PLAN               a new plan that puts back what PLAN changed
  worksshift show PLAN
  worksshift history                     the newest plans in force, with who and what
  worksshift confirm PLAN                applies the plan once, or shows the conflict
  worksshift watch PLAN                  waits until it is confirmed and in force on every live node
  worksshift completion                  a completion script for bash

Environment: WORKSSHIFT_ADMIN=ADDRESS:PORT of any node, WORKSSHIFT_TOKEN=an operator's token;
for status of a worksshift-router its metrics address, and no token
Exit codes: 0 done, 1 refused, 2 bad usage, 3 the node did not answer, 4 not in force in time
)";

constexpr const char* completion =
    R"(_worksshift() {
    local word=${COMP_WORDS[COMP_CWORD]} words=
    case $COMP_CWORD in
    1) words="status config bootstrap plan rollback show history confirm watch completion help" ;;
    2) [ "${COMP_WORDS[1]}" = plan ] && words="drain undrain remove add bound fencing add-version \
           serve-version retire-version account add-account remove-account" ;;
    *) [ "${COMP_WORDS[2]}" = account ] && words="weight= reserved= concurrency= tokens_per_minute=" ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -F _worksshift worksshift
)";

/** A blocking client of the admin API of one node. */
class client {
public:
    client() : base(event_base_new()), http(base.get())
    {
        const char* address = std::getenv("WORKSSHIFT_ADMIN");
        const char* operator_token = std::getenv("WORKSSHIFT_TOKEN");
        if (address == nullptr) {
            throw user_error("settings", "", "set WORKSSHIFT_ADMIN=ADDRESS:PORT");
        }
        this->target = parse_address("WORKSSHIFT_ADMIN", address);
        // The status of a worksshift-router needs no token.
        if (operator_token != nullptr) this->token = operator_token;
    }

    http_response call(std::string_view method, const std::string& path, const std::string& body)
    {
        http_response result;
        this->http.call(this->target, method, path, {{"Authorization", "Bearer " + this->token}},
                        body, {seconds(20)}, [&](const http_response& response) {
                            result = response;
                            event_base_loopbreak(this->base.get());
                        });
        event_base_dispatch(this->base.get());
        this->http.sweep();
        return result;
    }

private:
    event_ptr<event_base> base;
    http_client http;
    link_address target;
    std::string token;
};

using argument_list = std::vector<std::string>;

json plan_account(const argument_list& arguments)
{
    json intent{{"kind", "set_account"}, {"client_account", arguments.at(2)}};
    for (std::size_t i = 3; i < arguments.size(); ++i) {
        const std::size_t equals = arguments[i].find('=');
        if (equals == std::string::npos) throw user_error("usage", "", "expected NAME=VALUE");
        intent[arguments[i].substr(0, equals)] = json::parse(arguments[i].substr(equals + 1));
    }
    return intent;
}

json read_intent(const argument_list& arguments)
{
    const std::string& kind = arguments.at(1);
    if (kind == "drain" || kind == "undrain" || kind == "remove") {
        return {{"kind", kind + "_server"}, {"server", arguments.at(2)}};
    }
    if (kind == "add") {
        return {{"kind", "add_server"},
                {"service", arguments.at(2)},
                {"server",
                 {{"id", arguments.at(3)},
                  {"data_centre", arguments.at(4)},
                  {"address", arguments.at(5)},
                  {"port", std::stoul(arguments.at(6))},
                  {"limit", std::stoul(arguments.at(7))}}}};
    }
    if (kind == "bound") {
        return {{"kind", "set_bound"},
                {"service", arguments.at(2)},
                {"bound", std::stod(arguments.at(3))}};
    }
    if (kind == "fencing") {
        return {{"kind", "set_fencing"},
                {"service", arguments.at(2)},
                {"fenced", json::parse(arguments.at(3))}};
    }
    if (kind == "add-version" || kind == "serve-version" || kind == "retire-version") {
        const std::string verb = kind.substr(0, kind.find('-'));
        return {{"kind", verb + "_model_version"},
                {"service", arguments.at(2)},
                {"version", arguments.at(3)}};
    }
    if (kind == "account") return plan_account(arguments);
    if (kind == "add-account") {
        return {{"kind", "add_account"},
                {"client_account", {{"id", arguments.at(2)}, {"key_sha256", arguments.at(3)}}}};
    }
    if (kind == "remove-account") {
        return {{"kind", "remove_account"}, {"client_account", arguments.at(2)}};
    }
    throw user_error("usage", "", "there is no plan " + kind);
}

int print(const http_response& response)
{
    if (response.status == 0) {
        std::cerr << "worksshift: the node did not answer\n";
        return exit_no_answer;
    }
    constexpr int first_error = 400;
    (response.status < first_error ? std::cout : std::cerr) << response.body;
    return response.status < first_error ? 0 : exit_refused;
}

int print_status(client& node, bool as_json)
{
    const http_response response = node.call("GET", "/admin/status", {});
    if (as_json || response.status != 200) return print(response);
    const json status = json::parse(response.body);
    std::cout << "revision " << status["revision"] << "  requests " << status["requests"]
              << "  chats " << status["chats"] << "\n\nVM\tSTATE\tDATA CENTRE\tREVISION\n";
    for (const json& vm : status["vms"]) {
        std::cout << vm["vm"].get<std::string>() << '\t' << vm["state"].get<std::string>() << '\t'
                  << vm["data_centre"].get<std::string>() << '\t' << vm["revision"] << '\n';
    }
    std::cout << "\nSERVER\tSERVICE\tGATE\tRUNNING\tLIMIT\tLOAD\tBOUND*MEAN\tSTATE\n";
    for (const json& row : status["servers"]) {
        const double load_limit = row["bound"].get<double>() * row["mean_load"].get<double>();
        const char* state = row["draining"] == true    ? "draining"
                            : row["accepting"] == true ? "accepting"
                                                       : "ejected";
        std::cout << row["server"].get<std::string>() << '\t' << row["service"].get<std::string>()
                  << '\t' << row["gate"].get<std::string>() << '\t' << row["running"] << '\t'
                  << row["limit"] << '\t' << row["load"] << '\t' << load_limit << '\t' << state
                  << '\n';
    }
    for (const json& alarm : status["alarms"]) {
        std::cout << "ALARM\t" << alarm.get<std::string>() << '\n';
    }
    return 0;
}

/** Names of the live nodes whose revision is lower than \p revision. */
std::vector<std::string> lagging_nodes(const json& status, std::uint64_t revision)
{
    std::vector<std::string> lagging;
    for (const json& vm : status["vms"]) {
        const bool live = vm["state"] == "alive" || vm["state"] == "suspect";
        if (live && vm["revision"].get<std::uint64_t>() < revision) lagging.push_back(vm["vm"]);
    }
    return lagging;
}

int watch(client& node, const std::string& id)
{
    constexpr int max_polls = 150;
    constexpr auto poll_interval = milliseconds(200);
    std::uint64_t revision = 0; // the called node's once the plan is in force there; 0 until then
    for (int poll = 0; poll < max_polls; ++poll, std::this_thread::sleep_for(poll_interval)) {
        const http_response response = node.call("GET", "/admin/status", {});
        if (response.status != 200) return print(response);
        const json status = json::parse(response.body);
        if (revision == 0) {
            const http_response shown = node.call("GET", "/admin/plans/" + id, {});
            if (shown.status != 200) return print(shown);
            if (json::parse(shown.body)["applied"] != true) {
                std::cout << "plan " << id << " is not confirmed\n";
                continue;
            }
            revision = status["revision"];
        }
        const auto lagging = lagging_nodes(status, revision);
        std::cout << "revision " << revision << " in force on "
                  << status["vms"].size() - lagging.size() << " of " << status["vms"].size();
        for (const std::string& vm : lagging)
            std::cout << ' ' << vm;
        std::cout << '\n';
        if (lagging.empty()) return 0;
    }
    return exit_timeout;
}

std::string read_file(const std::string& name)
{
    std::ifstream file(name);
    if (!file) throw user_error("usage", name, "cannot read " + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(const argument_list& arguments)
{
    const std::string command = arguments.empty() ? "help" : arguments[0];
    if (command == "help" || command == "--help") {
        std::cout << usage;
        return arguments.empty() ? exit_usage : 0;
    }
    if (command == "completion") {
        std::cout << completion;
        return 0;
    }
    client node;
    if (command == "status")
        return print_status(node, arguments.size() > 1 && arguments[1] == "--json");
    if (command == "config") return print(node.call("GET", "/admin/config", {}));
    if (command == "bootstrap") {
        return print(node.call("POST", "/admin/bootstrap", read_file(arguments.at(1))));
    }
    if (command == "plan") {
        return print(node.call("POST", "/admin/plans", read_intent(arguments).dump()));
    }
    if (command == "rollback") {
        const json intent{{"kind", "rollback"}, {"plan", arguments.at(1)}};
        return print(node.call("POST", "/admin/plans", intent.dump()));
    }
    if (command == "history") return print(node.call("GET", "/admin/history", {}));
    if (command == "show") {
        return print(node.call("GET", "/admin/plans/" + arguments.at(1), {}));
    }
    if (command == "confirm") {
        return print(node.call("POST", "/admin/plans/" + arguments.at(1) + "/confirm", {}));
    }
    if (command == "watch") return watch(node, arguments.at(1));
    throw user_error("usage", "", "there is no command " + command);
}

} // namespace

int main(int count, char** arguments)
{
    try {
        return run({arguments + 1, arguments + count});
    } catch (const user_error& fault) {
        std::cerr << "worksshift: " << fault.what() << '\n';
    } catch (const std::logic_error&) {
        std::cerr << "worksshift: wrong arguments; see worksshift help\n";
    } catch (const json::exception& fault) {
        std::cerr << "worksshift: " << fault.what() << '\n';
    }
    return exit_usage;
}
