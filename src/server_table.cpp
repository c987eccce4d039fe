#include "server_table.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <ranges>
#include <tuple>

#include "log.h"
#include "plain_choice.h"
#include "rendezvous.h"

namespace worksshift {

namespace {

double mean_load(std::span<server_entry* const> rows)
{
    const double total =
        std::accumulate(rows.begin(), rows.end(), 0.0,
                        [](double sum, const server_entry* row) { return sum + row->load(); });
    return total / static_cast<double>(rows.size());
}

double estimated_mean_load(std::span<server_entry* const> rows)
{
    const double total =
        std::accumulate(rows.begin(), rows.end(), 0.0, [](double sum, const server_entry* row) {
            return sum + row->estimated_load();
        });
    return total / static_cast<double>(rows.size());
}

std::uint32_t short_hash(const data_centre_id& data_centre)
{
    return static_cast<std::uint32_t>(data_centre.hash());
}

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** Age of an event for the log; -1 if it never occurred. */
std::int64_t age_in_ms(instant at, instant now)
{
    if (at == instant{}) return -1;
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

/** Results of an engine are reported to other VMs while the decayed weight of its failures is at
 * least this. */
constexpr double min_reported_failures = 0.1;
/** An engine is not marked as failing while the decayed weight of its failures is below this. */
constexpr double min_failures = 1.5;
/** An engine counts as failing only if its failure rate exceeds that of all engines of its service
 * by this factor. */
constexpr double failing_rate_multiple = 1.5;
/** In each data centre a failing engine gets one trial request every two seconds. */
const cold_request_limit trial_bound(0.5, {1, 1});

duration decay_time_of(const service_traits& traits)
{
    return traits.engine ? recent_outcomes::engine_decay_time : recent_outcomes::plain_decay_time;
}

double load_bound(double mean)
{
    return load_bound_multiple * mean + load_bound_offset;
}

/** Whether recent attempts give no reason to avoid the server. */
bool seems_healthy(const server_entry& row, instant now)
{
    return row.health.usable(now) && !row.unresponsive(now) && !row.avoided(now);
}

/** Rendezvous weight of each row for the key. All VMs compute the same weights. */
std::vector<std::uint64_t> rank_weights(std::span<server_entry* const> rows, std::uint64_t key)
{
    std::vector<std::uint64_t> weights(rows.size());
    std::ranges::transform(rows, weights.begin(), [key](const server_entry* row) {
        return rendezvous_weight(key, row->hash);
    });
    return weights;
}

/** The weight at position \p rank in descending order, counted from one. */
std::uint64_t weight_at(std::vector<std::uint64_t> weights, std::size_t rank)
{
    const std::size_t at = std::clamp<std::size_t>(rank, 1, weights.size()) - 1;
    const auto position = weights.begin() + static_cast<std::ptrdiff_t>(at);
    std::ranges::nth_element(weights, position, std::greater{});
    return *position;
}

} // namespace

/** A restarted server whose entry states no remaining cold time is treated as cold for the whole
 * cold-start time of its service, as the entry may have been written before the server became
 * cold. */
void server_table::update_cold(server_entry& row, bool restarted, instant now)
{
    const milliseconds remaining = row.record.cold_remaining;
    if (remaining > milliseconds{}) {
        mark_cold(row, remaining, "entry", now);
    } else if (restarted) {
        mark_cold(row, this->services[row.record.service].traits.cold_start, "restart", now);
    }
}

void server_table::mark_cold(server_entry& row, milliseconds span, std::string_view cause,
                             instant now)
{
    if (span <= milliseconds{}) return;
    if (!row.cold.cold(now)) {
        log_event(log_level::info, "server_cold",
                  {{"server", row.record.id.text}, {"for_ms", span.count()}, {"cause", cause}});
    }
    row.cold.extend(now + span);
}

void server_table::mark_unreachable(server_entry& row, instant now)
{
    const bool reached_before = !row.path.lost();
    row.path.on_connect_failed(now);
    if (reached_before) {
        log_event(log_level::info, "server_unreachable",
                  {{"server", row.record.id.text},
                   {"service", row.record.service.text},
                   {"opened_ms", age_in_ms(row.path.last_opened_at(), now)},
                   {"answered_others_ms", age_in_ms(row.path.last_answered_other_at(), now)}});
    }
    mark_cold(row, this->services[row.record.service].traits.cold_start, "unreachable", now);
}

void server_table::mark_reachable(server_entry& row, instant now)
{
    if (row.path.lost()) {
        log_event(log_level::info, "server_reachable",
                  {{"server", row.record.id.text},
                   {"service", row.record.service.text},
                   {"failed_ms", age_in_ms(row.path.last_failed_at(), now)},
                   {"lost_here_only", row.path.lost_here_only() ? 1 : 0}});
    }
    row.path.on_connected(now);
}

std::vector<service_id> server_table::update_reach(instant now)
{
    std::vector<service_id> changed;
    for (auto& [service, group] : this->services) {
        if (group.reach.update(group.rows, now)) changed.push_back(service);
    }
    return changed;
}

std::vector<const server_entry*> server_table::next_reach_checks(instant now)
{
    std::vector<const server_entry*> chosen;
    for (auto& [service, group] : this->services)
        std::ranges::copy(group.reach.next_checks(group.rows, now), std::back_inserter(chosen));
    return chosen;
}

bool server_table::is_of_service(std::uint32_t server, const service_id& service) const
{
    const auto found = this->by_short_hash.find(server);
    return found != this->by_short_hash.end() && found->second->record.service == service;
}

service_reach* server_table::reach_of(const service_id& service)
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second.reach;
}

std::size_t server_table::services_cut_off() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->services, [](const auto& entry) { return entry.second.reach.cut_off(); }));
}

