#include "plain_service.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <random>

#include "admission.h"

namespace lab {

using namespace worksshift;

namespace {

const service_id service{"desk"};
constexpr unsigned max_sends = 4;
/** `placement_policy::plain_response_share` where admission to plain services is simulated. */
constexpr double plain_response_share = 0.45;
/** Service times as users state them for their plain services: log-normal with this spread (sigma),
 * and a small share of requests that take several times as long. */
constexpr double work_spread = 0.5;
constexpr double long_work_share = 0.01;
constexpr double long_work_multiple = 5;
/** One-way network delay within a data centre and to another one. */
constexpr double local_delay_s = 0.0005;
constexpr double remote_delay_s = 0.001;

server_id name_of(std::size_t server)
{
    return {"server-" + std::to_string(server)};
}

instant to_instant(double seconds_passed)
{
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds_passed + 1000)));
}

duration to_duration(double span_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span_s));
}

struct request {
    std::size_t vm = 0;
    double arrived = 0;
    double sent = 0;
    std::size_t server = 0;
    unsigned sends = 0;
    std::vector<server_id> tried;
    bool is_refused = false; ///< by admission control
    bool is_retry = false;   ///< of a caller whose first request was refused
    std::size_t sender = 0;  ///< the VM that sends it to the server, for itself or `vm`
    std::vector<std::uint32_t> tried_vms; ///< addresses of those that it was relayed to
};

/** How an attempt at a server ended. */
enum class attempt_result : std::uint8_t { served, rejected, broken };

struct server {
    std::vector<std::size_t> running;
    std::deque<std::size_t> waiting;
    std::deque<double> rejected_at; ///< times of the rejections of the last second
    double down_until = 0;
    unsigned incarnation = 0;
    double pace = 1;           ///< factor on its service times
    double pace_drawn_at = -1; ///< time of the last change
    std::size_t served = 0;
};

/** One VM with its view of the servers. */
struct router {
    router(std::size_t centre, unsigned seed)
        : centre(centre), table({std::to_string(centre)}, seed), control(table, seed + 1)
    {
    }
    std::size_t centre;
    server_table table;
    admission control;
    fleet_members members;
};

