#include "server_registry.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "errors.h"
#include "log.h"
#include "visitor.h"

namespace worksshift {

update_origin origin_of(const registry_update& update, std::uint64_t revision, instant requested_at)
{
    if (update.oldest_known_revision > revision) return store_origin{};
    return peer_origin{update.retained, requested_at};
}

void server_registry::apply_list(std::span<const stored_object> all, const update_origin& origin,
                                 instant now)
{
    this->listed = true;
    std::unordered_set<std::string_view> names;
    for (const stored_object& object : all)
        names.insert(object.name);
    for (const auto& [id, row] : this->table.rows()) {
        if (!names.contains(id.text)) this->mark_missing(id, origin, now);
    }
    this->apply_partial_list(all, origin, now);
}

void server_registry::apply_partial_list(std::span<const stored_object> part,
                                         const update_origin& origin, instant now)
{
    const bool log_each = part.size() <= this->table.rows().size() + max_logged_individually;
    const logging log_detail = log_each ? logging::each : logging::none;
    const auto changed = std::ranges::count_if(part, [&](const stored_object& object) {
        return this->put(object, log_detail, origin, now);
    });
    log_event(log_level::info, "servers_listed",
              {{"servers", part.size()},
               {"changed", changed},
               {"missing", this->missing.size()},
               {"each_logged", log_each ? 1 : 0}});
}

void server_registry::apply_change(const stored_object& object, const update_origin& origin,
                                   instant now)
{
    if (!object.removed) {
        this->put(object, logging::each, origin, now);
    } else if (!this->is_outdated(object)) {
        this->mark_missing(server_id{object.name}, origin, now);
    }
}

/** Marks a server as missing from the registry. If it had announced that it leaves, it has left. */
void server_registry::mark_missing(const server_id& id, const update_origin& origin, instant now)
{
    const server_entry* row = this->table.find(id);
    if (row == nullptr || row->gone) return;
    missing_entry entry{now};
    entry.has_left = row->record.draining || row->leaving;
    std::visit(
        visitor{[&](const store_origin& store) { entry.removal_observed = store.from_watch; },
                [&](const peer_origin& vm) {
                    const auto found =
                        std::ranges::lower_bound(vm.retained, id.text, {}, &retained_server::name);
                    entry.removal_observed = true;
                    if (found == vm.retained.end() || found->name != id.text) {
                        entry.has_left = true;
                    } else {
                        entry.since = vm.requested_at - milliseconds(found->missing_ms);
                    }
                }},
        origin);
    this->missing.try_emplace(id, entry);
}

std::vector<retained_server> server_registry::retained_servers(instant now) const
{
    std::vector<retained_server> servers;
    for (const auto& [id, entry] : this->missing) {
        const auto age = std::max<std::int64_t>((now - entry.since) / milliseconds(1), 0);
        if (!entry.has_left) servers.push_back({id.text, static_cast<std::uint32_t>(age)});
    }
    return servers;
}

/** Whether the removed entry is older than the known one of the server. */
bool server_registry::is_outdated(const stored_object& removal) const
{
    try {
        return this->table.is_outdated(this->adapter.decode_server(removal));
    } catch (const error&) {
        // The entry cannot be decoded, so it is treated as a removal, whoever wrote it.
        return false;
    }
}

bool server_registry::put(const stored_object& object, logging log_detail,
                          const update_origin& origin, instant now)
{
    try {
        const server_record record = this->adapter.decode_server(object);
        if (this->table.is_outdated(record)) return false;
        this->missing.erase(record.id);
        const server_entry* known = this->table.find(record.id);
        const bool restarted =
            known != nullptr && known->record.started_at_ms != record.started_at_ms;
        const std::uint64_t before = restarted ? known->record.started_at_ms : 0;
        if (!this->table.put(record, now)) return false;
        if (restarted) {
            log_event(log_level::info, "server_restarted",
                      {{"server", record.id.text},
                       {"born_ms", record.started_at_ms},
                       {"before_ms", before},
                       {"revision", object.revision}});
            this->on_restarted.emit(record.id);
        }
        if (log_detail == logging::each) {
            log_event(log_level::info, "server_listed",
                      {{"server", record.id.text},
                       {"service", record.service.text},
                       {"address", to_string(record.address)},
                       {"draining", record.draining ? 1 : 0},
                       {"revision", object.revision}});
        }
        if (record.draining) this->on_leaving.emit(record.id);
        return true;
    } catch (const error& fault) {
        this->record_unreadable(object, fault.what(), origin, now);
        return false;
    }
}

/** Counts an entry that does not decode to a server. If the name belonged to a known server, that
 * server is missing, as if its entry had been removed. */
void server_registry::record_unreadable(const stored_object& object, std::string_view reason,
                                        const update_origin& origin, instant now)
{
    this->mark_missing(server_id{object.name}, origin, now);
    ++this->unreadable_total;
    if (this->unlogged_unreadable.count++ > 0) return;
    this->unlogged_unreadable.first = object.name.substr(0, max_reason_length);
    this->unlogged_unreadable.reason = reason.substr(0, max_reason_length);
}

void server_registry::log_unreadable(instant now)
{
    if (this->unlogged_unreadable.count == 0) return;
    if (now - this->unreadable_logged < unreadable_log_interval) return;
    this->unreadable_logged = now;
    log_event(log_level::warn, "servers_unreadable",
              {{"entries", this->unlogged_unreadable.count},
               {"first", this->unlogged_unreadable.first},
               {"reason", this->unlogged_unreadable.reason},
               {"total", this->unreadable_total}});
    this->unlogged_unreadable = {};
}

void server_registry::remove(const server_id& id, duration retained_for)
{
    if (!this->table.remove(id)) return;
    log_event(log_level::info, "server_removed",
              {{"server", id.text}, {"kept_ms", retained_for / milliseconds(1)}});
    this->on_leaving.emit(id);
}

/** Services of which so many servers are missing that their entries must have expired, which
 * happens if the store was unavailable. */
std::set<service_id> server_registry::services_with_mass_expiry() const
{
    struct service_counts {
        std::size_t all = 0;
        std::size_t missing = 0;
    };
    std::map<service_id, service_counts> counts_by_service;
    for (const auto& [id, row] : this->table.rows()) {
        if (row.gone) continue;
        const auto found = this->missing.find(id);
        const bool is_missing = found != this->missing.end();
        if (is_missing && found->second.has_left) continue;
        service_counts& counts = counts_by_service[row.record.service];
        ++counts.all;
        if (is_missing) ++counts.missing;
    }
    std::set<service_id> services;
    for (const auto& [service, counted] : counts_by_service) {
        const double all = static_cast<double>(counted.all);
        if (static_cast<double>(counted.missing) > expired_share_threshold * all)
            services.insert(service);
    }
    return services;
}

/** When the server's retention ends. \p mass_expiry: most of its service is missing as well. \p
 * store_back: when the store last returned from an outage. */
instant server_registry::retention_end(const missing_entry& entry, bool mass_expiry,
                                       instant store_recovered_at)
{
    if (entry.has_left) return entry.since;
    const instant removal_grace_end = entry.since + removed_retention;
    const instant store_grace_end = store_recovered_at + expired_retention;
    if (entry.since < store_grace_end) {
        return mass_expiry ? std::max(store_grace_end, removal_grace_end)
                           : std::min(store_grace_end, removal_grace_end);
    }
    // Entries that disappear together may have expired in an outage that no VM noticed.
    return mass_expiry && entry.removal_observed ? removal_grace_end : entry.since;
}

void server_registry::sweep(instant now, instant store_recovered_at)
{
    this->log_unreadable(now);
    if (this->missing.empty()) return;
    const std::set<service_id> mass_expired = this->services_with_mass_expiry();
    const bool log_each = this->missing.size() <= max_logged_individually;
    std::size_t unlogged = 0;
    std::vector<std::pair<server_id, duration>> to_remove;
    for (auto& [id, entry] : this->missing) {
        const server_entry* row = this->table.find(id);
        const bool mass_expiry = row != nullptr && mass_expired.contains(row->record.service);
        const instant removal_at = retention_end(entry, mass_expiry, store_recovered_at);
        if (now >= removal_at) {
            to_remove.emplace_back(id, now - entry.since);
        } else if (!std::exchange(entry.logged, true)) {
            if (!log_each) {
                ++unlogged;
                continue;
            }
            log_event(log_level::info, "server_missing",
                      {{"server", id.text},
                       {"together", mass_expiry ? 1 : 0},
                       {"store_back_ms", (now - store_recovered_at) / milliseconds(1)},
                       {"kept_ms", (removal_at - entry.since) / milliseconds(1)}});
        }
    }
    if (unlogged > 0) {
        log_event(log_level::info, "servers_missing",
                  {{"servers", unlogged},
                   {"services_together", mass_expired.size()},
                   {"store_back_ms", (now - store_recovered_at) / milliseconds(1)}});
    }
    for (const auto& [id, retained_for] : to_remove) {
        this->missing.erase(id);
        this->remove(id, retained_for);
    }
}

} // namespace worksshift
