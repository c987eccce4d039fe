/** \file
 * Data centres whose servers are to get no requests, as operators ask in the platform's store.
 *
 * What is under way there ends as usual; nothing new goes there. The VMs that watch the store learn
 * of a change, and digests carry the whole state to all others, as there are never many data
 * centres. Reads no clock and makes no call.
 */
#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <vector>

#include <sigc++/sigc++.h>

#include "fleet_digest.h"
#include "protocol.h"

namespace worksshift {

class evacuation_state {
public:
    explicit evacuation_state(const protocol& dialect) : dialect(dialect) {}

    /** All that are asked for, as of a revision of the store. */
    void take_list(std::span<const stored_object> all, std::uint64_t revision);
    /** What changed up to a revision. */
    void take_changes(std::span<const stored_object> changed, std::uint64_t revision);
    /** What another VM tells. */
    void take_digest(const fleet_digest& told);
    /** Fills in what this VM tells others. When there are more entries than a digest holds, it
     * tells of the data centres that \p known names, or nothing while \p known is empty: what is
     * told is the whole state to whoever hears it, so nothing may be left out of it unawares. */
    void describe(fleet_digest& digest, const std::set<std::uint32_t>& known) const;

    /** Whether the state is known, empty or not. */
    [[nodiscard]] bool known() const { return this->newest > 0; }
    [[nodiscard]] std::uint64_t revision() const { return this->newest; }
    /** Low halves of the hashes of the names. */
    [[nodiscard]] const std::set<std::uint32_t>& places() const { return this->current; }
    [[nodiscard]] bool includes(const data_centre_id& place) const
    {
        return this->current.contains(static_cast<std::uint32_t>(place.hash()));
    }

    /** The data centres changed. */
    sigc::signal<void()> on_change;

private:
    [[nodiscard]] std::uint32_t place_of(const stored_object& item) const
    {
        return static_cast<std::uint32_t>(this->dialect.decode_evacuation(item).hash());
    }
    void put(std::set<std::uint32_t> places, std::uint64_t revision);

    const protocol& dialect;
    std::set<std::uint32_t> current;
    std::uint64_t newest = 0;
};

} // namespace worksshift
