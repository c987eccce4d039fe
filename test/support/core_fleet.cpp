#include "support/core_fleet.h"

#include <algorithm>

#include "codec.h"

namespace support {

namespace {

using namespace worksshift;

constexpr std::uint64_t first_unix_s = 1'700'000'000;
constexpr duration refusal_delay = milliseconds(20);
constexpr duration platform_delay = milliseconds(5);
/** One of so many gossip datagrams is encoded, to estimate the bytes of all. */
constexpr std::uint64_t size_sample_interval = 64;

authenticator& keys()
{
    static authenticator instance("a-fleet-key-for-tests-only");
    return instance;
}

} // namespace

std::string piece_text(const std::string& request_id, std::uint32_t piece)
{
    return "data: " + request_id + "." + std::to_string(piece) + "\n\n";
}

core_options target_fleet_options()
{
    core_options options;
    options.nodes = 480;
    options.servers = 1400;
    options.data_centres = 13;
    options.regions = 5;
    options.models = 110;
    return options;
}

core_fleet::core_fleet(const core_options& settings) : options(settings), random(options.seed)
{
    this->clock = instant{} + std::chrono::hours(1);
    this->current.revision = 1;
    for (std::size_t m = 0; m < this->options.models; ++m) {
        service_config service;
        service.id.text = "model-" + std::to_string(m);
        service.bound = this->options.bound;
        if (this->options.plain) {
            service.kind = service_kind::plain;
            service.path_prefix = "/" + service.id.text;
        }
        this->current.services.push_back(service);
    }
    for (std::size_t i = 0; i < this->options.servers; ++i) {
        server_config server;
        server.id.text = "server-" + std::to_string(i);
        server.data_centre.text = this->data_centre_of(i);
        server.address = "127.0.0.1";
        server.port = static_cast<std::uint16_t>(1 + i);
        server.limit = this->options.limit;
        this->current.services[i % this->options.models].servers.push_back(server);
        this->servers[server.id.text].id = server.id.text;
    }
    std::vector<account_config> accounts;
    for (std::uint32_t i = 0; i < this->options.accounts; ++i) {
        account_config account;
        account.id.text = "acc-" + std::to_string(i);
        account.key_sha256 = std::string(56, '0') + std::to_string(10'000'000 + i);
        accounts.push_back(account);
    }
    this->current.accounts.assign(std::move(accounts));
    this->vms.resize(this->options.nodes);
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        member_update& self = this->vms[i].self;
        self.vm.text = "vm-" + std::to_string(i);
        self.data_centre.text = "dc-" + std::to_string(i % this->options.data_centres);
        self.address = "127.0.0.1";
        self.port = static_cast<std::uint16_t>(1000 + i);
        self.incarnation = 1;
    }
    for (std::size_t i = 0; i < this->vms.size(); ++i)
        this->build_node(i);
}

/** All servers of one service are in one region, distributed round robin over its data centres. */
std::string core_fleet::data_centre_of(std::size_t server) const
{
    const std::size_t centres = this->options.data_centres;
    if (this->options.regions == 0) return "dc-" + std::to_string(server % centres);
    const std::size_t region = (server % this->options.models) % this->options.regions;
    const std::size_t in_region =
        centres / this->options.regions + (region < centres % this->options.regions ? 1 : 0);
    const std::size_t turn = (server / this->options.models) % in_region;
    return "dc-" + std::to_string(region + turn * this->options.regions);
}

void core_fleet::build_node(std::size_t index)
{
    vm& item = this->vms[index];
    ++item.vm_incarnation;
    ++item.self.incarnation;
    item.up = true;
    item.requests.clear();
    item.held.clear();
    item.paused_until = {};
    item.tick_due = false;
    item.core = std::make_unique<node>(item.self, this->options.settings, membership_settings{},
                                       this->random(), this->random());
    std::vector<listed_vm> list;
    list.reserve(this->vms.size());
    for (const vm& other : this->vms)
        list.push_back({other.self, false});
    item.core->members().merge_list(list, this->clock);
    item.core->offer(write_fleet_config(this->current));
    item.core->responses().on_data.connect([this, index](std::uint64_t id, std::string_view bytes) {
        const auto found = this->vms[index].requests.find(id);
        if (found != this->vms[index].requests.end()) this->results[found->second].text += bytes;
    });
    const std::uint64_t vm_incarnation = item.vm_incarnation;
    const auto jitter = milliseconds(this->random() % 250);
    this->at(this->clock + jitter,
             [this, index, vm_incarnation] { this->heartbeat(index, vm_incarnation); });
    this->at(this->clock + jitter,
             [this, index, vm_incarnation] { this->report_loads(index, vm_incarnation); });
}

