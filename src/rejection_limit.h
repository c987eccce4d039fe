/** \file
 * Limit of the rejections of servers that crash when they have to reject too many requests.
 *
 * Such servers state in their responses how many rejections per second they survive, and may then
 * accept fewer waiting requests without notice. The rejections of all VMs count together, and the
 * VMs learn of each other's requests too late to count them. So rejections are prevented:
 * - The slots of each server are divided among the VMs in advance. A VM that has few or none, as in
 *   a fleet with more VMs than slots, relays requests through VMs that have some while it has none
 *   free. Model engines report their load, but too late to keep several VMs from sending to the
 *   last free slot at once.
 * - A VM that has just started uses no slots until the others count it, and relays its requests.
 * - A request that was given up keeps its slot for as long as its server may still work on it.
 *
 * VMs report the rejections that occur nevertheless to each other. A server that rejected a request
 * gets none from its VM for a pause, and none from any VM that knows of half as many rejections as
 * it survives.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "ids.h"

namespace worksshift {

/** The limit that the servers of one service state. */
class rejection_limit {
public:
    /** The limit stays in force for this long after the last response that stated it: servers that
     * crashed send none. */
    static constexpr duration statement_lifetime = seconds(10);
    /** A response without a limit ends it only this long after one with it, as responses may
     * overtake each other. */
    static constexpr duration overtaking_time = seconds(1);
    static constexpr duration min_pause = seconds(1);
    static constexpr duration max_pause = seconds(10);

    /** \p stated: rejections per second, by a response; std::nullopt: it stated none. */
    void on_response(std::optional<std::uint32_t> stated, instant now)
    {
        if (stated) {
            this->rejections_per_s = *stated;
            this->stated_at = now;
            this->received_at = now;
        } else if (now - this->stated_at > overtaking_time) {
            this->stated_at = {};
            this->confirmed_at = {};
            this->ended_at = now;
        }
    }
    /** Another VM reports that a server stated the limit at \p at. Ignored if responses to this VM
     * ended the limit later. */
    void on_reported(std::uint32_t reported, instant at, instant now)
    {
        if (at <= this->ended_at) return;
        if (!this->in_force(now)) this->rejections_per_s = reported;
        this->stated_at = std::max(this->stated_at, at);
    }
    /** Whether to report it to other VMs: servers stated it to this VM just now. Reports do not
     * cause further ones, so that they end soon after the statements do. */
    [[nodiscard]] bool is_reportable(instant now) const
    {
        return this->received_at != instant{} && now - this->received_at <= overtaking_time;
    }
    /** Another VM acts on the limit. */
    void on_confirmed(instant now)
    {
        if (this->in_force(now)) this->confirmed_at = now;
    }
    [[nodiscard]] bool in_force(instant now) const
    {
        const instant last = std::max(this->stated_at, this->confirmed_at);
        return last != instant{} && now - last <= statement_lifetime;
    }
    /** Time since a server last stated the limit, to this VM or to another; std::nullopt: no longer
     * worth reporting. */
    [[nodiscard]] std::optional<duration> statement_age(instant now) const
    {
        const bool current =
            this->stated_at != instant{} && now - this->stated_at <= statement_lifetime;
        return current ? std::optional(now - this->stated_at) : std::nullopt;
    }
    [[nodiscard]] std::uint32_t per_s() const { return this->rejections_per_s; }

    /** How long a VM sends nothing to a server that rejected its request. If the server goes on
     * rejecting, all \p vms together cause half of the limit. */
    [[nodiscard]] duration pause_after_rejection(std::size_t vms) const
    {
        const auto rejections = std::max<std::uint32_t>(this->rejections_per_s, 1);
        const duration pause = seconds(2) * static_cast<std::int64_t>(vms) / rejections;
        return std::clamp<duration>(pause, min_pause, max_pause);
    }

private:
    std::uint32_t rejections_per_s = 0;
    instant stated_at{};    ///< by a server, to this VM or to another; the epoch: no limit
    instant received_at{};  ///< when a server last stated it to this VM
    instant confirmed_at{}; ///< when another VM last acted on it
    instant ended_at{};     ///< when responses last ended it; the epoch: never
};

} // namespace worksshift
