/** \file
 * System: determines which VM is the gate of each server, and the share of a server's limit that
 * this VM may admit (gate_share.h). When a gate changes, its chat records are sent to the new one.
 */
#pragma once

#include "membership.h"
#include "tables.h"

namespace worksshift {

/** Number of VMs in rank order that the server table stores per server. */
constexpr std::size_t gates_per_server = 4;

/** The last assignment and its inputs; it is redone only when they change. */
struct gate_assignment {
    std::uint64_t view_version = 0;
    std::uint64_t revision = 0;
    /** For each server, all VMs that were not removed from the membership, live or not, in rank
     * order. */
    std::unordered_map<server_id, std::vector<vm_id>> ranked;
    std::vector<server_id>
        gated_servers; ///< servers whose gate this VM is, or was and still has work of
};

/** Ranks the VMs for every server if the members or the configuration changed. Returns whether they
 * did. */
bool assign_gates(tables& t, gate_assignment& assignment, const membership& members);

/** Updates this VM's share of each server whose gate it is or was, and requests the leases it
 * needs. */
void renew_shares(tables& t, const gate_assignment& assignment, membership& members,
                  const tick_time& time);

/** Sends chat records to the VM that became the gate of their home server. */
void hand_over_chats(tables& t, const tick_time& time);

/** Stores the chat records that other VMs sent. */
void receive_chats(tables& t, const tick_time& time);

} // namespace worksshift