std::size_t server_table::unreachable_servers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->table, [](const auto& entry) { return entry.second.path.lost(); }));
}

std::size_t server_table::servers_lost_here_only() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->table, [](const auto& entry) { return entry.second.path.lost_here_only(); }));
}

/** Servers of a data centre may be cold when its evacuation ends, as they had no requests. */
void server_table::set_evacuated(std::set<std::uint32_t> data_centres, instant now)
{
    this->evacuated = std::move(data_centres);
    for (auto& [id, row] : this->table) {
        const bool was_evacuated = std::exchange(
            row.evacuated, this->evacuated.contains(short_hash(row.record.data_centre)));
        const milliseconds cold_start = this->services[row.record.service].traits.cold_start;
        if (was_evacuated && !row.evacuated) mark_cold(row, cold_start, "evacuation", now);
    }
}

void server_table::set_regions(std::map<data_centre_id, region_id> known)
{
    this->regions = std::move(known);
    for (auto& [id, row] : this->table) {
        const auto found = this->regions.find(row.record.data_centre);
        row.region = found == this->regions.end() ? region_id{} : found->second;
    }
}

std::size_t server_table::cold_servers(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->table, [now](const auto& entry) { return entry.second.cold.cold(now); }));
}

void server_table::update_cold_shares(const fleet_members& members, instant now)
{
    for (auto& [service, group] : this->services)
        this->update_cold_shares(group, members, now);
}

void server_table::update_cold_shares(service_state& group, const fleet_members& members,
                                      instant now)
{
    if (!group.traits.has_cold_limit()) return;
    const cold_request_limit bound(group.traits.cold_requests_per_s.value_or(0),
                                   this->cold_request_tolerance);
    for (server_entry* row : group.rows) {
        if (!row->cold.cold(now)) continue;
        const cold_share share =
            compute_cold_share(bound, row->hash, members, this->policy.cold_senders);
        row->cold.set_share(share, now, this->random);
    }
}

/** Whether the server accepts a request of this VM now: it is not backing off, and the limits for
 * cold servers and for rejections permit one. */
bool server_table::is_open(const service_state& group, const server_entry& row, instant now) const
{
    return !row.backing_off(now) && (!group.traits.has_cold_limit() || row.cold.open(now)) &&
           has_room(group, row, now);
}

bool server_table::is_allowed(const server_entry& row, const placement_request& wanted)
{
    const bool version_matches = !wanted.version || (row.software == *wanted.version &&
                                                     row.software != software_version::unknown);
    if (!version_matches) return false;
    return std::ranges::all_of(wanted.allowed_regions, [&row](std::span<const region_id> regions) {
        if (regions.empty()) return true;
        return !row.region.empty() && std::ranges::find(regions, row.region) != regions.end();
    });
}

