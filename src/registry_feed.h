/** \file
 * Keeps the registry of servers in the form in which one VM sends it to others: the changes since a
 * revision, or the complete registry if the changes since then are no longer held.
 *
 * Only a few VMs watch the registry at the store; the others get it from these. So the number of
 * calls to the store does not grow with the fleet, and a VM that the store refuses still learns
 * which servers leave.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "protocol.h"

namespace worksshift {

/** A server whose entry is missing and which the sending VM still uses, as the entry may have
 * expired. */
struct retained_server {
    std::string name;
    std::uint32_t missing_ms = 0; ///< time since a VM first noticed that the entry was missing
};

/** Response of one VM to another: everything that changed since a revision. */
struct registry_update {
    std::uint64_t revision = 0; ///< revision of the registry after these objects are applied
    bool complete = false;      ///< the objects are the complete registry, not changes
    std::vector<stored_object> objects;
    /** Sorted by name. Servers that are neither here nor among the present objects have left,
     * provided that the sending VM knew them: it knows those that were listed at revision
     * `oldest_known_revision` or later. */
    std::vector<retained_server> retained{};
    std::uint64_t oldest_known_revision = 0;
};

std::string encode(const registry_update& update);
/** \throws peer_error when the bytes are not an update. */
registry_update decode_registry_update(const std::string& bytes, const std::string& peer);

class registry_feed {
public:
    /** Minimum number of changes that are held. As many as there are entries are held if that is
     * more, since a release changes the entries of a quarter of the servers three times within
     * seconds. */
    static constexpr std::size_t min_retained_changes = 256;

    /** Applies an update and returns the part of it that was new; std::nullopt if the update is no
     * newer than what is known. Updates come from the store and from other VMs, some of them
     * seconds late. */
    std::optional<registry_update> apply(const registry_update& update);
    [[nodiscard]] registry_update since(std::uint64_t revision) const;
    [[nodiscard]] std::uint64_t revision() const { return this->newest_revision; }

private:
    struct change {
        std::uint64_t revision = 0;
        stored_object object;
    };

    [[nodiscard]] bool is_newer(const stored_object& object) const;
    void apply_list(std::span<const stored_object> all, std::uint64_t revision);
    void apply_change(const stored_object& object, std::uint64_t revision);

    std::map<std::string, stored_object> entries;
    std::deque<change> changes;
    std::uint64_t compacted_revision = 0; ///< all changes after this revision are held
    std::uint64_t newest_revision = 0;
    std::uint64_t first = 0; ///< revision of the first update that was applied
};

} // namespace worksshift
