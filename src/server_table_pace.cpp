/** \file
 * The part of the server table that uses the paces which servers state, see server_pace.h.
 */
#include <algorithm>
#include <chrono>
#include <vector>

#include "log.h"
#include "server_table.h"

namespace worksshift {

namespace {

bool states_pace(const server_entry* row)
{
    return row->accepts_requests() && row->pace.known();
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

void log_change(const server_entry& row, double limit, instant now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - row.pace.last_stated_at());
    log_event(log_level::info, row.slow_by_pace ? "server_slow" : "server_normal_speed",
              {{"server", row.record.id.text},
               {"service", row.record.service.text},
               {"pace", row.expected_pace},
               {"limit", limit},
               {"last_figure", row.pace.last()},
               {"figures", row.pace.weight(now)},
               {"age_ms", age.count()}});
}

} // namespace

void server_table::note_pace(server_entry& row, double figure, instant now)
{
    row.pace.add(figure, now);
    row.unreported_pace = figure;
}

void server_table::update_paces(instant now)
{
    for (auto& [service, group] : this->services)
        this->update_paces(group, now);
}

void server_table::update_paces(service_state& group, instant now) const
{
    const bool used = this->policy.slow_pace > 0 && std::ranges::any_of(group.rows, states_pace);
    for (server_entry* row : group.rows) {
        row->expected_pace = 1;
        if (!used || !row->pace.known()) continue;
        const double stated = row->pace.expected(now);
        // Failed attempts end early, and an engine that fails must not count as a fast one.
        row->expected_pace = row->failing ? std::max(stated, 1.0) : stated;
    }
    if (!used) {
        for (server_entry* row : group.rows)
            row->slow_by_pace = false;
        return;
    }
    // Servers that have not stated a pace to this VM are taken to be as fast as usual.
    std::vector<double> paces(group.rows.size());
    std::ranges::transform(group.rows, paces.begin(), &server_entry::expected_pace);
    // While most servers of the service are slow, none is better than the others.
    const double limit = this->policy.slow_pace * std::max(median(std::move(paces)), 1.0);
    for (server_entry* row : group.rows) {
        const double bound = row->slow_by_pace ? limit * server_pace::normal_share : limit;
        const bool slow = row->expected_pace > bound;
        if (std::exchange(row->slow_by_pace, slow) != slow) log_change(*row, limit, now);
    }
}

std::map<service_id, double> server_table::mean_paces() const
{
    std::map<service_id, double> means;
    for (const auto& [service, group] : this->services) {
        double sum = 0;
        double count = 0;
        for (const server_entry* row : group.rows) {
            if (!states_pace(row)) continue;
            sum += row->expected_pace;
            ++count;
        }
        if (count > 0) means[service] = sum / count;
    }
    return means;
}

std::size_t server_table::slow_servers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->table, [](const auto& entry) {
        return entry.second.slow || entry.second.slow_by_pace;
    }));
}

} // namespace worksshift
