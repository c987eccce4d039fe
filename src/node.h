/** \file
 * The decision logic of one node: its tables, and the tick that runs all systems on them in order.
 *
 * The daemon passes in events and times and executes the resulting actions; tests and benchmarks
 * run many nodes in one loop.
 */
#pragma once

#include "assign_gates.h"
#include "membership.h"
#include "response_relay.h"
#include "sync_config.h"
#include "tables.h"

namespace worksshift {

class node {
public:
    /** \p seed initialises all random choices; \p origin must differ at each start of a VM. */
    node(const member_update& self, node_settings settings, membership_settings member_settings,
         std::uint64_t origin, std::uint64_t seed);

    /** Runs every system once. */
    void tick(const tick_time& time);

    /** Handles a message from another VM, or from this one. */
    void receive(const vm_id& from, link_message message);
    void receive(const gossip_message& message, instant now);
    /** Handles the loss of a link: work for that VM ends, and its attempts in flight end with
     * outcome `unknown`. */
    void handle_peer_loss(const vm_id& vm);

    /** Offers a configuration received from the platform. */
    offer_result offer(config_documents documents);
    /** Starts a planned stop: refuses new work, notifies other VMs, lets work in flight finish. */
    void leave();
    /** Ends all requests of callers of this VM, as the process is about to exit: the callers learn
     * that theirs was not run, or that its outcome is not known. Returns their number. */
    std::size_t end_requests();
    /** Whether no request, attempt or claim is in flight or queued here. */
    [[nodiscard]] bool idle() const;

    /** Actions since the last call, in order. */
    std::vector<action> take_actions() { return std::exchange(this->rows.out, {}); }

    [[nodiscard]] tables& data() { return this->rows; }
    [[nodiscard]] const tables& data() const { return this->rows; }
    [[nodiscard]] membership& members() { return this->member_table; }
    [[nodiscard]] config_state& config() { return this->configuration; }
    [[nodiscard]] response_relay& responses() { return this->relay; }

private:
    void update_homes();
    void apply_config(const tick_time& time);

    tables rows;
    membership member_table;
    config_state configuration;
    gate_assignment assignment;
    response_relay relay;
    instant next_loads{};
    instant next_expiry{};
    instant next_order_request{};
    std::uint64_t applied_revision = 0;
};

} // namespace worksshift
