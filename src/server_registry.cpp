#include "server_registry.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "errors.h"
#include "log.h"

namespace worksshift {

void server_registry::take_list(std::span<const stored_object> all, instant now)
{
    this->listed = true;
    std::unordered_set<std::string_view> names;
    for (const stored_object& item : all)
        names.insert(item.name);
    for (const auto& [id, row] : this->table.rows()) {
        if (!names.contains(id.text) && !row.gone)
            this->missing.try_emplace(id, missing_entry{now});
    }
    this->take_part(all, now);
}

void server_registry::take_part(std::span<const stored_object> part, instant now)
{
    const bool few = part.size() <= this->table.rows().size() + logged_one_by_one;
    const logging told = few ? logging::each : logging::none;
    const auto changed = std::ranges::count_if(
        part, [&](const stored_object& item) { return this->put(item, told, now); });
    log_event(log_level::info, "servers_listed",
              {{"servers", part.size()},
               {"changed", changed},
               {"missing", this->missing.size()},
               {"each_logged", few ? 1 : 0}});
}

void server_registry::take_change(const stored_object& item, instant now)
{
    if (!item.removed) {
        this->put(item, logging::each, now);
    } else if (!this->is_former(item)) {
        this->missing.try_emplace(server_id{item.name}, missing_entry{now});
    }
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

bool server_registry::put(const stored_object& item, logging told, instant now)
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
        this->note_unreadable(item, fault.what(), now);
        return false;
    }
}

/** The entry names no server. One that it named before is gone like one whose entry was removed. */
void server_registry::note_unreadable(const stored_object& item, std::string_view reason,
                                      instant now)
{
    const server_id id{item.name};
    const server_entry* row = this->table.find(id);
    if (row != nullptr && !row->gone) this->missing.try_emplace(id, missing_entry{now});
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

/** Whether so many servers of the service went that their entries must have lapsed. */
bool server_registry::lapsed_together(const service_id& service) const
{
    std::size_t all = 0;
    std::size_t lapsed = 0;
    for (const auto& [id, row] : this->table.rows()) {
        if (row.gone || row.record.service != service) continue;
        ++all;
        if (this->missing.contains(id)) ++lapsed;
    }
    return static_cast<double>(lapsed) > lapsed_share * static_cast<double>(all);
}

void server_registry::sweep(instant now, instant store_regained)
{
    const instant back = store_regained + lapsed_kept_for;
    std::vector<std::pair<server_id, duration>> over;
    for (auto& [id, entry] : this->missing) {
        const server_entry* row = this->table.find(id);
        const bool together = row != nullptr && this->lapsed_together(row->record.service);
        const instant soon = entry.since + leaving_kept_for;
        // An outage that nobody noticed shows by entries that lapse together.
        const instant until = together ? std::max(back, soon) : std::min(back, soon);
        if (now >= until) {
            over.emplace_back(id, now - entry.since);
        } else if (!std::exchange(entry.logged, true)) {
            log_event(log_level::info, "server_missing",
                      {{"server", id.text},
                       {"together", together ? 1 : 0},
                       {"store_back_ms", (now - store_regained) / milliseconds(1)},
                       {"kept_ms", (until - entry.since) / milliseconds(1)}});
        }
    }
    for (const auto& [id, kept] : over) {
        this->missing.erase(id);
        this->remove(id, kept);
    }
    this->log_unreadable(now);
}

} // namespace worksshift
