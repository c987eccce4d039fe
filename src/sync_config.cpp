#include "sync_config.h"

#include <algorithm>

#include "errors.h"
#include "log.h"
#include "rendezvous.h"

namespace worksshift {

namespace {

/** Rendezvous key by which watchers are selected. */
constexpr std::uint64_t watcher_key = 0x636f6e666967ULL;

/** Whether every shard that the manifest names was received or is already held. */
bool has_all_shards(const parsed_manifest& manifest, const shard_map& received,
                    const shard_map& held)
{
    return std::ranges::all_of(manifest.shards, [&](const std::string& name) {
        return held.contains(name) || received.contains(name);
    });
}

/** The documents of the shards that the manifest names. They are moved out of \p held where
 * present, otherwise out of \p received, so that a change copies no shard. */
shard_map collect_shards(const parsed_manifest& manifest, shard_map& held, shard_map& received)
{
    shard_map shards;
    for (const std::string& name : manifest.shards) {
        shard_map& source = held.contains(name) ? held : received;
        shards.insert(source.extract(name));
    }
    return shards;
}

} // namespace

offer_result offer_config(config_state& state, config_documents documents)
{
    try {
        const parsed_manifest manifest = parse_manifest(documents.manifest);
        if (manifest.revision < state.revision()) {
            ++state.lower_revisions_seen;
            return offer_result::lower;
        }
        if (manifest.revision == state.revision()) return offer_result::same;
        shard_map& held = state.documents.shards;
        if (!has_all_shards(manifest, documents.shards, held)) return offer_result::incomplete;
        state.config =
            std::make_shared<const fleet_config>(parse_fleet_config(documents, state.config.get()));
        documents.shards = collect_shards(manifest, held, documents.shards);
        state.documents = std::move(documents);
        return offer_result::applied;
    } catch (const user_error& fault) {
        ++state.invalid_documents_seen;
        log_event(log_level::error, "config_invalid",
                  {{"step", fault.step}, {"path", fault.peer}, {"why", fault.what()}});
        return offer_result::invalid;
    }
}

void note_peer_revision(config_state& state, std::uint64_t revision, const vm_id& from)
{
    if (revision <= std::max(state.revision(), state.advertised_revision)) {
        // Prefer the latest VM that advertises the same revision, in case the first one has failed.
        if (revision == state.advertised_revision && revision > state.revision()) {
            state.advertised_by = from;
        }
        return;
    }
    state.advertised_revision = revision;
    state.advertised_by = from;
}

void pull_config(tables& t, config_state& state, const tick_time& time)
{
    if (state.advertised_revision <= state.revision()) return;
    if (!state.pull_target.empty() && time.now - state.pull_started_at < config_pull_timeout)
        return;
    state.pull_target = state.advertised_by;
    state.pull_started_at = time.now;
    config_pull pull;
    pull.have_revision = state.revision();
    std::ranges::transform(state.documents.shards, std::back_inserter(pull.have_shards),
                           [](const auto& entry) { return entry.first; });
    t.send(state.advertised_by, std::move(pull));
}

std::optional<config_push> answer_pull(const config_state& state, const config_pull& pull)
{
    if (state.revision() <= pull.have_revision) return std::nullopt;
    config_push push;
    push.manifest = state.documents.manifest;
    for (const auto& [name, content] : state.documents.shards) {
        const bool has = std::ranges::find(pull.have_shards, name) != pull.have_shards.end();
        if (!has) push.shards.push_back({name, content});
    }
    return push;
}

bool is_watcher(const membership& members)
{
    const data_centre_id& own = members.self().data_centre;
    const std::uint64_t weight = rendezvous_weight(watcher_key, members.self().vm.hash());
    const auto higher_ranked = std::ranges::count_if(members.members(), [&](const auto& entry) {
        const member& row = entry.second;
        return row.info.data_centre == own && row.live() &&
               rendezvous_weight(watcher_key, entry.first.hash()) > weight;
    });
    return static_cast<std::size_t>(higher_ranked) < watchers_per_data_centre;
}

} // namespace worksshift
