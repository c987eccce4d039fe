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
    const char* help;
};

constexpr std::array placement_settings{
    placement_setting{
        "wait-of-objective", &placement_policy::wait_of_objective, 10,
        "share of the latency objective that a request may wait for a slot, 0 to 10; 0: no limit"},
    placement_setting{"first-event-share", &placement_policy::first_event_share, 10,
                      "share of a request's latency objective within which its first event is "
                      "expected, 0 to 10; 0: not forecast"},
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
        "slow-pace", &placement_policy::slow_pace, 1000,
        "multiple of the median stated pace from which a server is slow, 0 to 1000; 0: not used"},
    placement_setting{
        "patience-while-heard", &placement_policy::responsive_timeout_multiple, 1000,
        "multiple of the silence timeout for a server that responds to others, 0 to 1000"},
    placement_setting{"hot-prompt-share", &placement_policy::hot_prompt_share, 10,
                      "share of an engine's slots that one prompt may use, 0 to 10; 0: no limit"},
    placement_setting{
        "lateness-margin", &placement_policy::lateness_margin, 100,
        "standard deviations of unreported load subtracted from the load bound, 0 to 100"},
    placement_setting{
        "load-estimate", &placement_policy::load_estimate, 1,
        "whether reported loads are lowered while the load of a service falls, 1 or 0"},
    placement_setting{
        "cold-senders", &placement_policy::cold_senders, 1,
        "VMs that may send to a cold server, as a share of its allowed requests per second, "
        "0 to 1; 0: all VMs, with equal shares"},
    placement_setting{
        "plain-response-share", &placement_policy::plain_response_share, 10,
        "share of the latency objective up to which the mean response time of a plain service may "
        "rise before requests are refused, 0 to 10; 0: none is refused"},
    placement_setting{"failing-share", &placement_policy::failing_share, 1,
                      "share of recent failures from which an engine is avoided, 0 to 1; 0: never"},
    placement_setting{
        "load-spread", &placement_policy::load_spread, 1000,
        "random spread, in requests, of the load from which an engine is full, 0 to 1000"},
};

