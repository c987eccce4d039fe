/** \file
 * Keeps the table of servers as the registry has it, and tells servers that leave from entries that
 * lapsed because the store was away.
 *
 * Entries that lapsed are back within about two seconds of the store's return, so they are kept for
 * that time. A server that leaves must get no new work two seconds later, so a single entry that
 * goes is kept for less. The time counts from when the first VM missed the entry: what this one
 * learns late from another is as old as the other says, and what the other does not use any more
 * has left.
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

/** The store told of the registry. */
struct told_by_store {
    /** Changes are told as they happen; a list does not say when an entry went. */
    bool as_it_happens = false;
};
/** Another VM did. */
struct told_by_vm {
    std::span<const kept_server> kept; ///< by that VM
    instant asked_at{};
};
using news_origin = std::variant<told_by_store, told_by_vm>;

/** Of an update by another VM. One that did not know the servers which are known here, at \p
 * revision, says no more of those that went than a list of the store. */
news_origin origin_of(const registry_update& update, std::uint64_t revision, instant asked_at);

class server_registry {
public:
    /** After the store's return, for entries that lapsed together. */
    static constexpr duration lapsed_kept_for = milliseconds(2300);
    /** After a single entry went soon after the store's return, or most of a service at once. With
     * the pause between two calls to the store it is less than a server that leaves may be used
     * for. */
    static constexpr duration leaving_kept_for = milliseconds(1300);
    /** Of a list with more news than this, one line is logged and not one a server: 3,000 lines at
     * a start would fill the log's bound, and what matters would be left out. */
    static constexpr std::size_t logged_one_by_one = 100;
    /** Entries that cannot be read are logged in one line for all of this time, since another
     * writer may leave thousands. */
    static constexpr duration unreadable_line_every = seconds(1);
    /** Of the reason why one cannot be read, as it may quote what stands there. */
    static constexpr std::size_t reason_at_most = 120;
    /** From this share of a service's servers on, entries have lapsed, and do not leave. */
    static constexpr double lapsed_share = 0.5;

    server_registry(server_table& table, const protocol& dialect) : table(table), dialect(dialect)
    {
    }

    /** All entries there are. */
    void take_list(std::span<const stored_object> all, const news_origin& origin, instant now);
    /** Some of the entries there are. */
    void take_part(std::span<const stored_object> part, const news_origin& origin, instant now);
    void take_change(const stored_object& item, const news_origin& origin, instant now);
    /** Servers that are not listed any more, and are used for the time being. */
    [[nodiscard]] std::vector<kept_server> kept(instant now) const;
    /** Takes out what is gone for good, and logs what could not be read. \p store_back is when the
     * store last came back from an outage. */
    void sweep(instant now, instant store_back);

    /** Whether a whole list has come. */
    [[nodiscard]] bool known() const { return this->listed; }
    /** How often an entry was met that no server can have written. */
    [[nodiscard]] std::uint64_t unreadable() const { return this->unreadable_total; }

    /** The server takes no new work any more. */
    sigc::signal<void(const server_id&)> on_leaving;
    /** The server started again under its id: no connection to it from before is of use. */
    sigc::signal<void(const server_id&)> on_restarted;

private:
    enum class logging : std::uint8_t { each, none };
    /** Entries that name no server, of one list or since the last line about them. */
    struct unreadable_entries {
        std::size_t count = 0;
        std::string first;  ///< name
        std::string reason; ///< of the first
    };

    /** A server that is not listed any more, and is not taken out yet. */
    struct missing_entry {
        instant since{};
        bool as_it_happened = false; ///< not found missing from a list
        bool left = false;           ///< for certain
        bool logged = false;
    };

    /** Returns whether anything changed. */
    bool put(const stored_object& item, logging told, const news_origin& origin, instant now);
    void miss(const server_id& id, const news_origin& origin, instant now);
    [[nodiscard]] static instant used_until(const missing_entry& entry, bool together,
                                            instant store_back);
    void note_unreadable(const stored_object& item, std::string_view reason,
                         const news_origin& origin, instant now);
    void log_unreadable(instant now);
    [[nodiscard]] bool is_former(const stored_object& removal) const;
    void remove(const server_id& id, duration kept);
    [[nodiscard]] std::set<service_id> lapsed_together() const;

    server_table& table;
    const protocol& dialect;
    std::map<server_id, missing_entry> missing;
    unreadable_entries unreadable_now;
    std::uint64_t unreadable_total = 0;
    instant unreadable_logged{};
    bool listed = false;
};

} // namespace worksshift
