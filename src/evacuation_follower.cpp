#include "evacuation_follower.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

evacuation_follower::evacuation_follower(event_base* base, http_caller& caller,
                                         const link_address& store, const protocol& dialect,
                                         server_table& servers, fleet_gossip& gossip)
    : gossip(gossip), servers(servers), places(dialect),
      calls(base, caller, store, dialect, follow.watch)
{
    store_watch& news = this->follow.watch;
    news.on_list.connect([this](const std::vector<stored_object>& all) {
        this->places.take_list(all, this->follow.watch.changed_revision());
    });
    news.on_changes.connect([this](const std::vector<stored_object>& changed) {
        this->places.take_changes(changed, this->follow.watch.changed_revision());
    });
    this->places.on_change.connect([this] { this->put_in_force(); });
}

void evacuation_follower::tick(instant now, std::optional<read_mode> watched)
{
    this->follow.update(watched, this->places.known(), false, now);
    this->calls.proceed();
}

void evacuation_follower::take_digest(const fleet_digest& told)
{
    if (told.evacuations_revision <= this->places.revision()) return;
    this->places.take_digest(told);
    this->follow.watch.advance(told.evacuations_revision);
}

void evacuation_follower::put_in_force()
{
    this->gossip.hasten();
    this->servers.set_evacuated(this->places.places(), std::chrono::steady_clock::now());
    std::string names;
    for (const data_centre_id& place : this->evacuated())
        names.append(names.empty() ? "" : ",").append(place.text);
    log_event(log_level::info, "evacuations_in_force",
              {{"data_centres", names},
               {"entries", this->places.places().size()},
               {"revision", this->places.revision()}});
}

std::map<std::uint32_t, data_centre_id> evacuation_follower::names() const
{
    std::map<std::uint32_t, data_centre_id> found;
    for (const auto& [id, row] : this->servers.rows()) {
        const data_centre_id& place = row.record.data_centre;
        found.try_emplace(static_cast<std::uint32_t>(place.hash()), place);
    }
    return found;
}

void evacuation_follower::describe(fleet_digest& digest, bool all_servers_known) const
{
    std::set<std::uint32_t> known;
    if (all_servers_known && this->places.places().size() > evacuated_at_most) {
        for (const auto& [hash, name] : this->names())
            known.insert(hash);
    }
    this->places.describe(digest, known);
}

std::vector<data_centre_id> evacuation_follower::evacuated() const
{
    std::vector<data_centre_id> found;
    for (const auto& [hash, name] : this->names()) {
        if (this->places.places().contains(hash)) found.push_back(name);
    }
    return found;
}

} // namespace worksshift