void describe_placement(options::options_description& all)
{
    const placement_policy fallback;
    for (const placement_setting& setting : placement_settings) {
        std::ostringstream value;
        value << fallback.*setting.field;
        all.add_options()(setting.name, options::value<std::string>()->default_value(value.str()),
                          setting.help);
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
    add("relay-port", text_with_default("0"),
        "port for requests that other VMs relay, the same on all VMs; 0: requests are not relayed");
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
    add("memory-mb", text_with_default("160"),
        "memory of the machine in MB, 32 to 1048576; callers may take the shares that "
        "docs/design/caller-limits.md states");
    add("max-descriptors", text_with_default("4096"),
        "open descriptors that the process may have, 64 to 1048576");
    add("first-start", text_with_default("false"),
        "whether the whole fleet starts for the first time, so that no stream can have begun "
        "before: true or false");
    add("retry-ratio", text_with_default("0.2"), "retries per request to a service, 0 to 1");
    add("retry-window-s", text_with_default("10"),
        "seconds over which retries are counted, 1 to 3600");
    add("retry-slack", text_with_default("50"),
        "retries allowed beyond the ratio in a window, 0 to 1000000");
    describe_placement(all);
    return all;
}

/** Reads setting values by name. Each accessor throws a user_error if the value is invalid. */
class setting_reader {
public:
    explicit setting_reader(const options::variables_map& values) : values(values) {}

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
        const std::string text = this->text(name);
        double value = 0;
        const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool complete = fault == std::errc{} && end == text.data() + text.size();
        // Written so that "nan", for which all comparisons are false, is refused.
        const bool in_range = value >= low && value <= high;
        if (!complete || !in_range) {
            std::ostringstream message;
            message << name << '=' << text << " is not a number from " << low << " to " << high;
            throw user_error("settings", "", message.str());
        }
        return value;
    }

    [[nodiscard]] bool flag(const char* name) const
    {
        const std::string text = this->text(name);
        if (text != "true" && text != "false") {
            throw user_error("settings", "",
                             std::string(name) + '=' + text + " is neither true nor false");
        }
        return text == "true";
    }

    [[nodiscard]] std::vector<link_address> addresses(const char* name) const
    {
        std::vector<link_address> found;
        std::istringstream stream(this->values[name].as<std::string>());
        for (std::string entry; std::getline(stream, entry, ',');) {
            if (!entry.empty()) found.push_back(parse_address(name, entry));
        }
        return found;
    }

    [[nodiscard]] std::map<data_centre_id, region_id> regions(const char* name) const
    {
        std::map<data_centre_id, region_id> found;
        std::istringstream stream(this->values[name].as<std::string>());
        for (std::string entry; std::getline(stream, entry, ',');) {
            if (entry.empty()) continue;
            const std::size_t colon = entry.find(':');
            if (colon == 0 || colon == std::string::npos || colon + 1 == entry.size()) {
                throw user_error("settings", "",
                                 std::string(name) + ": " + entry + " is not DATA-CENTRE:REGION");
            }
            found[{entry.substr(0, colon)}] = {entry.substr(colon + 1)};
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
constexpr double min_memory_mb = 32;
constexpr double max_memory_mb = 1048576;
constexpr double min_descriptors = 64;
constexpr double max_descriptors = 1048576;

router_settings read_settings(const options::variables_map& values)
{
    const setting_reader reader(values);
    router_settings result;
    result.vm.text = reader.text("vm");
    result.data_centre.text = reader.text("data-centre");
    result.front = reader.address("front");
    result.readiness = reader.address("readiness");
    const std::string address = reader.text("peer-address");
    const auto port_of = [&](const char* name) {
        return static_cast<std::uint16_t>(reader.number(name, 1, max_port));
    };
    result.peer =
        parse_address("peer-address", address + ":" + std::to_string(port_of("peer-port")));
    result.relay = {address, static_cast<std::uint16_t>(reader.number("relay-port", 0, max_port))};
    result.metrics = {address, port_of("metrics-port")};
    result.store = reader.address("store");
    result.seeds = reader.addresses("seeds");
    result.regions = reader.regions("regions");
    result.cold_request_tolerance.rate_multiple = reader.number("cold-over", 1, max_cold_over);
    result.cold_request_tolerance.extra_requests = reader.number("cold-slack", 0, max_slack);
    result.level = parse_log_level(reader.text("log-level"));
    result.log_lines_per_s = static_cast<std::size_t>(
        reader.number("log-lines-per-s", min_log_lines_per_s, max_log_lines_per_s));
    result.stop_grace = to_duration(reader.number("stop-grace-s", 1, max_span_s));
    result.machine = {
        static_cast<std::size_t>(reader.number("memory-mb", min_memory_mb, max_memory_mb)) *
            bytes_per_mb,
        static_cast<std::size_t>(
            reader.number("max-descriptors", min_descriptors, max_descriptors))};
    result.first_start = reader.flag("first-start");
    result.retries.ratio = reader.number("retry-ratio", 0, 1);
    result.retries.window = to_duration(reader.number("retry-window-s", 1, max_span_s));
    result.retries.slack = reader.number("retry-slack", 0, max_slack);
    for (const placement_setting& setting : placement_settings)
        result.placement.*setting.field = reader.number(setting.name, 0, setting.max);
    return result;
}

} // namespace

router_settings parse_router_settings(int count, const char* const* arguments)
{
    const parsed_options parsed = read_options(describe(), count, arguments);
    router_settings result;
    if (!parsed.help) result = read_settings(parsed.values);
    result.file = parsed.file;
    result.help = parsed.help;
    result.check_only = parsed.check_only;
    result.help_text = parsed.help_text;
    return result;
}

} // namespace worksshift
