#include "support/limited_fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace support {

using namespace worksshift;

namespace {

constexpr duration step_span = milliseconds(25); ///< same as the tick of a router
/** Interval of the decisions that a router makes every 100 ms; longer in large fleets to save time.
 */
constexpr duration update_period = milliseconds(100);
constexpr duration large_update_period = milliseconds(300);
constexpr std::size_t large_fleet = 200; ///< VMs
constexpr duration hop_time = milliseconds(1);
constexpr duration start_time = milliseconds(50);       ///< until a process knows the servers
constexpr duration max_limits_wait = milliseconds(250); ///< of a process, once it knows the servers
constexpr duration server_restart_time = seconds(3);
constexpr duration caller_retry_after = milliseconds(400);
constexpr duration leave_after = milliseconds(100);     ///< callers who leave do so then
constexpr duration silence_timeout = milliseconds(700); ///< of a request at an engine
constexpr duration settled_after = seconds(3);          ///< the last disturbance of a VM
constexpr unsigned max_sends = 4;
constexpr std::size_t prompts = 200;                     ///< different ones, for engines
constexpr duration first_event_after = milliseconds(80); ///< an engine has begun with a request
constexpr duration engine_objective = milliseconds(500); ///< for the first event
/** Spread (sigma) of the log-normal times at plain servers and at engines. */
constexpr double plain_work_spread = 0.5;
constexpr double engine_work_spread = 0.7;

const service_id& the_service()
{
    static const service_id service{"desk"};
    return service;
}

server_id name_of(std::size_t server)
{
    return {"server-" + std::to_string(server)};
}

std::uint32_t data_centre_hash(std::size_t data_centre)
{
    return static_cast<std::uint32_t>(data_centre) + 1; // as in digest_fleet
}

std::uint32_t short_hash(const server_entry& row)
{
    return static_cast<std::uint32_t>(row.hash);
}

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration to_duration(double span_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span_s));
}

} // namespace

limited_fleet::limited_fleet(const limited_fleet_options& options)
    : gossip(options.vms, options.data_centres, options.seed), options(options),
      random(options.seed), servers(options.servers), now(gossip.now)
{
    std::vector<double> popularity(prompts);
    for (std::size_t i = 0; i < prompts; ++i)
        popularity[i] = std::pow(static_cast<double>(i + 1), -options.prompt_skew);
    this->prompt_choice = {popularity.begin(), popularity.end()};
    this->gossip.servers = options.servers;
    for (std::size_t vm = 0; vm < options.vms; ++vm)
        this->start(vm);
    this->gossip.on_tick = [this](std::size_t vm) { this->update(vm); };
    this->gossip.describe = [this](std::size_t vm, local_state& state) {
        this->describe(vm, state);
    };
    this->gossip.on_digest = [this](std::size_t vm, const fleet_vm& from) {
        this->receive(vm, from);
    };
}

void limited_fleet::reset_counts()
{
    this->asked = 0;
    this->unserved = 0;
    this->rejections = 0;
    this->crashes = 0;
    this->crashes_by_settled_vms = 0;
}

void limited_fleet::start(std::size_t vm)
{
    const unsigned life = this->vms.contains(vm) ? this->vms.at(vm)->life + 1 : 0;
    this->gossip.start(vm);
    auto model = std::make_unique<vm_model>(this->gossip.data_centre_of(vm),
                                            static_cast<unsigned>(this->random()));
    model->life = life;
    model->serving_at = this->now + start_time;
    model->disturbed_at = this->now;
    this->fill_table(model->table);
    this->vms[vm] = std::move(model);
}

server_record limited_fleet::record_of(std::size_t server) const
{
    server_record record;
    record.id = name_of(server);
    record.service = the_service();
    record.data_centre.text = std::to_string(server % this->options.data_centres);
    record.slots = this->options.slots;
    return record;
}

void limited_fleet::fill_table(server_table& table) const
{
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        if (!this->servers[i].replaced) table.put(this->record_of(i), this->now);
    }
    service_traits traits;
    traits.engine = this->options.engines;
    table.set_traits(the_service(), traits);
    table.set_objective(the_service(), engine_objective);
}

