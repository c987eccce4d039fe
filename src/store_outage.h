/** \file
 * Determines when the store returned from an outage, from this VM's calls and from what other VMs
 * report of theirs.
 *
 * Servers' entries expire only while the servers cannot write to the store. A VM's first response
 * does not show that the store was unavailable, nor does the first response after a fault of that
 * VM's own path to the store: a store that answered other VMs meanwhile was available, and one that
 * was unavailable has returned for all VMs as soon as it answers any of them.
 */
#pragma once

#include <algorithm>
#include <optional>

#include "ids.h"

namespace worksshift {

/** Entries do not expire in an outage shorter than this: servers write about once a second, and an
 * entry expires when three writes are missing. */
constexpr duration min_outage = seconds(2);

struct fleet_digest;

/** What the VMs report to each other about the store's availability; the epoch: unknown. */
struct store_status {
    instant recovered_at{}; ///< when it returned from an outage
    instant confirmed_at{}; ///< when it last answered a linearizable call of any VM

    /** Adopts the newer values. The ends of two outages are at least `min_outage` apart,
     * so a time that is newer by less is the same end: each VM that passes it on makes it newer by
     * the delay of its datagram. */
    void merge(const store_status& other)
    {
        if (other.recovered_at >= this->recovered_at + min_outage)
            this->recovered_at = other.recovered_at;
        this->confirmed_at = std::max(this->confirmed_at, other.confirmed_at);
    }
    void describe(fleet_digest& digest, instant now) const;
};

/** A VM's first failed call to the store since the last answered one, or since its start. */
struct failed_call {
    instant requested_at{};
    instant failed_at{};

    bool operator==(const failed_call&) const = default;
};

class store_outage {
public:
    /** The reported time of another VM's response is later than the real one by at most this, as
     * ages are rounded and take time to arrive. */
    static constexpr duration max_report_delay = milliseconds(500);

    /** \p failing: the first failed call since the last response; std::nullopt if the calls are
     * answered or none was made. \p own_response_at: when the store last answered this VM; the
     * epoch: never. \p reported: what the other VMs report. \p isolated: no digest of another VM
     * is received, so the fault may be this VM's. */
    void update(const std::optional<failed_call>& failing, instant own_response_at,
                const store_status& reported, bool isolated);

    /** When the store last returned from an outage; the epoch: never. */
    [[nodiscard]] instant recovered_at() const { return this->last_recovered_at; }

private:
    void end(instant response_at);

    std::optional<instant> failure_noticed_at; ///< newest failure, until a VM is answered
    std::optional<failed_call> failing;        ///< value passed to the last update()
    bool was_isolated = false;                 ///< at any time since the newest failure
    instant answered{};                        ///< newest response to any VM
    instant last_recovered_at{};
};

} // namespace worksshift
