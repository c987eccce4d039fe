/** \file
 * How one VM keeps one kind of object of the store up to date: by watching the store, as far as
 * that is for it to do, and by asking other VMs that know something newer.
 *
 * Reads no clock and makes no call.
 */
#pragma once

#include "catch_up.h"
#include "store_watch.h"

namespace worksshift {

class store_follow {
public:
    /** A VM with a linearizable watch is told by the store; it asks another VM only when it was not
     * by then. Likewise one that has just started and waits for its first list. */
    static constexpr duration store_tells_within = milliseconds(500);
    /** When no VM gave a newer configuration by then, this one asks the store by itself. */
    static constexpr duration peers_tell_within = milliseconds(700);

    /** A VM that begins to watch learns from the registry's watch first whether the store answers
     * it. When the store is away for all, each of them begins, and each would ask in vain once
     * more. */
    static constexpr duration evacuations_asked_after = milliseconds(500);

    explicit store_follow(object_kind kind, unsigned seed = std::random_device{}())
        : watch(kind, seed), kind(kind)
    {
    }

    /** \p watched: how this VM watches the store, if it is for it to do so. \p known: it has
     * something of this kind. \p behind: other VMs know something newer. */
    void update(std::optional<read_mode> watched, bool known, bool behind, instant now)
    {
        const bool told_by_store = watched == read_mode::linearizable && this->watch.follows();
        this->fetching.update(behind,
                              told_by_store || !known ? store_tells_within : duration::zero(), now);
        const bool alone = this->kind == object_kind::configuration &&
                           this->fetching.behind_for(peers_tell_within, now);
        if (alone) watched = read_mode::linearizable;
        if (!watched) {
            this->wanted_since = instant{};
        } else if (this->wanted_since == instant{}) {
            this->wanted_since = now;
        }
        const bool early = now - this->wanted_since < evacuations_asked_after;
        if (this->kind == object_kind::evacuations && early) watched.reset();
        if (!known && !watched) watched = read_mode::stale;
        this->watch.set_mode(watched, now);
    }

    store_watch watch;
    catch_up fetching;

private:
    object_kind kind;
    instant wanted_since{}; ///< it is for this VM to watch; the epoch: it is not
};

} // namespace worksshift