void limited_fleet::stop(std::size_t vm)
{
    this->gossip.kill(vm);
    vm_model& model = *this->vms.at(vm);
    ++model.life;
    for (server& item : this->servers) {
        std::erase_if(item.running, [&](std::size_t id) {
            const request& running = this->requests[id];
            return running.sender == vm && running.life < model.life &&
                   std::uniform_real_distribution<>()(this->random) >= this->options.orphan_share;
        });
    }
    for (request& item : this->requests) {
        if (!item.ended && item.vm == vm && item.vm_life < model.life) this->end(item, false);
    }
}

void limited_fleet::restart(std::size_t vm, duration down)
{
    this->stop(vm);
    this->schedule(down, [this, vm] { this->start(vm); });
}

void limited_fleet::set_cut(std::size_t vm, bool cut)
{
    for (const auto& [other, model] : this->vms) {
        const std::pair<std::size_t, std::size_t> pair = std::minmax(vm, other);
        if (cut) {
            this->gossip.cut.insert(pair);
        } else if (!this->cut_vms.contains(other)) {
            this->gossip.cut.erase(pair);
        }
    }
    if (cut) {
        this->cut_vms.insert(vm);
    } else {
        this->cut_vms.erase(vm);
    }
    this->vms.at(vm)->disturbed_at = this->now;
}

void limited_fleet::suspend(std::size_t vm, duration span)
{
    this->set_cut(vm, true);
    this->vms.at(vm)->suspended_until = this->now + span;
    this->schedule(span, [this, vm] { this->set_cut(vm, false); });
}

bool limited_fleet::is_running(std::size_t vm) const
{
    return this->gossip.vms.contains(vm) && this->now >= this->vms.at(vm)->suspended_until;
}

/** Whether the VM knows the servers, and the limits or that nobody tells them. */
bool limited_fleet::is_serving(std::size_t vm) const
{
    const duration known_for = this->now - this->vms.at(vm)->serving_at;
    const bool informed = this->gossip.vms.at(vm).rounds.fleet().is_informed();
    return known_for >= duration::zero() && (informed || known_for > max_limits_wait);
}

bool limited_fleet::is_settled(std::size_t vm) const
{
    return this->is_running(vm) && !this->cut_vms.contains(vm) &&
           this->now - this->vms.at(vm)->disturbed_at >= settled_after;
}

void limited_fleet::schedule(duration after, std::function<void()> action)
{
    this->events.push({this->now + after, this->events_scheduled++, std::move(action)});
}

void limited_fleet::run(duration span)
{
    for (const instant end = this->now + span; this->now < end;) {
        const instant next = this->now + step_span;
        this->arrive(next);
        this->run_events(next);
        this->now = next;
        this->gossip.run(step_span);
    }
}

void limited_fleet::run_events(instant until)
{
    while (!this->events.empty() && this->events.top().at < until) {
        this->now = std::max(this->now, this->events.top().at);
        const std::function<void()> action = this->events.top().action;
        this->events.pop();
        action();
    }
}

/** Draws the arrivals of the step that ends at \p until. */
void limited_fleet::arrive(instant until)
{
    const double mean = this->options.requests_per_s * this->rate_multiple * as_seconds(step_span);
    std::poisson_distribution<std::size_t> arrivals(mean);
    std::uniform_int_distribution<duration::rep> offset(0, (until - this->now).count() - 1);
    for (std::size_t i = arrivals(this->random); i > 0; --i) {
        this->schedule(duration(offset(this->random)), [this] {
            request item;
            item.vm = this->any_serving_vm();
            item.prompt = 1 + this->choose_prompt();
            this->ask(std::move(item));
        });
    }
}

std::uint64_t limited_fleet::choose_prompt()
{
    if (this->options.prompt_skew > 0) return this->prompt_choice(this->random);
    return std::uniform_int_distribution<std::uint64_t>(0, prompts - 1)(this->random);
}