void core_fleet::at(instant when, std::function<void()> action)
{
    this->events.push({when, this->orders++, std::move(action)});
}

/** Runs an action of a node, now or after its pause, unless the node has been killed since. */
void core_fleet::for_vm(std::size_t index, std::uint64_t vm_incarnation,
                        const std::function<void()>& action)
{
    vm& item = this->vms[index];
    if (!item.up || item.vm_incarnation != vm_incarnation) return;
    if (item.paused_until > this->clock) {
        item.held.push_back(action);
        return;
    }
    action();
}

void core_fleet::run_for(duration span)
{
    const instant until = this->clock + span;
    while (!this->events.empty() && this->events.top().at <= until) {
        const event next = this->events.top();
        this->events.pop();
        this->clock = std::max(this->clock, next.at);
        next.action();
    }
    this->clock = until;
}

std::uint64_t core_fleet::unix_now() const
{
    const auto since = std::chrono::duration_cast<seconds>(this->clock.time_since_epoch());
    return first_unix_s + static_cast<std::uint64_t>(since.count());
}

std::size_t core_fleet::index_of(const vm_id& name) const
{
    return std::stoul(name.text.substr(3));
}

bool core_fleet::reachable(std::size_t a, std::size_t b) const
{
    return !this->cuts.contains({std::min(a, b), std::max(a, b)});
}

void core_fleet::heartbeat(std::size_t index, std::uint64_t vm_incarnation)
{
    if (!this->vms[index].up || this->vms[index].vm_incarnation != vm_incarnation) return;
    this->at(this->clock + this->options.heartbeat,
             [this, index, vm_incarnation] { this->heartbeat(index, vm_incarnation); });
    if (this->vms[index].paused_until <= this->clock) this->tick(index);
}

void core_fleet::schedule_tick(std::size_t index)
{
    vm& item = this->vms[index];
    if (item.tick_due) return;
    item.tick_due = true;
    const std::uint64_t vm_incarnation = item.vm_incarnation;
    this->at(this->clock, [this, index, vm_incarnation] {
        this->for_vm(index, vm_incarnation, [this, index] { this->tick(index); });
    });
}

void core_fleet::tick(std::size_t index)
{
    vm& item = this->vms[index];
    item.tick_due = false;
    item.core->tick({this->clock, this->unix_now()});
    for (const action& next : item.core->take_actions())
        this->carry_out(index, next);
    for (const outgoing_gossip& next : item.core->members().take_datagrams())
        this->send_gossip(index, next);
}

void core_fleet::finish(std::size_t index, std::uint64_t request, ending how)
{
    // As in the daemon, also if the caller has disconnected.
    this->vms[index].core->responses().release(request);
    const auto found = this->vms[index].requests.find(request);
    if (found == this->vms[index].requests.end()) return;
    core_result& result = this->results[found->second];
    result.end = how;
    result.ended = this->clock;
    ++result.endings;
    this->vms[index].requests.erase(found);
}