bool server_table::may_serve(const server_entry& row, const placement_request& wanted)
{
    return row.accepts_requests() && is_allowed(row, wanted) &&
           std::ranges::find(wanted.tried, row.record.id) == wanted.tried.end();
}

std::optional<instant> server_table::opens_at(const placement_request& wanted, instant now) const
{
    const auto group = this->services.find(wanted.service);
    if (group == this->services.end()) return std::nullopt;
    std::optional<instant> first;
    for (const server_entry* row : group->second.rows) {
        // Servers already tried count: the caller's later retry may be sent to them again.
        if (!row->accepts_requests() || !is_allowed(*row, wanted)) continue;
        if (this->is_open(group->second, *row, now)) continue;
        const bool cold = group->second.traits.has_cold_limit() && !row->cold.open(now);
        const instant at = std::max({row->backoff_until, row->rejection_pause_until,
                                     cold ? row->cold.opens_at() : instant{}});
        if (!first || at < *first) first = at;
    }
    return first;
}

bool server_table::is_outdated(const server_record& record) const
{
    const auto found = this->table.find(record.id);
    return found != this->table.end() && record.revision < found->second.record.revision;
}

bool server_table::put(const server_record& record, instant now)
{
    if (this->is_outdated(record)) return false;
    const auto known = this->table.find(record.id);
    const bool known_before = known != this->table.end();
    if (known_before && record.started_at_ms != known->second.record.started_at_ms) {
        this->retire(known->second);
    }
    const auto [found, added] = this->table.try_emplace(record.id);
    server_entry& row = found->second;
    const bool changed = added || row.gone || row.record.draining != record.draining ||
                         row.record.service != record.service;
    if (added) row.listed_at = now;
    if (added || row.record.service != record.service) {
        if (!added) std::erase(this->services[row.record.service].rows, &row);
        this->services[record.service].rows.push_back(&row);
    }
    const bool restarted = added && known_before;
    row.record = record;
    row.hash = record.id.hash();
    row.incarnation = incarnation_of(record);
    row.software = software_version_of(record.version);
    row.leaving = this->notices.leaving(row.incarnation);
    row.backoff_until = this->notices.backoff_until(row.incarnation);
    row.outcomes.set_decay_time(decay_time_of(this->services[record.service].traits));
    row.evacuated = this->evacuated.contains(short_hash(record.data_centre));
    const auto region = this->regions.find(record.data_centre);
    if (region != this->regions.end()) row.region = region->second;
    this->update_cold(row, restarted, now);
    this->by_short_hash[static_cast<std::uint32_t>(row.hash)] = &row;
    this->by_incarnation[row.incarnation] = &row;
    row.gone = false;
    return changed;
}

void server_table::retire(server_entry& row)
{
    row.gone = true;
    std::erase(this->services[row.record.service].rows, &row);
    this->by_short_hash.erase(static_cast<std::uint32_t>(row.hash));
    this->by_incarnation.erase(row.incarnation);
    this->retired.push_back(this->table.extract(row.record.id));
}

bool server_table::remove(const server_id& id)
{
    server_entry* row = this->find(id);
    if (row == nullptr || row->gone) return false;
    row->gone = true;
    return true;
}

void server_table::mark_replaced(const server_id& id)
{
    if (server_entry* row = this->find(id)) row->replaced = true;
}

server_entry* server_table::find(const server_id& id)
{
    const auto found = this->table.find(id);
    return found == this->table.end() ? nullptr : &found->second;
}

server_entry* server_table::find(server_incarnation incarnation)
{
    const auto found = this->by_incarnation.find(incarnation);
    return found == this->by_incarnation.end() ? nullptr : found->second;
}

bool server_table::mark_leaving(server_entry& row)
{
    row.leaving = true;
    return this->notices.note_leaving(row.incarnation);
}

void server_table::mark_backing_off(server_entry& row, duration span, instant now)
{
    this->notices.note_backoff(row.incarnation, now + span);
    row.backoff_until = this->notices.backoff_until(row.incarnation);
}

bool server_table::mark_leaving(server_incarnation incarnation)
{
    server_entry* row = this->find(incarnation);
    return row != nullptr && this->mark_leaving(*row);
}

