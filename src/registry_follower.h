/** \file
 * Keeps this VM's view of the servers up to date: at the store, or behind the VMs that are.
 */
#pragma once

#include <map>
#include <random>
#include <string>

#include "fleet_gossip.h"
#include "http_call.h"
#include "object_watch.h"
#include "registry_feed.h"
#include "server_registry.h"

namespace worksshift {

class registry_follower {
public:
    /** A watcher learns of a change from the store; it asks another VM only when it does not. */
    static constexpr duration store_tells_within = milliseconds(600);
    static constexpr duration peer_call_timeout = milliseconds(800);

    registry_follower(event_base* base, http_caller& caller, const link_address& store,
                      const protocol& dialect, server_table& table, fleet_gossip& gossip);

    void start() { this->watch.start(); }
    /** \p watching: whether it is for this VM to watch the store. */
    void tick(instant now, bool watching);
    /** Fills in what this VM tells others of the registry. */
    void describe(fleet_digest& digest, instant now) const;
    /** Answers another VM that asks for changes. */
    void serve(evhttp_request* request) const;

    [[nodiscard]] bool known() const { return this->registry.known(); }
    /** Servers are known, if not all of them yet. Before 3,200 servers the whole list takes 2.4 s
     * when 310 VMs start at once. */
    [[nodiscard]] bool usable() const { return this->known() || !this->table.rows().empty(); }
    [[nodiscard]] std::uint64_t revision() const { return this->feed.revision(); }
    [[nodiscard]] bool store_reachable() const { return this->watch.reachable(); }
    [[nodiscard]] bool follows() const { return this->watch.follows(); }

    /** How often an entry was met that no server can have written. */
    [[nodiscard]] std::uint64_t unreadable() const
    {
        return this->registry.unreadable() + this->watch.unreadable();
    }

    /** The server takes no new work any more. */
    sigc::signal<void(const server_id&)> on_leaving;
    /** The server started again under its id. */
    sigc::signal<void(const server_id&)> on_restarted;

private:
    void ask_peer(instant now);
    void take(const http_response& response, const std::string& peer);
    void apply(const registry_update& update);
    [[nodiscard]] instant store_regained_at(instant now) const;

    http_caller& caller;
    fleet_gossip& gossip;
    const server_table& table;
    server_registry registry;
    object_watch watch;
    registry_feed feed;
    /** Answers to other VMs by what they know; most of them ask from the same revision. */
    mutable std::map<std::uint64_t, std::string> answers;
    mutable std::uint64_t answers_at = 0; ///< revision of the answers
    bool asking = false;
    instant behind_since{}; ///< another VM knows a newer change; the epoch: none does
    std::minstd_rand random{std::random_device{}()};
};

/** Where other VMs ask. */
constexpr const char* registry_path = "/registry";

} // namespace worksshift