void core_fleet::carry_out(std::size_t index, const action& item)
{
    std::visit(
        [&]<class Order>(const Order& order) {
            if constexpr (std::is_same_v<Order, send_message>) {
                this->send(index, order.to, order.message);
            } else if constexpr (std::is_same_v<Order, start_call>) {
                this->start_run(index, order);
            } else if constexpr (std::is_same_v<Order, cancel_call>) {
                this->cancel_run(index, order.id);
            } else if constexpr (std::is_same_v<Order, bind_attempt>) {
                this->vms[index].core->responses().bind(order.request, order.id, order.gate, true);
            } else if constexpr (std::is_same_v<Order, complete_request>) {
                this->finish(index, order.request, ending::complete);
            } else if constexpr (std::is_same_v<Order, replay_request>) {
                this->finish(index, order.request, ending::replayed);
            } else if constexpr (std::is_same_v<Order, fail_request>) {
                const auto found = this->vms[index].requests.find(order.request);
                if (found != this->vms[index].requests.end()) {
                    this->results[found->second].retry_after_ms = order.retry_after_ms;
                }
                this->finish(index, order.request,
                             order.result == outcome::not_run ? ending::not_run : ending::unknown);
            } else if constexpr (std::is_same_v<Order, drop_request>) {
                this->vms[index].core->responses().release(order.request);
            } else if constexpr (std::is_same_v<Order, object_call>) {
                this->run_object_call(index, order);
            } else if constexpr (std::is_same_v<Order, start_order>) {
                this->send_order(index, order);
            }
        },
        item);
}

void core_fleet::send(std::size_t from, const vm_id& to, link_message message)
{
    const std::size_t target = this->index_of(to);
    ++this->link_messages;
    if (std::holds_alternative<open_attempt>(message)) ++this->hops;
    if (target == from) {
        this->vms[from].core->receive(to, std::move(message));
        this->schedule_tick(from);
        return;
    }
    const std::uint64_t own_incarnation = this->vms[from].vm_incarnation;
    const auto refused = [this, from, own_incarnation](const link_message& lost) {
        const auto* open = std::get_if<open_attempt>(&lost);
        if (open == nullptr) return;
        const attempt_id id = open->id;
        this->at(this->clock + refusal_delay, [this, from, own_incarnation, id] {
            this->for_vm(from, own_incarnation, [this, from, id] {
                this->vms[from].core->data().in.undelivered.push_back(id);
                this->schedule_tick(from);
            });
        });
    };
    if (!this->vms[target].up || !this->reachable(from, target)) {
        refused(message);
        return;
    }
    const std::uint64_t vm_incarnation = this->vms[target].vm_incarnation;
    const auto jitter = std::chrono::microseconds(this->random() % 500);
    instant& last = this->last_arrival[{from, target}];
    last = std::max(last, this->clock + this->options.link_delay + jitter);
    const vm_id sender = this->vms[from].self.vm;
    const std::uint64_t epoch = this->link_epochs[{std::min(from, target), std::max(from, target)}];
    this->at(last, [this, from, target, vm_incarnation, sender, own_incarnation, epoch,
                    message = std::move(message)] {
        // Messages in flight are lost if the sender was killed or the link was cut.
        const auto pair = std::pair{std::min(from, target), std::max(from, target)};
        const bool arrives = epoch == this->link_epochs[pair] && this->reachable(from, target) &&
                             this->vms[from].vm_incarnation == own_incarnation &&
                             this->vms[from].up;
        if (!arrives) return;
        this->for_vm(target, vm_incarnation, [this, target, sender, message] {
            this->vms[target].core->receive(sender, message);
            this->schedule_tick(target);
        });
    });
}

void core_fleet::send_gossip(std::size_t from, const outgoing_gossip& item)
{
    ++this->gossip_datagrams;
    if (this->gossip_datagrams % size_sample_interval == 0) {
        const auto bytes = write_datagram(keys(), item.message);
        const std::uint64_t size = (bytes ? bytes->size() : 0) * size_sample_interval;
        this->gossip_bytes += size;
        constexpr std::array names{"ping", "ack", "ping_request", "notice"};
        this->gossip_by_kind[names[item.message.body.index()]] += size;
    }
    if (item.to.empty()) return;
    const std::size_t target = this->index_of(item.to);
    const bool lost =
        std::uniform_real_distribution<>(0, 1)(this->random) < this->options.gossip_loss;
    const bool dropped =
        this->gossip_cuts.contains({std::min(from, target), std::max(from, target)});
    if (lost || dropped || !this->vms[target].up || !this->reachable(from, target)) return;
    const std::uint64_t vm_incarnation = this->vms[target].vm_incarnation;
    this->at(this->clock + this->options.link_delay,
             [this, target, vm_incarnation, message = item.message] {
                 this->for_vm(target, vm_incarnation, [this, target, message] {
                     this->vms[target].core->receive(message, this->clock);
                     this->schedule_tick(target);
                 });
             });
}

