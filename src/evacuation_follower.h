/** \file
 * Keeps this VM's view of the evacuated data centres up to date: from the store if this VM watches
 * it, otherwise from the digests of other VMs.
 */
#pragma once

#include <map>

#include "evacuations.h"
#include "fleet_gossip.h"
#include "http_client.h"
#include "server_table.h"
#include "store_follow.h"
#include "store_watch_client.h"

namespace worksshift {

class evacuation_follower {
public:
    evacuation_follower(event_base* base, http_client& caller, const link_address& store,
                        const protocol& adapter, server_table& servers, fleet_gossip& gossip);

    void start() { this->client.proceed(); }
    /** \p watched: how this VM reads the store; std::nullopt if it does not watch it. */
    void tick(instant now, std::optional<read_mode> watched);
    /** Applies the evacuations in another VM's digest, if they are newer. */
    void handle_digest(const fleet_digest& digest);
    /** Fills in the evacuations that this VM knows. \p all_servers_known: the registry is complete,
     * so all data centres of servers are known. */
    void describe(fleet_digest& digest, bool all_servers_known) const;

    [[nodiscard]] bool known() const { return this->state.known(); }
    [[nodiscard]] std::uint64_t revision() const { return this->state.revision(); }
    /** Names of the evacuated data centres that have servers. */
    [[nodiscard]] std::vector<data_centre_id> evacuated() const;
    [[nodiscard]] std::uint64_t store_calls(read_mode mode) const
    {
        return this->client.calls(mode);
    }

private:
    void apply();
    [[nodiscard]] std::map<std::uint32_t, data_centre_id> data_centres_by_hash() const;

    fleet_gossip& gossip;
    server_table& servers;
    evacuation_state state;
    store_follow follow{object_kind::evacuations};
    store_watch_client client;
};

} // namespace worksshift
