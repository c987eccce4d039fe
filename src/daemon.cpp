#include "daemon.h"

#include <csignal>
#include <sstream>

#include "admin_api.h"
#include "placement.h"
#include "process.h"
#include "route_requests.h"

namespace worksshift {

namespace {

constexpr duration max_tick_interval = milliseconds(20);
constexpr duration vm_list_interval = seconds(10);
constexpr duration load_poll_interval = seconds(1);
/** Time between two watches of the manifest, unless the first one returned a newer manifest. */
constexpr duration watch_interval = milliseconds(500);
/** How long a stopping VM without work waits before the process exits: the last response is sent,
 * and a caller that sends at once on the same connection still gets a response. */
constexpr duration flush_time = milliseconds(300);
/** Retry-After of requests that come too late in a stop: another VM can take them at once. */
constexpr std::uint32_t stop_retry_after_ms = 20;
/** Credit is returned to a gate in steps of at least this many bytes, to bound its messages. */
constexpr std::uint32_t min_credit_bytes = 16 * 1024;

instant now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t unix_seconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(since_epoch).count());
}

/** Increases with every start of a VM, so that its state overrides that of the previous run. */
std::uint64_t initial_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

member_update describe_self(const settings& options)
{
    return {options.vm,        options.data_centre,   options.link.address,
            options.link.port, initial_incarnation(), member_state::alive};
}

} // namespace

daemon::daemon(const settings& process_settings)
    : options(process_settings), base(make_event_base()), auth(options.fleet_key),
      core(describe_self(options), options.node, options.membership, random_process_id(),
           random_process_id()),
      links(base.get(), options.vm, options.link, auth),
      gossip(base.get(), options.link, auth, options.datagram_loss_percent),
      memory(bounds_of(granted_limits(
          {std::size_t{options.memory_mb} * bytes_per_mb, options.max_descriptors}))),
      front(base.get(), options, telemetry, memory),
      calls(base.get(), milliseconds(options.server_idle_ms)), http(base.get()), engines(http),
      platform(base.get(), http, options.platform, options.platform_calls_per_s),
      fetcher(platform, core.config()), writer(core, platform, fetcher),
      next_tick(base.get(), [this] { this->tick(); }), tick_timer(base.get(),
                                                                  [this] {
                                                                      this->release_memory();
                                                                      this->schedule_tick();
                                                                  }),
      vm_list_timer(base.get(), [this] { this->list_vms(); }),
      load_poll_timer(base.get(), [this] { this->poll_loads(); }),
      watch_timer(base.get(), [this] { this->watch_config(); }),
      on_term(base.get(), SIGTERM, [this] { this->stop(); }),
      on_int(base.get(), SIGINT, [this] { this->stop(); })
{
    raise_file_limit();
    this->shutdown.set_grace(seconds(this->options.stop_deadline_s));
    this->shutdown.set_accept_time(seconds(this->options.stop_linger_s));
    this->admin = std::make_unique<admin_api>(this->base.get(), this->options, this->core,
                                              this->platform, this->writer, this->memory);
    this->connect_signals();
}

daemon::~daemon() = default;

void daemon::connect_signals()
{
    this->links.on_message.connect(
        [this](const vm_id& from, const link_message& message) { this->receive(from, message); });
    this->links.on_lost.connect([this](const vm_id& vm) {
        this->core.handle_peer_loss(vm);
        this->schedule_tick();
    });
    this->links.on_undelivered.connect([this](const attempt_id& id) {
        this->core.data().in.undelivered.push_back(id);
        this->schedule_tick();
    });
    this->gossip.on_message.connect([this](const gossip_message& message) {
        this->core.receive(message, now());
        this->schedule_tick();
    });
    this->front.on_request.connect(
        [this](const accepted_request& accepted) { this->accept_request(accepted); });
    this->front.on_disconnect.connect([this](std::uint64_t request) {
        this->core.data().in.disconnects.push_back(request);
        this->release_request(request);
        this->schedule_tick();
    });
    this->front.on_drained.connect([this](std::uint64_t request, std::uint32_t bytes) {
        this->return_credit(request, bytes);
    });
    this->front.extra_metrics = [this] { return this->format_metrics(); };
    this->core.responses().on_head.connect(
        [this](std::uint64_t request, std::uint16_t status, const std::vector<header>& headers) {
            this->front.send_head(request, status, headers);
        });
    this->core.responses().on_data.connect([this](std::uint64_t request, std::string_view bytes) {
        this->front.send_data(request, bytes);
    });
    this->writer.on_accepted.connect([this] { this->schedule_tick(); });
    this->calls.on_frame.connect(
        [this](const vm_id& to, link_message message) { this->send(to, std::move(message)); });
    this->calls.on_ended.connect([this](call_ended ended) {
        this->core.data().in.calls_ended.push_back(std::move(ended));
        this->schedule_tick();
    });
}

