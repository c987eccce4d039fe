#include "placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "rendezvous.h"

namespace worksshift {

namespace {

bool accepts_requests(const server_row& server)
{
    return server.load.accepting && !server.config.draining;
}

bool has_free_slot(const server_row& server, bool heavy)
{
    const std::uint32_t limit = server.config.limit;
    return server.load.running < limit - (heavy ? spare_slots(limit) : 0);
}

bool contains(std::span<const server_id> ids, const server_id& id)
{
    return std::ranges::find(ids, id) != ids.end();
}

} // namespace

std::uint32_t chat_cost(std::size_t prompt_characters, std::uint32_t answer_tokens)
{
    const double prompt = static_cast<double>(prompt_characters) / characters_per_token;
    return 1 + answer_tokens + static_cast<std::uint32_t>(std::lround(prompt * prefill_weight));
}

void load_config(tables& t, std::shared_ptr<const fleet_config> config, std::uint64_t unix_s)
{
    std::unordered_map<server_id, server_row> servers;
    std::map<service_id, service_row> services;
    for (const service_config& service : config->services) {
        service_row& service_state = services[service.id];
        service_state.config = service;
        if (const auto old = t.services.find(service.id); old != t.services.end()) {
            service_state.retries = old->second.retries;
        }
        for (const server_config& server : service.servers) {
            service_state.servers.push_back(server.id);
            service_state.hashes.push_back(server.id.hash());
            server_row& server_state = servers[server.id];
            if (const auto old = t.servers.find(server.id); old != t.servers.end()) {
                server_state = std::move(old->second);
            }
            server_state.config = server;
            server_state.service = service.id;
            server_state.load.server = server.id;
            server_state.load.service = service.id;
        }
    }
    t.needs_orders = std::ranges::any_of(
        config->services, [](const auto& service) { return !service.versions.empty(); });
    t.config = std::move(config);
    t.servers = std::move(servers);
    t.services = std::move(services);
    refresh_mature_servers(t, unix_s);
}

void refresh_mature_servers(tables& t, std::uint64_t unix_s)
{
    for (auto& [id, service] : t.services) {
        service.mature.clear();
        service.mature_hashes.clear();
        for (std::size_t i = 0; i < service.servers.size(); ++i) {
            const server_config& server = t.servers.at(service.servers[i]).config;
            const bool ramping = server.added_at_s + t.settings.ramp_time_s > unix_s;
            if ((ramping && server.added_at_s > 0) || server.draining) continue;
            service.mature.push_back(i);
            service.mature_hashes.push_back(service.hashes[i]);
        }
    }
}

server_id home_server(const service_row& service, chat_key chat)
{
    const auto key = static_cast<std::uint64_t>(chat);
    if (!service.mature.empty()) {
        return service.servers[service.mature[rendezvous_first(key, service.mature_hashes)]];
    }
    if (service.servers.empty()) return {};
    return service.servers[rendezvous_first(key, service.hashes)];
}

server_id first_ranked(const tables& t, const service_row& service, std::uint64_t key,
                       std::span<const server_id> excluded)
{
    server_id best;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        const server_id& id = service.servers[i];
        if (!accepts_requests(t.servers.at(id)) || contains(excluded, id)) continue;
        const std::uint64_t weight = rendezvous_weight(key, service.hashes[i]);
        if (best.empty() || weight > best_weight) {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

double mean_load(const tables& t, const service_row& service, double extra)
{
    double total = extra;
    std::size_t count = 0;
    for (const server_id& id : service.servers) {
        const server_row& server = t.servers.at(id);
        total += static_cast<double>(server.load.cost);
        if (accepts_requests(server)) ++count;
    }
    return total / static_cast<double>(std::max<std::size_t>(1, count));
}

bool below_load_bound(const tables& t, const service_row& service, const server_row& server,
                      std::uint32_t cost)
{
    return static_cast<double>(server.load.cost) <
           service.config.bound * mean_load(t, service, cost);
}

std::optional<server_id> find_alternate(tables& t, const service_row& service, std::uint32_t cost,
                                        std::span<const server_id> excluded, bool heavy)
{
    const double max_load = service.config.bound * mean_load(t, service, cost);
    std::vector<const server_row*> candidates;
    for (const server_id& id : service.servers) {
        const server_row& server = t.servers.at(id);
        const bool fits = accepts_requests(server) && has_free_slot(server, heavy) &&
                          static_cast<double>(server.load.cost) < max_load;
        if (fits && !contains(excluded, id)) candidates.push_back(&server);
    }
    std::vector<const server_row*> sampled;
    std::ranges::sample(candidates, std::back_inserter(sampled), 2, t.random);
    const auto least = std::ranges::min_element(
        sampled, {}, [](const server_row* server) { return server->load.cost; });
    if (least == sampled.end()) return std::nullopt;
    return (*least)->config.id;
}

std::optional<server_id> find_least_loaded(const tables& t, const service_row& service,
                                           std::span<const server_id> excluded, bool heavy)
{
    const server_row* least = nullptr;
    for (const server_id& id : service.servers) {
        const server_row& server = t.servers.at(id);
        if (!accepts_requests(server) || contains(excluded, id)) continue;
        if (!has_free_slot(server, heavy)) continue;
        if (least == nullptr || server.load.cost < least->load.cost) least = &server;
    }
    if (least == nullptr) return std::nullopt;
    return least->config.id;
}

void count_redirected_request(server_row& server, std::uint32_t cost)
{
    server.load.cost += cost;
    ++server.load.running;
}

vm_id gate_of(const server_row& server)
{
    return server.gates.empty() ? vm_id{} : server.gates.front();
}

} // namespace worksshift
