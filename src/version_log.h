/** \file
 * The software versions that the servers of each service have had within the last minute, up to a
 * revision of the store.
 *
 * A VM that has just started has seen no version that served before. It goes on from the log that
 * another VM has stored, or from a revision before which nothing was served, with the changes of
 * the registry since then. What is missing makes the log cover less; it never makes a version look
 * like the only one.
 *
 * Reads no clock and makes no calls.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "software_version.h"
#include "stream_origins.h"

namespace worksshift {

/** The software version of one server of a service. */
struct service_version {
    service_id service;
    software_version version = software_version::unknown;

    auto operator<=>(const service_version&) const = default;
};

/** One change of the registry. */
struct registry_change {
    std::string name;                   ///< of the entry
    std::uint64_t revision = 0;         ///< of the change
    std::uint64_t created_revision = 0; ///< at which the entry was created
    bool removed = false;
    /** What the entry says, of a removed one: what it said last. std::nullopt: not readable. */
    std::optional<service_version> server;
};

class version_log {
public:
    /** Streams cannot be taken up any more when their version has been gone for this long. */
    static constexpr duration lifetime = stream_origins::lifetime;

    /** No server was used before the revision. */
    static version_log since_first_use(std::uint64_t revision);
    /** It is not known what served before the revision. */
    static version_log since_revision(std::uint64_t revision);

    /** Applies changes of the registry, in their order: all of those after `revision()` up to
     * \p up_to, which is not lower. */
    void apply(std::span<const registry_change> changes, std::uint64_t up_to);
    /** All changes made before now were applied. \p listed: the servers in a registry of a revision
     * of at most `revision()`. \p listed_revision: that revision. */
    void complete(const std::set<service_version>& listed, std::uint64_t listed_revision,
                  instant now);

    [[nodiscard]] std::uint64_t revision() const { return this->newest; }
    /** Whether the log holds all versions that served within `lifetime`. */
    [[nodiscard]] bool covers_lifetime(instant now) const;
    /** The only version that servers of the service have had within `lifetime`; std::nullopt if
     * there were none or several, or if the log does not reach back so far. */
    [[nodiscard]] std::optional<software_version> only_version(const service_id& service,
                                                               instant now) const;
    [[nodiscard]] std::size_t versions() const { return this->known.size(); }

    /** The log as text, to be stored. */
    [[nodiscard]] std::string encode(instant now) const;
    /** The log that another VM stored. The time since then is not known; until the next call of
     * `complete`, it counts as none. \throws peer_error if the text is not a log. */
    static version_log decode(std::string_view text, instant now);

private:
    struct presence {
        instant last_seen{};
        bool present = false; ///< a server may have the version at revision `newest`
        bool changed = false; ///< named by a change since the last call of `complete`

        /** \p listed: a server in the list has the version. \p list_is_current: the list holds all
         * entries that were created or replaced up to revision `newest`. */
        void update(bool listed, bool list_is_current, instant now);
    };

    [[nodiscard]] nlohmann::json encode_versions(instant now) const;

    std::uint64_t newest = 0;
    /** Revision at which an entry was last created or replaced, at the latest. */
    std::uint64_t newest_entry = 0;
    /** Since when all versions are known; std::nullopt: since the first use. */
    std::optional<instant> known_since;
    /** Of a log that has not been completed: the revision at which it began. Entries that changed
     * since may have had another version before. */
    std::optional<std::uint64_t> began_at;
    std::set<std::string> changed_entries; ///< since `began_at`
    bool has_gap = false;                  ///< such an entry changed
    std::map<service_version, presence> known;
};

} // namespace worksshift
