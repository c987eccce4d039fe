#include "router.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "errors.h"
#include "process.h"
#include "router_status.h"

namespace worksshift {

namespace {

constexpr duration tick_period = milliseconds(25);
/** Interval at which the settings file is checked for changes made without a signal. */
constexpr duration settings_check_period = seconds(1);
constexpr duration load_sum_period = milliseconds(50);
/** Maximum time that requests wait for the list of evacuated data centres once configuration and
 * servers are known. All three are requested at the same time; a store that fails to return only
 * this list must not keep the VM from serving. */
constexpr duration max_evacuations_wait = milliseconds(500);
/** The same for a digest that tells which limits of servers are in force. There is none if the
 * whole fleet has just started. */
constexpr duration max_limits_wait = milliseconds(250);
/** How long a fleet that started for the first time is new. It ends soon, since a VM that cannot
 * read the registry at first may miss a version of a service. */
constexpr duration new_fleet_period = seconds(10);
constexpr duration assignment_period = milliseconds(100);
constexpr duration suspects_announce_period = milliseconds(500);
/** Digests carry request rates in tenths of a request per second, as a 16-bit number. */
constexpr double demand_units_per_rps = 10;
constexpr double max_demand = 65535;
constexpr int ok = 200;
constexpr int too_many_requests = 429;
constexpr int server_error = 500;
constexpr int unavailable = 503;

instant now()
{
    return std::chrono::steady_clock::now();
}

std::uint32_t short_hash(const server_entry& row)
{
    return static_cast<std::uint32_t>(row.hash);
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void reply(evhttp_request* request, int status, std::string_view body)
{
    evbuffer* out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

} // namespace

router::router(router_settings settings, const protocol& adapter, settings_source reload)
    : options(std::move(settings)), adapter(adapter), reload(std::move(reload)),
      base(make_event_base()), servers(options.data_centre), callers(base.get(), options.front),
      connection_pool(base.get(), adapter), vm_connections(base.get(), adapter),
      path(callers, connection_pool, servers, adapter, telemetry),
      gossip(base.get(), options.peer, options.data_centre, options.seeds), client(base.get()),
      configuration(base.get(), client, options.store, adapter, gossip),
      registry(base.get(), client, options.store, adapter, servers, gossip),
      evacuations(base.get(), client, options.store, adapter, servers, gossip),
      version_history(
          client, options.store, adapter, servers,
          [this] { return this->registry.known() ? this->registry.revision() : 0; }, telemetry),
      ticker(base.get(), [this] { this->tick(); }),
      on_term(base.get(), SIGTERM, [this] { this->stop(); }),
      on_int(base.get(), SIGINT, [this] { this->stop(); }),
      on_hup(base.get(), SIGHUP, [this] { this->reload_settings("signal"); })
{
    std::signal(SIGPIPE, SIG_IGN);
    raise_file_limit();
    this->callers.set_caller_bounds(bounds_of(granted_limits(this->options.machine)));
    this->callers.other_sockets = [this] {
        return this->connection_pool.open_sockets() + this->vm_connections.open_sockets();
    };
    this->path.set_retry_budget(this->options.retries);
    this->path.shutdown().set_grace(this->options.stop_grace);
    if (this->options.first_start) this->servers.fleet_is_new_until = now() + new_fleet_period;
    this->apply_placement();
    this->settings_text = read_file(this->options.file);
    this->connect_signals();
    this->enable_relay();
    this->serve_peers();
    this->serve_readiness();
    this->serve_metrics();
}

router::~router() = default;

int router::run()
{
    log_event(log_level::info, "started",
              {{"data_centre", this->options.data_centre.text},
               {"front_port", this->options.front.port},
               {"seeds", this->options.seeds.size()}});
    this->configuration.start();
    this->registry.start();
    this->evacuations.start();
    this->ticker.start_every(tick_period);
    event_base_dispatch(this->base.get());
    log_event(log_level::info, "stopped", {{"exit", this->exit_status}});
    return this->exit_status;
}

void router::tick()
{
    this->check_suspension();
    const instant time = now();
    this->client.sweep();
    this->callers.sweep(time);
    for (server_connections* pool : {&this->connection_pool, &this->vm_connections}) {
        pool->close_idle_beyond(this->callers.memory_of_callers().bounds().idle_server_connections);
        pool->sweep(time);
    }
    this->peer_http->sweep();
    this->readiness_http->sweep();
    this->metrics_http->sweep();
    this->heap.update(this->callers.memory_of_callers().held(), time);
    this->path.tick(time);
    this->follow_store(time);
    this->update_version_log(time);
    this->start_serving();
    this->servers.sweep(time);
    this->servers.expire_reported_loads(time);
    this->servers.mark_slow(time);
    this->servers.update_paces(time);
    this->servers.sum_loads(time);
    this->update_peer_loads(time);
    this->update_server_assignments(time);
    this->announce_suspects(time);
    this->gossip.tick(time, this->reads_store,
                      [this, time] { return this->build_local_state(time); });
    this->check_settings_file(time);
    if (this->path.shutdown().stopping()) this->continue_stop(time);
    flush_log();
}

void router::check_suspension()
{
    const std::optional<clock_pair> clocks = read_clocks();
    if (!clocks) return;
    const duration span = this->suspensions.update(*clocks);
    if (span == duration::zero()) return;
    log_event(log_level::warn, "resumed",
              {{"suspended_ms", span / milliseconds(1)}, {"requests", this->path.active()}});
    this->path.on_suspended(span);
    this->connection_pool.close_all_idle();
    this->vm_connections.close_all_idle();
}

void router::enable_relay()
{
    if (this->options.relay.port == 0) return;
    this->vm_connections.set_source(this->options.peer.address);
    this->path.enable_relay(this->vm_connections, this->options.relay.port);
    this->path.find_serving_vm = [this](const service_id& service) {
        return this->find_serving_vm(service);
    };
    this->callers.listen_for_vms(this->options.relay, [this](std::uint32_t address) {
        return this->gossip.fleet().is_known(address);
    });
    this->origin_socket.emplace(
        this->base.get(), this->options.relay,
        [this](std::uint32_t from, std::string_view bytes) { this->receive_origin(from, bytes); });
    this->path.stream_versions().send = [this](std::uint32_t to, const std::string& bytes) {
        this->origin_socket->send(to, bytes);
    };
}

/** Handles a datagram of `origin_exchange`; those of hosts that are not VMs are dropped. */
void router::receive_origin(std::uint32_t from, std::string_view bytes)
{
    if (!this->gossip.fleet().is_known(from)) return;
    try {
        this->path.stream_versions().receive(from, bytes, now());
    } catch (const error& fault) {
        log_event(log_level::warn, "origin_refused",
                  {{"peer", to_text(from)}, {"reason", fault.what()}});
    }
}

/** A VM of this data centre whose last digest names an answer of one of the service's servers.
 * Which VMs are asked first is random. */
std::optional<std::uint32_t> router::find_serving_vm(const service_id& service) const
{
    std::vector<const fleet_vm*> vms = this->gossip.fleet().local_vms(now());
    if (vms.empty()) return std::nullopt;
    const auto first = static_cast<std::ptrdiff_t>(this->path.arrivals() % vms.size());
    std::ranges::rotate(vms, vms.begin() + first);
    const auto serves = [&](const fleet_vm* vm) {
        const auto belongs = [&](std::uint32_t server) {
            return this->servers.is_of_service(server, service);
        };
        return !vm->last.leaving &&
               (std::ranges::any_of(vm->last.reported_loads, belongs, &reported_load::server) ||
                std::ranges::any_of(vm->last.outcomes, [&](const outcome_counts& counts) {
                    return counts.answered > 0 && belongs(counts.server);
                }));
    };
    const auto found = std::ranges::find_if(vms, serves);
    return found == vms.end() ? std::nullopt : std::optional((*found)->address);
}

/** Requests may be relayed through all VMs that are alive and not leaving. All that are alive may
 * know the origins of streams. */
void router::update_relay_vms(instant time)
{
    const fleet_table& fleet = this->gossip.fleet();
    std::map<std::uint32_t, region_id> region_of;
    for (const auto& [data_centre, region] : this->options.regions)
        region_of[static_cast<std::uint32_t>(data_centre.hash())] = region;
    std::vector<relay_vm> vms;
    std::vector<origin_vm> origin_vms;
    for (const auto& [address, vm] : fleet.vms()) {
        if (!fleet.is_alive(vm, time)) continue;
        origin_vms.push_back({address, vm.last.leaving});
        if (vm.last.leaving) continue;
        const auto region = region_of.find(vm.data_centre);
        vms.push_back({address, vm.data_centre == fleet.self().data_centre,
                       region == region_of.end() ? region_id{} : region->second});
    }
    this->path.set_relay_vms(std::move(vms));
    this->path.stream_versions().set_vms(std::move(origin_vms));
}

void router::connect_signals()
{
    this->path.is_trial_vm = [this](content_key content) {
        return is_first_in_fleet(this->members, static_cast<std::uint64_t>(content));
    };
    this->path.ask_only_version = [this](const service_id& service, std::uint64_t request) {
        this->version_history.ask(service, [this, request](std::optional<software_version> only) {
            this->path.on_only_version(request, only);
        });
    };
    this->configuration.on_config.connect([this] {
        if (this->serving) this->path.set_config(this->configuration.config());
    });
    this->registry.on_leaving.connect(
        [this](const server_id& id) { this->connection_pool.close_idle(id); });
    this->registry.on_restarted.connect([this](const server_id& id) {
        this->connection_pool.close_idle(id);
        this->path.on_server_restarted(id);
    });
    this->gossip.on_digest.connect([this](const fleet_vm& from) {
        this->loads_changed = true;
        for (const reported_load& load : from.last.reported_loads)
            this->servers.apply_reported_load(load, from.last_received_at);
        for (const outcome_counts& counts : from.last.outcomes) {
            this->servers.apply_outcomes(counts, from.last_received_at,
                                         milliseconds(from.last.period_ms));
        }
        for (const rejection_report& rejections : from.last.rejections)
            this->servers.apply_rejections(rejections, from.last_received_at);
        this->apply_limits(from);
        for (const std::uint32_t incarnation : from.last.leaving_servers) {
            if (!this->servers.mark_leaving(server_incarnation{incarnation})) continue;
            const server_entry* row = this->servers.find(server_incarnation{incarnation});
            log_event(log_level::info, "server_leaving",
                      {{"server", row->record.id.text}, {"source", to_text(from.address)}});
        }
        const bool local = this->gossip.fleet().is_local(from);
        this->path.suspects().handle_digest(from.last, local, from.last_received_at);
        this->configuration.handle_digest(from);
        this->evacuations.handle_digest(from.last);
    });
}

void router::apply_placement()
{
    this->servers.policy = this->options.placement;
    this->servers.cold_request_tolerance = this->options.cold_request_tolerance;
    this->servers.set_regions(this->options.regions);
}

void router::apply_limits(const fleet_vm& from)
{
    for (const service_limit& limit : from.last.limits)
        this->servers.apply_limit(limit, from.last_received_at, now());
}

/** Starts routing once both configuration and servers are known; until then requests wait. */
void router::start_serving()
{
    const router_config_ptr& config = this->configuration.config();
    if (this->serving || config == nullptr || !this->registry.usable()) return;
    const instant time = now();
    if (this->routable_since == instant{}) this->routable_since = time;
    const duration waited = time - this->routable_since;
    if (!this->evacuations.known() && waited <= max_evacuations_wait) return;
    if (!this->gossip.fleet().is_informed() && waited <= max_limits_wait) return;
    this->serving = true;
    // Digests may have come before the servers were known.
    for (const auto& [address, vm] : this->gossip.fleet().vms())
        this->apply_limits(vm);
    this->path.set_config(config);
    log_event(log_level::info, "serving",
              {{"config", config->version},
               {"servers", this->servers.rows().size()},
               {"informed", this->gossip.fleet().is_informed() ? 1 : 0},
               {"evacuations", this->evacuations.revision()}});
}

/** Makes the check of the path to the store that is due while the store answers linearizable
 * watches of this VM (\p needed). Returns whether the path works and is needed. */
bool router::check_store_path(bool needed, instant time)
{
    if (this->path_check.begin(needed, time)) {
        ++this->path_checks;
        const std::string path =
            this->adapter.list_path(object_kind::evacuations, {}, read_mode::stale);
        this->client.call(
            this->options.store, "GET", path, {}, {}, {store_path_check::timeout},
            [this](const http_response& response) {
                const bool refused =
                    response.status == too_many_requests || response.status >= server_error;
                const bool answered = response.status != 0 && !refused;
                if (!answered) {
                    log_event(log_level::warn, "store_path_lost", {{"status", response.status}});
                }
                this->path_check.end(answered);
            });
    }
    return needed && this->path_check.passed();
}

/** Updates configuration, servers and evacuations from the store or from other VMs. */
void router::follow_store(instant time)
{
    const bool watched = this->watch_role.watching();
    const bool watches_answered =
        this->registry.reads_linearizably() && this->configuration.reads_linearizably();
    // A VM that stops is replaced before it ends.
    const bool reads =
        this->check_store_path(watches_answered, time) && !this->path.shutdown().stopping();
    const bool read = std::exchange(this->reads_store, reads);
    const bool store_reachable = this->registry.store_reachable();
    this->watch_role.update(this->gossip.fleet(), {store_reachable, this->reads_store}, time);
    // Announced at once, so that no more VMs than needed start to watch or read linearizably.
    if ((!watched && this->watch_role.watching()) || (!read && reads)) this->gossip.send_early();
    // While the store does not answer, the registry's watch alone is enough to detect its return.
    const std::optional<read_mode> mode = store_reachable ? this->watch_role.mode() : std::nullopt;
    this->configuration.tick(time, mode);
    this->evacuations.tick(time, mode);
    this->registry.tick(time, this->watch_role.mode());
}

/** One VM keeps the version log for all: the one of the highest rank among those that read the
 * store linearizably. */
void router::update_version_log(instant time)
{
    const fleet_table& fleet = this->gossip.fleet();
    const bool writes =
        this->reads_store && std::ranges::none_of(fleet.store_readers(time), [&](auto address) {
            return fleet.precedes_self(address);
        });
    this->version_history.tick(writes, fleet.alive_count(time), time);
}

/** Updates the fleet's size and demand, and sums the requests of the other VMs at each server. */
void router::update_peer_loads(instant time)
{
    if (time - this->loads_summed_at < load_sum_period) return;
    this->loads_summed_at = time;
    const std::size_t alive = this->gossip.fleet().alive_count(time);
    this->path.set_fleet_size(this->gossip.fleet().size(time));
    this->path.admissions().set_fleet_demand_multiple(this->fleet_demand_ratio(alive, time));
    this->update_load_estimates(time);
    if (!std::exchange(this->loads_changed, false) &&
        !this->gossip.fleet().responsive_vms(time).empty()) {
        return;
    }
    const load_table others = this->gossip.loads_of_others(time);
    this->servers.peers_summed_at = time;
    for (auto& [id, row] : this->servers.rows())
        row.peers_in_flight = load_at(others, short_hash(row));
}

void router::update_load_estimates(instant time)
{
    std::vector<service_requests> in_flight;
    for (const fleet_vm* vm : this->gossip.fleet().local_vms(time))
        std::ranges::copy(vm->last.engine_requests, std::back_inserter(in_flight));
    this->servers.update_load_estimates(in_flight, time);
}

/** Determines which VMs send to each cold server and which send trial requests to a failing one.
 * VMs that were lost recently keep their share, because not all VMs may have noticed the loss; the
 * share stays unused, which costs a few requests. */
void router::update_server_assignments(instant time)
{
    if (time - this->servers_assigned_at < assignment_period) return;
    this->servers_assigned_at = time;
    this->members = this->gossip.fleet().members(time);
    for (const auto& [data_centre, region] : this->options.regions)
        this->members.add_data_centre(static_cast<std::uint32_t>(data_centre.hash()));
    this->servers.update_cold_shares(this->members, time);
    this->servers.update_rejection_limits(
        this->members, this->gossip.fleet().responsive_vms(time).size() + 1, time);
    this->servers.mark_failing(this->members, time);
    this->update_relay_vms(time);
}

/** Sends an early gossip round when there are urgent crash reports. The rate of these rounds is
 * limited for times when many servers fail at once. */
void router::announce_suspects(instant time)
{
    crash_suspects& suspects = this->path.suspects();
    suspects.expire(time);
    if (time - this->suspects_announced_at < suspects_announce_period) return;
    if (!suspects.take_urgent()) return;
    this->suspects_announced_at = time;
    this->gossip.send_early();
}

/** Ratio of the fleet's request rate to this VM's own, estimated from the VMs whose own
 * digests are received. The others are assumed to have the same average rate. */
double router::fleet_demand_ratio(std::size_t alive, instant time)
{
    const double own = this->path.admissions().engine_requests_per_s(time);
    if (own <= 0) return static_cast<double>(alive);
    double local = own;
    std::size_t responsive_vms = 1;
    for (const fleet_vm* vm : this->gossip.fleet().responsive_vms(time)) {
        local += vm->last.requests_per_s / demand_units_per_rps;
        ++responsive_vms;
    }
    return local / own * static_cast<double>(alive) / static_cast<double>(responsive_vms);
}

local_state router::build_local_state(instant time)
{
    local_state state;
    state.reads_store = this->reads_store;
    state.digest.config_version = this->configuration.version();
    state.digest.watches_store =
        this->configuration.receives_updates() && this->registry.receives_updates();
    state.digest.leaving = this->path.shutdown().stopping();
    state.digest.requests_per_s = static_cast<std::uint16_t>(std::min(
        this->path.admissions().engine_requests_per_s(time) * demand_units_per_rps, max_demand));
    state.digest.reported_loads = this->servers.drain_reported_loads(time);
    state.digest.outcomes = this->servers.drain_outcomes();
    state.digest.rejections = this->servers.drain_rejections(time);
    state.digest.limits = this->servers.limits_in_force(time);
    state.digest.engine_requests = this->servers.requests_in_flight(time);
    this->registry.describe(state.digest, time);
    this->evacuations.describe(state.digest, this->registry.known());
    this->path.suspects().fill_digest(state.digest, time);
    state.digest.leaving_servers = this->servers.leaving_but_listed(max_leaving_servers);
    state.remote_crash_reports = this->path.suspects().reports_to_remote_vms();
    state.servers = this->servers.rows().size();
    for (const auto& [id, row] : this->servers.rows()) {
        // With a fresh load reported by the server itself, the VMs need no sum of request counts.
        if (row.in_flight == 0 || row.report_is_fresh) continue;
        state.loads.push_back({short_hash(row), static_cast<std::uint16_t>(row.in_flight)});
    }
    const std::vector<const server_entry*> busy = this->servers.busy();
    std::ranges::transform(busy, std::back_inserter(state.busy),
                           [](const server_entry* row) { return short_hash(*row); });
    return state;
}

/** Serves a port on which requests have no bodies. \p part: the port has this part of the
 * connections that are kept for others than callers. */
std::unique_ptr<http_listener> router::listen_http(const link_address& at, const char* purpose,
                                                   std::size_t part)
{
    memory_account& memory = this->callers.memory_of_callers();
    http_bounds bounds;
    bounds.connections = memory.bounds().internal_connections / part;
    return std::make_unique<http_listener>(this->base.get(), at, purpose, bounds, memory);
}

void router::serve_peers()
{
    this->peer_http = this->listen_http(this->options.peer, "other VMs", 2);
    this->peer_http->on_request(
        config_path, [this](evhttp_request* request) { this->configuration.serve(request); });
    this->peer_http->on_request(registry_path,
                                [this](evhttp_request* request) { this->registry.serve(request); });
}

void router::serve_readiness()
{
    this->readiness_http = this->listen_http(this->options.readiness, "readiness checks", 4);
    this->readiness_http->on_other_request([this](evhttp_request* request) {
        const bool is_check = this->adapter.is_readiness_check(evhttp_request_get_uri(request));
        reply(request, is_check && this->ready() ? ok : unavailable, {});
    });
}

void router::serve_metrics()
{
    this->metrics_http = this->listen_http(this->options.metrics, "metrics", 4);
    this->metrics_http->on_request(
        "/metrics", [this](evhttp_request* request) { reply(request, ok, this->metrics_text()); });
    this->metrics_http->on_request(
        status_path, [this](evhttp_request* request) { reply(request, ok, this->status_text()); });
}

std::string router::status_text() const
{
    const router_view view{this->options.vm,
                           this->options.data_centre,
                           this->configuration.version(),
                           this->registry.revision(),
                           this->path.active(),
                           this->serving,
                           this->path.shutdown().stopping(),
                           this->registry.store_reachable(),
                           this->watch_role.watching()};
    return write_status(view, this->gossip.fleet(), this->servers, now());
}

std::string router::metrics_text() const
{
    std::ostringstream text;
    text << this->telemetry.text();
    text << "worksshift_requests_active " << this->path.active() << '\n';
    text << "worksshift_attempts_active " << this->connection_pool.active() << '\n';
    text << "worksshift_caller_connections " << this->callers.open_connections() << '\n';
    this->callers.memory_of_callers().write_metrics(text);
    text << "worksshift_caller_connections_bound "
         << this->callers.memory_of_callers().bounds().connections << '\n';
    for (const input_refusal reason : input_refusals) {
        text << "worksshift_input_refused_total{reason=\"" << name_of(reason) << "\"} "
             << this->callers.refused(reason) << '\n';
    }
    text << "worksshift_connections_closed_for_room_total " << this->callers.closed_for_room()
         << '\n';
    text << "worksshift_internal_connections_closed_total "
         << this->peer_http->closed_for_room() + this->readiness_http->closed_for_room() +
                this->metrics_http->closed_for_room()
         << '\n';
    text << "worksshift_accepting_pauses_total " << this->callers.accepting_pauses() << '\n';
    text << "worksshift_output_buffered_bytes " << this->callers.buffered_output().bytes << '\n';
    text << "worksshift_responses_paused " << this->callers.paused_responses() << '\n';
    for (const slow_client_reason reason :
         {slow_client_reason::unread, slow_client_reason::memory}) {
        text << "worksshift_slow_clients_closed_total{reason=\"" << name_of(reason) << "\"} "
             << this->callers.slow_clients_closed(reason) << '\n';
    }
    text << "worksshift_server_connections_opened_total " << this->connection_pool.opened() << '\n';
    text << "worksshift_malformed_responses_total{from=\"other\"} "
         << this->client.malformed_responses() << '\n';
    text << "worksshift_config_version " << this->configuration.version() << '\n';
    text << "worksshift_registry_watched " << (this->watch_role.watching() ? 1 : 0) << '\n';
    text << "worksshift_store_reader " << (this->reads_store ? 1 : 0) << '\n';
    for (const read_mode mode : {read_mode::stale, read_mode::linearizable}) {
        text << "worksshift_store_calls_total{mode=\"" << name_of(mode) << "\"} "
             << this->configuration.store_calls(mode) + this->registry.store_calls(mode) +
                    this->evacuations.store_calls(mode) +
                    (mode == read_mode::stale ? this->path_checks : this->version_history.calls())
             << '\n';
    }
    text << "worksshift_store_reachable " << (this->registry.store_reachable() ? 1 : 0) << '\n';
    text << "worksshift_registry_unreadable_total " << this->registry.unreadable() << '\n';
    for (const data_centre_id& data_centre : this->evacuations.evacuated())
        text << "worksshift_evacuated{data_centre=\"" << data_centre.text << "\"} 1\n";
    text << "worksshift_servers_unreachable " << this->servers.unreachable_servers() << '\n';
    text << "worksshift_servers_lost_here_only " << this->servers.servers_lost_here_only() << '\n';
    text << "worksshift_services_cut_off " << this->servers.services_cut_off() << '\n';
    text << "worksshift_requests_of_other_vms " << this->path.relayed() << '\n';
    text << "worksshift_cold_servers " << this->servers.cold_servers(now()) << '\n';
    text << "worksshift_slow_servers " << this->servers.slow_servers() << '\n';
    for (const auto& [service, pace] : this->servers.mean_paces())
        text << "worksshift_service_pace{service=\"" << service.text << "\"} " << pace << '\n';
    text << "worksshift_blocked_contents " << this->path.suspects().blocked_contents() << '\n';
    text << "worksshift_digest_bytes_sent_total " << this->gossip.bytes_sent() << '\n';
    text << "worksshift_stream_origins " << this->path.stream_versions().streams() << '\n';
    text << "worksshift_origin_bytes_sent_total " << this->path.stream_versions().bytes_sent()
         << '\n';
    text << "worksshift_vms_heard " << this->gossip.fleet().responsive_vms(now()).size() << '\n';
    return text.str();
}

bool router::ready() const
{
    return !this->path.shutdown().stopping() && this->serving;
}

void router::check_settings_file(instant time)
{
    if (this->options.file.empty() || time - this->settings_checked_at < settings_check_period)
        return;
    this->settings_checked_at = time;
    std::string text = read_file(this->options.file);
    if (text == this->settings_text) return;
    this->settings_text = std::move(text);
    this->reload_settings("file");
}

/** Applies the settings that can change at run time; the others take effect at the next start. */
void router::reload_settings(std::string_view cause)
{
    try {
        const router_settings reloaded = this->reload();
        this->options.level = reloaded.level;
        this->options.retries = reloaded.retries;
        this->path.shutdown().set_grace(reloaded.stop_grace);
        this->gossip.add_seeds(reloaded.seeds);
        set_log_level(reloaded.level);
        this->path.set_retry_budget(reloaded.retries);
        this->callers.set_caller_bounds(bounds_of(granted_limits(reloaded.machine)));
        this->options.placement = reloaded.placement;
        this->options.cold_request_tolerance = reloaded.cold_request_tolerance;
        this->options.regions = reloaded.regions;
        this->apply_placement();
        log_event(log_level::info, "reloaded", {{"cause", cause}});
    } catch (const error& fault) {
        log_event(log_level::error, "reload_refused",
                  {{"cause", cause}, {"step", fault.step}, {"reason", fault.what()}});
    }
}

void router::stop()
{
    if (this->path.shutdown().stopping()) return;
    this->path.shutdown().begin(now());
    this->callers.start_closing();
    log_event(log_level::info, "stopping", {{"requests", this->path.active()}});
}

void router::continue_stop(instant time)
{
    const graceful_stop& shutdown = this->path.shutdown();
    if (shutdown.accepts_connections(time)) return;
    this->callers.stop_listening(time);
    if (time >= shutdown.requests_end_at()) this->end_requests();
    const bool idle = this->path.active() == 0 && this->callers.open_connections() == 0;
    if (!idle && time < shutdown.exit_at()) return;
    if (const std::size_t unsent = this->callers.buffered_output().bytes; unsent > 0) {
        log_event(log_level::warn, "stop_cut",
                  {{"requests", 0},
                   {"clients", this->callers.buffered_output().clients},
                   {"unsent_bytes", unsent}});
        this->exit_status = 1;
    }
    event_base_loopbreak(this->base.get());
}

/** Answers what is still in progress when the grace period is nearly over. */
void router::end_requests()
{
    this->callers.refuse_incomplete();
    const std::size_t ended = this->path.end_requests();
    if (ended == 0) return;
    log_event(log_level::warn, "stop_cut", {{"requests", ended}});
    this->exit_status = 1;
}

} // namespace worksshift
