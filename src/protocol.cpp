#include "protocol.h"

#include <algorithm>

namespace worksshift {

namespace {

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

} // namespace

const route* router_config::find(std::string_view host, std::string_view target) const
{
    auto indexes = this->routes_by_host.find(host);
    if (indexes == this->routes_by_host.end()) {
        indexes = this->routes_by_host.find(without_port(host));
    }
    if (indexes == this->routes_by_host.end()) return nullptr;
    const std::string_view path = path_of(target);
    const auto found = std::ranges::find_if(indexes->second, [&](std::size_t route_index) {
        return path.starts_with(this->routes[route_index].path_prefix);
    });
    return found == indexes->second.end() ? nullptr : &this->routes[*found];
}

void router_config::index()
{
    for (std::size_t route_index = 0; route_index < this->routes.size(); ++route_index) {
        this->routes_by_host[this->routes[route_index].host].push_back(route_index);
        for (const route_target& target : this->routes[route_index].targets) {
            const auto [found, added] = this->min_latency_objective.try_emplace(
                target.service, this->routes[route_index].latency_objective);
            found->second = std::min(found->second, this->routes[route_index].latency_objective);
        }
    }
    for (auto& [host, indexes] : this->routes_by_host) {
        std::ranges::sort(indexes, std::greater{}, [this](std::size_t route_index) {
            return this->routes[route_index].path_prefix.size();
        });
    }
}

std::string_view name_of(object_kind kind)
{
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::servers:
        return "servers";
    case object_kind::evacuations:
        return "evacuations";
    case object_kind::version_logs:
        return "version_logs";
    }
    return {};
}

std::string_view name_of(read_mode mode)
{
    return mode == read_mode::stale ? "stale" : "linearizable";
}

} // namespace worksshift
