/** \file
 * Which VMs watch the platform's store for the others of their data centre.
 *
 * The calls to the store would grow with the fleet if every VM watched it. The VMs of the lowest
 * incarnations that the store answers watch; the others ask them for changes when a digest tells
 * of one. A VM watches by itself unless enough near ones do, so one that hears nobody, or only VMs
 * that the store refuses, is never without a source.
 */
#pragma once

#include "fleet_table.h"

namespace worksshift {

class watch_duty {
public:
    /** Watchers of a fleet that is one group, so that the loss of two changes nothing; and of each
     * data centre of a larger one, where another data centre's can be asked as well. */
    static constexpr std::size_t watchers_of_fleet = 3;
    static constexpr std::size_t watchers_of_data_centre = 2;
    /** A watcher that was not heard for this many of its periods, and at least for the time below,
     * does not count. */
    static constexpr int watcher_periods = 4;
    static constexpr duration watcher_heard_within = milliseconds(700);
    /** When watchers are missing, each VM waits for so long for each that comes before it and does
     * not watch yet, so that a few take over and not all: in a fleet of 80 VMs whose watchers
     * stopped in turn 66 began at once. */
    static constexpr duration turn = milliseconds(100);
    static constexpr duration longest_turn = milliseconds(800);
    /** Others must watch for so long before this VM stops to: they may be as new as it is. */
    static constexpr duration watched_enough_for = milliseconds(700);

    void update(const fleet_table& fleet, instant now);
    /** Whether this VM watches the store. */
    [[nodiscard]] bool watching() const { return this->active; }

private:
    bool active = true;
    instant watched_since{}; ///< enough others watch; the epoch: they do not
    instant missing_since{}; ///< too few others watch; the epoch: enough do
};

} // namespace worksshift