std::vector<std::uint32_t> server_table::leaving_but_listed(std::size_t count) const
{
    std::vector<std::uint32_t> incarnations;
    for (const auto& [id, row] : this->table) {
        if (incarnations.size() >= count) break;
        if (!row.leaving || row.gone || row.record.draining) continue;
        incarnations.push_back(static_cast<std::uint32_t>(row.incarnation));
    }
    return incarnations;
}

void server_table::sweep(instant now)
{
    this->notices.expire_backoffs(now);
    for (auto& [service, group] : this->services) {
        this->observe_versions(group, now);
        std::erase_if(group.rows, [](const server_entry* row) { return row->is_removable(); });
    }
    std::erase_if(this->by_short_hash,
                  [](const auto& entry) { return entry.second->is_removable(); });
    std::erase_if(this->by_incarnation,
                  [](const auto& entry) { return entry.second->is_removable(); });
    std::erase_if(this->table, [](const auto& entry) { return entry.second.is_removable(); });
    std::erase_if(this->retired, [](const auto& node) { return node.mapped().is_removable(); });
}

void server_table::observe_versions(service_state& group, instant now) const
{
    const instant known_since =
        now < this->fleet_is_new_until ? now - stream_origins::lifetime : now;
    for (const server_entry* row : group.rows)
        group.versions.observe(row->software, known_since, now);
}

std::optional<software_version> server_table::only_version(const service_id& service,
                                                           instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) return std::nullopt;
    const service_state& group = found->second;
    const auto only = group.versions.only_since(now - stream_origins::lifetime);
    const auto differs = [&](const server_entry* row) { return row->software != only; };
    return std::ranges::any_of(group.rows, differs) ? std::nullopt : only;
}

bool server_table::has_had_several_versions(const service_id& service, instant now) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() &&
           found->second.versions.changed_since(now - stream_origins::lifetime);
}

service_load server_table::load_of(const service_id& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? service_load{} : found->second.sum;
}

duration server_table::objective_of(const service_id& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? duration::zero() : found->second.objective;
}

std::vector<server_entry*> server_table::accepting_servers(const service_id& service) const
{
    std::vector<server_entry*> accepting;
    const auto found = this->services.find(service);
    if (found == this->services.end()) return accepting;
    std::ranges::copy_if(found->second.rows, std::back_inserter(accepting),
                         [](const server_entry* row) { return row->accepts_requests(); });
    return accepting;
}

void server_table::sum_loads(instant now)
{
    for (auto& [service, group] : this->services) {
        group.sum = {};
        group.sum.fill = group.first_events.fill();
        double usual_slots = 0; // slots of servers of the usual pace that serve the same rate
        for (const server_entry* row : group.rows) {
            if (!row->accepts_requests() || !row->health.usable(now) || row->unresponsive(now))
                continue;
            if (row->failing || row->backing_off(now)) continue;
            if (group.traits.has_cold_limit() && row->cold.cold(now)) continue;
            ++group.sum.engines;
            group.sum.slots += row->record.slots;
            usual_slots += row->record.slots / row->expected_pace;
            group.sum.requests += row->estimated_load();
            if (!row->report_is_fresh) continue;
            ++group.sum.reporting_engines;
            group.sum.age_s += as_seconds(now - row->load_reported_at);
        }
        const double mean_pace = usual_slots > 0 ? group.sum.slots / usual_slots : 1;
        group.sum.span_s = as_seconds(group.forecast.span()) * mean_pace;
        if (group.sum.reporting_engines > 0)
            group.sum.age_s /= static_cast<double>(group.sum.reporting_engines);
    }
}

std::vector<const server_entry*> server_table::busy() const
{
    std::vector<const server_entry*> found;
    for (const auto& [service, group] : this->services) {
        const row_list& rows = group.rows;
        if (rows.empty()) continue;
        const double limit = busy_load_share * load_bound(mean_load(rows));
        std::ranges::copy_if(rows, std::back_inserter(found),
                             [limit](const server_entry* row) { return row->load() >= limit; });
    }
    return found;
}

void server_table::apply_reported_load(const reported_load& report, instant received_at)
{
    const auto found = this->by_short_hash.find(report.server);
    if (found == this->by_short_hash.end()) return;
    const instant load_reported_at = received_at - report.age * reported_age_unit;
    // An older report may come from the previous incarnation of the server.
    if (load_reported_at < found->second->listed_at) return;
    found->second->path.on_answered_other(load_reported_at);
    found->second->set_reported_load(report.requests, load_reported_at);
    if (const auto pace = decode_pace(report.pace))
        found->second->pace.add(*pace, load_reported_at);
}

