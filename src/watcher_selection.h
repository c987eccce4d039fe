/** \file
 * Decides which VMs watch the platform's store on behalf of the others, and in which read mode.
 *
 * The number of calls to the store would grow with the fleet if every VM watched it. Two VMs of the
 * whole fleet, the delegates, in two data centres, which all VMs choose by the same ranking, read
 * it linearizably; digests pass what they learn on to all others at once. In addition, the VMs with
 * the lowest incarnations among those of each data centre that the store answers are standby
 * watchers: they use stale reads, which may be seconds old and cost a tenth. If no linearizable
 * call of any VM has been answered for `max_confirmation_age` although the standby watchers' calls
 * are answered, these switch to linearizable reads. A VM is a standby watcher unless enough VMs of
 * the same data centre are, so a VM that receives no digests, or only those of VMs that the store
 * refuses, still has a source.
 */
#pragma once

#include <optional>

#include "fleet_table.h"
#include "protocol.h"

namespace worksshift {

class watcher_selection {
public:
    /** Watches of delegates end after at most four seconds, and digests need about one more to
     * reach all VMs. */
    static constexpr duration max_confirmation_age = seconds(6);
    /** Number of standby watchers in a fleet that forms one group, so that the loss of two of them
     * changes nothing; and in each data centre of a larger fleet, where the VMs of another data
     * centre can be asked as well. */
    static constexpr std::size_t standby_watchers_per_fleet = 3;
    static constexpr std::size_t standby_watchers_per_data_centre = 2;
    /** A watcher whose digests were not received for this many of its gossip periods, and for at
     * least the time below, does not count. */
    static constexpr int max_missed_periods = 4;
    static constexpr duration min_watcher_timeout = milliseconds(700);
    /** When watchers are missing, a VM waits this long per VM that precedes it and does not watch
     * yet, so that a few take over and not all: in a fleet of 80 VMs whose watchers stopped one
     * after the other, 66 began at once. While the store is unavailable to all, more and more VMs
     * thus call it. */
    static constexpr duration takeover_delay = milliseconds(100);
    static constexpr duration max_takeover_delay = seconds(4);
    /** A new standby watcher uses stale reads for at least this long, which show at a tenth of the
     * price whether the store answers it: when the store is unavailable to all, more and more VMs
     * stand by, and the first call of each would be a linearizable one that fails. */
    static constexpr duration min_stale_period = milliseconds(500);
    /** Enough other VMs must have watched for this long before this VM stops, since they may have
     * started as recently as it did. */
    static constexpr duration step_down_delay = milliseconds(700);

    /** \p confirmed_at: when the store last answered a linearizable call of any VM. \p answered:
     * whether the store answers this VM. */
    void update(const fleet_table& fleet, instant confirmed_at, bool answered, instant now);
    /** Whether this VM watches the store. */
    [[nodiscard]] bool watching() const { return this->mode().has_value(); }
    /** Read mode of this VM's watches; std::nullopt if it does not watch. */
    [[nodiscard]] std::optional<read_mode> mode() const;
    /** Whether this VM is a standby watcher. */
    [[nodiscard]] bool stands_by() const { return this->standby; }

private:
    void update_standby(const fleet_table& fleet, instant now);

    bool delegate = false; ///< one of the fleet's linearizable watchers
    bool standby = true;
    bool unconfirmed = false;
    instant started{};
    instant standby_since{};
    instant delegates_checked_at{};
    instant watched_since{}; ///< since when enough others watch; the epoch: they do not
    instant missing_since{}; ///< since when too few others watch; the epoch: enough do
};

} // namespace worksshift
