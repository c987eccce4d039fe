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
/** The world moves on in steps of this. */
constexpr duration tick = milliseconds(1);
/** A router's own tick, in which it marks and sums. */
constexpr duration router_tick = milliseconds(25);
/** One way between callers, VMs and engines. */
constexpr duration on_the_way = milliseconds(3);
/** Sums of requests pass up to three VMs in a fleet of several data centres. */
constexpr int rounds_of_sums = 3;
constexpr std::size_t vms_of_one_group = 12;
/** Callers come back so late at most: this share of the time that they have left. */
constexpr double longest_stay_share = 1.0 / 3;
constexpr double seconds_before_bound_counts = 1;

duration in_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/** One router: the product's table and admission, fed with what a router would hear. */
struct vm_model {
    vm_model(const placement_policy& policy, unsigned seed)
        : table(data_centre_id{"dc"}, seed), admitting(table, seed + 1)
    {
        this->table.policy = policy;
    }

    server_table table;
    admission admitting;
    std::vector<server_entry*> rows; ///< by engine; references to rows stay valid
};

struct caller_request {
    std::uint64_t id = 0;
    std::size_t kind = 0;
    std::size_t vm = 0;
    std::size_t engine = 0;
    engine_request work;
    instant first_try{};
    instant sent{};
    instant first_event{};
    bool came_back = false;
    bool at_engine = false;
    bool over = false;
};

