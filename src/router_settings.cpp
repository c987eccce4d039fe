#include "router_settings.h"

#include <array>
#include <charconv>
#include <sstream>

#include "parsed_options.h"

namespace worksshift {

namespace {

namespace options = boost::program_options;

/** Setting of one parameter of placement, so that experiments can vary it or switch it off. */
struct placement_setting {
    const char* name;
    double placement_policy::*field;
    double max;
    const char* text;
};

constexpr std::array placement_settings{
    placement_setting{
        "wait-of-objective", &placement_policy::wait_of_objective, 10,
        "share of the latency objective that a request may wait for a slot, 0 to 10; 0: no limit"},
    placement_setting{
        "busy-from", &placement_policy::busy_from, 10,
        "share of used slots from which requests are admitted by rate, 0 to 10; 0: never"},
    placement_setting{"ranks-to-wait-at", &placement_policy::ranks_to_wait_at, 10000,
                      "highest-ranked engines of a prompt that may become full, 0 to 10000"},
    placement_setting{"free-share", &placement_policy::free_share, 10,
                      "share of used slots below which any engine may be chosen, 0 to 10"},
    placement_setting{
        "slow-multiple", &placement_policy::slow_multiple, 1000,
        "multiple of the first-quartile delay from which an engine is slow, 0 to 1000; 0: never"},
    placement_setting{
        "patience-while-heard", &placement_policy::patience_while_heard, 1000,
        "multiple of the silence timeout for a server that responds to others, 0 to 1000"},
    placement_setting{"hot-prompt-share", &placement_policy::hot_prompt_share, 10,
                      "share of an engine's slots that one prompt may use, 0 to 10; 0: no limit"},
    placement_setting{
        "lateness-margin", &placement_policy::lateness_margin, 100,
        "standard deviations of unreported load subtracted from the load bound, 0 to 100"},
    placement_setting{
        "cold-senders", &placement_policy::cold_senders, 1,
        "VMs that may send to a cold server, as a share of its allowed requests per second, "
        "0 to 1; 0: all VMs, with equal shares"},
    placement_setting{"failing-share", &placement_policy::failing_share, 1,
                      "share of recent failures from which an engine is avoided, 0 to 1; 0: never"},
    placement_setting{
        "load-spread", &placement_policy::load_spread, 1000,
        "random spread, in requests, of the load from which an engine is full, 0 to 1000"},
};

void describe_placement(options::options_description& all)
{
    const placement_policy fallback;
    for (const placement_setting& item : placement_settings) {
        std::ostringstream value;
        value << fallback.*item.field;
        all.add_options()(item.name, options::value<std::string>()->default_value(value.str()),
                          item.text);
    }
}

options::options_description describe()
{
    const auto text = [] { return options::value<std::string>(); };
    const auto text_with_default = [](const char* fallback) {
        return options::value<std::string>()->default_value(fallback);
    };
    options::options_description all("worksshift-router settings");
    auto add = all.add_options();
    add("help", "prints this help text");
    add("check", "checks the settings and exits");
    add("config", text(), "settings file with one setting per line: name = value");
    add("vm", text(), "name of this VM");
    add("data-centre", text(), "data centre of this VM");
    add("front", text(), "ADDRESS:PORT for callers");
    add("readiness", text(),
        "ADDRESS:PORT of the readiness check: whether this VM accepts callers");
    add("peer-address", text(), "IPv4 address for other VMs");
    add("peer-port", text(), "port for other VMs, UDP and TCP; the same on all VMs");
    add("metrics-port", text_with_default("9464"), "port of /metrics on the address for other VMs");
    add("store", text(), "ADDRESS:PORT of the platform's store");
    add("seeds", text_with_default(""),
        "addresses of some VMs, comma-separated; ports are not used");
    add("regions", text_with_default(""),
        "DATA-CENTRE:REGION of each data centre, comma-separated");
    add("cold-over", text_with_default("1"),
        "multiple of its stated rate allowed to a cold server, 1 to 100");
    add("cold-slack", text_with_default("0"),
        "requests per second allowed to a cold server beyond that, 0 to 1000000");
    add("log-level", text_with_default("info"), "trace, debug, info, warn, error or off");
    add("log-lines-per-s", text_with_default("500"),
        "log lines per second at level info and below, 10 to 100000");
    add("stop-grace-s", text_with_default("8"),
        "seconds from SIGTERM until the process is killed, 1 to 3600");
    add("retry-ratio", text_with_default("0.2"), "retries per request to a service, 0 to 1");
    add("retry-window-s", text_with_default("10"),
        "seconds over which retries are counted, 1 to 3600");
    add("retry-slack", text_with_default("50"),
        "retries allowed beyond the ratio in a window, 0 to 1000000");
    describe_placement(all);
    return all;
}

/** Accessors for setting values, which check them. */
class given_values {
public:
    explicit given_values(const options::variables_map& values) : values(values) {}

