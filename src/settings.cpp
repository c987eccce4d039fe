#include "settings.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "parsed_options.h"

namespace worksshift {

namespace {

namespace options = boost::program_options;

constexpr std::size_t min_fleet_key_length = 16;

struct number_setting {
    const char* name;
    std::uint32_t low;
    std::uint32_t high;
    std::uint32_t default_value;
    const char* help;
    void (*apply)(settings&, std::uint32_t);
};

/** All numeric settings with their ranges and defaults. */
const number_setting number_settings[] = {
    {"stop-deadline-s", 1, 3600, 120,
     "seconds from a stop request until the process exits at the latest; requests in progress are "
     "ended 0.4 s before",
     [](settings& s, std::uint32_t v) { s.stop_deadline_s = v; }},
    {"stop-linger-s", 0, 600, 5,
     "seconds for which a stopping VM still accepts connections, at most half of stop-deadline-s",
     [](settings& s, std::uint32_t v) { s.stop_linger_s = v; }},
    {"body-max-kb", 1, 6144, 4096, "largest request body, in KiB",
     [](settings& s, std::uint32_t v) { s.max_request_body_bytes = v * 1024; }},
    {"idle-timeout-s", 1, 3600, 60, "seconds after which a caller's idle connection is closed",
     [](settings& s, std::uint32_t v) { s.idle_timeout_s = v; }},
    {"memory-mb", 32, 1048576, 160,
     "memory of the machine in MB; callers may take the shares that docs/design/caller-limits.md "
     "states",
     [](settings& s, std::uint32_t v) { s.memory_mb = v; }},
    {"max-descriptors", 64, 1048576, 4096, "open descriptors that the process may have",
     [](settings& s, std::uint32_t v) { s.max_descriptors = v; }},
    {"default-deadline-ms", 100, 3600000, 120000, "deadline of requests that state none, in ms",
     [](settings& s, std::uint32_t v) { s.default_deadline_ms = v; }},
    {"server-idle-ms", 100, 600000, 20000, "ms without a byte after which a server is unresponsive",
     [](settings& s, std::uint32_t v) { s.server_idle_ms = v; }},
    {"queue-capacity", 1, 100000, 256, "requests that may be queued at one server's gate",
     [](settings& s, std::uint32_t v) { s.node.queue_capacity = v; }},
    {"queue-wait-ms", 1, 600000, 10000, "longest wait in a gate's queue, in ms",
     [](settings& s, std::uint32_t v) { s.node.max_queue_wait = milliseconds(v); }},
    {"chat-capacity", 100, 10000000, 100000, "entries of the chat directory",
     [](settings& s, std::uint32_t v) { s.node.chat_capacity = v; }},
    {"platform-calls-per-s", 1, 10000, 40,
     "sustained platform calls of this VM; the sum over all VMs must stay below the platform's "
     "limit",
     [](settings& s, std::uint32_t v) { s.platform_calls_per_s = v; }},
    {"claims-per-slice", 16, 5000, 256, "claims of idempotency keys in one object",
     [](settings& s, std::uint32_t v) { s.node.claims_per_slice = v; }},
    {"loads-at-once", 1, 1000, 4,
     "model versions that engines load at a time, limited by the weight store's throughput",
     [](settings& s, std::uint32_t v) { s.node.max_concurrent_loads = v; }},
    {"ramp-s", 0, 86400, 600, "seconds for which a new server gets new chats only",
     [](settings& s, std::uint32_t v) { s.node.ramp_time_s = v; }},
    {"load-interval-ms", 20, 10000, 250, "ms between load summaries to other gates",
     [](settings& s, std::uint32_t v) { s.node.load_interval = milliseconds(v); }},
    {"probe-period-ms", 50, 10000, 1000, "ms between membership probes",
     [](settings& s, std::uint32_t v) { s.membership.period = milliseconds(v); }},
    {"suspicion-ms", 100, 60000, 3000, "ms from suspected to dead",
     [](settings& s, std::uint32_t v) { s.membership.suspicion = milliseconds(v); }},
    {"test-datagram-loss-percent", 0, 100, 0, "share of datagrams dropped, for tests",
     [](settings& s, std::uint32_t v) { s.datagram_loss_percent = v; }},
};

options::options_description describe()
{
    options::options_description all("worksshiftd: one router of the fleet");
    auto add = all.add_options();
    add("help", "prints this and exits");
    add("check", "checks the settings and exits");
    add("vm", options::value<std::string>(), "name of this VM, unique in the fleet");
    add("data-centre", options::value<std::string>(), "data centre of this VM");
    add("link", options::value<std::string>(), "ADDRESS:PORT for other VMs, TCP and UDP");
    add("front", options::value<std::string>(), "ADDRESS:PORT for callers, HTTP");
    add("admin", options::value<std::string>(), "ADDRESS:PORT for operators, HTTP");
    add("platform", options::value<std::string>(), "ADDRESS:PORT of the platform's object API");
    add("peers", options::value<std::string>()->default_value(""),
        "ADDRESS:PORT,… of other VMs, contacted if the platform is down at the start");
    add("fleet-key", options::value<std::string>(),
        "shared secret of the fleet, 16 characters or more");
    add("admin-tokens", options::value<std::string>()->default_value(""),
        "NAME:viewer|operator:TOKEN,… of the operators");
    add("log-level", options::value<std::string>()->default_value("info"),
        "trace, debug, info, warn, error or off");
    for (const number_setting& setting : number_settings) {
        const std::string help = std::string(setting.help) + " (" + std::to_string(setting.low) +
                                 " to " + std::to_string(setting.high) + ")";
        add(setting.name,
            options::value<std::string>()->default_value(std::to_string(setting.default_value)),
            help.c_str());
    }
    return all;
}

std::string require_setting(const options::variables_map& values, const char* name)
{
    if (values.count(name) == 0 || values[name].as<std::string>().empty()) {
        throw user_error("settings", "", std::string(name) + " is missing; give --" + name);
    }
    return values[name].as<std::string>();
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    std::istringstream stream{std::string(text)};
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) parts.push_back(part);
    }
    return parts;
}