int daemon::run()
{
    log_event(log_level::info, "started",
              {{"data_centre", this->options.data_centre.text},
               {"link_port", this->options.link.port},
               {"front_port", this->options.front.port}});
    this->tick_timer.start_every(max_tick_interval);
    this->vm_list_timer.start_every(vm_list_interval);
    this->load_poll_timer.start_every(load_poll_interval);
    this->start_discovery();
    event_base_dispatch(this->base.get());
    log_event(log_level::info, "stopped", {{"exit", this->exit_status}});
    return this->exit_status;
}

/** Not part of a tick, which follows each event: it goes over all connections. */
void daemon::release_memory()
{
    this->front.sweep();
    this->admin->sweep();
    this->heap.update(this->memory.held(), now());
}

void daemon::schedule_tick()
{
    if (this->tick_scheduled) return;
    this->tick_scheduled = true;
    this->next_tick.start_once(duration::zero());
}

void daemon::tick()
{
    this->tick_scheduled = false;
    const instant time = now();
    this->http.sweep();
    this->links.sweep(time);
    this->calls.sweep(time);
    this->core.tick({time, unix_seconds()});
    for (const action& next_action : this->core.take_actions())
        this->execute(next_action);
    for (const outgoing_gossip& datagram : this->core.members().take_datagrams()) {
        this->gossip.send(datagram, time);
    }
    const auto& config = this->core.config().config;
    if (config != nullptr && config->revision != this->published_revision) {
        this->published_revision = config->revision;
        this->front.set_config(config);
    }
    if (this->shutdown.stopping()) this->continue_stop(time);
}

void daemon::execute(const action& next_action)
{
    std::visit([this](const auto& command) { this->execute_one(command); }, next_action);
}

void daemon::execute_one(const send_message& command)
{
    this->send(command.to, command.message);
}

void daemon::execute_one(const start_call& command)
{
    this->calls.start(command, now());
}

void daemon::execute_one(const cancel_call& command)
{
    this->calls.cancel(command.id);
}

void daemon::execute_one(const bind_attempt& command)
{
    const auto stream = this->streams.find(command.request);
    this->core.responses().bind(command.request, command.id, command.gate,
                                stream != this->streams.end() && stream->second);
}

void daemon::execute_one(const complete_request& command)
{
    this->release_request(command.request);
    this->front.complete(command.request);
}

void daemon::execute_one(const fail_request& command)
{
    this->release_request(command.request);
    this->front.fail(command);
}

void daemon::execute_one(const replay_request& command)
{
    this->release_request(command.request);
    this->front.replay(command);
}

void daemon::execute_one(const drop_request& command)
{
    this->release_request(command.request);
}

/** Releases the data path's state of a request that has ended. */
void daemon::release_request(std::uint64_t request)
{
    this->core.responses().release(request);
    this->streams.erase(request);
    this->credits.erase(request);
}

void daemon::execute_one(const object_call& command)
{
    this->platform.run(command, [this](const object_result& result) {
        this->core.data().in.object_results.push_back(result);
        this->schedule_tick();
    });
}

void daemon::execute_one(const start_order& order)
{
    this->engines.send_order(order, [this](order_result ended) {
        this->core.data().in.order_results.push_back(std::move(ended));
        this->schedule_tick();
    });
}

void daemon::send(const vm_id& to, link_message message)
{
    if (to == this->options.vm) {
        this->receive(to, std::move(message));
        return;
    }
    const member* row = this->core.members().find(to);
    // An open link is used even if this VM, just started, does not know the other member yet: the
    // other's requests need their responses.
    if (row == nullptr && !this->links.connected(to)) {
        if (const auto* open = std::get_if<open_attempt>(&message)) {
            this->core.data().in.undelivered.push_back(open->id);
            this->schedule_tick();
        }
        return;
    }
    this->links.send(
        to, row == nullptr ? link_address{} : link_address{row->info.address, row->info.port},
        message);
}

void daemon::receive(const vm_id& from, link_message message)
{
    if (const auto* credit = std::get_if<data_credit>(&message)) {
        this->calls.credit(*credit);
        return;
    }
    const bool data = std::holds_alternative<attempt_data>(message);
    this->core.receive(from, std::move(message));
    // Data frames are forwarded at once; only messages that need a decision schedule a tick.
    if (!data || !this->core.data().in.ended.empty()) this->schedule_tick();
}