/** A random VM that takes requests. */
std::size_t limited_fleet::any_serving_vm()
{
    std::vector<std::size_t> serving;
    for (const auto& [vm, model] : this->vms) {
        if (this->is_running(vm) && this->is_serving(vm)) serving.push_back(vm);
    }
    if (serving.empty()) return this->vms.begin()->first;
    return serving[std::uniform_int_distribution<std::size_t>(0, serving.size() - 1)(this->random)];
}

void limited_fleet::ask(request item)
{
    item.sender = item.vm;
    item.vm_life = this->vms.at(item.vm)->life;
    this->requests.push_back(std::move(item));
    const std::size_t id = this->requests.size() - 1;
    if (this->is_running(this->requests[id].vm)) {
        this->dispatch(id);
    } else {
        this->end(this->requests[id], false);
    }
}

void limited_fleet::end(request& item, bool served)
{
    if (item.ended) return;
    item.ended = true;
    ++this->asked;
    if (!served) ++this->unserved;
}

void limited_fleet::dispatch(std::size_t id)
{
    request& item = this->requests[id];
    if (item.ended) return;
    const bool relayed = item.sender != item.vm;
    if (!relayed && item.sends >= max_sends) {
        this->end(item, false);
        return;
    }
    if (!relayed && this->relay(id)) return;
    if (server_entry* row = this->choose(item)) {
        this->send(id, *row);
        return;
    }
    if (!relayed) {
        this->refuse(id);
        return;
    }
    // The second VM has no slot, and this one tries the next.
    const std::uint32_t second = item.tried_vms.back();
    item.sender = item.vm;
    this->schedule(hop_time, [this, id, second] {
        request& refused = this->requests[id];
        vm_model& vm = *this->vms.at(refused.vm);
        if (refused.ended) return;
        vm.selection.on_ended(second, the_service(), relay_result::busy, this->now);
        vm.table.confirm_rejection_limit(the_service(), this->now);
        this->dispatch(id);
    });
}

/** Relays the request to a VM that may have a slot; false if there is none. */
bool limited_fleet::relay(std::size_t id)
{
    request& item = this->requests[id];
    vm_model& vm = *this->vms.at(item.vm);
    const auto target =
        vm.selection.choose_from(vm.table.slot_owners(the_service(), item.tried_vms, this->now),
                                 the_service(), {}, this->now);
    if (!target) return false;
    ++item.sends;
    item.tried_vms.push_back(*target);
    this->schedule(hop_time, [this, id, target] {
        request& arrived = this->requests[id];
        const std::size_t second = digest_fleet::vm_at(*target);
        if (arrived.ended) return;
        if (this->is_running(second)) {
            arrived.sender = second;
        } else {
            this->vms.at(arrived.vm)
                ->selection.on_ended(*target, the_service(), relay_result::unreachable, this->now);
        }
        this->dispatch(id);
    });
    return true;
}

/** The server for the request; nullptr if the VM refuses it. */
server_entry* limited_fleet::choose(const request& item)
{
    placement_request wanted{the_service(), this->options.engines, 0, item.tried_servers};
    admission& control = this->vms.at(item.sender)->admission_control;
    if (this->options.engines) {
        wanted.affinity = item.prompt;
        control.on_request(wanted.service, wanted.affinity, this->now);
    }
    const admission_decision decided = control.decide(wanted, true, this->now);
    const auto* admitted = std::get_if<admit_to>(&decided);
    return admitted == nullptr ? nullptr : admitted->placement.row;
}

void limited_fleet::send(std::size_t id, server_entry& row)
{
    request& item = this->requests[id];
    const std::string& name = row.record.id.text;
    item.server = std::stoul(name.substr(name.find('-') + 1));
    item.life = this->vms.at(item.sender)->life;
    item.sent_at = this->now;
    ++item.sends;
    item.tried_servers.push_back(row.record.id);
    server_table::on_sent(row, this->now);
    this->schedule(hop_time, [this, id] { this->handle_at_server(id); });
}

