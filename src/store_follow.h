/** \file
 * Keeps one VM's copy of one kind of the store's objects up to date: by watching the store if this
 * VM is to do so, and by asking other VMs that have a newer revision.
 *
 * Reads no clock and makes no calls.
 */
#pragma once

#include "peer_fetch_schedule.h"
#include "store_watch.h"

namespace worksshift {

class store_follow {
public:
    /** Time within which the store should deliver a change to a VM with a linearizable watch; only
     * after that does the VM ask another VM. The same holds for a VM that has just started and
     * waits for its first list. */
    static constexpr duration store_update_grace = milliseconds(500);
    /** If no other VM has delivered a newer configuration within this time, this VM asks the store
     * itself. */
    static constexpr duration peer_update_grace = milliseconds(700);

    /** A VM that starts to watch delays the watch of evacuations by this time, to learn first from
     * the watch of the registry whether the store answers it. When the store is unavailable to
     * all, every VM starts to watch, and each would make a second call that fails. */
    static constexpr duration evacuations_watch_delay = milliseconds(500);

    explicit store_follow(object_kind kind, unsigned seed = std::random_device{}())
        : watch(kind, seed), kind(kind)
    {
    }

    /** \p watched: how this VM reads the store; std::nullopt if it does not watch it. \p known: it
     * has some state of this kind. \p behind: other VMs have a newer revision. */
    void update(std::optional<read_mode> watched, bool known, bool behind, instant now)
    {
        const bool watch_answered =
            watched == read_mode::linearizable && this->watch.receives_updates();
        this->fetching.update(
            behind, watch_answered || !known ? store_update_grace : duration::zero(), now);
        const bool peers_failed = this->kind == object_kind::configuration &&
                                  this->fetching.behind_for(peer_update_grace, now);
        if (peers_failed) watched = read_mode::linearizable;
        if (!watched) {
            this->wanted_since = instant{};
        } else if (this->wanted_since == instant{}) {
            this->wanted_since = now;
        }
        const bool too_early = now - this->wanted_since < evacuations_watch_delay;
        if (this->kind == object_kind::evacuations && too_early) watched.reset();
        if (!known && !watched) watched = read_mode::stale;
        this->watch.set_mode(watched, now);
    }

    store_watch watch;
    peer_fetch_schedule fetching;

private:
    object_kind kind;
    instant wanted_since{}; ///< since when this VM is to watch; the epoch: it is not to
};

} // namespace worksshift
