/** \file
 * Gossip between the VMs of a fleet: sends and receives digests over UDP.
 *
 * Each digest replaces the previous one of its sender, so a lost datagram only makes the state of
 * that VM older. VMs discover each other through the seeds and the liveness reports in digests.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "datagram_socket.h"
#include "fleet_rounds.h"
#include "link_address.h"

namespace worksshift {

class fleet_gossip {
public:
    /** Binds the UDP socket. All VMs of the fleet use the port of \p listen. \throws user_error if
     * the address cannot be bound. */
    fleet_gossip(event_base* base, const link_address& listen, const data_centre_id& data_centre,
                 std::span<const link_address> seeds);
    ~fleet_gossip() = default;
    fleet_gossip(const fleet_gossip&) = delete;
    fleet_gossip& operator=(const fleet_gossip&) = delete;
    fleet_gossip(fleet_gossip&&) = delete;
    fleet_gossip& operator=(fleet_gossip&&) = delete;

    /** Sends a round of digests if one is due, and notices if \p reads_store: the store answers
     * linearizable watches of this VM. */
    void tick(instant now, bool reads_store, const std::function<local_state()>& describe);
    /** Adds VMs to contact. */
    void add_seeds(std::span<const link_address> seeds);
    /** Sends the next round early, as after a change that others should learn soon. */
    void send_early() { this->rounds.send_early(); }

    [[nodiscard]] const fleet_table& fleet() const { return this->rounds.fleet(); }
    [[nodiscard]] load_table loads_of_others(instant now) const
    {
        return this->rounds.loads_of_others(now);
    }
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }
    [[nodiscard]] link_address address_of(const fleet_vm& vm) const;

    /** A digest arrived that is newer than the last one of its sender. */
    sigc::signal<void(const fleet_vm&)> on_digest;

private:
    void receive(std::uint32_t from, std::string_view bytes);
    void apply_digest(std::uint32_t from, fleet_digest digest);
    void send(const outgoing_digest& message);

    link_address own;
    fleet_rounds rounds;
    datagram_socket socket;
    std::uint64_t sent_bytes = 0;
};

} // namespace worksshift
