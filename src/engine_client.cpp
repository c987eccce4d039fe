#include "engine_client.h"

#include <nlohmann/json.hpp>

#include "log.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr duration load_timeout = milliseconds(800);
constexpr duration order_timeout = seconds(2);
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

/** The versions in an engine's load report; marked as not reported if absent or invalid. */
engine_versions read_versions(const json& report)
{
    try {
        if (!report.contains("versions")) return {};
        return {true, report.at("versions").get<std::vector<std::string>>(),
                report.value("loading", std::vector<std::string>())};
    } catch (const json::exception& fault) {
        log_event(log_level::warn, "load_report_invalid", {{"why", fault.what()}});
        return {};
    }
}

/** An unsigned integer field; std::nullopt if it is absent or of another type. */
std::optional<std::uint64_t> read_unsigned(const json& object, const char* name)
{
    const bool fits =
        object.is_object() && object.contains(name) && object[name].is_number_unsigned();
    return fits ? std::optional(object[name].get<std::uint64_t>()) : std::nullopt;
}

} // namespace

void engine_client::request_load_report(const server_config& engine, load_report report,
                                        report_handler done)
{
    const auto handle = [report = std::move(report),
                         done = std::move(done)](const http_response& response) {
        const json body = json::parse(response.body, nullptr, false);
        const auto running = read_unsigned(body, "running");
        if (response.status != status_ok || !running) return;
        load_report completed = report;
        completed.running = static_cast<std::uint32_t>(*running);
        completed.versions = read_versions(body);
        done(std::move(completed));
    };
    this->http.call({engine.address, engine.port}, "GET", "/load", {}, {}, {load_timeout}, handle);
}

void engine_client::send_order(const start_order& order, order_handler done)
{
    const json order_body{{"order", order.kind == order_kind::load ? "load" : "unload"},
                          {"version", order.version},
                          {"fence", order.fence}};
    const auto handle = [server = order.server.id,
                         done = std::move(done)](const http_response& response) {
        const json body = json::parse(response.body, nullptr, false);
        const bool refused = response.status == status_conflict;
        const std::uint64_t known_fence = refused ? read_unsigned(body, "fence").value_or(0) : 0;
        done({server, response.status == status_ok, known_fence});
    };
    this->http.call({order.server.address, order.server.port}, "POST", "/orders", {},
                    order_body.dump(), {order_timeout}, handle);
}

} // namespace worksshift
