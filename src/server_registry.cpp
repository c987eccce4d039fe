#include "server_registry.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "errors.h"
#include "log.h"
#include "visitor.h"

namespace worksshift {

news_origin origin_of(const registry_update& update, std::uint64_t revision, instant asked_at)
{
    if (update.known_from > revision) return told_by_store{};
    return told_by_vm{update.kept, asked_at};
}

void server_registry::take_list(std::span<const stored_object> all, const news_origin& origin,
                                instant now)
{
    this->listed = true;
    std::unordered_set<std::string_view> names;
    for (const stored_object& item : all)
        names.insert(item.name);
    for (const auto& [id, row] : this->table.rows()) {
        if (!names.contains(id.text)) this->miss(id, origin, now);
    }
    this->take_part(all, origin, now);
}

void server_registry::take_part(std::span<const stored_object> part, const news_origin& origin,
                                instant now)
{
    const bool few = part.size() <= this->table.rows().size() + logged_one_by_one;
    const logging told = few ? logging::each : logging::none;
    const auto changed = std::ranges::count_if(
        part, [&](const stored_object& item) { return this->put(item, told, origin, now); });
    log_event(log_level::info, "servers_listed",
              {{"servers", part.size()},
               {"changed", changed},
               {"missing", this->missing.size()},
               {"each_logged", few ? 1 : 0}});
}

void server_registry::take_change(const stored_object& item, const news_origin& origin, instant now)
{
    if (!item.removed) {
        this->put(item, logging::each, origin, now);
    } else if (!this->is_former(item)) {
        this->miss(server_id{item.name}, origin, now);
    }
}

/** Notes that the server is not listed any more. One that said that it leaves has left. */
void server_registry::miss(const server_id& id, const news_origin& origin, instant now)
{
    const server_entry* row = this->table.find(id);
    if (row == nullptr || row->gone) return;
    missing_entry entry{now};
    entry.left = row->record.draining || row->leaving;
    std::visit(
        visitor{[&](const told_by_store& store) { entry.as_it_happened = store.as_it_happens; },
                [&](const told_by_vm& vm) {
                    const auto found =
                        std::ranges::lower_bound(vm.kept, id.text, {}, &kept_server::name);
                    entry.as_it_happened = true;
                    if (found == vm.kept.end() || found->name != id.text) {
                        entry.left = true;
                    } else {
                        entry.since = vm.asked_at - milliseconds(found->missing_ms);
                    }
                }},
        origin);
    this->missing.try_emplace(id, entry);
}

std::vector<kept_server> server_registry::kept(instant now) const
{
    std::vector<kept_server> servers;
    for (const auto& [id, entry] : this->missing) {
        const auto age = std::max<std::int64_t>((now - entry.since) / milliseconds(1), 0);
        if (!entry.left) servers.push_back({id.text, static_cast<std::uint32_t>(age)});
    }
    return servers;
}

/** Whether it was a former life of the server that went. */
bool server_registry::is_former(const stored_object& removal) const
{
    try {
        return this->table.is_former(this->dialect.decode_server(removal));
    } catch (const error&) {
        // Whoever wrote it: the entry is gone.
        return false;
    }
}

bool server_registry::put(const stored_object& item, logging told, const news_origin& origin,
                          instant now)
{
    try {
        const server_record record = this->dialect.decode_server(item);
        if (this->table.is_former(record)) return false;
        this->missing.erase(record.id);
        const server_entry* known = this->table.find(record.id);
        const bool again = known != nullptr && known->record.born_ms < record.born_ms;
        const std::uint64_t before = again ? known->record.born_ms : 0;
        if (!this->table.put(record, now)) return false;
        if (again) {
            log_event(log_level::info, "server_restarted",
                      {{"server", record.id.text},
                       {"born_ms", record.born_ms},
                       {"before_ms", before},
                       {"revision", item.revision}});
            this->on_restarted.emit(record.id);
        }
        if (told == logging::each) {
            log_event(log_level::info, "server_listed",
                      {{"server", record.id.text},
                       {"service", record.service.text},
                       {"address", to_string(record.address)},
                       {"draining", record.draining ? 1 : 0},
                       {"revision", item.revision}});
        }
        if (record.draining) this->on_leaving.emit(record.id);
        return true;
    } catch (const error& fault) {
        this->note_unreadable(item, fault.what(), origin, now);
        return false;
    }
}

/** The entry names no server. One that it named before is gone like one whose entry was removed. */
void server_registry::note_unreadable(const stored_object& item, std::string_view reason,
                                      const news_origin& origin, instant now)
{
    this->miss(server_id{item.name}, origin, now);
    ++this->unreadable_total;
    if (this->unreadable_now.count++ > 0) return;
    this->unreadable_now.first = item.name.substr(0, reason_at_most);
    this->unreadable_now.reason = reason.substr(0, reason_at_most);
}

void server_registry::log_unreadable(instant now)
{
    if (this->unreadable_now.count == 0) return;
    if (now - this->unreadable_logged < unreadable_line_every) return;
    this->unreadable_logged = now;
    log_event(log_level::warn, "servers_unreadable",
              {{"entries", this->unreadable_now.count},
               {"first", this->unreadable_now.first},
               {"reason", this->unreadable_now.reason},
               {"total", this->unreadable_total}});
    this->unreadable_now = {};
}

void server_registry::remove(const server_id& id, duration kept)
{
    if (!this->table.remove(id)) return;
    log_event(log_level::info, "server_removed",
              {{"server", id.text}, {"kept_ms", kept / milliseconds(1)}});
    this->on_leaving.emit(id);
}

/** The services of which so many servers went that their entries must have lapsed. */
std::set<service_id> server_registry::lapsed_together() const
{
    struct sum {
        std::size_t all = 0;
        std::size_t lapsed = 0;
    };
    std::map<service_id, sum> sums;
    for (const auto& [id, row] : this->table.rows()) {
        if (row.gone) continue;
        const auto found = this->missing.find(id);
        const bool is_missing = found != this->missing.end();
        if (is_missing && found->second.left) continue;
        sum& of_service = sums[row.record.service];
        ++of_service.all;
        if (is_missing) ++of_service.lapsed;
    }
    std::set<service_id> services;
    for (const auto& [service, counted] : sums) {
        const double all = static_cast<double>(counted.all);
        if (static_cast<double>(counted.lapsed) > lapsed_share * all) services.insert(service);
    }
    return services;
}

/** \p together: with most of its service. */
instant server_registry::used_until(const missing_entry& entry, bool together, instant store_back)
{
    if (entry.left) return entry.since;
    const instant soon = entry.since + leaving_kept_for;
    const instant back = store_back + lapsed_kept_for;
    if (entry.since < back) return together ? std::max(back, soon) : std::min(back, soon);
    // An outage that nobody noticed shows by entries that lapse together.
    return together && entry.as_it_happened ? soon : entry.since;
}

void server_registry::sweep(instant now, instant store_back)
{
    this->log_unreadable(now);
    if (this->missing.empty()) return;
    const std::set<service_id> lapsed = this->lapsed_together();
    const bool few = this->missing.size() <= logged_one_by_one;
    std::size_t unlogged = 0;
    std::vector<std::pair<server_id, duration>> over;
    for (auto& [id, entry] : this->missing) {
        const server_entry* row = this->table.find(id);
        const bool together = row != nullptr && lapsed.contains(row->record.service);
        const instant until = used_until(entry, together, store_back);
        if (now >= until) {
            over.emplace_back(id, now - entry.since);
        } else if (!std::exchange(entry.logged, true)) {
            if (!few) {
                ++unlogged;
                continue;
            }
            log_event(log_level::info, "server_missing",
                      {{"server", id.text},
                       {"together", together ? 1 : 0},
                       {"store_back_ms", (now - store_back) / milliseconds(1)},
                       {"kept_ms", (until - entry.since) / milliseconds(1)}});
        }
    }
    if (unlogged > 0) {
        log_event(log_level::info, "servers_missing",
                  {{"servers", unlogged},
                   {"services_together", lapsed.size()},
                   {"store_back_ms", (now - store_back) / milliseconds(1)}});
    }
    for (const auto& [id, kept] : over) {
        this->missing.erase(id);
        this->remove(id, kept);
    }
}

} // namespace worksshift
