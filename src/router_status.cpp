#include "router_status.h"

#include <map>

#include <nlohmann/json.hpp>

#include "link_address.h"

namespace worksshift {

namespace {

using nlohmann::json;

json describe_vms(const router_view& view, const fleet_table& fleet, instant now)
{
    json all = json::array();
    all.push_back({{"vm", view.vm.text},
                   {"state", view.stopping ? "leaving" : "alive"},
                   {"data_centre", view.data_centre.text},
                   {"revision", view.config_version},
                   {"watches_store", view.watching}});
    for (const auto& [address, vm] : fleet.vms()) {
        const bool responsive = fleet_table::is_responsive(vm, now);
        const bool alive = fleet.is_alive(vm, now);
        const char* state = responsive && vm.last.leaving ? "leaving" : alive ? "alive" : "dead";
        all.push_back({{"vm", to_text(address)},
                       {"state", state},
                       {"data_centre", fleet.is_local(vm) ? view.data_centre.text : "other"},
                       {"revision", vm.last.config_version},
                       {"watches_store", responsive && vm.last.watches_store}});
    }
    return all;
}

json describe_servers(const server_table& servers, instant now)
{
    struct group {
        double load = 0;
        double servers = 0;
    };
    std::map<service_id, group> groups;
    for (const auto& [id, row] : servers.rows()) {
        if (!row.accepts_requests()) continue;
        groups[row.record.service].load += row.load();
        groups[row.record.service].servers += 1;
    }
    json all = json::array();
    for (const auto& [id, row] : servers.rows()) {
        const group& totals = groups[row.record.service];
        all.push_back({{"server", id.text},
                       {"service", row.record.service.text},
                       {"gate", row.record.data_centre.text},
                       {"running", row.in_flight},
                       {"limit", row.record.slots},
                       {"load", row.load()},
                       {"bound", load_bound_multiple},
                       {"mean_load", totals.servers > 0 ? totals.load / totals.servers : 0},
                       {"draining", !row.accepts_requests()},
                       {"accepting", row.accepts_requests() && row.health.usable(now) &&
                                         !row.unresponsive(now)}});
    }
    return all;
}

json describe_alarms(const router_view& view)
{
    json all = json::array();
    if (!view.serving) all.push_back("no configuration or servers yet: requests are refused");
    if (view.watching && !view.store_reachable) all.push_back("the store does not answer");
    return all;
}

} // namespace

std::string write_status(const router_view& view, const fleet_table& fleet,
                         const server_table& servers, instant now)
{
    const json status{{"revision", view.config_version},
                      {"servers_revision", view.servers_revision},
                      {"requests", view.requests},
                      {"chats", 0},
                      {"vms", describe_vms(view, fleet, now)},
                      {"servers", describe_servers(servers, now)},
                      {"alarms", describe_alarms(view)}};
    return status.dump() + "\n";
}

} // namespace worksshift
