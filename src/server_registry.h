/** \file
 * Keeps the table of servers as the registry has it, and tells servers that leave from entries that
 * lapsed because the store was away.
 *
 * Entries that lapsed are back within about two seconds of the store's return, so they are kept for
 * that time. A server that leaves must get no new work two seconds later, so a single entry that
 * goes is kept for less.
 */
#pragma once

#include <map>
#include <span>

#include <sigc++/sigc++.h>

#include "protocol.h"
#include "server_table.h"

namespace worksshift {

class server_registry {
public:
    /** After the store's return, for entries that lapsed together. */
    static constexpr duration lapsed_kept_for = milliseconds(2300);
    /** After a single entry went soon after the store's return. */
    static constexpr duration leaving_kept_for = milliseconds(1500);
    /** Of a list with more news than this, one line is logged and not one a server: 3,000 lines at
     * a start would fill the log's bound, and what matters would be left out. */
    static constexpr std::size_t logged_one_by_one = 100;
    /** From this share of a service's servers on, entries have lapsed, and do not leave. */
    static constexpr double lapsed_share = 0.5;

    server_registry(server_table& table, const protocol& dialect) : table(table), dialect(dialect)
    {
    }

    /** All entries there are. */
    void take_list(std::span<const stored_object> all, instant now);
    /** Some of the entries there are. */
    void take_part(std::span<const stored_object> part);
    void take_change(const stored_object& item, instant now);
    /** Takes out what is gone for good. \p store_regained is when the store last came back. */
    void sweep(instant now, instant store_regained);

    /** Whether a whole list has come. */
    [[nodiscard]] bool known() const { return this->listed; }

    /** The server takes no new work any more. */
    sigc::signal<void(const server_id&)> on_leaving;

private:
    enum class logging : std::uint8_t { each, none };

    /** Returns whether anything changed. */
    bool put(const stored_object& item, logging told);
    void remove(const server_id& id);
    [[nodiscard]] bool lapsed_together(const service_id& service) const;

    server_table& table;
    const protocol& dialect;
    std::map<server_id, instant> missing; ///< not listed any more, and since when
    bool listed = false;
};

} // namespace worksshift
