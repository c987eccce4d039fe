#include "service_reach.h"

#include <algorithm>

namespace worksshift {

namespace {

/** Number of servers that must be lost, or answer others, if the service has that many. One alone
 * may have failed, or may have been restarted between two reports. */
constexpr std::size_t min_servers_lost = 2;
/** Number of servers whose connections are known before the whole service is judged. */
constexpr std::size_t sufficient_servers = 4;

bool is_lost(const server_entry& row, instant now)
{
    return row.path.lost() && now - row.path.last_failed_at() <= service_reach::failure_lifetime;
}

/** Earliest time since which one of the servers has been lost; `now` if none is. */
instant first_loss(std::span<server_entry* const> rows, instant now)
{
    instant first = now;
    for (const server_entry* row : rows) {
        if (row->accepts_requests() && is_lost(*row, now))
            first = std::min(first, row->path.lost_at());
    }
    return first;
}

} // namespace

bool reach_counts::mostly_lost() const
{
    return this->lost > 0 && this->lost >= std::min(min_servers_lost, this->servers) &&
           this->lost >= 2 * this->reached;
}

bool reach_counts::sufficient() const
{
    return this->lost + this->reached >= std::min(sufficient_servers, this->servers);
}

reach_counts count_reach(std::span<server_entry* const> rows, instant now)
{
    const instant first = first_loss(rows, now);
    reach_counts counts;
    for (const server_entry* row : rows) {
        if (!row->accepts_requests()) continue;
        ++counts.servers;
        if (is_lost(*row, now)) {
            ++counts.lost;
            if (row->path.lost_here_only()) ++counts.lost_here_only;
        } else if (row->path.last_opened_at() > first) {
            ++counts.reached;
        }
    }
    return counts;
}

bool service_reach::update(std::span<server_entry* const> rows, instant now)
{
    this->last = count_reach(rows, now);
    const bool confirmed =
        this->last.lost_here_only >= std::min(min_servers_lost, this->last.servers);
    // Once confirmed, the path stays lost until connections can be opened again.
    const bool cut = this->mostly_lost() && (confirmed || this->is_cut_off);
    if (!this->last.mostly_lost() || this->last.lost_here_only > 0)
        this->trial_pause = min_trial_pause;
    return std::exchange(this->is_cut_off, cut) != cut;
}

std::vector<server_entry*> service_reach::next_checks(std::span<server_entry* const> rows,
                                                      instant now)
{
    if (!this->last.mostly_lost() || now < this->next_check_at) return {};
    const bool sample = !this->last.sufficient();
    this->next_check_at =
        now + (sample || this->is_cut_off ? check_period : unconfirmed_check_period);
    const bool found = this->last.reached > this->reached_at_check;
    this->checks = found ? std::min(this->checks * 2, max_checks) : min_checks;
    this->reached_at_check = this->last.reached;
    const instant first = first_loss(rows, now);
    std::vector<server_entry*> chosen;
    std::ranges::copy_if(rows, std::back_inserter(chosen), [&](const server_entry* row) {
        if (!row->accepts_requests()) return false;
        if (is_lost(*row, now)) return !sample;
        return sample && row->path.last_opened_at() <= first;
    });
    const std::size_t count =
        std::min(sample ? std::max(this->checks, sufficient_servers) : this->checks, chosen.size());
    // The servers whose last failure is the oldest come first, so that all have their turn.
    std::ranges::partial_sort(chosen, chosen.begin() + static_cast<std::ptrdiff_t>(count), {},
                              [](const server_entry* row) { return row->path.last_failed_at(); });
    chosen.resize(count);
    return chosen;
}

bool service_reach::trial_due(instant now) const
{
    return !this->is_cut_off && this->mostly_lost() && now >= this->next_trial_at;
}

void service_reach::on_trial_sent(instant now)
{
    this->next_trial_at = now + this->trial_pause;
    this->trial_pause =
        std::min(std::chrono::duration_cast<duration>(this->trial_pause * trial_pause_growth),
                 max_trial_pause);
}

} // namespace worksshift