std::size_t core_fleet::submit(std::size_t node_index, const core_request& request)
{
    vm& item = this->vms[node_index];
    core_result result;
    result.request = request;
    result.request_id = "r" + std::to_string(this->next_request);
    result.sent = this->clock;
    for (std::uint32_t i = 0; i < this->options.pieces; ++i) {
        result.expected += piece_text(result.request_id, i);
    }
    request_row row;
    row.id = this->next_request++;
    row.request_id = result.request_id;
    row.service.text = request.service.empty() ? "model-0" : request.service;
    row.account.text = request.account;
    row.chat = chat_key{request.chat};
    row.returning = request.returning;
    row.idempotent = request.idempotent;
    if (!request.claim_key.empty()) row.claim_key = request.account + "/" + request.claim_key;
    row.urgency = request.urgency;
    row.deadline = this->clock + request.deadline;
    row.cost = request.cost;
    row.payload = std::make_shared<const request_payload>();
    this->results.push_back(std::move(result));
    const std::size_t index = this->results.size() - 1;
    this->by_request_id[row.request_id] = index;
    item.requests[row.id] = index;
    const std::uint64_t vm_incarnation = item.vm_incarnation;
    this->for_vm(node_index, vm_incarnation, [this, node_index, row] {
        this->vms[node_index].core->data().in.arrivals.push_back(row);
        this->schedule_tick(node_index);
    });
    return index;
}

void core_fleet::disconnect_caller(std::size_t result)
{
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        const auto found = std::ranges::find(this->vms[i].requests, result,
                                             [](const auto& entry) { return entry.second; });
        if (found == this->vms[i].requests.end() || !this->vms[i].up) continue;
        const std::uint64_t request = found->first;
        this->finish(i, request, ending::gone);
        this->for_vm(i, this->vms[i].vm_incarnation, [this, i, request] {
            this->vms[i].core->data().in.disconnects.push_back(request);
            this->schedule_tick(i);
        });
        return;
    }
}

void core_server::use_cache(const core_request& request, std::size_t capacity)
{
    if (capacity == 0) return;
    this->prompt_tokens += request.prompt_tokens;
    auto& entry = this->cache[request.chat];
    if (entry.second > 0) {
        this->reused_tokens += std::min(entry.second, request.prompt_tokens - request.new_tokens);
        this->by_use.erase(entry.first);
        this->cache_used -= entry.second;
    }
    entry = {++this->uses, request.prompt_tokens};
    this->by_use[entry.first] = request.chat;
    this->cache_used += entry.second;
    while (this->cache_used > capacity && this->by_use.size() > 1) {
        const auto oldest = this->by_use.begin();
        const auto victim = this->cache.find(oldest->second);
        this->cache_used -= victim->second.second;
        this->cache.erase(victim);
        this->by_use.erase(oldest);
    }
}

void admission_stats::add(double load_before, double mean_after, double bound)
{
    ++this->admissions;
    if (load_before >= bound * mean_after) ++this->over_bound;
    this->worst_ratio = std::max(this->worst_ratio, load_before / mean_after);
}

void core_fleet::note_admission(const core_server& server, const service_id& service,
                                std::uint32_t cost)
{
    const service_config* config = this->current.find_service(service);
    double total = cost;
    std::size_t count = 0;
    for (const server_config& item : config->servers) {
        const core_server& row = this->servers.at(item.id.text);
        total += static_cast<double>(row.cost);
        if (row.up && !item.draining) ++count;
    }
    this->admissions.add(static_cast<double>(server.cost),
                         total / static_cast<double>(std::max<std::size_t>(1, count)),
                         config->bound);
}

