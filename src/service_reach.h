/** \file
 * Decides whether this VM is cut off from the servers of a service, that is, whether it cannot
 * reach most of them although other VMs can.
 *
 * Servers that fail together, are silent for a moment, or leave are unreachable for all VMs, and
 * then a detour through another VM is of no use. Two things tell the cases apart: connections of
 * this VM, whether its own requests opened them or a check did, and later answers of the same
 * servers to other VMs. Those are known from digests, and from requests that were relayed.
 */
#pragma once

#include <span>
#include <vector>

#include "server_entry.h"

namespace worksshift {

/** What this VM knows of its network paths to the servers of one service. */
struct reach_counts {
    std::size_t servers = 0;        ///< that accept requests
    std::size_t lost = 0;           ///< the last connection could not be opened
    std::size_t lost_here_only = 0; ///< of these, the servers that answered other VMs since
    /** Servers to which a connection was opened after the first of the others was lost. */
    std::size_t reached = 0;

    /** Whether several servers were lost, and at most half as many reached since. */
    [[nodiscard]] bool mostly_lost() const;
    /** Whether enough servers were tried to judge all of them. */
    [[nodiscard]] bool sufficient() const;
};

/** State of one service; updated once per tick. */
class service_reach {
public:
    /** A failed connection counts for this long, unless it is confirmed by another one. */
    static constexpr duration failure_lifetime = seconds(10);
    /** Interval between checks of servers while most seem to be lost. */
    static constexpr duration check_period = milliseconds(250);
    /** The same while it is not known whether other VMs reach them: they have probably failed. */
    static constexpr duration unconfirmed_check_period = seconds(1);
    /** Servers that are checked at once: at first, and once checks succeed. A whole service is
     * found again within a second without a burst of connections from each VM. */
    static constexpr std::size_t min_checks = 2;
    static constexpr std::size_t max_checks = 16;
    /** Pause between requests that are relayed to find out whether other VMs reach the servers;
     * grows while they do not. */
    static constexpr duration min_trial_pause = milliseconds(100);
    static constexpr duration max_trial_pause = seconds(1);
    static constexpr double trial_pause_growth = 1.25;

    /** \p rows: the servers of the service. Returns whether `cut_off` changed. */
    bool update(std::span<server_entry* const> rows, instant now);
    /** The servers to check now; empty most of the time. */
    std::vector<server_entry*> next_checks(std::span<server_entry* const> rows, instant now);

    /** Whether requests should go through another VM. */
    [[nodiscard]] bool cut_off() const { return this->is_cut_off; }
    /** Whether to relay one request, because most servers are lost and nothing is known of the
     * other VMs. */
    [[nodiscard]] bool trial_due(instant now) const;
    void on_trial_sent(instant now);
    /** Whether most servers are lost, here or for all VMs. */
    [[nodiscard]] bool mostly_lost() const
    {
        return this->last.mostly_lost() && this->last.sufficient();
    }
    [[nodiscard]] const reach_counts& counts() const { return this->last; }

private:
    reach_counts last;
    bool is_cut_off = false;
    instant next_check_at{};
    std::size_t checks = min_checks;
    std::size_t reached_at_check = 0; ///< `reached` when servers were last checked
    instant next_trial_at{};
    duration trial_pause = min_trial_pause;
};

/** Counts over \p rows; failures before \p now - `failure_lifetime` are left out. */
reach_counts count_reach(std::span<server_entry* const> rows, instant now);

} // namespace worksshift
