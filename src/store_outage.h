/** \file
 * When the store came back from an outage, as one VM can tell from its own calls and from what
 * other VMs tell of theirs.
 *
 * Entries of servers lapse only while the servers cannot write to the store. A VM's first answer
 * says nothing of that, nor does its first one after a fault of its own way to the store: a store
 * that answered others meanwhile was not away, and one that was away is back for all as soon as it
 * answers anybody.
 */
#pragma once

#include <algorithm>
#include <optional>

#include "ids.h"

namespace worksshift {

/** No entry lapses in an outage that is shorter: servers write about once a second, and an entry
 * lapses when three of these are missing. */
constexpr duration shortest_outage = seconds(2);

struct fleet_digest;

/** What is known of the store by what all VMs tell each other; the epoch: nothing. */
struct store_news {
    instant back_at{};      ///< it came back from an outage
    instant confirmed_at{}; ///< it answered a linearizable call of some VM

    /** Takes over what is newer. The ends of two outages are further apart than the shortest one
     * lasts: what is told to be newer by less is the same end, and each VM that passed it on has
     * made it newer by the time its datagram took. */
    void merge(const store_news& other)
    {
        if (other.back_at >= this->back_at + shortest_outage) this->back_at = other.back_at;
        this->confirmed_at = std::max(this->confirmed_at, other.confirmed_at);
    }
    void describe(fleet_digest& digest, instant now) const;
};

/** A VM's call to the store that failed after one that was answered, or as its first. */
struct failed_call {
    instant asked_at{};
    instant failed_at{};

    bool operator==(const failed_call&) const = default;
};

class store_outage {
public:
    /** What is told of another VM's answer makes it newer than it is by this at most, as ages are
     * rounded and take time to arrive. */
    static constexpr duration told_late_by = milliseconds(500);

    /** \p failing: the first of the calls that fail; nothing: they do not, or none was made yet.
     * \p answered_here: when the store last answered this VM; never: the epoch. \p elsewhere: what
     * the other VMs tell. \p cut_off: they are not heard, so that the fault may be this VM's. */
    void update(const std::optional<failed_call>& failing, instant answered_here,
                const store_news& elsewhere, bool cut_off);

    /** When the store last came back; never: the epoch. */
    [[nodiscard]] instant back_at() const { return this->back; }

private:
    void end(instant answered_again);

    std::optional<instant> noticed;     ///< the newest loss, as long as nobody was answered since
    std::optional<failed_call> failing; ///< as last told
    bool was_cut_off = false;           ///< since the newest loss
    instant answered{};                 ///< the newest answer to anybody
    instant back{};
};

} // namespace worksshift
