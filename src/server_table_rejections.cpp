/** \file
 * The part of the server table that limits requests to servers which crash when they have to reject
 * too many, see rejection_limit.h.
 */
#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <set>

#include "log.h"
#include "server_table.h"

namespace worksshift {

namespace {

/** A VM with fewer slots of a service than this relays requests through VMs that have some while
 * its own are in use. */
constexpr std::uint32_t sufficient_slots = 4;
/** Estimated rejections, as a share of the limit, at which a server gets no requests. */
constexpr double max_rejections = 0.5;
/** The load at which an engine was full is taken for its capacity for this long. */
constexpr duration full_load_lifetime = seconds(5);

std::uint32_t short_hash(const service_id& service)
{
    return static_cast<std::uint32_t>(service.hash());
}

/** A VM uses no slot of an engine for this long after it got its share: the requests of the VMs
 * that had it before last seconds. */
constexpr duration engine_share_delay = seconds(3);
/** Bounds of the time for which a server may work on a request that was given up. */
constexpr duration min_given_up_time = milliseconds(100);
constexpr duration max_given_up_time = seconds(2);

bool has_own_slot(const server_entry& row, instant now)
{
    return row.accepts_requests() && row.health.usable(now) && now >= row.rejection_pause_until &&
           row.occupied_slots(now) < row.slot_share;
}

/** Mean time of recent requests at the server. */
duration mean_time(const server_entry& row)
{
    const double weight = row.outcomes.weight();
    if (weight <= 0) return {};
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(row.outcomes.total_seconds() / weight));
}

} // namespace

void server_table::note_rejection_limit(const service_id& service,
                                        std::optional<std::uint32_t> limit, instant now)
{
    service_state& group = this->services[service];
    group.limit.on_response(limit, now);
    this->update_rejections_limited(service, group, now);
}

void server_table::confirm_rejection_limit(const service_id& service, instant now)
{
    this->services[service].limit.on_confirmed(now);
}

/** The memory of an engine may be full before its slots are. */
void server_table::note_queue(server_entry& row, std::uint32_t running, instant now)
{
    if (!this->services[row.record.service].rejections_limited) return;
    row.full_load = std::max<std::uint32_t>(running, 1);
    row.full_at = now;
}

void server_table::on_rejected(server_entry& row, instant now)
{
    const service_state& group = this->services[row.record.service];
    if (!group.rejections_limited) return;
    const duration pause = group.limit.pause_after_rejection(group.vms);
    row.rejection_pause_until = now + pause;
    row.full_load = std::max<std::uint32_t>(row.load(), 1);
    row.full_at = now;
    row.rejections.on_request(now);
    ++row.unreported_rejections;
    log_event(log_level::info, "server_rejected",
              {{"server", row.record.id.text},
               {"load", row.load()},
               {"own", row.in_flight},
               {"slot_share", row.slot_share},
               {"vms", this->members.local_vms.size()},
               {"share", name_of(this->members.share)},
               {"limit", group.limit.per_s()},
               {"limit_age_ms",
                group.limit.statement_age(now).value_or(-milliseconds(1)) / milliseconds(1)},
               {"pause_ms", pause / milliseconds(1)}});
}

void server_table::on_given_up(server_entry& row, instant deadline, instant now)
{
    const service_state& group = this->services[row.record.service];
    if (!group.rejections_limited) return;
    const duration mean = group.traits.engine ? group.span_at(row) : mean_time(row);
    const duration span = std::clamp<duration>(mean * 2, min_given_up_time, max_given_up_time);
    std::erase_if(row.given_up_until, [now](instant until) { return until <= now; });
    row.given_up_until.push_back(std::min(deadline, now + span));
}

void server_table::update_rejections_limited(const service_id& service, service_state& group,
                                             instant now)
{
    const bool limited = group.limit.in_force(now);
    if (std::exchange(group.rejections_limited, limited) == limited) return;
    log_event(log_level::info, limited ? "rejections_limited" : "rejections_unlimited",
              {{"service", service.text}, {"per_s", group.limit.per_s()}, {"vms", group.vms}});
    // Other VMs may use their parts already, so the slots are divided before the next request.
    if (limited) this->divide_slots(service, group, now);
}

void server_table::apply_rejections(const rejection_report& report, instant now)
{
    const auto found = this->by_short_hash.find(report.server);
    if (found == this->by_short_hash.end()) return;
    server_entry& row = *found->second;
    service_state& group = this->services[row.record.service];
    group.limit.on_reported(report.limit, now, now);
    this->update_rejections_limited(row.record.service, group, now);
    for (unsigned i = 0; i < report.count; ++i)
        row.rejections.on_request(now);
}

std::vector<rejection_report> server_table::drain_rejections(instant now)
{
    constexpr std::uint32_t max_limit = std::numeric_limits<std::uint16_t>::max();
    std::vector<rejection_report> reports;
    for (auto& [service, group] : this->services) {
        if (!group.limit.is_reportable(now)) continue;
        const auto limit = static_cast<std::uint16_t>(std::min(group.limit.per_s(), max_limit));
        const std::size_t before = reports.size();
        for (server_entry* row : group.rows) {
            const std::uint8_t count = std::exchange(row->unreported_rejections, 0);
            if (count == 0) continue;
            reports.push_back({static_cast<std::uint32_t>(row->hash), count, limit});
        }
        // Without rejections, any server stands for the service.
        if (reports.size() == before && !group.rows.empty())
            reports.push_back({static_cast<std::uint32_t>(group.rows.front()->hash), 0, limit});
    }
    std::ranges::sort(reports, std::greater{}, &rejection_report::count);
    reports.resize(std::min(reports.size(), max_rejection_reports));
    return reports;
}

