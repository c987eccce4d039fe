/** \file
 * Keeps the newest configuration that this VM has heard of in force: from the store, when it
 * watches, or else from another VM that has it.
 *
 * A configuration is never replaced by an older one in one life of the process.
 */
#pragma once

#include <functional>
#include <random>

#include "fleet_gossip.h"
#include "http_call.h"
#include "object_watch.h"
#include "protocol.h"
#include "store_follow.h"

namespace worksshift {

/** A VM whose revision is the highest above \p own, or nullptr: a near one if any, since bytes
 * between data centres cost; any of several, since one that all asked would be swamped. */
const fleet_vm* choose_newest(const fleet_table& fleet, instant now, std::minstd_rand& random,
                              std::uint64_t own,
                              const std::function<std::uint64_t(const fleet_vm&)>& revision_of);

class config_follower {
public:
    config_follower(event_base* base, http_caller& caller, const link_address& store,
                    const protocol& dialect, fleet_gossip& gossip);

    void start() { this->calls.proceed(); }
    /** \p watched: how this VM watches the store, if it is for it to do so. */
    void tick(instant now, std::optional<read_mode> watched);
    /** Another VM told of its configuration. */
    void take_digest(const fleet_vm& from);
    /** Answers another VM that asks for the configuration. */
    void serve(evhttp_request* request) const;

    [[nodiscard]] const router_config_ptr& config() const { return this->current; }
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] bool follows() const { return this->follow.watch.follows(); }
    [[nodiscard]] std::uint64_t store_calls(read_mode mode) const
    {
        return this->calls.calls(mode);
    }

    /** A newer configuration is to be put in force. */
    sigc::signal<void()> on_config;

private:
    void take(const std::string& document, std::string_view source);
    void ask_peer(instant now);

    http_caller& caller;
    const protocol& dialect;
    fleet_gossip& gossip;
    store_follow follow{object_kind::configuration};
    object_watch calls;
    router_config_ptr current;
    std::string packed; ///< the document as other VMs get it
    std::uint64_t newest_heard = 0;
    std::minstd_rand random{std::random_device{}()};
};

/** Where other VMs ask. */
constexpr const char* config_path = "/configuration";

} // namespace worksshift