void daemon::accept_request(accepted_request accepted)
{
    const instant time = now();
    if (!this->shutdown.serves(time, accepted.row.deadline)) {
        this->refuse_late(accepted.row, time);
        return;
    }
    this->streams[accepted.row.id] = accepted.stream;
    this->core.data().in.arrivals.push_back(std::move(accepted.row));
    this->schedule_tick();
}

/** Refuses a request that the end of this VM's stop could cut off. */
void daemon::refuse_late(const request_row& row, instant time)
{
    const auto until = [time](instant end) { return (end - time) / milliseconds(1); };
    log_event(log_level::info, "stop_refused",
              {{"request", row.request_id},
               {"stopping_ms", this->shutdown.elapsed(time) / milliseconds(1)},
               {"left_ms", until(this->shutdown.requests_end_at())},
               {"deadline_ms", until(row.deadline)}});
    this->telemetry.count("worksshift_stop_refused_total");
    fail_request failure = make_stop_error();
    failure.request = row.id;
    failure.peer = this->options.vm.text;
    failure.retry_after_ms = stop_retry_after_ms;
    this->front.fail(failure);
}

void daemon::return_credit(std::uint64_t request, std::uint32_t bytes)
{
    std::uint32_t& drained = this->credits[request];
    drained += bytes;
    if (drained < min_credit_bytes) return;
    const auto binding = this->core.responses().find_binding(request);
    if (!binding) return;
    this->send(binding->second, data_credit{binding->first, drained});
    drained = 0;
}

void daemon::start_discovery()
{
    for (const link_address& peer : this->options.peers) {
        this->core.members().add_seed(peer.address, peer.port);
    }
    this->list_vms();
    this->watch_timer.start_once(duration::zero());
}

void daemon::list_vms()
{
    if (this->core.members().members().empty()) {
        for (const link_address& peer : this->options.peers) {
            this->core.members().add_seed(peer.address, peer.port);
        }
    }
    const bool needed = this->core.members().members().empty() || is_watcher(this->core.members());
    if (!needed) return;
    this->platform.list_vms([this](const std::optional<std::vector<listed_vm>>& list) {
        if (!list) return;
        this->core.members().merge_list(*list, now());
        this->schedule_tick();
    });
}

void daemon::watch_config()
{
    if (this->watch_in_flight || this->shutdown.stopping()) return;
    const bool first = this->core.config().revision() == 0;
    if (!first && !is_watcher(this->core.members())) {
        this->watch_timer.start_once(seconds(1));
        return;
    }
    this->watch_in_flight = true;
    this->platform.watch(manifest_object, this->manifest_version,
                         [this](const object_result& result) {
                             this->watch_in_flight = false;
                             this->handle_manifest(result);
                         });
}

void daemon::handle_manifest(const object_result& result)
{
    const bool newer = result.status == object_status::ok;
    // When a whole fleet starts at once, hundreds of VMs see the manifest before they know their
    // peers. Only watchers read the shards; the others fetch them from the watchers.
    const bool fetched_by_watchers = newer && !is_watcher(this->core.members());
    this->watch_timer.start_once(newer && !fetched_by_watchers ? duration::zero() : watch_interval);
    if (result.status == object_status::failed && this->core.config().revision() == 0) {
        log_event(log_level::warn, "waiting_for_config",
                  {{"step", "watch manifest"}, {"peer", "platform"}});
    }
    if (!newer || fetched_by_watchers) return;
    this->manifest_version = result.version;
    parsed_manifest manifest;
    try {
        manifest = parse_manifest(result.value);
    } catch (const user_error& fault) {
        log_event(log_level::error, "manifest_invalid",
                  {{"step", fault.step}, {"path", fault.peer}, {"why", fault.what()}});
        return;
    }
    if (manifest.revision < this->core.config().revision()) {
        log_event(log_level::error, "platform_shows_lower_revision",
                  {{"platform", manifest.revision}, {"in_force", this->core.config().revision()}});
    }
    this->fetcher.fetch(result.value, manifest,
                        [this](const std::optional<config_documents>& documents) {
                            if (!documents) {
                                this->manifest_version = 0; // so that the watch returns it again
                                return;
                            }
                            this->core.offer(*documents);
                            this->schedule_tick();
                        });
}