class simulation {
public:
    simulation(const plain_pattern& given, server_selection chooser, std::uint64_t seed);
    plain_outcome run();
    [[nodiscard]] double busiest_share() const;

private:
    using action = std::function<void()>;
    struct scheduled_event {
        double at = 0;
        std::uint64_t order = 0;
        action act;
        bool operator>(const scheduled_event& other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    void after(double span_s, action act);
    void arrive();
    void send(std::size_t id);
    bool relay(std::size_t id);
    void on_refused(const request& item);
    void on_refused(const request& item, double retry_after_s);
    std::optional<std::size_t> choose(request& item);
    void handle_at_server(std::size_t id);
    void reject(std::size_t server, std::size_t id);
    void crash(std::size_t server);
    void begin(std::size_t server, std::size_t id);
    void leave(std::size_t server, std::size_t id);
    void respond(std::size_t id, attempt_result how);
    void answer(std::size_t id, attempt_result how);
    void send_outcomes(std::size_t vm);
    void sum_loads();
    void set_members();
    void note_response(const request& item, server_entry& row, attempt_result how);
    void update_limits();
    void update_paces();
    double pace_of(std::size_t server);
    void note_stated_pace(const request& item, server_entry& row);
    double draw_work_s(std::size_t server);
    [[nodiscard]] double network_delay_s(const request& item) const;
    [[nodiscard]] bool is_faulty(std::size_t server) const;
    [[nodiscard]] bool is_peak() const;
    [[nodiscard]] bool is_measured(const request& item) const;
    [[nodiscard]] bool is_silent(std::size_t server) const;
    [[nodiscard]] std::size_t queue_length() const;

    const plain_pattern& given;
    server_selection chooser;
    std::mt19937_64 random;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events;
    std::uint64_t order = 0;
    double now = 0;
    std::vector<std::unique_ptr<router>> routers;
    std::discrete_distribution<std::size_t> vm_of_request;
    std::vector<server> servers;
    std::deque<std::size_t> queue; ///< common to all servers, for server_selection::single_queue
    std::vector<request> requests;
    std::vector<double> response_times_ms;
    plain_outcome result;
};

simulation::simulation(const plain_pattern& given, server_selection chooser, std::uint64_t seed)
    : given(given), chooser(chooser), random(seed), servers(given.servers)
{
    std::uniform_real_distribution<double> weight(0.5, 1.5);
    std::vector<double> weights; // share of each VM in the requests, not normalised
    for (std::size_t vm = 0; vm < given.vms; ++vm) {
        const std::size_t centre = vm % given.data_centres;
        this->routers.push_back(
            std::make_unique<router>(centre, static_cast<unsigned>(this->random())));
        weights.push_back(weight(this->random) *
                          (centre == 0 ? given.first_centre_rate_multiple : 1));
        for (std::size_t i = 0; i < given.servers; ++i) {
            server_record record;
            record.id = name_of(i);
            record.service = service;
            record.data_centre.text = std::to_string(i % given.data_centres);
            record.slots = given.slots;
            this->routers.back()->table.put(record);
            this->routers.back()->table.policy.slow_pace = given.slow_pace;
        }
        this->routers.back()->table.set_objective(service,
                                                  to_duration(given.late_threshold_ms / 1000));
    }
    this->vm_of_request = {weights.begin(), weights.end()};
    this->set_members();
}

void simulation::set_members()
{
    std::vector<std::vector<std::uint32_t>> vms_of(this->given.data_centres);
    for (std::size_t vm = 0; vm < this->routers.size(); ++vm)
        vms_of[this->routers[vm]->centre].push_back(static_cast<std::uint32_t>(vm + 1));
    std::vector<std::uint32_t> data_centres(this->given.data_centres);
    std::iota(data_centres.begin(), data_centres.end(), 1);
    for (std::size_t vm = 0; vm < this->routers.size(); ++vm) {
        const std::size_t centre = this->routers[vm]->centre;
        this->routers[vm]->members = {static_cast<std::uint32_t>(vm + 1),
                                      data_centres[centre],
                                      vms_of[centre],
                                      data_centres,
                                      true,
                                      share_state::full};
    }
}

void simulation::after(double span_s, action act)
{
    this->events.push({this->now + span_s, this->order++, std::move(act)});
}

plain_outcome simulation::run()
{
    this->after(0, [this] { this->arrive(); });
    this->after(0, [this] { this->sum_loads(); });
    if (this->given.rejection_limit > 0) this->update_limits();
    if (this->given.states_pace) this->update_paces();
    for (std::size_t vm = 0; vm < this->routers.size(); ++vm) {
        std::uniform_real_distribution<double> initial_delay(0, this->given.propagation_delay_s);
        this->after(initial_delay(this->random), [this, vm] { this->send_outcomes(vm); });
    }
    while (!this->events.empty() && this->events.top().at <= this->given.seconds) {
        const scheduled_event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.act();
    }
    this->result.asked = this->response_times_ms.size() + this->result.unserved;
    const auto worst = this->response_times_ms.begin() +
                       static_cast<std::ptrdiff_t>(this->response_times_ms.size() * 99 / 100);
    std::ranges::nth_element(this->response_times_ms, worst);
    this->result.p99_ms = *worst;
    this->result.mean_ms =
        std::accumulate(this->response_times_ms.begin(), this->response_times_ms.end(), 0.0) /
        static_cast<double>(this->response_times_ms.size());
    this->result.busiest_share = this->busiest_share();
    this->result.served = this->response_times_ms.size();
    const double measured_s =
        std::min(this->given.measured_until_s, this->given.seconds) - this->given.measured_from_s;
    const double capacity_per_s =
        static_cast<double>(this->given.servers) * this->given.slots / this->given.work_ms * 1000;
    this->result.in_time_of_capacity =
        static_cast<double>(this->result.served - this->result.late) / measured_s / capacity_per_s;
    return this->result;
}

double simulation::busiest_share() const
{
    const auto speed = [this](std::size_t at) {
        return at < this->given.slow_servers ? 1 / this->given.slow_servers_multiple : 1.0;
    };
    double speeds = 0;
    double served = 0;
    for (std::size_t at = 0; at < this->servers.size(); ++at) {
        speeds += speed(at);
        served += static_cast<double>(this->servers[at].served);
    }
    double busiest = 0;
    for (std::size_t at = 0; at < this->servers.size(); ++at) {
        const double fair = served * speed(at) / speeds;
        busiest = std::max(busiest, static_cast<double>(this->servers[at].served) / fair);
    }
    return busiest;
}

/** Factor on the service times of a server now. */
double simulation::pace_of(std::size_t at)
{
    server& item = this->servers[at];
    constexpr double change_interval_s = 0.1;
    const double spread = this->given.pace_spread;
    if (spread > 0 && this->now - item.pace_drawn_at >= change_interval_s) {
        item.pace = std::lognormal_distribution<double>(-spread * spread / 2, spread)(this->random);
        item.pace_drawn_at = this->now;
    }
    const bool slow = at < this->given.slow_servers;
    return item.pace * (slow ? this->given.slow_servers_multiple : 1);
}

void simulation::update_paces()
{
    for (const auto& item : this->routers)
        item->table.update_paces(to_instant(this->now));
    constexpr double interval_s = 0.05;
    this->after(interval_s, [this] { this->update_paces(); });
}

/** A response states the load and the pace of its server. */
void simulation::note_stated_pace(const request& item, server_entry& row)
{
    const server& from = this->servers[item.server];
    const bool sheds = this->given.sheds_all && this->is_faulty(item.server);
    row.set_reported_load(static_cast<std::uint32_t>(from.running.size() + from.waiting.size()),
                          to_instant(this->now));
    row.reported_here = true;
    server_table::note_pace(row, sheds ? server_pace::min_figure : this->pace_of(item.server),
                            to_instant(this->now));
}

void simulation::arrive()
{
    const double work_s = this->given.work_ms / 1000;
    const double per_s = this->given.utilisation * static_cast<double>(this->given.servers) *
                         this->given.slots / work_s *
                         (this->is_peak() ? this->given.peak_rate_multiple : 1) *
                         (this->now >= wave_from_s && this->now < wave_from_s + this->given.wave_s
                              ? this->given.wave_multiple
                              : 1);
    request item;
    item.vm = this->vm_of_request(this->random);
    item.sender = item.vm;
    item.arrived = this->now;
    this->requests.push_back(item);
    this->send(this->requests.size() - 1);
    this->after(std::exponential_distribution<double>(per_s)(this->random),
                [this] { this->arrive(); });
}

/** The chosen server; std::nullopt if the router refuses the request. */
std::optional<std::size_t> simulation::choose(request& item)
{
    if (this->chooser == server_selection::product) {
        router& vm = *this->routers[item.sender];
        placement_request wanted{service, false, 0, item.tried};
        wanted.remaining = to_duration(item.arrived + this->given.deadline_ms / 1000 - this->now);
        vm.table.policy.plain_response_share = this->given.admission ? plain_response_share : 0;
        const admission_decision decided = vm.control.decide(wanted, true, to_instant(this->now));
        if (const auto* refusal = std::get_if<retry_later>(&decided)) {
            item.is_refused = true;
            this->on_refused(item, std::chrono::duration<double>(refusal->retry_after).count());
            return std::nullopt;
        }
        const auto* admitted = std::get_if<admit_to>(&decided);
        const placement_result where = admitted ? admitted->placement : placement_result{};
        if (where.row == nullptr) return std::nullopt;
        const std::string& name = where.row->record.id.text;
        server_table::on_sent(*where.row, to_instant(this->now));
        return std::stoul(name.substr(name.find('-') + 1));
    }
    std::size_t chosen = 0;
    do {
        chosen =
            std::uniform_int_distribution<std::size_t>(0, this->servers.size() - 1)(this->random);
    } while (std::ranges::find(item.tried, name_of(chosen)) != item.tried.end());
    return chosen;
}

double simulation::network_delay_s(const request& item) const
{
    const bool same_data_centre =
        item.server % this->given.data_centres == this->routers[item.vm]->centre;
    return same_data_centre ? local_delay_s : remote_delay_s;
}

bool simulation::is_faulty(std::size_t at) const
{
    return at == 0 && this->now >= this->given.seconds / 3;
}

bool simulation::is_peak() const
{
    return this->now >= peak_from_s && this->now < peak_until_s;
}

bool simulation::is_measured(const request& item) const
{
    return item.arrived >= this->given.measured_from_s &&
           item.arrived < this->given.measured_until_s;
}

bool simulation::is_silent(std::size_t at) const
{
    return at + this->given.silent_servers >= this->servers.size() && this->now >= wave_from_s &&
           this->now < wave_from_s + this->given.silent_s;
}

std::size_t simulation::queue_length() const
{
    const bool shortened = this->given.rejection_limit > 0 && this->now >= queue_shortened_at_s;
    return shortened ? this->given.short_queue : this->given.queue;
}

double simulation::draw_work_s(std::size_t at)
{
    std::lognormal_distribution<double> spread(-work_spread * work_spread / 2, work_spread);
    double span_s = this->given.work_ms / 1000 * spread(this->random);
    if (std::uniform_real_distribution<>()(this->random) < long_work_share) {
        span_s *= long_work_multiple;
    }
    if (this->is_peak()) span_s *= this->given.peak_work_multiple;
    span_s *= this->pace_of(at);
    return this->is_faulty(at) ? span_s * this->given.slow_server_multiple : span_s;
}

void simulation::send(std::size_t id)
{
    request& item = this->requests[id];
    const bool relayed = item.sender != item.vm;
    if (!relayed && item.sends >= std::min<std::size_t>(max_sends, this->servers.size())) {
        if (this->is_measured(item)) ++this->result.unserved;
        return;
    }
    if (!relayed && this->relay(id)) return;
    const std::optional<std::size_t> chosen = this->choose(item);
    if (item.is_refused) return;
    if (!chosen) {
        if (!relayed) {
            this->on_refused(item);
            return;
        }
        // The second VM refuses it, and this one tries the next.
        item.sender = item.vm;
        this->routers[item.vm]->table.confirm_rejection_limit(service, to_instant(this->now));
        this->after(local_delay_s, [this, id] { this->send(id); });
        return;
    }
    item.server = *chosen;
    item.sent = this->now;
    ++item.sends;
    item.tried.push_back(name_of(item.server));
    this->after(this->network_delay_s(item), [this, id] { this->handle_at_server(id); });
}

/** Relays the request to a VM of the data centre that may have a slot; false if there is none. */
bool simulation::relay(std::size_t id)
{
    request& item = this->requests[id];
    const std::vector<std::uint32_t> owners =
        this->routers[item.vm]->table.slot_owners(service, item.tried_vms, to_instant(this->now));
    if (owners.empty()) return false;
    std::uniform_int_distribution<std::size_t> position(0, owners.size() - 1);
    const std::uint32_t owner = owners[position(this->random)];
    ++item.sends;
    item.tried_vms.push_back(owner);
    item.sender = owner - 1;
    this->after(local_delay_s, [this, id] { this->send(id); });
    return true;
}

/** The router has no server for the request. */
void simulation::on_refused(const request& item)
{
    this->on_refused(item, caller_retry_after_s);
}

/** The router refused the request. */
void simulation::on_refused(const request& item, double retry_after_s)
{
    const double latest_s = (item.arrived + this->given.deadline_ms / 1000 - this->now) / 3;
    if (!item.is_retry && this->is_measured(item)) ++this->result.refused;
    if (item.is_retry || (this->given.admission && retry_after_s > latest_s)) {
        if (this->is_measured(item)) ++this->result.unserved;
        return;
    }
    if (this->given.synchronised_retries) retry_after_s = std::ceil(this->now) - this->now;
    request retry;
    retry.vm =
        this->given.admission
            ? this->vm_of_request(this->random)
            : std::uniform_int_distribution<std::size_t>(0, this->routers.size() - 1)(this->random);
    retry.sender = retry.vm;
    retry.arrived = item.arrived;
    retry.is_retry = true;
    this->after(retry_after_s, [this, retry] {
        this->requests.push_back(retry);
        this->send(this->requests.size() - 1);
    });
}

void simulation::handle_at_server(std::size_t id)
{
    const std::size_t at = this->requests[id].server;
    if (this->chooser == server_selection::single_queue) {
        const auto free = std::ranges::find_if(this->servers, [this](const server& item) {
            return item.running.size() < this->given.slots;
        });
        if (free == this->servers.end()) {
            this->queue.push_back(id);
        } else {
            this->begin(static_cast<std::size_t>(free - this->servers.begin()), id);
        }
        return;
    }
    server& item = this->servers[at];
    const bool refuses = this->given.sheds_all && this->is_faulty(at);
    if (this->is_silent(at)) {
        this->after(wave_from_s + this->given.silent_s - this->now,
                    [this, id] { this->handle_at_server(id); });
    } else if (this->now < item.down_until) {
        this->respond(id, attempt_result::broken);
    } else if (!refuses && item.running.size() < this->given.slots) {
        this->begin(at, id);
    } else if (!refuses && item.waiting.size() < this->queue_length()) {
        item.waiting.push_back(id);
    } else {
        this->reject(at, id);
    }
}

void simulation::reject(std::size_t at, std::size_t id)
{
    if (this->now >= this->given.measured_from_s) ++this->result.shed;
    this->respond(id, attempt_result::rejected);
    if (this->given.rejection_limit == 0 || this->now < queue_shortened_at_s) return;
    std::deque<double>& times = this->servers[at].rejected_at;
    while (!times.empty() && times.front() <= this->now - 1)
        times.pop_front();
    times.push_back(this->now);
    if (times.size() > this->given.rejection_limit) this->crash(at);
}

/** The server loses its requests, and refuses connections for a while. */
void simulation::crash(std::size_t at)
{
    ++this->result.crashes;
    server& item = this->servers[at];
    for (const std::size_t id : item.running)
        this->respond(id, attempt_result::broken);
    for (const std::size_t id : item.waiting)
        this->respond(id, attempt_result::broken);
    const unsigned next_incarnation = item.incarnation + 1;
    item = {};
    item.incarnation = next_incarnation;
    item.down_until = this->now + restart_time_s;
}

/** Sends the result of an attempt back to its VM. */
void simulation::respond(std::size_t id, attempt_result how)
{
    this->after(this->network_delay_s(this->requests[id]),
                [this, id, how] { this->answer(id, how); });
}

void simulation::begin(std::size_t at, std::size_t id)
{
    server& item = this->servers[at];
    item.running.push_back(id);
    this->after(this->draw_work_s(at), [this, at, id, incarnation = item.incarnation] {
        if (this->servers[at].incarnation == incarnation) this->leave(at, id);
    });
}

void simulation::leave(std::size_t at, std::size_t id)
{
    if (this->is_silent(at)) {
        this->after(wave_from_s + this->given.silent_s - this->now,
                    [this, at, id] { this->leave(at, id); });
        return;
    }
    server& item = this->servers[at];
    std::erase(item.running, id);
    this->respond(id, attempt_result::served);
    std::deque<std::size_t>& waiting =
        this->chooser == server_selection::single_queue ? this->queue : item.waiting;
    if (waiting.empty()) return;
    const std::size_t next = waiting.front();
    waiting.pop_front();
    this->begin(at, next);
}

void simulation::answer(std::size_t id, attempt_result how)
{
    request& item = this->requests[id];
    const bool served = how == attempt_result::served;
    if (this->chooser == server_selection::product) {
        server_table& table = this->routers[item.sender]->table;
        server_entry& row = *table.find(name_of(item.server));
        --row.in_flight;
        row.last_received_at = to_instant(this->now);
        if (this->given.rejection_limit > 0) this->note_response(item, row, how);
        if (this->given.states_pace) this->note_stated_pace(item, row);
        server_table::on_attempt_ended(row, to_duration(this->now - item.sent), !served,
                                       to_instant(this->now));
    }
    if (!served) {
        item.sender = item.vm;
        this->send(id);
        return;
    }
    if (!this->is_measured(item)) return;
    ++this->servers[item.server].served;
    const double span_ms = (this->now - item.arrived) * 1000;
    this->response_times_ms.push_back(span_ms);
    if (span_ms > this->given.late_threshold_ms) ++this->result.late;
}

/** Tells the VMs that the response of an attempt passes what it states. */
void simulation::note_response(const request& item, server_entry& row, attempt_result how)
{
    const instant time = to_instant(this->now);
    if (how == attempt_result::broken) {
        row.health.on_unreachable(time);
        return;
    }
    const bool stated = this->now >= limit_stated_at_s;
    for (const std::size_t vm : {item.sender, item.vm}) {
        this->routers[vm]->table.note_rejection_limit(
            service, stated ? std::optional(this->given.rejection_limit) : std::nullopt, time);
    }
    if (how == attempt_result::rejected) {
        this->routers[item.sender]->table.on_rejected(row, time);
        row.health.on_neutral();
    } else {
        row.health.on_success(time);
    }
}

void simulation::update_limits()
{
    for (const auto& item : this->routers) {
        item->table.update_rejection_limits(item->members, item->members.local_vms.size(),
                                            to_instant(this->now));
    }
    constexpr double interval_s = 0.5;
    this->after(interval_s, [this] { this->update_limits(); });
}

/** Sends the outcomes of the VM's attempts to the other VMs of its data centre. */
void simulation::send_outcomes(std::size_t vm)
{
    const std::vector<outcome_counts> outcomes = this->routers[vm]->table.drain_outcomes();
    const std::vector<rejection_report> rejections =
        this->routers[vm]->table.drain_rejections(to_instant(this->now));
    const std::vector<reported_load> loads =
        this->routers[vm]->table.drain_reported_loads(to_instant(this->now));
    const double sent_at = this->now;
    this->after(this->given.propagation_delay_s, [this, vm, outcomes, rejections, loads, sent_at] {
        for (std::size_t other = 0; other < this->routers.size(); ++other) {
            const bool same_data_centre = this->routers[other]->centre == this->routers[vm]->centre;
            if (other == vm || !same_data_centre) continue;
            for (const outcome_counts& item : outcomes)
                this->routers[other]->table.apply_outcomes(item, to_instant(this->now));
            for (const reported_load& item : loads)
                this->routers[other]->table.apply_reported_load(item, to_instant(sent_at));
            for (const rejection_report& item : rejections)
                this->routers[other]->table.apply_rejections(item, to_instant(this->now));
        }
    });
    this->after(this->given.propagation_delay_s, [this, vm] { this->send_outcomes(vm); });
}

/** Sends every VM the sums of all VMs' requests in flight, with the same delay. */
void simulation::sum_loads()
{
    std::vector<std::uint32_t> sums(this->servers.size());
    for (const auto& item : this->routers) {
        for (std::size_t i = 0; i < sums.size(); ++i)
            sums[i] += item->table.find(name_of(i))->in_flight;
    }
    this->after(this->given.propagation_delay_s, [this, sums] {
        for (const auto& item : this->routers) {
            for (std::size_t i = 0; i < sums.size(); ++i)
                item->table.find(name_of(i))->peers_in_flight = sums[i];
        }
    });
    constexpr double interval_s = 0.1;
    this->after(interval_s, [this] { this->sum_loads(); });
}

} // namespace

plain_outcome run_simulation(const plain_pattern& given, server_selection chooser,
                             std::uint64_t seed)
{
    return simulation(given, chooser, seed).run();
}

} // namespace lab
