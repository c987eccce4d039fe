/** \file
 * Keeps this VM's view of the servers up to date, from the store or from the VMs that watch it.
 */
#pragma once

#include <map>
#include <random>
#include <string>

#include "fleet_gossip.h"
#include "http_client.h"
#include "registry_feed.h"
#include "server_registry.h"
#include "store_follow.h"
#include "store_outage.h"
#include "store_watch_client.h"

namespace worksshift {

class registry_follower {
public:
    /** Responses to other VMs are cached for at most this time, because they give the ages of
     * missing servers that are still in use. */
    static constexpr duration response_cache_lifetime = milliseconds(50);

    registry_follower(event_base* base, http_client& caller, const link_address& store,
                      const protocol& adapter, server_table& table, fleet_gossip& gossip);

    void start() { this->client.proceed(); }
    /** \p watched: how this VM reads the store; std::nullopt if it does not watch it. */
    void tick(instant now, std::optional<read_mode> watched);
    /** Fills in this VM's revision of the registry and its view of the store. */
    void describe(fleet_digest& digest, instant now) const;
    /** Answers another VM's request for changes. */
    void serve(evhttp_request* request) const;

    [[nodiscard]] bool known() const { return this->registry.known(); }
    /** Whether some servers are known, if not all. With 3,200 servers the complete list takes 2.4 s
     * when 310 VMs start at once. */
    [[nodiscard]] bool usable() const { return this->known() || !this->table.rows().empty(); }
    [[nodiscard]] std::uint64_t revision() const { return this->feed.revision(); }
    [[nodiscard]] bool store_reachable() const { return this->follow.watch.reachable(); }
    [[nodiscard]] bool receives_updates() const { return this->follow.watch.receives_updates(); }
    /** Whether this VM reads the store linearizably, and the store answers. */
    [[nodiscard]] bool reads_linearizably() const
    {
        return this->follow.watch.reads_linearizably();
    }
    [[nodiscard]] std::uint64_t store_calls(read_mode mode) const
    {
        return this->client.calls(mode);
    }
    /** What this VM and others know about the store's availability. */
    [[nodiscard]] store_status store() const;

    /** Number of entries received so far that no server can have written. */
    [[nodiscard]] std::uint64_t unreadable() const
    {
        return this->registry.unreadable() + this->client.unreadable();
    }

    /** The server takes no new work. */
    sigc::signal<void(const server_id&)> on_leaving;
    /** The server restarted under its id. */
    sigc::signal<void(const server_id&)> on_restarted;

private:
    void request_from_peer(instant now);
    void handle_response(const http_response& response, const std::string& peer,
                         instant requested_at);
    void apply(const registry_update& update, const update_origin& origin);

    http_client& caller;
    fleet_gossip& gossip;
    const server_table& table;
    server_registry registry;
    store_follow follow{object_kind::servers};
    store_outage outage;
    store_watch_client client;
    registry_feed feed;
    /** Cached responses to other VMs, by the revision from which they ask; most of them ask from
     * the same one. */
    mutable std::map<std::uint64_t, std::string> cached_responses;
    mutable std::uint64_t cached_revision = 0; ///< revision of the registry in the cached responses
    mutable instant cached_at{};               ///< when the oldest cached response was made
    std::minstd_rand random{std::random_device{}()};
};

/** HTTP path at which a VM answers other VMs' requests for the registry. */
constexpr const char* registry_path = "/registry";

} // namespace worksshift