class world {
public:
    world(const pattern& given, const decision_maker& decides, std::uint64_t seed);
    outcome run();

private:
    struct due {
        instant at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator>(const due& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void at(instant when, std::function<void()> what);
    void make_engines();
    void make_vms(const placement_policy& policy);
    void plan_faults();
    void change(const engine_fault& fault, std::size_t engine, bool begins);
    void arrivals();
    [[nodiscard]] double times(const request_kind& kind) const;
    [[nodiscard]] double hot_share(const request_kind& kind) const;
    void ask(std::size_t kind);
    void dispatch(const std::shared_ptr<caller_request>& item);
    void send(const std::shared_ptr<caller_request>& item, const placed& where);
    void come_back_later(const std::shared_ptr<caller_request>& item, duration after);
    void watch_patience(const std::shared_ptr<caller_request>& item);
    void leave(caller_request& item);
    void take_first(caller_request& item);
    void take_end(caller_request& item);
    void settle(caller_request& item, bool served);
    void router_ticks();
    void digests();
    [[nodiscard]] double mean_load();
    [[nodiscard]] duration sums_age() const;
    server_entry& row(const caller_request& item);

    const pattern& given;
    bool all_knowing;
    std::mt19937_64 random;
    instant now{seconds(1000)};
    instant start{this->now};
    std::uint64_t orders = 0;
    std::priority_queue<due, std::vector<due>, std::greater<>> dues;
    std::vector<std::unique_ptr<emulated_engine>> engines;
    std::vector<server_id> engine_ids;
    std::vector<std::unique_ptr<vm_model>> vms;
    std::map<std::uint64_t, std::shared_ptr<caller_request>> requests;
    std::uint64_t next_id = 1;
    std::vector<std::vector<std::uint32_t>> sums; ///< loads of the engines by router tick
    std::size_t sends = 0;
    std::size_t sends_over_bound = 0;
    std::vector<double> asked_by_second;
    outcome result;
};

world::world(const pattern& given, const decision_maker& decides, std::uint64_t seed)
    : given(given), all_knowing(decides.all_knowing), random(seed)
{
    this->make_engines();
    this->make_vms(decides.policy);
    this->plan_faults();
    const auto whole = static_cast<std::size_t>(std::ceil(given.seconds));
    this->asked_by_second.resize(whole);
    this->result.on_time_by_second.resize(whole);
}

void world::at(instant when, std::function<void()> what)
{
    this->dues.push({when, ++this->orders, std::move(what)});
}

void world::make_engines()
{
    for (std::size_t i = 0; i < this->given.engines; ++i) {
        this->engine_ids.push_back({"engine-" + std::to_string(i)});
        auto made = std::make_unique<emulated_engine>(this->given.engine);
        made->on_first_event = [this](std::uint64_t id, instant when) {
            this->at(when + on_the_way, [this, id] {
                if (const auto found = this->requests.find(id); found != this->requests.end())
                    this->take_first(*found->second);
            });
        };
        made->on_end = [this](std::uint64_t id, instant when) {
            this->at(when + on_the_way, [this, id] {
                if (const auto found = this->requests.find(id); found != this->requests.end())
                    this->take_end(*found->second);
            });
        };
        this->engines.push_back(std::move(made));
    }
}

void world::make_vms(const placement_policy& policy)
{
    const std::size_t count = this->all_knowing ? 1 : this->given.vms;
    milliseconds shortest = this->given.kinds.front().objective;
    for (const request_kind& kind : this->given.kinds)
        shortest = std::min(shortest, kind.objective);
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
        made->table.set_objective(engines_service, shortest);
        this->vms.push_back(std::move(made));
    }
}

void world::plan_faults()
{
    for (const engine_fault& fault : this->given.faults) {
        std::vector<std::size_t> all(this->engines.size());
        std::iota(all.begin(), all.end(), std::size_t{0});
        std::ranges::shuffle(all, this->random);
        const double count = fault.share * static_cast<double>(all.size());
        all.resize(static_cast<std::size_t>(std::lround(count)));
        for (const std::size_t engine : all) {
            this->at(this->start + in_seconds(fault.from_s),
                     [this, &fault, engine] { this->change(fault, engine, true); });
            this->at(this->start + in_seconds(fault.to_s),
                     [this, &fault, engine] { this->change(fault, engine, false); });
        }
    }
}

void world::change(const engine_fault& fault, std::size_t engine, bool begins)
{
    emulated_engine& item = *this->engines[engine];
    switch (fault.what) {
    case engine_fault::effect::dark:
        item.dark = begins;
        if (begins) item.restart();
        break;
    case engine_fault::effect::slow:
        item.slowness = begins ? fault.times : 1;
        break;
    case engine_fault::effect::leave:
        for (const auto& vm : this->vms)
            vm->rows[engine]->record.draining = begins;
        break;
    }
}

double world::times(const request_kind& kind) const
{
    const double second = std::chrono::duration<double>(this->now - this->start).count();
    double value = 1;
    for (const wave& item : this->given.waves) {
        const bool meant = item.kind.empty() || item.kind == kind.name;
        if (meant && second >= item.from_s && second < item.to_s) value *= item.times;
    }
    return value;
}

double world::hot_share(const request_kind& kind) const
{
    const double second = std::chrono::duration<double>(this->now - this->start).count();
    double share = 0;
    for (const wave& item : this->given.waves) {
        const bool now_here = second >= item.from_s && second < item.to_s;
        if (now_here && item.kind == kind.name) share = std::max(share, item.hot_share);
    }
    return share;
}

void world::arrivals()
{
    const double span = std::chrono::duration<double>(tick).count();
    for (std::size_t kind = 0; kind < this->given.kinds.size(); ++kind) {
        const double mean =
            this->given.kinds[kind].per_s * this->times(this->given.kinds[kind]) * span;
        std::poisson_distribution<int> draw(mean);
        for (int left = mean > 0 ? draw(this->random) : 0; left > 0; --left)
            this->ask(kind);
    }
}

void world::ask(std::size_t kind)
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
    kind_outcome& counted = this->result.kinds[from.name];
    ++counted.asked;
    counted.owed += from.worth;
    const auto second = static_cast<std::size_t>((this->now - this->start) / seconds(1));
    this->asked_by_second[std::min(second, this->asked_by_second.size() - 1)] += 1;
    this->dispatch(item);
}

server_entry& world::row(const caller_request& item)
{
    return *this->vms[item.vm]->rows[item.engine];
}

/** A try: through any VM, as the balancer has it. */
void world::dispatch(const std::shared_ptr<caller_request>& item)
{
    std::uniform_int_distribution<std::size_t> draw_vm(0, this->vms.size() - 1);
    item->vm = draw_vm(this->random);
    vm_model& vm = *this->vms[item->vm];
    vm.admitting.on_request(engines_service, item->work.shared, this->now);
    const placing wanted{engines_service, true, item->work.shared, {}, item->work.priority};
    const verdict decided = vm.admitting.decide(wanted, true, this->now);
    std::visit(
        visitor{[&](const send_to& to) { this->send(item, to.where); },
                [&](const come_back& answer) { this->come_back_later(item, answer.retry_after); },
                [&](const no_server&) { this->settle(*item, false); }},
        decided);
}

