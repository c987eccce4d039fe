/** \file
 * Maintains the server table from the registry, and tells servers that leave from servers whose
 * entries expired because the store was unavailable.
 *
 * Expired entries are written again within about two seconds of the store's return, so their
 * servers stay in use for that time. A server that leaves must get no new work after two seconds,
 * so a server whose single entry disappears is retained for less. The retention counts from when
 * the first VM noticed the missing entry: a server that another VM reports as retained has been
 * missing for as long as that VM says, and a missing server that it does not report as retained has
 * left.
 */
#pragma once

#include <map>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include <sigc++/sigc++.h>

#include "protocol.h"
#include "registry_feed.h"
#include "server_table.h"

namespace worksshift {

/** The update came from the store. */
struct store_origin {
    /** True for the response of a watch; a list does not say when an entry was removed. */
    bool from_watch = false;
};
/** The update came from another VM. */
struct peer_origin {
    std::span<const retained_server> retained; ///< missing servers it still uses, by name
    instant requested_at{};
};
using update_origin = std::variant<store_origin, peer_origin>;

/** Origin of an update that another VM sent. If that VM's first list is newer than \p revision, it
 * may never have known the servers that are known here, so its update says no more about missing
 * servers than a list of the store. */
update_origin origin_of(const registry_update& update, std::uint64_t revision,
                        instant requested_at);

class server_registry {
public:
    /** After the store's return, for entries that expired together. */
    static constexpr duration expired_retention = milliseconds(2300);
    /** For a single entry that disappears soon after the store's return, or for entries of most of
     * a service that disappear at once. Together with the pause between two calls to the store it
     * is below the time for which a leaving server may be used. */
    static constexpr duration removed_retention = milliseconds(1300);
    /** A list with more changes than this is logged in one line instead of one line per server:
     * 3,000 lines at a start would exhaust the log's rate limit and displace the lines that
     * matter. */
    static constexpr std::size_t max_logged_individually = 100;
    /** Interval between two log lines about unreadable entries, since another writer may leave
     * thousands of them. */
    static constexpr duration unreadable_log_interval = seconds(1);
    /** Maximum length, in bytes, of the logged name and reason of an unreadable entry, as the
     * reason may quote the entry's text. */
    static constexpr std::size_t max_reason_length = 120;
    /** If more than this share of a service's servers is missing, their entries are taken to have
     * expired. */
    static constexpr double expired_share_threshold = 0.5;

    server_registry(server_table& table, const protocol& adapter) : table(table), adapter(adapter)
    {
    }

    /** Applies a complete list of the entries. */
    void apply_list(std::span<const stored_object> all, const update_origin& origin, instant now);
    /** Applies part of a list: servers that are not in it are not missing. */
    void apply_partial_list(std::span<const stored_object> part, const update_origin& origin,
                            instant now);
    void apply_change(const stored_object& object, const update_origin& origin, instant now);
    /** Servers that are missing from the registry and still in use, sorted by name. */
    [[nodiscard]] std::vector<retained_server> retained_servers(instant now) const;
    /** Removes the servers whose retention has ended, and logs unreadable entries. \p
     * store_recovered_at is when the store last returned from an outage. */
    void sweep(instant now, instant store_recovered_at);

    /** Whether a complete list was applied. */
    [[nodiscard]] bool known() const { return this->listed; }
    /** Number of entries received so far that no server can have written. */
    [[nodiscard]] std::uint64_t unreadable() const { return this->unreadable_total; }

    /** The server takes no new work. */
    sigc::signal<void(const server_id&)> on_leaving;
    /** The server restarted under its id; connections opened to it before are unusable. */
    sigc::signal<void(const server_id&)> on_restarted;

private:
    enum class logging : std::uint8_t { each, none };
    /** Entries that could not be decoded since the last log line about them. */
    struct unreadable_entries {
        std::size_t count = 0;
        std::string first;  ///< name of the first entry
        std::string reason; ///< why the first entry could not be decoded
    };

    /** A server that is missing from the registry and has not been removed from the table. */
    struct missing_entry {
        instant since{};
        bool removal_observed = false; ///< received as a change, not inferred from a list
        bool has_left = false;         ///< known to have left; its entry did not expire
        bool logged = false;
    };

    /** Returns whether the table changed. */
    bool put(const stored_object& object, logging log_detail, const update_origin& origin,
             instant now);
    void mark_missing(const server_id& id, const update_origin& origin, instant now);
    [[nodiscard]] static instant retention_end(const missing_entry& entry, bool mass_expiry,
                                               instant store_recovered_at);
    void record_unreadable(const stored_object& object, std::string_view reason,
                           const update_origin& origin, instant now);
    void log_unreadable(instant now);
    [[nodiscard]] bool is_outdated(const stored_object& removal) const;
    void remove(const server_id& id, duration retained_for);
    [[nodiscard]] std::set<service_id> services_with_mass_expiry() const;

    server_table& table;
    const protocol& adapter;
    std::map<server_id, missing_entry> missing;
    unreadable_entries unlogged_unreadable;
    std::uint64_t unreadable_total = 0;
    instant unreadable_logged{};
    bool listed = false;
};

} // namespace worksshift