void core_fleet::start_run(std::size_t gate, const start_call& order)
{
    core_server& server = this->servers[order.server.id.text];
    const attempt_id id = order.request->id;
    const std::uint64_t vm_incarnation = this->vms[gate].vm_incarnation;
    const bool refuses = std::exchange(server.refuse_next, false);
    if (!server.up || refuses) {
        const bool up = server.up;
        this->at(this->clock + refusal_delay, [this, gate, vm_incarnation, id, up] {
            this->for_vm(gate, vm_incarnation, [this, gate, id, up] {
                this->vms[gate].core->data().in.calls_ended.push_back(
                    {id, outcome::not_run, !up, up ? "server" : "connect", ""});
                this->schedule_tick(gate);
            });
        });
        return;
    }
    if (!order.version.empty()) server.versions_run.insert(order.version);
    const std::size_t result_index = this->by_request_id.at(order.request->request_id);
    core_result& result = this->results[result_index];
    ++result.runs;
    result.was_sent = true;
    if (result.started == instant{}) result.started = this->clock;
    auto item = std::make_shared<run>();
    item->server = server.id;
    item->gate = gate;
    item->gate_incarnation = vm_incarnation;
    item->cost = order.request->cost;
    item->result = result_index;
    this->runs[id] = item;
    if (this->tally_admissions) {
        this->note_admission(server, order.request->service, item->cost);
    }
    ++server.running;
    server.peak = std::max(server.peak, server.running);
    server.cost += item->cost;
    server.use_cache(result.request, this->options.cache_tokens);
    attempt_head head;
    head.id = id;
    head.server = order.server.id;
    head.status = 200;
    head.version = order.version;
    const auto per_piece =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
            this->options.ms_per_cost * item->cost / this->options.pieces));
    const bool crash = std::exchange(server.crash_next, false);
    this->send(gate, order.entry, head);
    const std::uint32_t first = order.request->resume_from;
    for (std::uint32_t piece = first; piece < this->options.pieces; ++piece) {
        const instant when = this->clock + per_piece * (piece - first + 1);
        if (crash && piece == first + 1) {
            this->at(when, [this, item, id] { this->end_run(item, id, outcome::unknown, true); });
            return;
        }
        this->at(when, [this, item, order, piece] { this->send_piece(item, order, piece); });
    }
    const instant end = this->clock + per_piece * (this->options.pieces - first);
    this->at(end, [this, item, id] { this->end_run(item, id, outcome::done, false); });
}

void core_fleet::send_piece(const std::shared_ptr<run>& item, const start_call& order,
                            std::uint32_t piece)
{
    if (item->over) return;
    this->for_vm(item->gate, item->gate_incarnation, [this, item, order, piece] {
        attempt_data data;
        data.id = order.request->id;
        data.sequence = item->pieces_sent++;
        data.bytes = piece_text(order.request->request_id, piece);
        this->send(item->gate, order.entry, data);
    });
}

void core_fleet::end_run(const std::shared_ptr<run>& item, const attempt_id& id, outcome result,
                         bool fault)
{
    if (item->over) return;
    item->over = true;
    core_server& server = this->servers[item->server];
    --server.running;
    server.cost -= item->cost;
    this->runs.erase(id);
    this->for_vm(item->gate, item->gate_incarnation, [this, item, id, result, fault] {
        tables& t = this->vms[item->gate].core->data();
        const auto gate = t.gates.find({item->server});
        if (gate != t.gates.end()) {
            const auto running = gate->second.running.find(id);
            if (running != gate->second.running.end()) {
                attempt_ended end;
                end.id = id;
                end.result = result;
                end.sequence = item->pieces_sent;
                this->send(item->gate, running->second.entry, end);
            }
        }
        t.in.calls_ended.push_back({id, result, fault, "read", ""});
        this->schedule_tick(item->gate);
    });
}

void core_fleet::cancel_run(std::size_t gate, const attempt_id& id)
{
    const auto found = this->runs.find(id);
    if (found != this->runs.end()) {
        const auto item = found->second;
        item->over = true;
        core_server& server = this->servers[item->server];
        --server.running;
        server.cost -= item->cost;
        this->runs.erase(found);
    }
    this->vms[gate].core->data().in.calls_ended.push_back(
        {id, outcome::unknown, false, "cancel", ""});
    this->schedule_tick(gate);
}

