/** \file
 * The registry of servers as one VM passes it on to others: its newest changes, or the whole of it
 * to one that lacks more than these.
 *
 * Only a few VMs watch the registry at the store; the others follow these. So the calls to the
 * store do not grow with the fleet, and a VM that the store refuses still learns which servers
 * leave.
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

/** A server whose entry went, and which the teller still uses, as the entry may have lapsed. */
struct kept_server {
    std::string name;
    std::uint32_t missing_ms = 0; ///< since its entry was missed
};

/** What one VM asks of another: all that has changed since a revision. */
struct registry_update {
    std::uint64_t revision = 0; ///< of the registry with these objects
    bool whole = false;         ///< the objects are all that there are
    std::vector<stored_object> objects;
    /** Sorted by name. All others that are not among the objects, or are removed ones, have left;
     * the teller knows of those that were listed at the revision below or later. */
    std::vector<kept_server> kept{};
    std::uint64_t known_from = 0;
};

std::string encode(const registry_update& update);
/** \throws peer_error when the bytes are not an update. */
registry_update decode_registry_update(const std::string& bytes, const std::string& peer);

class registry_feed {
public:
    /** Changes that are kept to be passed on one by one, at least; and as many as there are
     * entries, since a release changes each of a quarter of the servers three times in seconds. */
    static constexpr std::size_t changes_kept_at_least = 256;

    /** Takes over what is news in an update, and returns just that; nothing when the update is no
     * newer than what is known. Updates come from the store and from other VMs, some of them
     * seconds late. */
    std::optional<registry_update> take(const registry_update& update);
    [[nodiscard]] registry_update since(std::uint64_t revision) const;
    [[nodiscard]] std::uint64_t revision() const { return this->newest; }

private:
    struct change {
        std::uint64_t revision = 0;
        stored_object object;
    };

    [[nodiscard]] bool is_news(const stored_object& item) const;
    void take_list(std::span<const stored_object> all, std::uint64_t revision);
    void take_change(const stored_object& item, std::uint64_t revision);

    std::map<std::string, stored_object> entries;
    std::deque<change> changes;
    std::uint64_t floor = 0; ///< changes behind this revision are all kept
    std::uint64_t newest = 0;
    std::uint64_t first = 0; ///< revision of the first update
};

} // namespace worksshift