/** The VM refused the request; the caller asks another one once. */
void limited_fleet::refuse(std::size_t id)
{
    request& item = this->requests[id];
    if (item.is_retry) {
        this->end(item, false);
        return;
    }
    item.ended = true; // counted with the retry
    this->schedule(caller_retry_after, [this, prompt = item.prompt] {
        request retry;
        retry.vm = this->any_serving_vm();
        retry.prompt = prompt;
        retry.is_retry = true;
        this->ask(std::move(retry));
    });
}

void limited_fleet::handle_at_server(std::size_t id)
{
    request& item = this->requests[id];
    server& target = this->servers[item.server];
    if (this->now < target.down_until || target.replaced) {
        this->respond(id, attempt_result::broken);
        return;
    }
    if (static_cast<double>(target.running.size()) > 2 * this->mean_load() + 3)
        this->over_bound_at.push_back(this->now);
    if (target.running.size() >= this->options.slots) {
        this->reject(id);
        return;
    }
    target.running.push_back(id);
    if (target.stalled) {
        this->schedule(silence_timeout, [this, id] { this->give_up_stalled(id); });
        return;
    }
    this->begin(id);
}

double limited_fleet::mean_load() const
{
    std::size_t total = 0;
    std::size_t count = 0;
    for (const server& item : this->servers) {
        if (item.replaced) continue;
        total += item.running.size();
        ++count;
    }
    return static_cast<double>(total) / static_cast<double>(count);
}

void limited_fleet::stall(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->servers[i].stalled = true;
        for (const std::size_t id : this->servers[i].running)
            this->schedule(silence_timeout, [this, id] { this->give_up_stalled(id); });
    }
}

/** The VM closes the connection on which nothing came, and sends the request elsewhere. */
void limited_fleet::give_up_stalled(std::size_t id)
{
    server& item = this->servers[this->requests[id].server];
    if (item.stalled && std::erase(item.running, id) > 0) this->respond(id, attempt_result::broken);
}

void limited_fleet::replace_stalled(duration known_within)
{
    const std::size_t first_new = this->servers.size();
    for (std::size_t i = 0; i < first_new; ++i) {
        if (!this->servers[i].stalled) continue;
        for (const std::size_t id : this->servers[i].running)
            this->respond(id, attempt_result::broken);
        this->servers[i].running.clear();
        this->servers[i].replaced = true;
        this->servers.emplace_back();
    }
    std::uniform_int_distribution<duration::rep> delay(0, known_within.count());
    for (const auto& [vm, model] : this->vms) {
        this->schedule(duration(delay(this->random)),
                       [this, vm = vm, first_new] { this->replace_known(vm, first_new); });
    }
}

void limited_fleet::replace_known(std::size_t vm, std::size_t first_new)
{
    server_table& table = this->vms.at(vm)->table;
    for (std::size_t i = 0; i < first_new; ++i) {
        if (this->servers[i].replaced) table.remove(name_of(i));
    }
    for (std::size_t i = first_new; i < this->servers.size(); ++i)
        table.put(this->record_of(i), this->now);
}

double limited_fleet::known_mean_load(std::size_t vm)
{
    const placement_request wanted{the_service(), this->options.engines, 1, {}};
    return this->vms.at(vm)->table.choose(wanted, this->now).mean_load;
}

void limited_fleet::begin(std::size_t id)
{
    const server& target = this->servers[this->requests[id].server];
    const double spread = this->options.engines ? engine_work_spread : plain_work_spread;
    std::lognormal_distribution<double> work(-spread * spread / 2, spread);
    const duration span =
        to_duration(as_seconds(this->options.work) * this->work_multiple * work(this->random));
    this->schedule(span, [this, id, life = target.life] { this->leave_server(id, life); });
    if (this->options.engines)
        this->schedule(first_event_after, [this, id] { this->send_head(id); });
    if (std::uniform_real_distribution<>()(this->random) < this->leaving_share)
        this->schedule(leave_after, [this, id] { this->abandon(id); });
}

/** The first event of a stream comes with the engine's load. */
void limited_fleet::send_head(std::size_t id)
{
    const request& item = this->requests[id];
    const std::vector<std::size_t>& running = this->servers[item.server].running;
    if (this->servers[item.server].stalled) return;
    if (std::ranges::find(running, id) == running.end()) return;
    if (item.left || !this->is_running(item.sender)) return;
    if (this->vms.at(item.sender)->life == item.life)
        this->note_load(item, static_cast<std::uint32_t>(running.size()));
}

