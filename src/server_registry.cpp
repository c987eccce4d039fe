#include "server_registry.h"

#include <algorithm>

#include "errors.h"
#include "log.h"

namespace worksshift {

void server_registry::take_list(std::span<const stored_object> all, instant now)
{
    this->listed = true;
    for (const auto& [id, row] : this->table.rows()) {
        const bool found = std::ranges::find(all, id.text, &stored_object::name) != all.end();
        if (!found && !row.gone) this->missing.try_emplace(id, now);
    }
    this->take_part(all);
}

void server_registry::take_part(std::span<const stored_object> part)
{
    const bool few = part.size() <= this->table.rows().size() + logged_one_by_one;
    const logging told = few ? logging::each : logging::none;
    const auto changed = std::ranges::count_if(
        part, [&](const stored_object& item) { return this->put(item, told); });
    log_event(log_level::info, "servers_listed",
              {{"servers", part.size()},
               {"changed", changed},
               {"missing", this->missing.size()},
               {"each_logged", few ? 1 : 0}});
}

void server_registry::take_change(const stored_object& item, instant now)
{
    if (item.removed) {
        this->missing.try_emplace(server_id{item.name}, now);
    } else {
        this->put(item, logging::each);
    }
}

bool server_registry::put(const stored_object& item, logging told)
{
    try {
        const server_record record = this->dialect.decode_server(item);
        this->missing.erase(record.id);
        if (!this->table.put(record)) return false;
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
        log_event(log_level::error, "server_unreadable",
                  {{"server", item.name}, {"step", fault.step}, {"reason", fault.what()}});
        return false;
    }
}

void server_registry::remove(const server_id& id)
{
    if (!this->table.remove(id)) return;
    log_event(log_level::info, "server_removed", {{"server", id.text}});
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
    std::vector<server_id> over;
    for (const auto& [id, since] : this->missing) {
        const server_entry* row = this->table.find(id);
        const bool together = row != nullptr && this->lapsed_together(row->record.service);
        const instant until = together ? back : std::min(back, since + leaving_kept_for);
        if (now >= until) over.push_back(id);
    }
    for (const server_id& id : over) {
        this->missing.erase(id);
        this->remove(id);
    }
}

} // namespace worksshift