std::vector<reported_load> server_table::drain_reported_loads(instant now)
{
    std::vector<reported_load> reports;
    for (auto& [id, row] : this->table) {
        if (!std::exchange(row.reported_here, false)) continue;
        const auto age =
            std::min<std::int64_t>((now - row.load_reported_at) / reported_age_unit, 255);
        reports.push_back(
            {static_cast<std::uint32_t>(row.hash),
             static_cast<std::uint16_t>(std::min<std::uint32_t>(row.reported_requests, 65535)),
             static_cast<std::uint8_t>(age),
             encode_pace(std::exchange(row.unreported_pace, std::nullopt))});
    }
    std::ranges::sort(reports, {}, &reported_load::age);
    reports.resize(std::min(reports.size(), max_reported_loads));
    return reports;
}

void server_table::on_attempt_ended(server_entry& row, duration span, bool failed, instant now)
{
    row.outcomes.add(failed ? 0 : 1, failed ? 1 : 0, span, now);
    row.own_outcomes.add(failed ? 0 : 1, failed ? 1 : 0, span, now);
    if (failed) {
        ++row.unreported_outcomes.failed;
    } else {
        ++row.unreported_outcomes.answered;
        row.unreported_outcomes.time += span;
    }
}

void server_table::apply_outcomes(const outcome_counts& report, instant now, duration covered)
{
    const auto found = this->by_short_hash.find(report.server);
    if (found == this->by_short_hash.end()) return;
    if (report.answered > 0) found->second->path.on_answered_other(now - covered);
    found->second->outcomes.add(report.answered, report.failed, report.mean * outcome_time_unit,
                                now);
}

std::vector<outcome_counts> server_table::drain_outcomes()
{
    const auto byte = [](std::int64_t value) {
        constexpr std::int64_t byte_max = std::numeric_limits<std::uint8_t>::max();
        return static_cast<std::uint8_t>(std::min(value, byte_max));
    };
    std::vector<outcome_counts> reports;
    for (auto& [id, row] : this->table) {
        const outcome_sum sum = std::exchange(row.unreported_outcomes, {});
        if (sum.answered + sum.failed == 0) continue;
        if (this->is_engine(row) && row.outcomes.failed() < min_reported_failures) continue;
        const duration mean = sum.time / std::max<std::uint32_t>(sum.answered, 1);
        reports.push_back({static_cast<std::uint32_t>(row.hash), byte(sum.answered),
                           byte(sum.failed), byte(mean / outcome_time_unit)});
    }
    std::ranges::sort(reports, std::greater{}, [](const outcome_counts& report) {
        return std::tuple(report.failed, report.answered);
    });
    reports.resize(std::min(reports.size(), max_outcome_counts));
    return reports;
}

bool server_table::is_engine(const server_entry& row) const
{
    const auto found = this->services.find(row.record.service);
    return found != this->services.end() && found->second.traits.engine;
}

void server_table::set_traits(const service_id& service, const service_traits& traits)
{
    service_state& group = this->services[service];
    group.traits = traits;
    for (server_entry* row : group.rows)
        row->outcomes.set_decay_time(decay_time_of(traits));
}

void server_table::mark_failing(const fleet_members& members, instant now)
{
    for (auto& [service, group] : this->services) {
        if (group.traits.engine) this->mark_failing(group, members, now);
    }
}

void server_table::mark_failing(service_state& group, const fleet_members& members, instant now)
{
    double failed = 0;
    double tries = 0;
    for (server_entry* row : group.rows) {
        row->outcomes.decay(now);
        failed += row->outcomes.failed();
        tries += row->outcomes.tries();
    }
    if (failed <= 0 || this->policy.failing_share <= 0) {
        for (server_entry* row : group.rows)
            row->failing = false;
        return;
    }
    // Failures common to all engines come from the requests or the model, so the limit rises with
    // the failure rate of the service.
    const double service_failure_rate = failed / (tries + 1);
    const double limit =
        std::max(this->policy.failing_share, failing_rate_multiple * service_failure_rate);
    fleet_members own_data_centre = members;
    own_data_centre.data_centres = {members.data_centre};
    for (server_entry* row : group.rows) {
        const double failure_rate = row->outcomes.failed() / (row->outcomes.tries() + 1);
        if (!row->failing && failure_rate > limit && row->outcomes.failed() >= min_failures) {
            this->set_failing(*row, true, now);
        } else if (row->failing && failure_rate < limit / 2) {
            this->set_failing(*row, false, now);
        }
        if (!row->failing) continue;
        row->trial.extend(now + seconds(1));
        row->trial.set_share(compute_cold_share(trial_bound, row->hash, own_data_centre, 1), now,
                             this->random);
    }
}