/** Of the engines that take work. */
double world::mean_load()
{
    double total = 0;
    double count = 0;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        if (!this->vms.front()->rows[i]->takes_work()) continue;
        total += this->engines[i]->load();
        ++count;
    }
    return count > 0 ? total / count : 0;
}

void world::send(const std::shared_ptr<caller_request>& item, const placed& where)
{
    const auto found = std::ranges::find(this->engine_ids, where.row->record.id);
    item->engine = static_cast<std::size_t>(found - this->engine_ids.begin());
    item->id = this->next_id++;
    item->work.id = item->id;
    item->sent = this->now;
    emulated_engine& engine = *this->engines[item->engine];
    const double bound = 2 * this->mean_load() + 3;
    if (this->now - this->start > in_seconds(seconds_before_bound_counts)) {
        ++this->sends;
        if (engine.load() > bound) ++this->sends_over_bound;
    }
    if (where.cached_at != nullptr) {
        const auto source = std::ranges::find(this->engine_ids, where.cached_at->record.id);
        const auto at = static_cast<std::size_t>(source - this->engine_ids.begin());
        item->work.copied = this->engines[at]->holds(item->work.shared);
    }
    if (!engine.dark && !engine.take(item->work)) {
        this->come_back_later(item, overload_watch::shortest_stay);
        return;
    }
    item->at_engine = true;
    this->requests.emplace(item->id, item);
    server_entry& row = this->row(*item);
    if (row.in_flight++ == 0) row.waited_from = this->now;
    row.health.on_sent(this->now);
    this->watch_patience(item);
}

void world::come_back_later(const std::shared_ptr<caller_request>& item, duration after)
{
    const request_kind& kind = this->given.kinds[item->kind];
    if (std::exchange(item->came_back, true)) {
        this->settle(*item, false);
        return;
    }
    const duration left = kind.deadline - (this->now - item->first_try);
    const auto longest = std::chrono::duration_cast<duration>(left * longest_stay_share);
    this->at(this->now + std::min(after, longest), [this, item] { this->dispatch(item); });
}

void world::watch_patience(const std::shared_ptr<caller_request>& item)
{
    const std::uint64_t id = item->id;
    const request_kind& kind = this->given.kinds[item->kind];
    this->at(this->now + kind.patience, [this, id] {
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second->first_event != instant{}) return;
        this->leave(*found->second);
    });
}

void world::leave(caller_request& item)
{
    this->engines[item.engine]->cancel(item.id);
    server_entry& row = this->row(item);
    row.health.on_neutral();
    --row.in_flight;
    ++this->result.kinds[this->given.kinds[item.kind].name].left;
    item.over = true;
    this->requests.erase(item.id);
}

void world::take_first(caller_request& item)
{
    item.first_event = this->now;
    server_entry& row = this->row(item);
    row.heard_at = this->now;
    row.first_delay.add(this->now - item.sent, this->now);
    row.state(this->engines[item.engine]->load(), this->now);
    row.stated_here = true;
}

void world::take_end(caller_request& item)
{
    server_entry& row = this->row(item);
    --row.in_flight;
    row.heard_at = this->now;
    row.health.on_success(this->now);
    this->vms[item.vm]->table.on_finished(row, this->now - item.first_event);
    this->settle(item, true);
    this->requests.erase(item.id);
}

void world::settle(caller_request& item, bool served)
{
    const request_kind& kind = this->given.kinds[item.kind];
    kind_outcome& counted = this->result.kinds[kind.name];
    if (!served) {
        ++counted.refused;
        return;
    }
    const duration taken = item.first_event - item.first_try;
    counted.first_event_ms.push_back(to_ms(taken));
    const bool on_time = taken <= kind.objective;
    counted.on_time += on_time ? 1 : 0;
    counted.late += on_time ? 0 : 1;
    counted.earned += on_time ? kind.worth : kind.worth_late;
    const auto second = static_cast<std::size_t>((item.first_try - this->start) / seconds(1));
    if (on_time) this->result.on_time_by_second[second] += 1;
}

