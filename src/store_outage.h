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

#include <optional>

#include "ids.h"

namespace worksshift {

/** No entry lapses in an outage that is shorter: servers write about once a second, and an entry
 * lapses when three of these are missing. */
constexpr duration shortest_outage = seconds(2);

class store_outage {
public:
    /** What is told of another VM's answer makes it newer than it is by this at most, as ages are
     * rounded and take time to arrive. */
    static constexpr duration told_late_by = milliseconds(500);

    /** \p failing_since: this VM's calls fail; nothing: they do not, or none was made yet.
     * \p answered_here, \p answered_elsewhere: when the store last answered this VM, and any other
     * as far as is known; never: the epoch. */
    void update(std::optional<instant> failing_since, instant answered_here,
                instant answered_elsewhere);

    /** When the store last came back; never: the epoch. */
    [[nodiscard]] instant back_at() const { return this->back; }

private:
    void end(instant answered_again);

    std::optional<instant> noticed; ///< the newest loss, as long as nobody was answered since
    std::optional<instant> failing; ///< as last told
    instant answered{};             ///< the newest answer to anybody
    instant back{};
};

} // namespace worksshift
