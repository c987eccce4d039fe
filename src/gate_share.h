/** \file
 * How much of a server's limit a VM may admit while VMs may disagree about which one is its gate.
 *
 * The VMs of the server's data centre that were not removed from the membership are ranked by
 * rendezvous hash. The first live one is the gate. It may admit the whole limit only while it holds
 * a lease: an ack, to a ping sent less than `lease_time` ago, from its successor, which is the next
 * live VM in rank and would take over from it. Without the lease it may admit one half. A VM of
 * rank r (counting dead VMs that are not yet removed) may admit 2^-(r+1), and only `takeover_wait`
 * after it last granted a lease to a VM that ranks higher.
 *
 * When a lease begins or is regained, the whole limit is available only once the server's own load
 * report has shown what interim gates left running there. All requests at the server count as
 * running, whichever VM sent them.
 *
 * Why the sum stays near the limit: the first in rank has 1 only while its successor sees it live,
 * and then the successor admits nothing. Otherwise it has 1/2, and the others 1/4, 1/8, …, which
 * add up to less than 1/2. Only a VM that ranks third or lower and is partitioned from both the
 * first and its successor can exceed the limit, by at most 1/8 + 1/16 + … < 1/4 of it. So two or
 * more VMs that each consider themselves the gate together admit less than 1.25 times the limit,
 * and at most the limit itself if no VM is partitioned from both. docs/design/gates.md has the
 * proof and its assumptions.
 */
#pragma once

#include <chrono>
#include <cstddef>

#include "ids.h"

namespace worksshift {

constexpr duration lease_time = seconds(3);
/** `lease_time` plus an allowance for clock drift during it. */
constexpr duration takeover_wait = milliseconds(3500);
/** For servers without load reports: time that a lease is held before the whole limit is used. */
constexpr duration unreported_load_wait = seconds(3);
/** Time that a VM waits for its first lease before it counts as partitioned from its successor. */
constexpr duration join_wait = seconds(10);

/** What a VM knows about its own claim to be the gate of one server. */
struct gate_claim_view {
    std::size_t rank = 0;            ///< of this VM among those in the membership
    bool higher_ranked_live = false; ///< a VM that ranks higher is live and so is the gate
    /** Time since this VM last granted a lease to a VM that ranks higher. */
    duration since_lease_granted = duration::max();
    bool has_successor = false;
    bool successor_ever_acked = false;
    duration since_lease = duration::max(); ///< since the ping was sent that the successor acked
    duration since_became_first = duration::max(); ///< since this VM became first in rank
    bool foreign_load_counted = false; ///< requests of other VMs were counted since the lease began
};

/** The share of the server's limit that this VM may admit, 0 to 1. */
constexpr double gate_share(const gate_claim_view& view)
{
    if (view.higher_ranked_live) return 0;
    if (view.since_lease_granted < takeover_wait) return 0;
    double share = 1;
    for (std::size_t i = 0; i <= view.rank; ++i)
        share /= 2;
    if (view.rank > 0 || !view.has_successor) return view.rank > 0 ? share : 1;
    if (view.since_lease < lease_time) return view.foreign_load_counted ? 1 : share;
    // The successor may not know of this VM yet and still consider itself the gate.
    if (!view.successor_ever_acked && view.since_became_first < join_wait) return 0;
    return share;
}

} // namespace worksshift