duration world::sums_age() const
{
    if (this->all_knowing) return {};
    const int rounds = this->vms.size() > vms_of_one_group ? rounds_of_sums : 1;
    return in_seconds(this->given.digest_ms * rounds / 1000);
}

void world::router_ticks()
{
    std::vector<std::uint32_t> loads(this->engines.size());
    std::ranges::transform(this->engines, loads.begin(),
                           [](const auto& engine) { return engine->load(); });
    this->sums.push_back(std::move(loads));
    const auto age = static_cast<std::size_t>(this->sums_age() / router_tick);
    const std::vector<std::uint32_t>& told =
        this->sums[this->sums.size() - 1 - std::min(age, this->sums.size() - 1)];
    for (const auto& vm : this->vms) {
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            server_entry& row = *vm->rows[i];
            row.peers_in_flight = told[i] - std::min(told[i], row.in_flight);
            if (this->all_knowing) row.state(this->engines[i]->load(), this->now);
        }
        vm->table.expire_stated(this->now);
        vm->table.mark_slow(this->now);
        vm->table.sum_loads(this->now);
        vm->admitting.set_fleet_demand(static_cast<double>(this->vms.size()));
    }
}

/** Each VM tells the loads that engines stated to it to the others of its data centre. */
void world::digests()
{
    constexpr std::size_t data_centres = 4;
    const std::size_t groups = this->vms.size() > vms_of_one_group ? data_centres : 1;
    for (std::size_t from = 0; from < this->vms.size(); ++from) {
        const std::vector<stated_load> news = this->vms[from]->table.take_news(this->now);
        for (std::size_t to = from % groups; to < this->vms.size(); to += groups) {
            if (to == from) continue;
            for (const stated_load& item : news)
                this->vms[to]->table.take_stated(item, this->now);
        }
    }
}

outcome world::run()
{
    const instant end = this->start + in_seconds(this->given.seconds);
    constexpr duration time_to_finish = seconds(15);
    instant next_tick = this->now;
    instant next_digests = this->now;
    for (; this->now < end + time_to_finish; this->now += tick) {
        while (!this->dues.empty() && this->dues.top().at <= this->now) {
            const std::function<void()> what = this->dues.top().what;
            this->dues.pop();
            what();
        }
        if (this->now >= next_tick) {
            this->router_ticks();
            next_tick += router_tick;
        }
        if (this->now >= next_digests) {
            this->digests();
            next_digests += in_seconds(this->given.digest_ms / 1000);
        }
        if (this->now < end) this->arrivals();
        for (const auto& engine : this->engines)
            engine->step(this->now);
    }
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
                 sum_of(*this, [](const kind_outcome& kind) { return kind.owed; }));
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

/** What each name changes in the product's policy. */
const std::map<std::string, void (*)(placement_policy&), std::less<>>& changes()
{
    static const std::map<std::string, void (*)(placement_policy&), std::less<>> all{
        {"product", [](placement_policy&) {}},
        {"admit-all", admit_all},
        {"no-slot-limit", [](placement_policy& policy) { policy.wait_of_objective = 0; }},
        {"no-rate-limit", [](placement_policy& policy) { policy.busy_from = 0; }},
        {"no-slow", [](placement_policy& policy) { policy.slow_multiple = 0; }},
        {"no-spread", [](placement_policy& policy) { policy.spread_of_loads = 0; }},
        {"no-hot-prompts", [](placement_policy& policy) { policy.hot_prompt_share = 0; }},
        {"any-rank", [](placement_policy& policy) { policy.ranks_to_wait_at = 1000; }},
        {"no-margin", [](placement_policy& policy) { policy.lateness_margin = 0; }},
        {"all-knowing", [](placement_policy&) {}},
    };
    return all;
}

} // namespace

decision_maker make_decision_maker(std::string_view name)
{
    const auto found = changes().find(name);
    if (found == changes().end()) {
        throw user_error("experiment", std::string(name), "there is no such policy");
    }
    decision_maker made{std::string(name), {}, name == "all-knowing"};
    found->second(made.policy);
    return made;
}

std::vector<std::string> decision_maker_names()
{
    std::vector<std::string> names;
    for (const auto& [name, change] : changes())
        names.push_back(name);
    return names;
}

outcome play(const pattern& given, const decision_maker& decides, std::uint64_t seed)
{
    return world(given, decides, seed).run();
}

} // namespace lab
