#include "engine_orders.h"

#include <algorithm>

#include "home.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr duration request_period = seconds(1);
/** A gate repeats its request every `request_period` until it observes the order's effect, so a
 * request that is no longer repeated is assumed to have taken effect. */
constexpr duration request_expiry = seconds(4);
/** An order without effect after this time is sent again. */
constexpr duration order_retry_delay = seconds(20);
/** A new holder waits this long for the gates to report the loads that its predecessor started. */
constexpr duration initial_holder_delay = seconds(3);

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

bool has_requests_on(const gate_row& gate, const std::string& version)
{
    return std::ranges::any_of(gate.running,
                               [&](const auto& entry) { return entry.second.version == version; });
}

/** The next order that brings the engine closer to the configuration: loads come before unloads.
 * The version is empty if no order is needed. (clang-tidy 16 crashes on a std::optional here.) */
order_request next_order(const gate_row& gate, const service_config& service)
{
    const engine_versions& versions = gate.versions;
    const auto missing = std::ranges::find_if(
        service.versions, [&](const std::string& version) { return !versions.has(version); });
    if (missing != service.versions.end()) {
        return {gate.server, order_kind::load, *missing, versions.is_loading(*missing)};
    }
    if (!service.fenced) return {};
    // A retired version is unloaded only after its running requests have ended.
    const auto retired = std::ranges::find_if(versions.loaded, [&](const std::string& version) {
        return !contains(service.versions, version) && !has_requests_on(gate, version);
    });
    if (retired == versions.loaded.end()) return {};
    return {gate.server, order_kind::unload, *retired, false};
}

void apply_requests(tables& t, instant now)
{
    for (const auto& [from, request] : std::exchange(t.in.order_requests, {})) {
        order_row& row = t.orders[request.server];
        const bool same =
            row.request.kind == request.kind && row.request.version == request.version;
        if (!same) row = {};
        row.request = request;
        row.requested_at = now;
        // An engine that is already loading received the order earlier, perhaps from the previous
        // holder.
        if (request.already_loading && !row.sent) {
            row.sent = true;
            row.sent_at = now;
        }
    }
    std::erase_if(t.orders, [&](const auto& entry) {
        return now - entry.second.requested_at > request_expiry;
    });
}

void handle_order_responses(tables& t)
{
    for (const order_result& result : std::exchange(t.in.order_results, {})) {
        t.lease.highest_fence = std::max(t.lease.highest_fence, result.known_fence);
        const auto row = t.orders.find(result.server);
        if (row == t.orders.end() || result.accepted) continue;
        row->second.sent = false;
        ++t.counters.orders_refused;
        log_event(log_level::warn, "order_refused",
                  {{"step", "order"},
                   {"peer", result.server.text},
                   {"fence", t.lease.value.fence},
                   {"known_fence", result.known_fence}});
    }
}

void send_order(tables& t, order_row& row, instant now)
{
    const auto server = t.servers.find(row.request.server);
    if (server == t.servers.end()) return;
    row.sent = true;
    row.sent_at = now;
    ++t.counters.orders_given;
    log_event(log_level::info, "order_given",
              {{"server", row.request.server.text},
               {"order", row.request.kind == order_kind::load ? "load" : "unload"},
               {"version", row.request.version},
               {"fence", t.lease.value.fence}});
    t.out.emplace_back(start_order{server->second.config, row.request.kind, row.request.version,
                                   t.lease.value.fence});
}

} // namespace

bool engine_versions::has(const std::string& version) const
{
    return contains(this->loaded, version);
}

bool engine_versions::is_loading(const std::string& version) const
{
    return contains(this->loading, version);
}

version_choice choose_version(const gate_row& gate, const service_config& service,
                              const std::string& continued)
{
    if (!gate.versions.versions_reported) return {true, continued};
    if (!continued.empty()) return {gate.versions.has(continued), continued};
    if (service.versions.empty()) return {true, {}};
    if (gate.versions.has(service.serving)) return {true, service.serving};
    const auto newest =
        std::find_if(service.versions.rbegin(), service.versions.rend(),
                     [&](const std::string& version) { return gate.versions.has(version); });
    if (newest != service.versions.rend()) return {true, *newest};
    // An engine that started with a version outside the configuration serves it until it has loaded
    // a configured one.
    if (!gate.versions.loaded.empty()) return {true, gate.versions.loaded.back()};
    return {false, {}};
}

void request_orders(tables& t, instant& next_request_at, const tick_time& time)
{
    if (time.now < next_request_at || !t.needs_orders) return;
    next_request_at = time.now + request_period;
    for (const auto& [id, gate] : t.gates) {
        const auto service = t.services.find(gate.service);
        if (!gate.is_first_ranked || !gate.versions.versions_reported ||
            service == t.services.end())
            continue;
        if (service->second.config.versions.empty()) continue;
        order_request order = next_order(gate, service->second.config);
        if (!order.version.empty()) t.send(home_of(t, lease_key), std::move(order));
    }
}

void issue_orders(tables& t, const tick_time& time)
{
    handle_order_responses(t);
    apply_requests(t, time.now);
    if (!holds_lease(t.lease, time.now)) return;
    if (time.now - t.lease.acquired_at < initial_holder_delay) return;
    auto loading = std::ranges::count_if(t.orders, [](const auto& entry) {
        return entry.second.sent && entry.second.request.kind == order_kind::load;
    });
    for (auto& [server, row] : t.orders) {
        if (row.sent && time.now - row.sent_at < order_retry_delay) continue;
        const bool load = row.request.kind == order_kind::load;
        if (load && !row.sent &&
            loading >= static_cast<std::ptrdiff_t>(t.settings.max_concurrent_loads)) {
            continue;
        }
        if (load && !row.sent) ++loading;
        send_order(t, row, time.now);
    }
}

} // namespace worksshift
