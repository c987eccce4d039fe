/** \file
 * Membership of the fleet: SWIM-style probing with suspicion and incarnation numbers.
 *
 * Each period a VM pings one member in shuffled round-robin order, and the members whose leases it
 * needs (gate_share.h). A missed ack is retried through other members before the target is
 * suspected, and a suspect is declared dead unless it refutes within `suspicion`. Updates are
 * piggybacked on these datagrams, so the cost per VM does not depend on the size of the fleet. Link
 * messages are evidence of liveness, too: a VM that receives messages directly from another ignores
 * reports that it is suspect or dead. After a stall of its own (the VM was paused) a VM discards
 * its pending probes, because a missing ack from before the stall proves nothing.
 */
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <vector>

#include "ids.h"
#include "messages.h"

namespace worksshift {

struct membership_settings {
    duration period = milliseconds(1000);          ///< between probes
    duration ack_timeout = milliseconds(400);      ///< before asking others to probe
    duration suspicion = milliseconds(3000);       ///< from suspect to dead
    duration dead_member_retention = seconds(60);  ///< from dead to removed, even if in the VM list
    duration stall_threshold = milliseconds(1500); ///< a longer gap between ticks counts as a stall
    std::size_t indirect_probes = 2;
    std::size_t updates_per_datagram = 6;
    std::size_t revision_fanout = 8; ///< members notified of a new revision at once
};

/** One row of the member table. */
struct member {
    member_update info;
    instant changed_at{}; ///< last change of `info.state`
    instant acked_at{};   ///< send time of the newest ping that it acked
    instant granted_at{}; ///< when this VM last granted it a lease by acking its ping
    bool ever_acked = false;
    bool link_message_received = false; ///< a link message arrived since the last tick
    instant last_link_message_at{};     ///< tick after the latest link message; the epoch: never
    std::uint64_t config_revision = 0;  ///< in force there, as last received
    bool listed = true;                 ///< in the platform's VM list, as last read

    [[nodiscard]] bool live() const
    {
        return this->info.state == member_state::alive || this->info.state == member_state::suspect;
    }
};

/** One row of the platform's list of VMs. */
struct listed_vm {
    member_update info;
    bool leaving = false;
};

struct outgoing_gossip {
    vm_id to;
    std::string address;
    std::uint16_t port = 0;
    gossip_message message;
};

/** The member table and the protocol on it. Reads no clock and opens no socket. */
class membership {
public:
    membership(member_update self, membership_settings settings, std::uint64_t seed);

    /** Handles an authenticated datagram; replies are returned by the next `take_datagrams`. */
    void receive(const gossip_message& message, instant now);
    /** Merges the platform's list. Because the list lags, it only adds members and lets dead
     * members that are not in it be removed early; it never marks a responding member dead. */
    void merge_list(std::span<const listed_vm> list, instant now);
    /** Probes the address of a VM whose name is not known yet. */
    void add_seed(const std::string& address, std::uint16_t port);
    /** Announces that this VM is stopping; the live members are notified at once that it is
     * `leaving`. */
    void announce_leave();
    /** Records a link message from the member, which is evidence of liveness without a probe. */
    void note_link_message(const vm_id& vm);
    /** Schedules a probe of the member for the next tick, ahead of its turn, after a connection to
     * it failed. */
    void probe_early(const vm_id& vm);

    /** Sends probes that are due, expires suspects and removes dead members. */
    void tick(instant now);

    /** Members to probe each period in addition to the one whose turn it is. */
    void set_lease_targets(std::vector<vm_id> targets) { this->lease_targets = std::move(targets); }
    void set_config_revision(std::uint64_t revision) { this->config_revision = revision; }

    /** Returns and clears the datagrams to send, in order. */
    std::vector<outgoing_gossip> take_datagrams();
    /** Queues notices for a few random live members, so that a new revision spreads at once. */
    void announce_revision();
    /** Queues a notice with load summaries for one member. */
    void send_loads(const vm_id& to, std::vector<load_summary> loads);

    [[nodiscard]] const std::map<vm_id, member>& members() const { return this->table; }
    [[nodiscard]] const member* find(const vm_id& vm) const;
    [[nodiscard]] const member_update& self() const { return this->self_info; }
    /** Changes whenever a member is added, removed or changes state. */
    [[nodiscard]] std::uint64_t version() const { return this->view_version; }

private:
    struct pending_probe {
        std::uint64_t nonce = 0;
        vm_id target;
        instant sent{};
        bool indirect = false;
    };
    struct relayed_probe {
        std::uint64_t nonce = 0;
        std::uint64_t requester_nonce = 0;
        vm_id requester;
        instant sent{};
    };
    struct pending_update {
        member_update update;
        std::size_t sends_left = 0;
    };

    void apply(const member_update& update, instant now);
    void add(const member_update& update, instant now);
    void refute(const member_update& update);
    void set_state(member& row, member_state state, instant now);
    void queue_update(const member_update& update);
    void handle(const ping& body, const member_update& sender, instant now);
    void handle(const ack& body, const member_update& sender, instant now);
    void handle(const ping_request& body, const member_update& sender, instant now);
    void handle(const notice& body, const member_update& sender, instant now);
    void probe(const vm_id& target, instant now);
    void probe_next_in_round(instant now);
    void escalate_probes(instant now);
    void expire_probes(instant now);
    void apply_link_messages(instant now);
    [[nodiscard]] bool seems_live(const member& row, instant now) const;
    void expire_members(instant now);
    void send(const member_update& to, gossip_body body);
    gossip_message make_message(gossip_body body);
    [[nodiscard]] gossip_message make_notice() const;

    member_update self_info;
    membership_settings settings;
    std::mt19937_64 random;
    std::map<vm_id, member> table;  ///< without this VM
    std::vector<vm_id> probe_order; ///< members left to probe in this round
    std::vector<vm_id> lease_targets;
    std::vector<vm_id> early_probes;
    std::vector<pending_probe> probes;
    std::vector<relayed_probe> relays;
    std::vector<pending_update> pending_updates;
    std::vector<outgoing_gossip> outbox;
    instant next_period{};
    instant last_tick{};
    std::uint64_t config_revision = 0;
    std::uint64_t view_version = 1;
};

} // namespace worksshift