void limited_fleet::note_load(const request& item, std::uint32_t load)
{
    server_entry& row = this->row_at(item);
    row.set_reported_load(load, this->now);
    row.reported_here = true;
}

void limited_fleet::reject(std::size_t id)
{
    const request& item = this->requests[id];
    server& target = this->servers[item.server];
    ++this->rejections;
    this->respond(id, attempt_result::rejected);
    while (!target.rejected.empty() && target.rejected.front().first <= this->now - seconds(1))
        target.rejected.pop_front();
    const bool same_process = this->vms.at(item.sender)->life == item.life;
    target.rejected.emplace_back(this->now, same_process && this->is_settled(item.sender));
    if (this->brittle && target.rejected.size() > this->options.limit) this->crash(target);
}

void limited_fleet::crash(server& item)
{
    ++this->crashes;
    const auto settled = static_cast<std::size_t>(std::ranges::count_if(
        item.rejected, [](const auto& rejection) { return rejection.second; }));
    if (2 * settled > item.rejected.size()) ++this->crashes_by_settled_vms;
    for (const std::size_t id : item.running)
        this->respond(id, attempt_result::broken);
    item.running.clear();
    item.rejected.clear();
    ++item.life;
    item.down_until = this->now + server_restart_time;
}

void limited_fleet::leave_server(std::size_t id, unsigned life)
{
    server& item = this->servers[this->requests[id].server];
    if (item.stalled || item.life != life || std::erase(item.running, id) == 0) return;
    this->respond(id, attempt_result::served);
}

void limited_fleet::respond(std::size_t id, attempt_result result)
{
    const auto load =
        static_cast<std::uint32_t>(this->servers[this->requests[id].server].running.size());
    this->schedule(hop_time, [this, id, result, load] { this->handle_response(id, result, load); });
}

server_entry& limited_fleet::row_at(const request& item)
{
    return *this->vms.at(item.sender)->table.find(name_of(item.server));
}

void limited_fleet::handle_response(std::size_t id, attempt_result result, std::uint32_t load)
{
    request& item = this->requests[id];
    if (item.left || this->vms.at(item.sender)->life != item.life) return;
    if (!this->is_running(item.sender)) { // suspended
        this->schedule(milliseconds(100),
                       [this, id, result, load] { this->handle_response(id, result, load); });
        return;
    }
    server_entry& row = this->row_at(item);
    --row.in_flight;
    if (!this->servers[item.server].stalled) row.last_received_at = this->now;
    server_table::on_attempt_ended(row, this->now - item.sent_at, result != attempt_result::served,
                                   this->now);
    this->note_response(item, row, result, load);
    if (item.sender != item.vm) {
        this->vms.at(item.vm)->selection.on_ended(item.tried_vms.back(), the_service(),
                                                  relay_result::served, this->now);
    }
    if (result == attempt_result::served) {
        this->vms.at(item.sender)->table.on_finished(row, this->now - item.sent_at);
        this->end(item, true);
        return;
    }
    item.sender = item.vm;
    this->dispatch(id);
}

/** Tells the VMs that the response passes what it states. */
void limited_fleet::note_response(const request& item, server_entry& row, attempt_result result,
                                  std::uint32_t load)
{
    server_table& table = this->vms.at(item.sender)->table;
    if (result == attempt_result::broken && this->servers[item.server].stalled) {
        row.health.on_failure(this->now);
        return;
    }
    if (result == attempt_result::broken) {
        row.health.on_unreachable(this->now);
        return;
    }
    for (const std::size_t vm : {item.sender, item.vm}) {
        this->vms.at(vm)->table.note_rejection_limit(
            the_service(), this->stated ? std::optional(this->options.limit) : std::nullopt,
            this->now);
    }
    if (this->options.engines && !this->options.loads_in_heads_only) this->note_load(item, load);
    if (result == attempt_result::rejected) {
        table.on_rejected(row, this->now);
        row.health.on_neutral();
    } else {
        row.health.on_success(this->now);
    }
}

