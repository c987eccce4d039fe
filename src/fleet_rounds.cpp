#include "fleet_rounds.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace worksshift {

fleet_rounds::fleet_rounds(const fleet_table::identity& self, std::span<const std::uint32_t> given,
                           instant now)
    : seeds(given.begin(), given.end()), table(self, given, now), loads(this->table)
{
}

void fleet_rounds::add_seeds(std::span<const std::uint32_t> given, instant now)
{
    for (const std::uint32_t seed : given) {
        if (std::ranges::find(this->seeds, seed) == this->seeds.end()) this->seeds.push_back(seed);
    }
    this->table.add_seeds(given, now);
}

void fleet_rounds::hasten()
{
    this->next_round = std::min(this->next_round, this->last_round + hastened_period);
}

std::vector<outgoing_digest> fleet_rounds::next(own_state state, instant now)
{
    this->table.forget_dead(now);
    this->delegates = this->table.delegates(now);
    this->loads.set_own(std::move(state.loads), state.servers, std::move(state.busy));
    this->loads.begin_round(now);
    fleet_digest& digest = state.digest;
    digest.incarnation = this->table.self().incarnation;
    digest.data_centre = this->table.self().data_centre;
    digest.period_ms = static_cast<std::uint16_t>(this->between / milliseconds(1));
    digest.joining = this->table.is_joining(now);
    std::vector<outgoing_digest> all;
    all.push_back(this->to_near(digest, now));
    digest.crash_reports = std::move(state.distant_crash_reports);
    this->add_distant(all, digest, now);
    all.push_back(this->to_joining(digest, now));
    ++this->rounds;
    this->space_rounds(all);
    this->last_round = now;
    this->next_round = now + this->between;
    return all;
}

/** The next rounds are as far apart as their bytes ask for. */
void fleet_rounds::space_rounds(std::span<const outgoing_digest> sent)
{
    const auto bytes = std::accumulate(sent.begin(), sent.end(), std::size_t{0},
                                       [](std::size_t sum, const outgoing_digest& item) {
                                           return sum + item.bytes.size() * item.to.size();
                                       });
    const std::chrono::duration<double> wanted(static_cast<double>(bytes) / digest_bytes_per_s);
    this->between = std::clamp(std::chrono::duration_cast<duration>(wanted),
                               duration(shortest_period), duration(longest_period));
    this->loads.set_period(this->between);
}

outgoing_digest fleet_rounds::to_near(fleet_digest digest, instant now)
{
    digest.sequence = ++this->sequence;
    digest.vms = this->table.rumours(rumours_told, this->delegates, now);
    this->loads.describe(digest);
    outgoing_digest made{encode(digest), {}};
    const bool trial = this->rounds % rounds_between_trials == 0;
    for (const auto& [address, item] : this->table.vms()) {
        if (!this->table.is_near(item)) continue;
        const bool new_here = now - item.known_since < new_vm_period;
        if (trial || new_here || fleet_table::is_heard(item, now)) made.to.push_back(address);
    }
    return made;
}

void fleet_rounds::add_distant(std::vector<outgoing_digest>& all, fleet_digest digest, instant now)
{
    digest.sequence = ++this->sequence;
    for (distant_message& message : this->loads.to_distant()) {
        digest.vms = this->table.rumours(rumours_told, this->delegates, now);
        digest.centre_loads = std::move(message.centre_loads);
        all.push_back({encode(digest), {message.address}});
    }
}

/** Answers VMs that know few others yet, and makes this one known while it is one of them. */
outgoing_digest fleet_rounds::to_joining(fleet_digest digest, instant now)
{
    outgoing_digest made;
    for (auto& [address, item] : this->table.vms()) {
        const bool seed =
            digest.joining && std::ranges::find(this->seeds, address) != this->seeds.end();
        if (std::exchange(item.to_answer, false) || seed) made.to.push_back(address);
    }
    if (made.to.empty()) return made;
    digest.sequence = ++this->sequence;
    digest.vms = this->table.rumours(rumours_to_joining, this->delegates, now);
    made.bytes = encode(digest);
    return made;
}

} // namespace worksshift
