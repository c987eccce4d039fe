/** \file
 * Data centres whose servers get no new requests, as operators request in the platform's store.
 *
 * Requests in flight there complete as usual. The VMs that watch the store receive changes, and
 * digests distribute the complete state to all others, as the number of data centres is small. Does
 * no I/O and does not read a clock.
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

/** The set of evacuated data centres as one VM knows it, with the store's revision of it. */
class evacuation_state {
public:
    explicit evacuation_state(const protocol& adapter) : adapter(adapter) {}

    /** Replaces the state by the complete list as of a revision of the store. */
    void apply_list(std::span<const stored_object> all, std::uint64_t revision);
    /** Applies the changes up to a revision of the store. */
    void apply_changes(std::span<const stored_object> changed, std::uint64_t revision);
    /** Applies the state in another VM's digest. */
    void handle_digest(const fleet_digest& digest);
    /** Fills in the state for other VMs. If a digest cannot hold all entries, only data centres in
     * \p known are included, or no state at all if \p known is empty or they do not fit either. The
     * receiver takes the digest as the complete state, so it must not be truncated arbitrarily. */
    void describe(fleet_digest& digest, const std::set<std::uint32_t>& known) const;

    /** Whether the state is known, empty or not. */
    [[nodiscard]] bool known() const { return this->newest > 0; }
    [[nodiscard]] std::uint64_t revision() const { return this->newest; }
    /** The evacuated data centres, by the low 32 bits of the hashes of their names. */
    [[nodiscard]] const std::set<std::uint32_t>& data_centre_hashes() const
    {
        return this->current;
    }
    [[nodiscard]] bool includes(const data_centre_id& data_centre) const
    {
        return this->current.contains(static_cast<std::uint32_t>(data_centre.hash()));
    }

    /** Emitted when the set of data centres has changed. */
    sigc::signal<void()> on_change;

private:
    [[nodiscard]] std::uint32_t data_centre_hash(const stored_object& object) const
    {
        return static_cast<std::uint32_t>(this->adapter.decode_evacuation(object).hash());
    }
    /** Replaces the state if \p revision is newer than the known one. */
    void replace(std::set<std::uint32_t> data_centres, std::uint64_t revision);

    const protocol& adapter;
    std::set<std::uint32_t> current;
    std::uint64_t newest = 0; ///< revision of `current`; 0: unknown
};

} // namespace worksshift