/** The caller leaves, and its VM closes the connection to the server. */
void limited_fleet::abandon(std::size_t id)
{
    request& item = this->requests[id];
    server& target = this->servers[item.server];
    const bool running = std::ranges::find(target.running, id) != target.running.end();
    if (!running || this->vms.at(item.sender)->life != item.life) return;
    item.left = true;
    server_entry& row = this->row_at(item);
    --row.in_flight;
    this->vms.at(item.sender)->table.on_given_up(row, this->now + seconds(3), this->now);
    if (std::uniform_real_distribution<>()(this->random) >= this->options.orphan_share)
        std::erase(target.running, id);
    this->end(item, true);
}

/** Does what a router does in its ticks. */
void limited_fleet::update(std::size_t vm)
{
    vm_model& model = *this->vms.at(vm);
    const instant time = this->gossip.now;
    if (time < model.next_update_at || time < model.suspended_until) return;
    model.next_update_at =
        time + (this->options.vms < large_fleet ? update_period : large_update_period);
    const fleet_rounds& rounds = this->gossip.vms.at(vm).rounds;
    const fleet_table& fleet = rounds.fleet();
    fleet_members members = fleet.members(time);
    for (std::size_t i = 0; i < this->options.data_centres; ++i)
        members.add_data_centre(data_centre_hash(i));
    if (this->options.engines) this->update_loads(model, rounds);
    model.table.update_rejection_limits(members, fleet.responsive_vms(time).size() + 1, time);
    std::vector<relay_vm> relays;
    for (const auto& [address, other] : fleet.vms()) {
        if (fleet.is_alive(other, time))
            relays.push_back({address, other.data_centre == fleet.self().data_centre, {}});
    }
    model.selection.set_vms(std::move(relays));
}

void limited_fleet::update_loads(vm_model& model, const fleet_rounds& rounds) const
{
    const instant time = this->gossip.now;
    model.table.expire_reported_loads(time);
    model.table.sum_loads(time);
    model.table.peers_summed_at = time;
    const load_table others = rounds.loads_of_others(time);
    for (auto& [id, row] : model.table.rows())
        row.peers_in_flight = load_at(others, short_hash(row));
    std::vector<service_requests> in_flight;
    for (const fleet_vm* vm : rounds.fleet().local_vms(time))
        std::ranges::copy(vm->last.engine_requests, std::back_inserter(in_flight));
    model.table.update_load_estimates(in_flight, time);
    model.admission_control.set_fleet_demand_multiple(
        static_cast<double>(rounds.fleet().alive_count(time)));
}

void limited_fleet::describe(std::size_t vm, local_state& state)
{
    server_table& table = this->vms.at(vm)->table;
    state.digest.rejections = table.drain_rejections(this->gossip.now);
    state.digest.limits = table.limits_in_force(this->gossip.now);
    state.digest.engine_requests = table.requests_in_flight(this->gossip.now);
    state.digest.outcomes = table.drain_outcomes();
    state.digest.reported_loads = table.drain_reported_loads(this->gossip.now);
    for (const auto& [id, row] : table.rows()) {
        if (row.in_flight == 0 || row.report_is_fresh) continue;
        state.loads.push_back({short_hash(row), static_cast<std::uint16_t>(row.in_flight)});
    }
}

void limited_fleet::receive(std::size_t vm, const fleet_vm& from)
{
    server_table& table = this->vms.at(vm)->table;
    for (const reported_load& load : from.last.reported_loads)
        table.apply_reported_load(load, from.last_received_at);
    for (const outcome_counts& counts : from.last.outcomes)
        table.apply_outcomes(counts, from.last_received_at, milliseconds(from.last.period_ms));
    for (const rejection_report& report : from.last.rejections)
        table.apply_rejections(report, from.last_received_at);
    for (const service_limit& limit : from.last.limits)
        table.apply_limit(limit, from.last_received_at, from.last_received_at);
}

} // namespace support
