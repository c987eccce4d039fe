/** \file
 * Puts the newest configuration that this VM can get in force: from the store if this VM watches
 * it, otherwise from another VM that has it.
 *
 * While the process runs, a configuration is never replaced by an older one.
 */
#pragma once

#include <functional>
#include <random>

#include "fleet_gossip.h"
#include "http_client.h"
#include "protocol.h"
#include "store_follow.h"
#include "store_watch_client.h"

namespace worksshift {

/** The VM with the highest revision above \p own, or nullptr if there is none. If a VM of the same
 * data centre is ahead of \p own, only such VMs are considered, since traffic between data centres
 * is costly; a small fleet counts as one data centre. Among equal ones the choice is random, since
 * a single VM that all others ask would be overloaded. */
const fleet_vm* choose_newest(const fleet_table& fleet, instant now, std::minstd_rand& random,
                              std::uint64_t own,
                              const std::function<std::uint64_t(const fleet_vm&)>& revision_of);

class config_follower {
public:
    config_follower(event_base* base, http_client& caller, const link_address& store,
                    const protocol& adapter, fleet_gossip& gossip);

    void start() { this->client.proceed(); }
    /** \p watched: how this VM reads the store; std::nullopt if it does not watch it. */
    void tick(instant now, std::optional<read_mode> watched);
    /** Notes the configuration version that another VM reports in its digest. */
    void handle_digest(const fleet_vm& from);
    /** Answers another VM's request for the configuration. */
    void serve(evhttp_request* request) const;

    [[nodiscard]] const router_config_ptr& config() const { return this->current; }
    [[nodiscard]] std::uint64_t version() const;
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

    /** A newer configuration was received and is to be applied. */
    sigc::signal<void()> on_config;

private:
    void apply(const std::string& document, std::string_view source);
    void request_from_peer(instant now);

    http_client& caller;
    const protocol& adapter;
    fleet_gossip& gossip;
    store_follow follow{object_kind::configuration};
    store_watch_client client;
    router_config_ptr current;
    std::string packed; ///< the document, compressed for other VMs
    std::uint64_t newest_version_reported = 0;
    std::minstd_rand random{std::random_device{}()};
};

/** HTTP path at which a VM answers other VMs' requests for the configuration. */
constexpr const char* config_path = "/configuration";

} // namespace worksshift
