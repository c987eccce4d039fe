/** \file
 * Decides which VMs watch the platform's store on behalf of the others, and in which read mode.
 *
 * The number of calls to the store would grow with the fleet if every VM watched it. Two VMs of the
 * whole fleet, the delegates, which all VMs choose by the same ranking, read it linearizably;
 * digests pass what they learn on to all others at once. In addition, the VMs with the lowest
 * incarnations among those of each data centre that the store answers are standby watchers: they
 * use stale reads, which may be seconds old and cost a tenth. A VM is a standby watcher unless
 * enough VMs of the same data centre are, so a VM that receives no digests, or only those of VMs
 * that the store refuses, still has a source.
 *
 * VMs that read linearizably, that is, whose linearizable watches the store answers, send the
 * standby watchers notices at short intervals, and digests report them. If fewer than two are known
 * to read so, standby watchers that the store answers do it, too, until enough VMs of a higher rank
 * do. Thus it does not matter whether delegates were lost, are suspended, or are alive and get no
 * answers from the store.
 */
#pragma once

#include <optional>

#include "fleet_table.h"
#include "protocol.h"

namespace worksshift {

class watcher_selection {
public:
    /** A standby watcher that the store has not answered linearizably for this long returns to
     * stale reads. */
    static constexpr duration max_unanswered_period = seconds(1);
    /** A standby watcher replaces missing linearizable readers only after the store has answered it
     * for this long: after an outage of the store, the delegates resume within this time. */
    static constexpr duration min_answered_period = milliseconds(1500);
    /** A VM replaces missing linearizable readers only after it has run for this long: when a whole
     * fleet starts, its delegates read linearizably by then, and all VMs know it. */
    static constexpr duration min_uptime = seconds(4);
    /** A VM replaces linearizable readers only if they have been missing for this long: one whose
     * call failed tries again sooner. */
    static constexpr duration min_missing_period = milliseconds(200);
    /** Delay of the replacement per standby watcher of the data centre that precedes this VM; a
     * random part of one more is added. Most learn meanwhile that enough others read. */
    static constexpr duration replacement_delay = milliseconds(100);
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

    /** State of this VM's own calls to the store. */
    struct store_access {
        bool answered = false;           ///< the last call was answered
        bool reads_linearizably = false; ///< linearizable watches are answered
    };

    /** Decides whether this VM watches the store, and in which mode. To be called in each tick. */
    void update(const fleet_table& fleet, const store_access& access, instant now);
    /** Whether this VM watches the store. */
    [[nodiscard]] bool watching() const { return this->mode().has_value(); }
    /** Read mode of this VM's watches; std::nullopt if it does not watch. */
    [[nodiscard]] std::optional<read_mode> mode() const;
    /** Whether this VM is a standby watcher. */
    [[nodiscard]] bool stands_by() const { return this->standby; }

private:
    /** Why this VM reads linearizably. */
    enum class reader_role : std::uint8_t {
        none,
        delegate,
        replacement, ///< of missing readers, or a former delegate that is not replaced yet
    };

    void update_delegates(const fleet_table& fleet, instant now);
    void update_standby(const fleet_table& fleet, instant now);
    void update_reading(const fleet_table& fleet, const store_access& access, instant now);
    [[nodiscard]] bool is_delegate(std::uint32_t address) const;
    [[nodiscard]] bool may_replace(instant now) const;
    void set_role(reader_role next, std::string_view reason, std::size_t other_readers,
                  instant now);

    std::vector<std::uint32_t> delegates; ///< addresses; may include this VM
    bool standby = true;
    reader_role role = reader_role::none;
    instant role_since{};
    instant answered_linearizably_at{}; ///< when linearizable watches were last answered
    std::size_t preceding_watchers = 0; ///< standby watchers of the data centre
    instant started{};
    instant standby_since{};
    instant delegates_checked_at{};
    instant answered_since{};        ///< since when the store answers; the epoch: it does not
    instant readers_missing_since{}; ///< the epoch: enough other VMs read linearizably
    instant watched_since{};         ///< since when enough others watch; the epoch: they do not
    instant missing_since{};         ///< since when too few others watch; the epoch: enough do
};

} // namespace worksshift
