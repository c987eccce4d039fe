#include "evacuation_follower.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

evacuation_follower::evacuation_follower(event_base* base, http_client& caller,
                                         const link_address& store, const protocol& adapter,
                                         server_table& servers, fleet_gossip& gossip)
    : gossip(gossip), servers(servers), state(adapter),
      client(base, caller, store, adapter, follow.watch)
{
    store_watch& watch = this->follow.watch;
    watch.on_list.connect([this](const std::vector<stored_object>& all) {
        this->state.apply_list(all, this->follow.watch.changed_revision());
    });
    watch.on_changes.connect([this](const std::vector<stored_object>& changed) {
        this->state.apply_changes(changed, this->follow.watch.changed_revision());
    });
    this->state.on_change.connect([this] { this->apply(); });
}

void evacuation_follower::tick(instant now, std::optional<read_mode> watched)
{
    this->follow.update(watched, this->state.known(), false, now);
    this->client.proceed();
}

void evacuation_follower::handle_digest(const fleet_digest& digest)
{
    if (digest.evacuations_revision <= this->state.revision()) return;
    this->state.handle_digest(digest);
    this->follow.watch.advance(digest.evacuations_revision);
}

void evacuation_follower::apply()
{
    this->gossip.send_early();
    this->servers.set_evacuated(this->state.data_centre_hashes(), std::chrono::steady_clock::now());
    std::string names;
    for (const data_centre_id& centre : this->evacuated())
        names.append(names.empty() ? "" : ",").append(centre.text);
    log_event(log_level::info, "evacuations_in_force",
              {{"data_centres", names},
               {"entries", this->state.data_centre_hashes().size()},
               {"revision", this->state.revision()}});
}

std::map<std::uint32_t, data_centre_id> evacuation_follower::data_centres_by_hash() const
{
    std::map<std::uint32_t, data_centre_id> found;
    for (const auto& [id, row] : this->servers.rows()) {
        const data_centre_id& centre = row.record.data_centre;
        found.try_emplace(static_cast<std::uint32_t>(centre.hash()), centre);
    }
    return found;
}

void evacuation_follower::describe(fleet_digest& digest, bool all_servers_known) const
{
    std::set<std::uint32_t> known;
    if (all_servers_known && this->state.data_centre_hashes().size() > max_evacuated_data_centres) {
        for (const auto& [hash, name] : this->data_centres_by_hash())
            known.insert(hash);
    }
    this->state.describe(digest, known);
}

std::vector<data_centre_id> evacuation_follower::evacuated() const
{
    std::vector<data_centre_id> found;
    for (const auto& [hash, name] : this->data_centres_by_hash()) {
        if (this->state.data_centre_hashes().contains(hash)) found.push_back(name);
    }
    return found;
}

} // namespace worksshift
