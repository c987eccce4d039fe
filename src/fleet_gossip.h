/** \file
 * What the VMs of a fleet tell each other, by UDP: digests of themselves, in rounds.
 *
 * A digest replaces the one before, so a lost datagram costs freshness only. VMs are found through
 * the seeds and through the rumours that digests carry.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "event_loop.h"
#include "fleet_rounds.h"
#include "link_address.h"

namespace worksshift {

class fleet_gossip {
public:
    /** All VMs of the fleet use the same port. */
    fleet_gossip(event_base* base, const link_address& listen, const data_centre_id& data_centre,
                 std::span<const link_address> seeds);
    ~fleet_gossip();
    fleet_gossip(const fleet_gossip&) = delete;
    fleet_gossip& operator=(const fleet_gossip&) = delete;
    fleet_gossip(fleet_gossip&&) = delete;
    fleet_gossip& operator=(fleet_gossip&&) = delete;

    /** Sends the round that is due. */
    void tick(instant now, const std::function<own_state()>& describe);
    /** Further VMs to begin with. */
    void add_seeds(std::span<const link_address> seeds);
    /** There is news: sends the next round early. */
    void hasten() { this->rounds.hasten(); }

    [[nodiscard]] const fleet_table& fleet() const { return this->rounds.fleet(); }
    [[nodiscard]] load_table loads_of_others(instant now) const
    {
        return this->rounds.loads_of_others(now);
    }
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent; }
    [[nodiscard]] link_address address_of(const fleet_vm& item) const;

    /** A newer digest of a VM has come. */
    sigc::signal<void(const fleet_vm&)> on_digest;

private:
    void receive();
    void take(std::uint32_t from, std::string_view bytes);
    void send(std::uint32_t address, const std::string& bytes);

    link_address own;
    fleet_rounds rounds;
    event_ptr<event> reading;
    evutil_socket_t socket = -1;
    std::uint64_t sent = 0;
};

} // namespace worksshift