std::vector<service_limit> server_table::limits_in_force(instant now) const
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint8_t>::max();
    constexpr std::uint32_t max_limit = std::numeric_limits<std::uint16_t>::max();
    std::vector<service_limit> limits;
    for (const auto& entry : this->services) {
        const rejection_limit& limit = entry.second.limit;
        const std::optional<duration> age = limit.statement_age(now);
        if (!age) continue;
        const auto units = std::min<std::int64_t>(*age / limit_age_unit + 1, max_age);
        limits.push_back({short_hash(entry.first),
                          static_cast<std::uint16_t>(std::min(limit.per_s(), max_limit)),
                          static_cast<std::uint8_t>(units)});
    }
    std::ranges::sort(limits, {}, &service_limit::age);
    limits.resize(std::min(limits.size(), max_service_limits));
    return limits;
}

void server_table::apply_limit(const service_limit& reported, instant received_at, instant now)
{
    const auto found = std::ranges::find_if(this->services, [&](const auto& entry) {
        return short_hash(entry.first) == reported.service;
    });
    if (found == this->services.end()) return;
    service_state& group = found->second;
    group.limit.on_reported(reported.per_s, received_at - reported.age * limit_age_unit, now);
    this->update_rejections_limited(found->first, group, now);
}

void server_table::update_rejection_limits(const fleet_members& members, std::size_t reporting_vms,
                                           instant now)
{
    this->members = members;
    for (auto& [service, group] : this->services) {
        group.vms =
            members.local_vms.size() * std::max<std::size_t>(members.data_centres.size(), 1);
        group.reporting_vms = std::clamp<std::size_t>(reporting_vms, 1, group.vms);
        this->update_rejections_limited(service, group, now);
        if (group.rejections_limited) this->divide_slots(service, group, now);
    }
}

/** Computes how many requests this VM may have in flight at each server. */
void server_table::divide_slots(const service_id& service, service_state& group, instant now) const
{
    std::uint32_t own_slots = 0;
    const bool delayed =
        group.traits.engine && now - this->members.share_since < engine_share_delay;
    for (server_entry* row : group.rows) {
        if (now - row->full_at > full_load_lifetime) row->full_load.reset();
        const std::size_t slots =
            delayed ? 0 : slots_of_vm(row->record.slots, row->hash, this->members);
        row->slot_share = static_cast<std::uint32_t>(slots);
        if (!row->accepts_requests()) continue;
        own_slots += row->slot_share;
    }
    if (std::exchange(group.own_slots, own_slots) != own_slots) {
        log_event(log_level::info, "slots_divided",
                  {{"service", service.text},
                   {"own_slots", own_slots},
                   {"vms", this->members.local_vms.size()},
                   {"data_centres", this->members.data_centres.size()},
                   {"share", name_of(this->members.share)}});
    }
    group.slot_owners.clear();
    if (this->members.local_vms.empty()) return;
    if (group.traits.engine) {
        // Each VM has slots of some engines, and may run out of them while others have some.
        group.slot_owners = this->members.local_vms;
        std::erase(group.slot_owners, this->members.self);
        return;
    }
    if (own_slots >= sufficient_slots) return;
    std::set<std::uint32_t> owners;
    for (const server_entry* row : group.rows) {
        if (!row->accepts_requests()) continue;
        const auto vms = local_vms_with_share(row->record.slots, row->hash, this->members);
        owners.insert(vms.begin(), vms.end());
    }
    owners.erase(this->members.self);
    group.slot_owners.assign(owners.begin(), owners.end());
}

std::vector<std::uint32_t> server_table::slot_owners(const service_id& service,
                                                     std::span<const std::uint32_t> tried,
                                                     instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.rejections_limited) return {};
    const bool own_slot = std::ranges::any_of(
        found->second.rows, [now](const server_entry* row) { return has_own_slot(*row, now); });
    if (own_slot) return {};
    std::vector<std::uint32_t> untried;
    std::ranges::copy_if(
        found->second.slot_owners, std::back_inserter(untried),
        [tried](std::uint32_t vm) { return std::ranges::find(tried, vm) == tried.end(); });
    return untried;
}

bool server_table::rejections_limited(const service_id& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.rejections_limited;
}

/** Estimated rejections of all VMs in the last second, as a share of the limit. */
double server_table::service_state::rejections_at(const server_entry& row, instant now) const
{
    const double unreported =
        static_cast<double>(this->vms) / static_cast<double>(this->reporting_vms);
    return row.rejections.rate(now) * unreported / std::max<std::uint32_t>(this->limit.per_s(), 1);
}

/** Whether the server will probably not reject one more request of this VM. */
bool server_table::has_room(const service_state& group, const server_entry& row, instant now)
{
    if (!group.rejections_limited) return true;
    if (now < row.rejection_pause_until) return false;
    if (group.rejections_at(row, now) >= max_rejections) return false;
    if (row.full_load && row.load() >= *row.full_load) return false;
    return row.occupied_slots(now) < row.slot_share;
}

} // namespace worksshift
