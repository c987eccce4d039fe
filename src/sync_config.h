/** \file
 * System: applies the newest accepted configuration and never returns to an older revision.
 *
 * In each data centre, `watchers_per_data_centre` VMs watch the platform's manifest. The other VMs
 * learn of new revisions through gossip and pull the documents from the VM that advertised the
 * revision. A lower revision is counted and ignored, whatever its source.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "config_documents.h"
#include "membership.h"
#include "tables.h"

namespace worksshift {

constexpr std::size_t watchers_per_data_centre = 2;
constexpr duration config_pull_timeout = seconds(1);

/** The configuration that this VM holds, and the newest revision that its peers advertise. */
struct config_state {
    config_documents documents;
    std::shared_ptr<const fleet_config> config;
    /** Number of lower revisions offered, such as by a platform restored from a backup. */
    std::uint64_t lower_revisions_seen = 0;
    /** Number of offers whose documents were invalid. */
    std::uint64_t invalid_documents_seen = 0;
    vm_id pull_target;
    instant pull_started_at{};
    std::uint64_t advertised_revision = 0; ///< highest revision advertised by a peer
    vm_id advertised_by;

    [[nodiscard]] std::uint64_t revision() const
    {
        return this->config == nullptr ? 0 : this->config->revision;
    }
};

enum class offer_result : std::uint8_t { applied, same, lower, invalid, incomplete };

/** Validates and applies documents from any source. Shards that \p state already holds may be left
 * out. */
offer_result offer_config(config_state& state, config_documents documents);

/** Records a revision that a peer advertised. */
void note_peer_revision(config_state& state, std::uint64_t revision, const vm_id& from);

/** Requests the newest advertised configuration from the VM that advertised it, if it is newer than
 * the local one. */
void pull_config(tables& t, config_state& state, const tick_time& time);

/** The reply to a peer's pull; std::nullopt if the local revision is not newer than the peer's. */
std::optional<config_push> answer_pull(const config_state& state, const config_pull& pull);

/** Whether this VM is one of those in its data centre that watch the platform's manifest. */
bool is_watcher(const membership& members);

} // namespace worksshift