void server_table::set_failing(server_entry& row, bool failing, instant now)
{
    row.failing = failing;
    if (failing) row.trial.on_sent(now);
    log_event(log_level::info, failing ? "server_failing" : "server_recovered",
              {{"server", row.record.id.text},
               {"failed", row.outcomes.failed()},
               {"tries", row.outcomes.tries()}});
}

void server_table::expire_reported_loads(instant now)
{
    for (auto& [id, row] : this->table)
        row.report_is_fresh = now - row.load_reported_at <= reported_load_lifetime;
}

void server_table::mark_slow(instant now)
{
    for (auto& [service, group] : this->services)
        this->mark_slow(group, now);
}

void server_table::mark_slow(service_state& group, instant now) const
{
    std::vector<duration> delays;
    for (const server_entry* row : group.rows) {
        if (row->first_delay.known()) delays.push_back(row->first_delay.recent(now));
    }
    if (delays.empty() || this->policy.slow_multiple <= 0) return;
    const auto quartile = delays.begin() + static_cast<std::ptrdiff_t>(delays.size() / 4);
    std::ranges::nth_element(delays, quartile);
    const auto usual = std::chrono::duration_cast<duration>(*quartile * this->policy.slow_multiple);
    // A delay well within the objective does not justify processing the prompt on another engine.
    const duration limit = std::max(usual, group.objective / 2);
    for (server_entry* row : group.rows)
        row->slow = row->first_delay.known() && row->first_delay.recent(now) > limit;
}

