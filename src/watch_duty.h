/** \file
 * Which VMs watch the platform's store for the others, and how they read it.
 *
 * The calls to the store would grow with the fleet if every VM watched it. Two VMs of the whole
 * fleet, the first in a rank that all VMs know alike, read it linearizably: what they learn is the
 * newest there is, and digests tell all others of it at once. Beside them the VMs of the lowest
 * incarnations of each data centre that the store answers stand by with reads that may be seconds
 * old and cost a tenth; when nobody's linearizable call has been answered for long although theirs
 * are, they make their own so. A VM stands by unless enough near ones do, so one that hears nobody,
 * or only VMs that the store refuses, is never without a source.
 */
#pragma once

#include <optional>

#include "fleet_table.h"
#include "protocol.h"

namespace worksshift {

class watch_duty {
public:
    /** Watches of delegates end after four seconds at most, and digests need about one to reach
     * all.
     */
    static constexpr duration confirmed_within = seconds(6);
    /** Standing by: in a fleet that is one group, so that the loss of two changes nothing; and in
     * each data centre of a larger one, where another data centre's can be asked as well. */
    static constexpr std::size_t watchers_of_fleet = 3;
    static constexpr std::size_t watchers_of_data_centre = 2;
    /** A watcher that was not heard for this many of its periods, and at least for the time below,
     * does not count. */
    static constexpr int watcher_periods = 4;
    static constexpr duration watcher_heard_within = milliseconds(700);
    /** When watchers are missing, each VM waits for so long for each that comes before it and does
     * not watch yet, so that a few take over and not all: in a fleet of 80 VMs whose watchers
     * stopped in turn 66 began at once. While the store is away for all, so more and more of them
     * ask for it. */
    static constexpr duration turn = milliseconds(100);
    static constexpr duration longest_turn = seconds(4);
    /** Others must watch for so long before this VM stops to: they may be as new as it is. */
    static constexpr duration watched_enough_for = milliseconds(700);

    /** \p confirmed_at: when the store last answered a linearizable call of any VM. \p answered: it
     * answers this one. */
    void update(const fleet_table& fleet, instant confirmed_at, bool answered, instant now);
    /** Whether this VM watches the store. */
    [[nodiscard]] bool watching() const { return this->mode().has_value(); }
    /** How it reads; nothing: it does not watch. */
    [[nodiscard]] std::optional<read_mode> mode() const;
    /** Whether it is one of those that stand by. */
    [[nodiscard]] bool stands_by() const { return this->standby; }

private:
    void update_standby(const fleet_table& fleet, instant now);

    bool delegate = false; ///< of the fleet
    bool standby = true;
    bool unconfirmed = false;
    instant started{};
    instant chosen_at{};
    instant watched_since{}; ///< enough others watch; the epoch: they do not
    instant missing_since{}; ///< too few others watch; the epoch: enough do
};

} // namespace worksshift