void core_fleet::run_object_call(std::size_t index, const object_call& call)
{
    ++this->platform_calls;
    if (call.write) {
        ++this->platform_writes;
        this->platform_bytes_written += call.value.size();
    }
    const std::uint64_t vm_incarnation = this->vms[index].vm_incarnation;
    object_result result;
    result.id = call.id;
    if (this->platform_up && !this->platform_cuts.contains(index)) {
        object& item = this->objects[call.name];
        if (call.write && item.version != call.expected_version) {
            result.status = object_status::conflict;
        } else if (call.write) {
            item = {++this->last_version, call.value};
            result.status = object_status::ok;
            result.version = item.version;
            if (this->lost_responses > 0) {
                --this->lost_responses;
                result.status = object_status::failed;
            }
        } else if (item.version == 0) {
            result.status = object_status::missing;
        } else {
            result.status = object_status::ok;
            result.version = item.version;
            result.value = item.value;
        }
    }
    this->at(this->clock + platform_delay, [this, index, vm_incarnation, result] {
        this->for_vm(index, vm_incarnation, [this, index, result] {
            this->vms[index].core->data().in.object_results.push_back(result);
            this->schedule_tick(index);
        });
    });
}

void core_fleet::report_loads(std::size_t index, std::uint64_t vm_incarnation)
{
    if (!this->vms[index].up || this->vms[index].vm_incarnation != vm_incarnation) return;
    this->at(this->clock + this->options.report_period,
             [this, index, vm_incarnation] { this->report_loads(index, vm_incarnation); });
    if (this->vms[index].paused_until > this->clock) return;
    for (const auto& [id, gate] : this->vms[index].core->data().gates) {
        if (!gate.is_first_ranked) continue;
        load_report report;
        report.server = id;
        report.running = this->servers[id.text].running;
        report.sent = this->clock;
        report.own_running_at_request = static_cast<std::uint32_t>(gate.running.size());
        const core_server& server = this->servers[id.text];
        if (server.reports_versions) {
            report.versions.versions_reported = true;
            report.versions.loaded.assign(server.loaded.begin(), server.loaded.end());
            report.versions.loading.assign(server.loading.begin(), server.loading.end());
        }
        this->at(this->clock + this->options.report_delay, [this, index, vm_incarnation, report] {
            this->for_vm(index, vm_incarnation, [this, index, report] {
                this->vms[index].core->data().in.load_reports.push_back(report);
                this->schedule_tick(index);
            });
        });
    }
}

/** An order that was sent arrives even if its node is killed. */
void core_fleet::send_order(std::size_t index, const start_order& order)
{
    const std::uint64_t vm_incarnation = this->vms[index].vm_incarnation;
    this->orders_given.push_back({this->clock, index, vm_incarnation, order.fence, order.kind});
    const auto most = static_cast<std::uint64_t>(this->order_delay.count());
    const duration delay(static_cast<duration::rep>(this->random() % (most + 1)));
    this->at(this->clock + delay, [this, index, vm_incarnation, order] {
        this->take_order(index, vm_incarnation, order);
    });
}

void core_fleet::take_order(std::size_t index, std::uint64_t vm_incarnation,
                            const start_order& order)
{
    core_server& server = this->servers[order.server.id.text];
    order_result ended{order.server.id, true, 0};
    if (server.checks_fence && order.fence < server.fence) {
        ended = {order.server.id, false, server.fence};
    } else {
        server.fence = std::max(server.fence, order.fence);
        server.accepted_fences.push_back(order.fence);
        if (order.kind == order_kind::unload) {
            server.loaded.erase(order.version);
        } else if (!server.loaded.contains(order.version)) {
            server.loading.insert(order.version);
            this->at(this->clock + this->load_time, [&server, version = order.version] {
                server.loading.erase(version);
                server.loaded.insert(version);
            });
        }
    }
    const auto loading = std::ranges::count_if(
        this->servers, [](const auto& entry) { return !entry.second.loading.empty(); });
    this->max_loading_engines =
        std::max(this->max_loading_engines, static_cast<std::size_t>(loading));
    this->for_vm(index, vm_incarnation, [this, index, ended] {
        this->vms[index].core->data().in.order_results.push_back(ended);
        this->schedule_tick(index);
    });
}