    [[nodiscard]] std::string text(const char* name) const
    {
        const std::string value =
            this->values.count(name) == 0 ? "" : this->values[name].as<std::string>();
        if (value.empty()) {
            throw user_error("settings", "", std::string(name) + " is missing or empty");
        }
        return value;
    }

    [[nodiscard]] link_address address(const char* name) const
    {
        return parse_address(name, this->text(name));
    }

    [[nodiscard]] double number(const char* name, double low, double high) const
    {
        const std::string given = this->text(name);
        double value = 0;
        const auto [end, fault] = std::from_chars(given.data(), given.data() + given.size(), value);
        const bool complete = fault == std::errc{} && end == given.data() + given.size();
        if (!complete || value < low || value > high) {
            std::ostringstream what;
            what << name << '=' << given << " is not a number from " << low << " to " << high;
            throw user_error("settings", "", what.str());
        }
        return value;
    }

    [[nodiscard]] std::vector<link_address> addresses(const char* name) const
    {
        std::vector<link_address> found;
        std::istringstream stream(this->values[name].as<std::string>());
        for (std::string item; std::getline(stream, item, ',');) {
            if (!item.empty()) found.push_back(parse_address(name, item));
        }
        return found;
    }

    [[nodiscard]] std::map<data_centre_id, region_id> regions(const char* name) const
    {
        std::map<data_centre_id, region_id> found;
        std::istringstream stream(this->values[name].as<std::string>());
        for (std::string item; std::getline(stream, item, ',');) {
            if (item.empty()) continue;
            const std::size_t at = item.find(':');
            if (at == 0 || at == std::string::npos || at + 1 == item.size()) {
                throw user_error("settings", "",
                                 std::string(name) + ": " + item + " is not DATA-CENTRE:REGION");
            }
            found[{item.substr(0, at)}] = {item.substr(at + 1)};
        }
        return found;
    }

private:
    const options::variables_map& values;
};

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

constexpr double max_port = 65535;
constexpr double max_span_s = 3600;
constexpr double max_slack = 1e6;
constexpr double max_cold_over = 100;
constexpr double min_log_lines_per_s = 10;
constexpr double max_log_lines_per_s = 100000;

router_settings read(const options::variables_map& values)
{
    const given_values given(values);
    router_settings result;
    result.vm.text = given.text("vm");
    result.data_centre.text = given.text("data-centre");
    result.front = given.address("front");
    result.readiness = given.address("readiness");
    const std::string address = given.text("peer-address");
    const auto port_of = [&](const char* name) {
        return static_cast<std::uint16_t>(given.number(name, 1, max_port));
    };
    result.peer =
        parse_address("peer-address", address + ":" + std::to_string(port_of("peer-port")));
    result.metrics = {address, port_of("metrics-port")};
    result.store = given.address("store");
    result.seeds = given.addresses("seeds");
    result.regions = given.regions("regions");
    result.cold.over = given.number("cold-over", 1, max_cold_over);
    result.cold.slack = given.number("cold-slack", 0, max_slack);
    result.level = parse_log_level(given.text("log-level"));
    result.log_lines_per_s = static_cast<std::size_t>(
        given.number("log-lines-per-s", min_log_lines_per_s, max_log_lines_per_s));
    result.stop_grace = to_duration(given.number("stop-grace-s", 1, max_span_s));
    result.retries.ratio = given.number("retry-ratio", 0, 1);
    result.retries.window = to_duration(given.number("retry-window-s", 1, max_span_s));
    result.retries.slack = given.number("retry-slack", 0, max_slack);
    for (const placement_setting& item : placement_settings)
        result.placement.*item.field = given.number(item.name, 0, item.max);
    return result;
}

} // namespace

router_settings parse_router_settings(int count, const char* const* arguments)
{
    const parsed_options given = read_options(describe(), count, arguments);
    router_settings result;
    if (!given.help) result = read(given.values);
    result.file = given.file;
    result.help = given.help;
    result.check_only = given.check_only;
    result.help_text = given.help_text;
    return result;
}

} // namespace worksshift