/** Maximum forecast waiting time for a slot; duration::max() if there is no limit. */
duration server_table::wait_limit(const service_state& group) const
{
    if (this->policy.wait_of_objective <= 0 || group.objective == duration{}) {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(group.objective * this->policy.wait_of_objective);
}

/** Maximum forecast wait for a slot with which the first event still comes in time. Not more than
 * without the forecast, as other requests may take the slot first. */
duration server_table::wait_limit(const service_state& group,
                                  const placement_result& forecast) const
{
    const duration limit = this->wait_limit(group);
    if (this->policy.first_event_share <= 0 || limit == duration::max()) return limit;
    const std::chrono::duration<double> objective = forecast.objective;
    const auto share_of_objective = [objective](double share) {
        return std::chrono::duration_cast<duration>(objective * share);
    };
    const duration left = share_of_objective(this->policy.first_event_share) - forecast.start_time;
    return std::clamp(left, duration::zero(), share_of_objective(this->policy.wait_of_objective));
}

/** Sets what is known of the first event of the request in \p result. */
void server_table::forecast_first_event(service_state& group, const placement_request& wanted,
                                        placement_result& result, instant now) const
{
    if (this->policy.first_event_share <= 0) return;
    const duration own = wanted.objective > duration::zero() ? wanted.objective : group.objective;
    first_event_forecast& known = group.first_events;
    known.on_request(wanted.priority, wanted.objective, now);
    result.objective = known.objective_for(wanted.priority, own, now);
    result.start_time = known.start_time(wanted.prompt_tokens);
    result.fill = known.fill();
}

/** Whether a slot becomes free within the wait limit. \p high_ranked: the engine is among the
 * highest-ranked for the prompt; others must have a share of their slots free. \p spread: random
 * offset of this request, in requests, so that the VMs do not all switch engines at the same load.
 */
bool server_table::has_slot(const service_state& group, const server_entry& row, bool high_ranked,
                            double spread, duration limit) const
{
    if (limit == duration::max()) return true;
    if (high_ranked) return group.wait_at(row, row.load() + spread) <= limit;
    return row.load() + 1 + std::abs(spread) <= this->policy.free_share * row.record.slots;
}

server_table::candidate_list server_table::candidates(const placement_request& wanted,
                                                      instant now) const
{
    const auto found = this->services.find(wanted.service);
    if (found == this->services.end()) return {};
    const service_state& group = found->second;
    candidate_list result;
    row_list& open = result.rows;
    std::ranges::copy_if(group.rows, std::back_inserter(open),
                         [&wanted](const server_entry* row) { return may_serve(*row, wanted); });
    row_list healthy;
    std::ranges::copy_if(open, std::back_inserter(healthy),
                         [now](const server_entry* row) { return seems_healthy(*row, now); });
    // If more than half of the servers look unhealthy, the cause is probably elsewhere, and
    // excluding them would leave the remaining ones overloaded.
    if (healthy.size() * 2 >= open.size() && !healthy.empty()) open = std::move(healthy);
    if (!open.empty()) {
        const double mean = mean_load(open);
        result.mean_load = std::min(mean, estimated_mean_load(open));
        result.mean_is_lowered = result.mean_load < mean;
    }
    std::erase_if(open, [&](const server_entry* row) { return !this->is_open(group, *row, now); });
    return result;
}

bool server_table::has_healthy_candidate(const placement_request& wanted, instant now) const
{
    return std::ranges::any_of(this->candidates(wanted, now).rows,
                               [now](const server_entry* row) { return seems_healthy(*row, now); });
}

void server_table::on_sent(server_entry& row, instant now)
{
    if (row.in_flight++ == row.paused) row.in_flight_since = now;
    row.health.on_sent(now);
    row.cold.on_sent(now);
    row.trial.on_sent(now);
}

placement_result server_table::choose(const placement_request& wanted, instant now)
{
    const candidate_list open = this->candidates(wanted, now);
    const row_list& rows = open.rows;
    if (rows.empty()) return {};
    placement_result result;
    if (wanted.engine) {
        result = this->choose_engine(wanted, open, now);
    } else {
        const plain_choice choice = choose_plain(rows, this->here, now, this->random);
        result.row = choice.row;
        result.expected_s = choice.expected_s;
    }
    result.candidates = rows.size();
    result.load = result.row->load();
    if (wanted.engine && wanted.affinity != 0) {
        result.cached_at = this->find_cached(wanted, *result.row, now);
    }
    return result;
}

/** Load bound of an engine, lowered by a margin for load reports that are out of date. No margin
 * while the share of occupied slots is below `free_share`: an engine above the bound then delays no
 * request, and the margin would only cause prompts to be processed on more engines (lightly loaded
 * fleet of 87 VMs: `worth` of 0.869 without the margin, 0.837 with it). */
double server_table::load_bound_of(const service_state& group, double mean) const
{
    const bool lightly_loaded = group.sum.requests < this->policy.free_share * group.sum.slots;
    if (lightly_loaded) return load_bound(mean);
    return std::max(load_bound(mean) - this->policy.lateness_margin * load_deviation(group.sum),
                    mean + 1);
}

/** Permutes the \p count highest weights at random, which spreads the requests of one prompt over
 * these engines. */
void server_table::shuffle_highest(std::vector<std::uint64_t>& weights, std::size_t count)
{
    const std::uint64_t last = weight_at(weights, count);
    std::vector<std::uint64_t> first;
    std::ranges::copy_if(weights, std::back_inserter(first),
                         [last](std::uint64_t weight) { return weight >= last; });
    std::ranges::shuffle(first, this->random);
    auto next = first.begin();
    for (std::uint64_t& weight : weights) {
        if (weight >= last) weight = *next++;
    }
}

/** Selects in linear time: sorting all servers by rank took 301 us with 1,400 servers, this takes
 * 38 us (`measure router`). */
placement_result server_table::choose_engine(const placement_request& wanted,
                                             const candidate_list& open, instant now)
{
    service_state& group = this->services[wanted.service];
    const row_list& rows = open.rows;
    placement_result result;
    result.mean_load = open.mean_load;
    const double mean_bound = this->load_bound_of(group, result.mean_load);
    const double bound =
        open.mean_is_lowered ? raise_to_least_loaded(mean_bound, rows) : mean_bound;
    std::vector<std::uint64_t> weights = rank_weights(rows, wanted.affinity);
    if (wanted.engines > 1) this->shuffle_highest(weights, wanted.engines);
    const std::size_t ranks =
        wanted.affinity == 0
            ? rows.size()
            : std::max(static_cast<std::size_t>(this->policy.ranks_to_wait_at), wanted.engines);
    const std::uint64_t min_high_rank_weight = weight_at(weights, ranks);
    std::uniform_real_distribution<double> distribution(-1, 1);
    const double offset = distribution(this->random) * this->policy.load_spread;
    this->forecast_first_event(group, wanted, result, now);
    const duration limit = this->wait_limit(group, result);
    // If the loads are known well enough, requests that other VMs have sent since the load was
    // reported count, and the spread never lets the queue exceed its limit.
    const double spread = loads_are_exact(group.sum, this->policy)
                              ? std::abs(offset) / 2 + load_deviation(group.sum)
                              : offset;
    const auto grade = [&](std::size_t at) {
        const server_entry& row = *rows[at];
        const bool has_capacity =
            row.load() + 1 <= bound &&
            this->has_slot(group, row, weights[at] >= min_high_rank_weight, spread, limit);
        const bool trial_due = has_capacity && row.failing && wanted.repeatable;
        const bool slow = row.slow || row.slow_by_pace;
        return std::tuple(has_capacity, trial_due, has_capacity && !slow, weights[at]);
    };
    const auto all = std::views::iota(std::size_t{0}, rows.size());
    const std::size_t best = std::ranges::max(all, {}, grade);
    result.all_engines_full = !std::get<0>(grade(best));
    const bool by_load = result.all_engines_full || wanted.affinity == 0;
    // Below the load bound, the engine whose requests together take the shortest time.
    const auto expected_work = [bound](const server_entry* row) {
        const double load = row->load();
        return std::tuple(load + 1 > bound,
                          (load + 1) * (load + 1 > bound ? 1 : row->expected_pace));
    };
    result.row = by_load ? *std::ranges::min_element(rows, {}, expected_work) : rows[best];
    result.wait = group.wait_at(*result.row);
    const auto at = std::ranges::find(rows, result.row) - rows.begin();
    const std::uint64_t weight = weights[static_cast<std::size_t>(at)];
    result.rank = static_cast<std::size_t>(
        std::ranges::count_if(weights, [weight](std::uint64_t other) { return other > weight; }));
    return result;
}

/** The highest-ranked server other than the selected one. It received the requests with this key
 * before the selected one was added, or receives them normally while the selected one takes its
 * overflow. A leaving server is included, as it responds until it exits; a cold one is not, as its
 * cache is empty. Copying cached tokens costs a tenth of processing them again: on a day without
 * faults with 10 of 18 servers replaced or added, 0.27 million tokens were processed again instead
 * of 0.85 million. */
const server_entry* server_table::find_cached(const placement_request& wanted,
                                              const server_entry& chosen, instant now) const
{
    const auto group = this->services.find(wanted.service);
    if (group == this->services.end()) return nullptr;
    const server_entry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const server_entry* row : group->second.rows) {
        const bool eligible = !row->gone && !row->replaced && row->health.usable(now) &&
                              !row->unresponsive(now) && !row->cold.cold(now) &&
                              !row->backing_off(now) && is_allowed(*row, wanted);
        if (row == &chosen || !eligible) continue;
        const std::uint64_t weight = rendezvous_weight(wanted.affinity, row->hash);
        if (best != nullptr && weight <= best_weight) continue;
        best = row;
        best_weight = weight;
    }
    return best;
}

double load_deviation(const service_load& load)
{
    if (load.span_s <= 0 || load.engines == 0) return 0;
    const double per_s = load.requests / static_cast<double>(load.engines) / load.span_s;
    return std::sqrt(per_s * load.age_s);
}

bool loads_are_exact(const service_load& load, const placement_policy& policy)
{
    return policy.first_event_share > 0 && load.reporting_engines * 2 >= load.engines &&
           load_deviation(load) <= max_exact_deviation;
}

server_incarnation incarnation_of(const server_record& record)
{
    return server_incarnation{
        static_cast<std::uint32_t>(rendezvous_weight(record.id.hash(), record.started_at_ms))};
}

std::uint64_t affinity_of(std::span<const prompt_part> prompt)
{
    if (prompt.empty()) return 0;
    return prompt.size() == 1 ? prompt.front().id : prompt[prompt.size() - 2].id;
}

} // namespace worksshift