void core_fleet::restore_backup()
{
    this->objects = this->backup;
    for (auto& [name, item] : this->objects)
        item.version = ++this->last_version;
}

void core_fleet::kill(std::size_t index)
{
    vm& item = this->vms[index];
    if (!item.up) return;
    item.up = false;
    for (const auto& [id, result] : item.requests) {
        this->results[result].end = ending::gone;
        ++this->results[result].endings;
    }
    item.requests.clear();
    std::vector<attempt_id> own;
    for (const auto& [id, entry] : this->runs) {
        if (entry->gate == index) own.push_back(id);
    }
    for (const attempt_id& id : own) {
        const auto entry = this->runs.at(id);
        entry->over = true;
        core_server& server = this->servers[entry->server];
        --server.running;
        server.cost -= entry->cost;
        this->runs.erase(id);
    }
    for (std::size_t other = 0; other < this->vms.size(); ++other) {
        if (other == index) continue;
        const std::uint64_t vm_incarnation = this->vms[other].vm_incarnation;
        const vm_id dead = item.self.vm;
        this->at(this->clock + this->options.link_delay, [this, other, vm_incarnation, dead] {
            this->for_vm(other, vm_incarnation, [this, other, dead] {
                this->vms[other].core->handle_peer_loss(dead);
                this->schedule_tick(other);
            });
        });
    }
}

void core_fleet::restart(std::size_t index)
{
    this->kill(index);
    this->build_node(index);
}

void core_fleet::leave(std::size_t index)
{
    this->vms[index].core->leave();
    this->schedule_tick(index);
}

void core_fleet::pause(std::size_t index, duration span)
{
    vm& item = this->vms[index];
    item.paused_until = this->clock + span;
    const std::uint64_t vm_incarnation = item.vm_incarnation;
    this->at(item.paused_until, [this, index, vm_incarnation] {
        vm& woken = this->vms[index];
        if (!woken.up || woken.vm_incarnation != vm_incarnation || woken.paused_until > this->clock)
            return;
        for (const auto& action : std::exchange(woken.held, {}))
            action();
        this->schedule_tick(index);
    });
}

void core_fleet::cut(std::size_t a, std::size_t b)
{
    if (a != b) this->cuts.insert({std::min(a, b), std::max(a, b)});
}

void core_fleet::cut_gossip(std::size_t a, std::size_t b)
{
    if (a != b) this->gossip_cuts.insert({std::min(a, b), std::max(a, b)});
}

void core_fleet::heal()
{
    this->gossip_cuts.clear();
    this->platform_cuts.clear();
    // The end of a partition breaks the link, as a TCP time-out would in a long partition.
    for (const auto& [a, b] : std::exchange(this->cuts, {}))
        this->break_link(a, b);
}

void core_fleet::break_link(std::size_t a, std::size_t b)
{
    if (a == b) return;
    ++this->link_epochs[{std::min(a, b), std::max(a, b)}];
    for (const auto& [one, other] : {std::pair{a, b}, std::pair{b, a}}) {
        if (!this->vms[one].up) continue;
        const std::uint64_t vm_incarnation = this->vms[one].vm_incarnation;
        const vm_id peer = this->vms[other].self.vm;
        const std::size_t self = one;
        this->for_vm(self, vm_incarnation, [this, self, peer] {
            this->vms[self].core->handle_peer_loss(peer);
            this->schedule_tick(self);
        });
    }
}

void core_fleet::change_config(const std::function<void(fleet_config&)>& change,
                               std::size_t node_index)
{
    ++this->current.revision;
    change(this->current);
    this->vms[node_index].core->offer(write_fleet_config(this->current));
    this->schedule_tick(node_index);
}

} // namespace support
