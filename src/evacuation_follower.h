/** \file
 * Keeps this VM's view of the evacuated data centres up to date: from the store, when it watches,
 * or else from the digests of other VMs.
 */
#pragma once

#include <map>

#include "evacuations.h"
#include "fleet_gossip.h"
#include "http_call.h"
#include "object_watch.h"
#include "server_table.h"
#include "store_follow.h"

namespace worksshift {

class evacuation_follower {
public:
    evacuation_follower(event_base* base, http_caller& caller, const link_address& store,
                        const protocol& dialect, server_table& servers, fleet_gossip& gossip);

    void start() { this->calls.proceed(); }
    /** \p watched: how this VM watches the store, if it is for it to do so. */
    void tick(instant now, std::optional<read_mode> watched);
    /** Another VM told what it knows. */
    void take_digest(const fleet_digest& told);
    /** Fills in what this VM tells others. \p all_servers_known: the registry is, so that the data
     * centres are, too. */
    void describe(fleet_digest& digest, bool all_servers_known) const;

    [[nodiscard]] bool known() const { return this->places.known(); }
    [[nodiscard]] std::uint64_t revision() const { return this->places.revision(); }
    /** Data centres of servers that are evacuated, by name. */
    [[nodiscard]] std::vector<data_centre_id> evacuated() const;
    [[nodiscard]] std::uint64_t store_calls(read_mode mode) const
    {
        return this->calls.calls(mode);
    }

private:
    void put_in_force();
    [[nodiscard]] std::map<std::uint32_t, data_centre_id> names() const;

    fleet_gossip& gossip;
    server_table& servers;
    evacuation_state places;
    store_follow follow{object_kind::evacuations};
    object_watch calls;
};

} // namespace worksshift
