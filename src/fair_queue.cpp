#include "fair_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace worksshift {

std::optional<waiting_attempt> fair_queue::push(const waiting_attempt& request)
{
    flow& row = this->flows[request.account];
    row.weight = request.weight;
    const double start = std::max(this->virtual_time, row.last_finish);
    row.last_finish = start + request.cost / request.weight;
    row.waiting_cost += request.cost;
    ++row.count;
    this->queued[{request.request_priority, row.last_finish, this->arrivals++}] = request;
    if (this->queued.size() <= this->capacity) return std::nullopt;

    const auto waiting_cost_per_weight = [](const auto& entry) {
        return entry.second.waiting_cost / entry.second.weight;
    };
    const auto largest = std::ranges::max_element(this->flows, {}, waiting_cost_per_weight);
    const auto newest =
        std::find_if(this->queued.rbegin(), this->queued.rend(),
                     [&](const auto& entry) { return entry.second.account == largest->first; });
    // The virtual time of the shed request is returned, so that shedding does not delay the
    // account's later requests.
    largest->second.last_finish -= newest->second.cost / newest->second.weight;
    return this->remove(std::prev(newest.base()));
}

double fair_queue::demand::decayed_amount(instant now) const
{
    const std::chrono::duration<double> elapsed = now - this->updated_at;
    const std::chrono::duration<double> scale = demand_decay_time;
    return this->amount * std::exp(-elapsed / scale);
}

void fair_queue::charge(const client_account_id& account, double weight, std::uint32_t cost,
                        instant now)
{
    demand& row = this->demands[account];
    this->total_demand.weight += weight - (row.updated_at == instant{} ? 0 : row.weight);
    row = {row.decayed_amount(now) + cost, weight, now};
    this->total_demand.amount = this->total_demand.decayed_amount(now) + cost;
    this->total_demand.updated_at = now;
    if (this->demands.size() >= this->cleanup_threshold) this->remove_idle_demands(now);
}

void fair_queue::remove_idle_demands(instant now)
{
    std::erase_if(this->demands, [&](const auto& entry) {
        const bool idle = entry.second.decayed_amount(now) < min_tracked_demand;
        if (idle) this->total_demand.weight -= entry.second.weight;
        return idle;
    });
    this->cleanup_threshold = std::max<std::size_t>(64, 2 * this->demands.size());
}

bool fair_queue::heavy(const client_account_id& account, instant now) const
{
    const auto row = this->demands.find(account);
    if (row == this->demands.end()) return false;
    const double share =
        this->total_demand.decayed_amount(now) * row->second.weight / this->total_demand.weight;
    return row->second.decayed_amount(now) > heavy_demand_ratio * share;
}

fair_queue::queue_map::iterator fair_queue::find_light(instant now)
{
    return std::ranges::find_if(
        this->queued, [&](const auto& entry) { return !this->heavy(entry.second.account, now); });
}

waiting_attempt fair_queue::remove_in_turn(queue_map::iterator position)
{
    const double start = position->first.finish - position->second.cost / position->second.weight;
    this->virtual_time = std::max(this->virtual_time, start);
    return this->remove(position);
}

std::optional<waiting_attempt> fair_queue::pop(instant now)
{
    if (this->queued.empty()) return std::nullopt;
    const auto first = this->queued.begin();
    const auto light = this->find_light(now);
    const bool in_turn =
        light != this->queued.end() && light->first.urgency == first->first.urgency;
    return this->remove_in_turn(in_turn ? light : first);
}

std::optional<waiting_attempt> fair_queue::pop_light(instant now)
{
    const auto light = this->find_light(now);
    if (light == this->queued.end()) return std::nullopt;
    return this->remove_in_turn(light);
}

std::optional<waiting_attempt> fair_queue::pop_account(const client_account_id& account)
{
    const auto found = std::ranges::find_if(
        this->queued, [&](const auto& entry) { return entry.second.account == account; });
    if (found == this->queued.end()) return std::nullopt;
    return this->remove(found);
}

std::vector<waiting_attempt> fair_queue::take_expired(instant now)
{
    std::vector<waiting_attempt> expired;
    for (auto position = this->queued.begin(); position != this->queued.end();) {
        const auto next = std::next(position);
        if (position->second.deadline <= now) expired.push_back(this->remove(position));
        position = next;
    }
    return expired;
}

std::vector<waiting_attempt> fair_queue::take_all()
{
    std::vector<waiting_attempt> all;
    while (!this->queued.empty())
        all.push_back(this->remove(this->queued.begin()));
    return all;
}

bool fair_queue::erase(const attempt_id& id)
{
    const auto found = std::ranges::find_if(
        this->queued, [&](const auto& entry) { return entry.second.id == id; });
    if (found == this->queued.end()) return false;
    this->remove(found);
    return true;
}

double fair_queue::cost_ahead(const client_account_id& account, double weight, double cost,
                              instant now) const
{
    const auto own = this->flows.find(account);
    const double own_cost = own == this->flows.end() ? 0 : own->second.waiting_cost;
    const double own_level = (own_cost + cost) / weight;
    const bool own_heavy = this->heavy(account, now);
    return std::accumulate(
        this->flows.begin(), this->flows.end(), own_cost, [&](double sum, const auto& entry) {
            if (entry.first == account) return sum;
            const bool other_heavy = this->heavy(entry.first, now);
            if (own_heavy && !other_heavy) return sum + entry.second.waiting_cost;
            if (!own_heavy && other_heavy) return sum;
            return sum + std::min(entry.second.waiting_cost, own_level * entry.second.weight);
        });
}

double fair_queue::total_cost() const
{
    return std::accumulate(
        this->flows.begin(), this->flows.end(), 0.0,
        [](double sum, const auto& entry) { return sum + entry.second.waiting_cost; });
}

waiting_attempt fair_queue::remove(queue_map::iterator position)
{
    waiting_attempt request = std::move(position->second);
    this->queued.erase(position);
    const auto row = this->flows.find(request.account);
    row->second.waiting_cost -= request.cost;
    // An empty flow is kept while its finish time is ahead of virtual time, so that its account
    // does not gain by emptying its queue. An empty queue resets all flows.
    if (--row->second.count == 0 && row->second.last_finish <= this->virtual_time) {
        this->flows.erase(row);
    }
    if (this->queued.empty()) {
        this->flows.clear();
        this->virtual_time = 0;
    }
    return request;
}

} // namespace worksshift
