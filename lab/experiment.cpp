#include "experiment.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

#include "admission.h"
#include "errors.h"
#include "visitor.h"

namespace lab {

using namespace worksshift;

namespace {

const service_id engines_service{"engines"};
/** Time that one step of the simulation covers. */
constexpr duration simulation_step = milliseconds(1);
/** Interval at which the engines' paces change, if they do. */
constexpr duration pace_interval = milliseconds(100);
/** Interval at which a router marks slow servers and sums the loads, as in the product. */
constexpr duration router_tick = milliseconds(25);
/** One-way network delay between callers, VMs and engines. */
constexpr duration one_way_delay = milliseconds(3);
/** Digest rounds until the sums of requests in flight reach every VM of a fleet with several data
 * centres: they pass through up to three VMs. */
constexpr int load_sum_rounds = 3;
/** A fleet with more VMs is spread over several data centres. */
constexpr std::size_t max_vms_in_one_data_centre = 12;
/** Upper bound on the delay of a retry, as a share of the time that remains until the deadline. */
constexpr double max_retry_delay_share = 1.0 / 3;
/** Sends of this first time are not compared with the load bound. */
constexpr double warm_up_s = 1;

duration in_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/** One router: the product's server table and admission control, fed with the updates that a router
 * would receive. */
struct vm_model {
    vm_model(const placement_policy& policy, unsigned seed)
        : table(data_centre_id{"dc"}, seed), admission_control(table, seed + 1)
    {
        this->table.policy = policy;
    }

