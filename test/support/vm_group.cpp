#include "support/vm_group.h"

#include <algorithm>

#include "platform.h"

namespace support {

using namespace worksshift;

namespace {

constexpr unsigned first_host = 60; ///< last byte of the first VM's loopback address
constexpr duration tick_period = milliseconds(5);
constexpr duration digest_period = milliseconds(150);

} // namespace

struct vm_group::vm_state {
    struct server_link {
        std::string service;
        std::unique_ptr<loopback_proxy> proxy;
    };

    vm_state(event_base* base, const protocol& adapter, unsigned index)
        : address("127.0.0." + std::to_string(first_host + index)), front{address, free_port()},
          table({"dc"}, index), callers(base, front), links(base, adapter), vm_links(base, adapter),
          path(callers, links, table, adapter, telemetry)
    {
    }

    std::string address;
    link_address front;
    metrics telemetry;
    server_table table;
    caller_connections callers;
    server_connections links;
    server_connections vm_links;
    request_path path;
    std::vector<server_link> proxies;
};

vm_group::vm_group(std::size_t count)
    : base(make_event_base()), adapter(platform_protocol()), relay_port(free_port()),
      ticker(base.get(), [this] { this->tick(); })
{
    const auto config = this->adapter.decode_config(example_config(1));
    config->index();
    for (std::size_t i = 0; i < count; ++i) {
        this->vms.push_back(
            std::make_unique<vm_state>(this->base.get(), this->adapter, static_cast<unsigned>(i)));
        this->vms.back()->path.set_config(config);
        this->vms.back()->path.set_fleet_size({count, instant{}});
    }
    this->connect_vms();
    this->ticker.start_every(tick_period);
}

vm_group::~vm_group() = default;

std::uint32_t vm_group::address_of(const vm_state& vm)
{
    return ntohl(to_socket_address({vm.address, 0}).sin_addr.s_addr);
}

/** Lets each VM relay requests through all others. */
void vm_group::connect_vms()
{
    std::vector<std::uint32_t> addresses(this->vms.size());
    std::ranges::transform(this->vms, addresses.begin(),
                           [](const auto& vm) { return address_of(*vm); });
    for (const auto& vm : this->vms) {
        std::vector<relay_vm> others;
        for (const std::uint32_t address : addresses) {
            if (address != address_of(*vm)) others.push_back({address, true, {}});
        }
        vm->vm_links.set_source(vm->address);
        vm->path.enable_relay(vm->vm_links, this->relay_port);
        vm->path.set_relay_vms(others);
        std::vector<origin_vm> origin_vms(others.size());
        std::ranges::transform(others, origin_vms.begin(),
                               [](const relay_vm& other) { return origin_vm{other.address}; });
        vm->path.stream_versions().set_vms(std::move(origin_vms));
        vm->path.stream_versions().send = [this, from = address_of(*vm)](std::uint32_t to,
                                                                         const std::string& bytes) {
            this->origin_datagrams.push_back({from, to, bytes});
        };
        vm->callers.listen_for_vms({vm->address, this->relay_port}, [this, addresses](
                                                                        std::uint32_t from) {
            return this->trusts_all_hosts || std::ranges::find(addresses, from) != addresses.end();
        });
    }
}

/** Delivers what VMs told each other of the origins of streams. */
void vm_group::deliver_origins(instant now)
{
    for (const origin_datagram& datagram : std::exchange(this->origin_datagrams, {})) {
        const auto found = std::ranges::find_if(this->vms, [&](const auto& vm) {
            return vm != nullptr && address_of(*vm) == datagram.to;
        });
        if (found != this->vms.end())
            (*found)->path.stream_versions().receive(datagram.from, datagram.bytes, now);
    }
}

scripted_server& vm_group::add_server(const std::string& id, const std::string& service,
                                      scripted_server::script answer, const std::string& version)
{
    this->servers.push_back(std::make_unique<scripted_server>(this->base.get(), std::move(answer)));
    for (const auto& vm : this->vms) {
        vm->proxies.push_back({service, std::make_unique<loopback_proxy>(
                                            this->base.get(), this->servers.back()->address())});
        constexpr std::uint32_t slots = 8;
        vm->table.put(example_record(this->adapter, id, service,
                                     vm->proxies.back().proxy->address(), version, slots),
                      std::chrono::steady_clock::now());
    }
    return *this->servers.back();
}

void vm_group::cut_off(std::size_t vm, cut_kind kind, const std::string& service)
{
    for (const auto& link : this->vms[vm]->proxies) {
        if (!service.empty() && link.service != service) continue;
        switch (kind) {
        case cut_kind::refused:
            link.proxy->refuse_connections();
            link.proxy->reset_open_connections();
            break;
        case cut_kind::silent:
            link.proxy->hold_connections();
            link.proxy->silence_open_connections();
            break;
        case cut_kind::no_new:
            link.proxy->refuse_connections();
            break;
        }
    }
}

void vm_group::reconnect(std::size_t vm)
{
    for (const auto& link : this->vms[vm]->proxies)
        link.proxy->accept_connections();
}

void vm_group::cut_off_and_detect(std::size_t vm, cut_kind kind)
{
    this->cut_off(vm, kind);
    const instant now = std::chrono::steady_clock::now();
    for (auto& [id, row] : this->vms[vm]->table.rows()) {
        row.path.on_connect_failed(now - 2 * server_path::report_time_error);
        row.path.on_answered_other(now);
    }
    this->vms[vm]->table.update_reach(now);
}

void vm_group::stop(std::size_t vm)
{
    this->vms[vm].reset();
}

void vm_group::start_closing(std::size_t vm)
{
    this->vms[vm]->callers.start_closing();
}

void vm_group::stop_listening(std::size_t vm)
{
    this->vms[vm]->callers.stop_listening(std::chrono::steady_clock::now());
}

void vm_group::end_server(std::size_t server)
{
    for (const auto& vm : this->vms) {
        vm->proxies[server].proxy->refuse_connections();
        vm->proxies[server].proxy->reset_open_connections();
    }
}

void vm_group::restart_entry(const std::string& server, const std::string& version)
{
    for (const auto& vm : this->vms)
        support::restart_entry(vm->table, vm->path, server, version);
}

void vm_group::set_retry_budget(const fleet_retry_settings& settings)
{
    for (const auto& vm : this->vms)
        vm->path.set_retry_budget(settings);
}

request_path& vm_group::path(std::size_t vm)
{
    return this->vms[vm]->path;
}

link_address vm_group::relay_address(std::size_t vm) const
{
    return {this->vms[vm]->address, this->relay_port};
}

raw_caller& vm_group::add_caller(std::size_t vm)
{
    this->callers.push_back(std::make_unique<raw_caller>(this->base.get(), this->vms[vm]->front));
    return *this->callers.back();
}

bool vm_group::run_until(const std::function<bool()>& done)
{
    const instant limit = std::chrono::steady_clock::now() + seconds(5);
    while (!done()) {
        if (std::chrono::steady_clock::now() > limit) return false;
        event_base_loop(this->base.get(), EVLOOP_ONCE);
    }
    return true;
}

void vm_group::run_for(duration span)
{
    const instant limit = std::chrono::steady_clock::now() + span;
    this->run_until([limit] { return std::chrono::steady_clock::now() > limit; });
}

server_table& vm_group::table(std::size_t vm)
{
    return this->vms[vm]->table;
}

void vm_group::tick()
{
    const instant now = std::chrono::steady_clock::now();
    this->deliver_origins(now);
    for (const auto& vm : this->vms) {
        if (vm == nullptr) continue;
        vm->callers.sweep(now);
        vm->links.sweep(now);
        vm->vm_links.sweep(now);
        vm->path.tick(now);
        vm->table.expire_reported_loads(now);
        vm->table.sum_loads(now);
        for (const auto& link : vm->proxies)
            link.proxy->tick(now);
    }
    if (now - this->digests_sent_at >= digest_period) this->exchange_digests(now);
}

/** Each VM tells all others the loads and outcomes that it learned, as routers do. */
void vm_group::exchange_digests(instant now)
{
    this->digests_sent_at = now;
    for (const auto& from : this->vms) {
        if (from == nullptr) continue;
        const std::vector<reported_load> loads = from->table.drain_reported_loads(now);
        const std::vector<outcome_counts> outcomes = from->table.drain_outcomes();
        for (const auto& to : this->vms) {
            if (to == from || to == nullptr) continue;
            for (const reported_load& load : loads)
                to->table.apply_reported_load(load, now);
            for (const outcome_counts& counts : outcomes)
                to->table.apply_outcomes(counts, now, digest_period);
        }
    }
}

} // namespace support