std::uint32_t parse_number(const number_setting& setting, const std::string& text)
{
    std::uint32_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid_number = fault == std::errc{} && end == text.data() + text.size();
    if (!valid_number || value < setting.low || value > setting.high) {
        throw user_error("settings", "",
                         std::string(setting.name) + "=" + text + " is not a whole number from " +
                             std::to_string(setting.low) + " to " + std::to_string(setting.high));
    }
    return value;
}

void check_tokens(const std::vector<std::string>& tokens)
{
    for (const std::string& token : tokens) {
        const bool well_formed =
            std::ranges::count(token, ':') == 2 && (token.find(":viewer:") != std::string::npos ||
                                                    token.find(":operator:") != std::string::npos);
        if (!well_formed) {
            throw user_error("settings", "",
                             "admin-tokens: each must be NAME:viewer:TOKEN or "
                             "NAME:operator:TOKEN");
        }
    }
}

settings read(const options::variables_map& values)
{
    settings result;
    result.vm.text = require_setting(values, "vm");
    result.data_centre.text = require_setting(values, "data-centre");
    result.link = parse_address("link", require_setting(values, "link"));
    result.front = parse_address("front", require_setting(values, "front"));
    result.admin = parse_address("admin", require_setting(values, "admin"));
    result.platform = parse_address("platform", require_setting(values, "platform"));
    for (const std::string& peer : split(values["peers"].as<std::string>())) {
        result.peers.push_back(parse_address("peers", peer));
    }
    result.fleet_key = require_setting(values, "fleet-key");
    if (result.fleet_key.size() < min_fleet_key_length) {
        throw user_error("settings", "",
                         "fleet-key has " + std::to_string(result.fleet_key.size()) +
                             " characters; it must have 16 or more");
    }
    result.admin_tokens = split(values["admin-tokens"].as<std::string>());
    check_tokens(result.admin_tokens);
    result.level = parse_log_level(values["log-level"].as<std::string>());
    for (const number_setting& setting : number_settings) {
        setting.apply(result, parse_number(setting, values[setting.name].as<std::string>()));
    }
    return result;
}

} // namespace

settings parse_settings(int count, const char* const* arguments)
{
    const parsed_options parsed = read_options(describe(), count, arguments);
    settings result;
    if (!parsed.help) result = read(parsed.values);
    result.help = parsed.help;
    result.check_only = parsed.check_only;
    result.help_text = parsed.help_text;
    return result;
}

} // namespace worksshift