    server_table table;
    admission admission_control;
    std::vector<server_entry*> rows; ///< by engine; the table keeps references to its entries valid
};

struct caller_request {
    std::uint64_t id = 0;
    std::size_t kind = 0;
    std::size_t vm = 0;
    std::size_t engine = 0;
    engine_request work;
    instant first_try{};
    instant sent{};
    duration expected_wait{};
    instant first_event{};
    bool retried = false;
    bool at_engine = false;
    bool ended = false;
};

class simulation {
public:
    simulation(const pattern& given, const named_policy& chosen_policy, std::uint64_t seed);
    outcome run();

private:
    struct scheduled_event {
        instant at;
        std::uint64_t order; ///< keeps events of the same time in the order of scheduling
        std::function<void()> what;
        bool operator>(const scheduled_event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void schedule(instant when, std::function<void()> what);
    void make_engines();
    void make_vms(const placement_policy& policy);
    void schedule_faults();
    void apply_fault(const engine_fault& fault, std::size_t engine, bool begins);
    void generate_arrivals();
    [[nodiscard]] double times(const request_kind& kind) const;
    [[nodiscard]] double hot_share(const request_kind& kind) const;
    void start_request(std::size_t kind);
    void dispatch(const std::shared_ptr<caller_request>& item);
    void send(const std::shared_ptr<caller_request>& item, const placement_result& where);
    void schedule_retry(const std::shared_ptr<caller_request>& item, duration after);
    void schedule_departure(const std::shared_ptr<caller_request>& item);
    void leave(caller_request& item);
    void handle_first_event(caller_request& item);
    void handle_end(caller_request& item);
    void record_outcome(caller_request& item, bool served);
    void change_paces();
    void run_router_tick();
    void exchange_digests();
    [[nodiscard]] double mean_load();
    [[nodiscard]] duration load_sums_age() const;
    server_entry& row(const caller_request& item);

    const pattern& given;
    std::vector<double> slowdowns; ///< of each engine, by its faults
    bool sees_true_loads;
    std::mt19937_64 random;
    instant now{seconds(1000)};
    instant start{this->now};
    std::uint64_t orders = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events;
    std::vector<std::unique_ptr<emulated_engine>> engines;
    std::vector<server_id> engine_ids;
    std::vector<std::unique_ptr<vm_model>> vms;
    std::map<std::uint64_t, std::shared_ptr<caller_request>> requests;
    std::uint64_t next_id = 1;
    std::vector<std::vector<std::uint32_t>> load_history; ///< by router tick, then by engine
    std::size_t sends = 0;
    std::size_t sends_over_bound = 0;
    std::vector<double> asked_by_second;
    outcome result;
};

simulation::simulation(const pattern& given, const named_policy& chosen_policy, std::uint64_t seed)
    : given(given), sees_true_loads(chosen_policy.sees_true_loads), random(seed)
{
    this->make_engines();
    this->make_vms(chosen_policy.policy);
    this->schedule_faults();
    const auto whole = static_cast<std::size_t>(std::ceil(given.seconds));
    this->asked_by_second.resize(whole);
    this->result.on_time_by_second.resize(whole);
}

void simulation::schedule(instant when, std::function<void()> what)
{
    this->events.push({when, ++this->orders, std::move(what)});
}

void simulation::make_engines()
{
    this->slowdowns.assign(this->given.engines, 1);
    for (std::size_t i = 0; i < this->given.engines; ++i) {
        this->engine_ids.push_back({"engine-" + std::to_string(i)});
        auto made = std::make_unique<emulated_engine>(this->given.engine);
        made->on_first_event = [this](std::uint64_t id, instant when) {
            this->schedule(when + one_way_delay, [this, id] {
                if (const auto found = this->requests.find(id); found != this->requests.end())
                    this->handle_first_event(*found->second);
            });
        };
        made->on_end = [this](std::uint64_t id, instant when) {
            this->schedule(when + one_way_delay, [this, id] {
                if (const auto found = this->requests.find(id); found != this->requests.end())
                    this->handle_end(*found->second);
            });
        };
        this->engines.push_back(std::move(made));
    }
}

void simulation::make_vms(const placement_policy& policy)
{
    const std::size_t count = this->sees_true_loads ? 1 : this->given.vms;
    milliseconds min_objective = this->given.kinds.front().objective;
    for (const request_kind& kind : this->given.kinds)
        min_objective = std::min(min_objective, kind.objective);
    for (std::size_t i = 0; i < count; ++i) {
        auto made = std::make_unique<vm_model>(policy, static_cast<unsigned>(this->random()));
        for (const server_id& id : this->engine_ids) {
            server_record record;
            record.id = id;
            record.service = engines_service;
            record.data_centre.text = "dc";
            record.slots = this->given.engine.slots;
            made->table.put(record);
            made->rows.push_back(made->table.find(id));
        }
        made->table.set_objective(engines_service, min_objective);
        this->vms.push_back(std::move(made));
    }
}

void simulation::schedule_faults()
{
    for (const engine_fault& fault : this->given.faults) {
        std::vector<std::size_t> all(this->engines.size());
        std::iota(all.begin(), all.end(), std::size_t{0});
        std::ranges::shuffle(all, this->random);
        const double count = fault.share * static_cast<double>(all.size());
        all.resize(static_cast<std::size_t>(std::lround(count)));
        for (const std::size_t engine : all) {
            this->schedule(this->start + in_seconds(fault.from_s),
                           [this, &fault, engine] { this->apply_fault(fault, engine, true); });
            this->schedule(this->start + in_seconds(fault.to_s),
                           [this, &fault, engine] { this->apply_fault(fault, engine, false); });
        }
    }
}

void simulation::apply_fault(const engine_fault& fault, std::size_t engine, bool begins)
{
    emulated_engine& item = *this->engines[engine];
    switch (fault.what) {
    case engine_fault::effect::dark:
        item.dark = begins;
        if (begins) item.restart();
        break;
    case engine_fault::effect::slow:
        this->slowdowns[engine] = begins ? fault.times : 1;
        item.slowdown_factor = this->slowdowns[engine];
        break;
    case engine_fault::effect::leave:
        for (const auto& vm : this->vms)
            vm->rows[engine]->record.draining = begins;
        break;
    }
}

double simulation::times(const request_kind& kind) const
{
    const double second = std::chrono::duration<double>(this->now - this->start).count();
    double value = 1;
    for (const wave& item : this->given.waves) {
        const bool applies = item.kind.empty() || item.kind == kind.name;
        if (applies && second >= item.from_s && second < item.to_s) value *= item.times;
    }
    return value;
}

double simulation::hot_share(const request_kind& kind) const
{
    const double second = std::chrono::duration<double>(this->now - this->start).count();
    double share = 0;
    for (const wave& item : this->given.waves) {
        const bool is_active = second >= item.from_s && second < item.to_s;
        if (is_active && item.kind == kind.name) share = std::max(share, item.hot_share);
    }
    return share;
}

void simulation::generate_arrivals()
{
    const double span = std::chrono::duration<double>(simulation_step).count();
    for (std::size_t kind = 0; kind < this->given.kinds.size(); ++kind) {
        const double mean =
            this->given.kinds[kind].per_s * this->times(this->given.kinds[kind]) * span;
        std::poisson_distribution<int> draw(mean);
        for (int left = mean > 0 ? draw(this->random) : 0; left > 0; --left)
            this->start_request(kind);
    }
}

void simulation::start_request(std::size_t kind)
{
    const request_kind& from = this->given.kinds[kind];
    auto item = std::make_shared<caller_request>();
    item->kind = kind;
    item->first_try = this->now;
    std::uniform_int_distribution<std::uint32_t> draw_prompt(1, from.prompts);
    std::exponential_distribution<double> draw_answer(1.0 / from.answer_tokens);
    const bool hot = std::bernoulli_distribution(this->hot_share(from))(this->random);
    const std::uint32_t prompt = hot ? 1 : draw_prompt(this->random);
    item->work.priority = from.priority;
    item->work.shared = from.shared_tokens == 0 ? 0 : hash_of(from.name + std::to_string(prompt));
    item->work.shared_tokens = from.shared_tokens;
    item->work.own_tokens = from.own_tokens;
    item->work.answer_tokens = 1 + static_cast<std::uint32_t>(draw_answer(this->random));
    kind_outcome& kind_totals = this->result.kinds[from.name];
    ++kind_totals.asked;
    kind_totals.attainable_value += from.worth;
    const auto second = static_cast<std::size_t>((this->now - this->start) / seconds(1));
    this->asked_by_second[std::min(second, this->asked_by_second.size() - 1)] += 1;
    this->dispatch(item);
}

server_entry& simulation::row(const caller_request& item)
{
    return *this->vms[item.vm]->rows[item.engine];
}

/** One attempt, through a VM drawn at random, as a load balancer would pick it. */
void simulation::dispatch(const std::shared_ptr<caller_request>& item)
{
    std::uniform_int_distribution<std::size_t> draw_vm(0, this->vms.size() - 1);
    item->vm = draw_vm(this->random);
    vm_model& vm = *this->vms[item->vm];
    vm.admission_control.on_request(engines_service, item->work.shared, this->now);
    const request_kind& kind = this->given.kinds[item->kind];
    placement_request wanted{engines_service, true, item->work.shared, {}, item->work.priority};
    wanted.objective = kind.objective;
    wanted.remaining = kind.deadline - (this->now - item->first_try);
    wanted.prompt_tokens = item->work.shared_tokens + item->work.own_tokens;
    const admission_decision decided = vm.admission_control.decide(wanted, true, this->now);
    std::visit(
        visitor{[&](const admit_to& to) { this->send(item, to.placement); },
                [&](const retry_later& answer) { this->schedule_retry(item, answer.retry_after); },
                [&](const no_server&) { this->record_outcome(*item, false); }},
        decided);
}

/** Mean load of the engines that accept new requests. */
double simulation::mean_load()
{
    double total = 0;
    double count = 0;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        if (!this->vms.front()->rows[i]->accepts_requests()) continue;
        total += this->engines[i]->load();
        ++count;
    }
    return count > 0 ? total / count : 0;
}

void simulation::send(const std::shared_ptr<caller_request>& item, const placement_result& where)
{
    const auto found = std::ranges::find(this->engine_ids, where.row->record.id);
    item->engine = static_cast<std::size_t>(found - this->engine_ids.begin());
    item->id = this->next_id++;
    item->work.id = item->id;
    item->sent = this->now;
    item->expected_wait = where.wait;
    emulated_engine& engine = *this->engines[item->engine];
    const double bound = 2 * this->mean_load() + 3;
    if (this->now - this->start > in_seconds(warm_up_s)) {
        ++this->sends;
        if (engine.load() > bound) ++this->sends_over_bound;
    }
    if (where.cached_at != nullptr) {
        const auto source = std::ranges::find(this->engine_ids, where.cached_at->record.id);
        const auto at = static_cast<std::size_t>(source - this->engine_ids.begin());
        item->work.copied = this->engines[at]->holds(item->work.shared);
    }
    if (!engine.dark && !engine.try_enqueue(item->work)) {
        this->schedule_retry(item, overload_tracker::min_overload_retry_after);
        return;
    }
    item->at_engine = true;
    this->requests.emplace(item->id, item);
    server_entry& row = this->row(*item);
    if (row.in_flight++ == 0) row.in_flight_since = this->now;
    row.health.on_sent(this->now);
    this->schedule_departure(item);
}

void simulation::schedule_retry(const std::shared_ptr<caller_request>& item, duration after)
{
    const request_kind& kind = this->given.kinds[item->kind];
    if (std::exchange(item->retried, true)) {
        this->record_outcome(*item, false);
        return;
    }
    const duration left = kind.deadline - (this->now - item->first_try);
    const auto max_delay = std::chrono::duration_cast<duration>(left * max_retry_delay_share);
    this->schedule(this->now + std::min(after, max_delay), [this, item] { this->dispatch(item); });
}

void simulation::schedule_departure(const std::shared_ptr<caller_request>& item)
{
    const std::uint64_t id = item->id;
    const request_kind& kind = this->given.kinds[item->kind];
    this->schedule(this->now + kind.patience, [this, id] {
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second->first_event != instant{}) return;
        this->leave(*found->second);
    });
}

void simulation::leave(caller_request& item)
{
    this->engines[item.engine]->cancel(item.id);
    server_entry& row = this->row(item);
    row.health.on_neutral();
    --row.in_flight;
    ++this->result.kinds[this->given.kinds[item.kind].name].left;
    item.ended = true;
    this->requests.erase(item.id);
}

void simulation::handle_first_event(caller_request& item)
{
    item.first_event = this->now;
    server_entry& row = this->row(item);
    row.last_received_at = this->now;
    row.first_delay.add(this->now - item.sent, this->now);
    this->vms[item.vm]->table.on_first_event(row, {item.work.shared_tokens + item.work.own_tokens,
                                                   this->now - item.sent, item.expected_wait,
                                                   this->given.kinds[item.kind].objective});
    row.set_reported_load(this->engines[item.engine]->load(), this->now);
    row.reported_here = true;
    if (!this->given.states_pace) return;
    server_table::note_pace(row, this->engines[item.engine]->slowdown_factor, this->now);
}

void simulation::change_paces()
{
    const double spread = this->given.pace_spread;
    std::lognormal_distribution<double> distribution(-spread * spread / 2, spread);
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->engines[i]->slowdown_factor = this->slowdowns[i] * distribution(this->random);
}

void simulation::handle_end(caller_request& item)
{
    server_entry& row = this->row(item);
    --row.in_flight;
    row.last_received_at = this->now;
    row.health.on_success(this->now);
    this->vms[item.vm]->table.on_finished(row, this->now - item.first_event);
    this->record_outcome(item, true);
    this->requests.erase(item.id);
}

void simulation::record_outcome(caller_request& item, bool served)
{
    const request_kind& kind = this->given.kinds[item.kind];
    kind_outcome& kind_totals = this->result.kinds[kind.name];
    if (!served) {
        ++kind_totals.refused;
        return;
    }
    const duration taken = item.first_event - item.first_try;
    kind_totals.first_event_ms.push_back(to_ms(taken));
    const bool on_time = taken <= kind.objective;
    kind_totals.on_time += on_time ? 1 : 0;
    kind_totals.late += on_time ? 0 : 1;
    kind_totals.late_at_first_attempt += on_time || item.retried ? 0 : 1;
    kind_totals.earned += on_time ? kind.worth : kind.worth_late;
    const auto second = static_cast<std::size_t>((item.first_try - this->start) / seconds(1));
    if (on_time) this->result.on_time_by_second[second] += 1;
}

duration simulation::load_sums_age() const
{
    if (this->sees_true_loads) return {};
    const int rounds = this->vms.size() > max_vms_in_one_data_centre ? load_sum_rounds : 1;
    return in_seconds(this->given.digest_ms * rounds / 1000);
}

void simulation::run_router_tick()
{
    std::vector<std::uint32_t> loads(this->engines.size());
    std::ranges::transform(this->engines, loads.begin(),
                           [](const auto& engine) { return engine->load(); });
    this->load_history.push_back(std::move(loads));
    const auto age = static_cast<std::size_t>(this->load_sums_age() / router_tick);
    const std::vector<std::uint32_t>& known_loads =
        this->load_history[this->load_history.size() - 1 -
                           std::min(age, this->load_history.size() - 1)];
    for (const auto& vm : this->vms) {
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            server_entry& row = *vm->rows[i];
            row.peers_in_flight = known_loads[i] - std::min(known_loads[i], row.in_flight);
            if (this->sees_true_loads) row.set_reported_load(this->engines[i]->load(), this->now);
        }
        vm->table.expire_reported_loads(this->now);
        vm->table.mark_slow(this->now);
        vm->table.update_paces(this->now);
        vm->table.sum_loads(this->now);
        vm->admission_control.set_fleet_demand_multiple(static_cast<double>(this->vms.size()));
    }
}

/** Each VM sends the loads that engines reported to it to the other VMs of its data centre. */
void simulation::exchange_digests()
{
    constexpr std::size_t data_centres = 4;
    const std::size_t groups = this->vms.size() > max_vms_in_one_data_centre ? data_centres : 1;
    for (std::size_t from = 0; from < this->vms.size(); ++from) {
        const std::vector<reported_load> reported =
            this->vms[from]->table.drain_reported_loads(this->now);
        for (std::size_t to = from % groups; to < this->vms.size(); to += groups) {
            if (to == from) continue;
            for (const reported_load& item : reported)
                this->vms[to]->table.apply_reported_load(item, this->now);
        }
    }
}

outcome simulation::run()
{
    const instant end = this->start + in_seconds(this->given.seconds);
    constexpr duration drain_time = seconds(15);
    instant next_tick = this->now;
    instant next_digests = this->now;
    instant next_pace = this->now;
    for (; this->now < end + drain_time; this->now += simulation_step) {
        while (!this->events.empty() && this->events.top().at <= this->now) {
            const std::function<void()> what = this->events.top().what;
            this->events.pop();
            what();
        }
        if (this->now >= next_tick) {
            this->run_router_tick();
            next_tick += router_tick;
        }
        if (this->given.pace_spread > 0 && this->now >= next_pace) {
            this->change_paces();
            next_pace += pace_interval;
        }
        if (this->now >= next_digests) {
            this->exchange_digests();
            next_digests += in_seconds(this->given.digest_ms / 1000);
        }
        if (this->now < end) this->generate_arrivals();
        for (const auto& engine : this->engines)
            engine->step(this->now);
    }
    this->result.in_time_per_s = this->result.on_time_by_second;
    for (std::size_t i = 0; i < this->asked_by_second.size(); ++i) {
        if (this->asked_by_second[i] > 0)
            this->result.on_time_by_second[i] /= this->asked_by_second[i];
    }
    for (const auto& engine : this->engines) {
        this->result.totals.tokens_read += engine->totals.tokens_read;
        this->result.totals.shared_tokens_read += engine->totals.shared_tokens_read;
        this->result.totals.shared_tokens_copied += engine->totals.shared_tokens_copied;
    }
    if (this->sends > 0) {
        this->result.over_bound =
            static_cast<double>(this->sends_over_bound) / static_cast<double>(this->sends);
    }
    return std::move(this->result);
}

template <class Value>
double sum_of(const outcome& from, Value value)
{
    double sum = 0;
    for (const auto& [name, kind] : from.kinds)
        sum += static_cast<double>(value(kind));
    return sum;
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

double outcome::earned_share() const
{
    return ratio(sum_of(*this, [](const kind_outcome& kind) { return kind.earned; }),
                 sum_of(*this, [](const kind_outcome& kind) { return kind.attainable_value; }));
}

double outcome::on_time_share() const
{
    return ratio(sum_of(*this, [](const kind_outcome& kind) { return kind.on_time; }),
                 sum_of(*this, [](const kind_outcome& kind) { return kind.asked; }));
}

double outcome::refused_share() const
{
    return ratio(sum_of(*this, [](const kind_outcome& kind) { return kind.refused; }),
                 sum_of(*this, [](const kind_outcome& kind) { return kind.asked; }));
}

namespace {

void admit_all(placement_policy& policy)
{
    policy.wait_of_objective = 0;
    policy.busy_from = 0;
}

/** The change that each policy name makes to the product's policy. */
const std::map<std::string, void (*)(placement_policy&), std::less<>>& changes()
{
    static const std::map<std::string, void (*)(placement_policy&), std::less<>> all{
        {"product", [](placement_policy&) {}},
        {"admit-all", admit_all},
        {"no-slot-limit", [](placement_policy& policy) { policy.wait_of_objective = 0; }},
        {"no-rate-limit", [](placement_policy& policy) { policy.busy_from = 0; }},
        {"no-pace", [](placement_policy& policy) { policy.slow_pace = 0; }},
        {"no-slow", [](placement_policy& policy) { policy.slow_multiple = 0; }},
        {"forecast", [](placement_policy& policy) { policy.first_event_share = 0.8; }},
        {"no-spread", [](placement_policy& policy) { policy.load_spread = 0; }},
        {"no-hot-prompts", [](placement_policy& policy) { policy.hot_prompt_share = 0; }},
        {"any-rank", [](placement_policy& policy) { policy.ranks_to_wait_at = 1000; }},
        {"no-margin", [](placement_policy& policy) { policy.lateness_margin = 0; }},
        {"all-knowing", [](placement_policy&) {}},
    };
    return all;
}

} // namespace

named_policy make_named_policy(std::string_view name)
{
    const auto found = changes().find(name);
    if (found == changes().end()) {
        throw user_error("experiment", std::string(name), "unknown policy");
    }
    named_policy made{std::string(name), {}, name == "all-knowing"};
    found->second(made.policy);
    return made;
}

std::vector<std::string> named_policy_names()
{
    std::vector<std::string> names;
    for (const auto& [name, change] : changes())
        names.push_back(name);
    return names;
}

outcome run_simulation(const pattern& given, const named_policy& chosen_policy, std::uint64_t seed)
{
    return simulation(given, chosen_policy, seed).run();
}

} // namespace lab