void daemon::poll_loads()
{
    for (const auto& [id, gate] : this->core.data().gates) {
        if (gate.is_first_ranked) this->poll_load(gate);
    }
}

void daemon::poll_load(const gate_row& gate)
{
    const auto server = this->core.data().servers.find(gate.server);
    if (server == this->core.data().servers.end()) return;
    const service_row& service = this->core.data().services.at(server->second.service);
    if (service.config.kind != service_kind::chat) return;
    load_report report;
    report.server = gate.server;
    report.sent = now();
    report.own_running_at_request = static_cast<std::uint32_t>(gate.running.size());
    this->engines.request_load_report(server->second.config, report, [this](load_report completed) {
        this->core.data().in.load_reports.push_back(std::move(completed));
        this->schedule_tick();
    });
}

void daemon::stop()
{
    if (this->shutdown.stopping()) {
        log_event(log_level::warn, "second_stop_signal",
                  {{"requests", this->front.size()}, {"calls", this->calls.size()}});
        this->exit_status = 1;
        event_base_loopbreak(this->base.get());
        return;
    }
    this->shutdown.begin(now());
    log_event(log_level::info, "stopping",
              {{"requests", this->front.size()}, {"calls", this->calls.size()}});
    this->front.set_leaving();
    this->core.leave();
    this->schedule_tick();
}

void daemon::continue_stop(instant time)
{
    // The load balancer keeps sending requests for a while after /healthz fails; they are served.
    const bool accepting = this->shutdown.accepts_connections(time);
    if (!accepting) this->front.close();
    if (time >= this->shutdown.requests_end_at()) this->end_requests();
    const bool idle = this->core.idle() && this->front.size() == 0 && this->calls.size() == 0;
    if (accepting || !idle) this->busy_at = time;
    const bool flushed = time - this->busy_at >= flush_time;
    if (!flushed && time < this->shutdown.exit_at()) return;
    if (!idle) {
        log_event(log_level::error, "stop_deadline",
                  {{"requests", this->front.size()}, {"calls", this->calls.size()}});
        this->exit_status = 1;
    }
    event_base_loopbreak(this->base.get());
}

/** Answers what is still in progress shortly before the stop deadline. */
void daemon::end_requests()
{
    const std::size_t ended = this->core.end_requests();
    if (ended == 0) return;
    log_event(log_level::error, "stop_deadline",
              {{"requests", ended}, {"calls", this->calls.size()}});
    this->exit_status = 1;
    this->schedule_tick();
}

std::string daemon::format_metrics() const
{
    const node_counters& counts = this->core.data().counters;
    std::ostringstream out;
    out << "worksshift_admitted_total " << counts.admitted << '\n'
        << "worksshift_queued_total " << counts.queued << '\n'
        << "worksshift_redirected_total " << counts.redirected << '\n'
        << "worksshift_refused_total " << counts.refused << '\n'
        << "worksshift_retried_total " << counts.retried << '\n'
        << "worksshift_resumed_total " << counts.resumed << '\n'
        << "worksshift_orders_given_total " << counts.orders_given << '\n'
        << "worksshift_orders_refused_total " << counts.orders_refused << '\n'
        << "worksshift_over_account_rate_total " << counts.over_account_rate << '\n'
        << "worksshift_chats " << this->core.data().chats.size() << '\n'
        << "worksshift_gossip_bytes_total " << this->gossip.counters().bytes_sent << '\n'
        << "worksshift_gossip_shed_total " << this->gossip.counters().datagrams_shed << '\n'
        << "worksshift_gossip_refused_total " << this->gossip.counters().datagrams_refused << '\n'
        << "worksshift_link_control_bytes_total " << this->links.counters().control_bytes_sent
        << '\n'
        << "worksshift_link_bytes_total " << this->links.counters().bytes_sent << '\n'
        << "worksshift_link_refused_total " << this->links.counters().frames_refused << '\n'
        << "worksshift_connections_closed_for_room_total " << this->front.closed_for_room() << '\n'
        << "worksshift_internal_connections_closed_total " << this->admin->closed_for_room() << '\n'
        << "worksshift_malformed_responses_total{from=\"server\"} "
        << this->calls.malformed_responses() << '\n'
        << "worksshift_malformed_responses_total{from=\"other\"} "
        << this->http.malformed_responses() << '\n'
        << "worksshift_platform_calls_total " << this->platform.calls() << '\n'
        << "worksshift_config_revision " << this->published_revision << '\n';
    this->memory.write_metrics(out);
    return out.str();
}

} // namespace worksshift
