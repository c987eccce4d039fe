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

namespace worksshift {

/** A VM whose revision is the highest above \p own, or nullptr: a near one if any, since bytes
 * between data centres cost; any of several, since one that all asked would be swamped. */
const fleet_vm* choose_newest(const fleet_table& fleet, instant now, std::minstd_rand& random,
                              std::uint64_t own,
                              const std::function<std::uint64_t(const fleet_vm&)>& revision_of);

class config_follower {
public:
    /** A watcher is told by the store; it asks another VM only when it was not by then. */
    static constexpr duration store_tells_within = milliseconds(500);
    /** When no VM gave a newer configuration by then, this one asks the store by itself. */
    static constexpr duration peers_tell_within = milliseconds(700);
    static constexpr duration peer_call_timeout = milliseconds(800);

    config_follower(event_base* base, http_caller& caller, const link_address& store,
                    const protocol& dialect, fleet_gossip& gossip);

    void start() { this->watch.start(); }
    /** \p watching: whether it is for this VM to watch the store. */
    void tick(instant now, bool watching);
    /** Another VM told of its configuration. */
    void take_digest(const fleet_vm& from, instant now);
    /** Answers another VM that asks for the configuration. */
    void serve(evhttp_request* request) const;

    [[nodiscard]] const router_config_ptr& config() const { return this->current; }
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] bool follows() const { return this->watch.follows(); }
    [[nodiscard]] bool store_reachable() const { return this->watch.reachable(); }

    /** A newer configuration is to be put in force. */
    sigc::signal<void()> on_config;

private:
    void take(const std::string& document, std::string_view source);
    void ask_peer(instant now);

    http_caller& caller;
    const protocol& dialect;
    fleet_gossip& gossip;
    object_watch watch;
    router_config_ptr current;
    std::string packed; ///< the document as other VMs get it
    std::uint64_t newest_heard = 0;
    instant newer_since{}; ///< another VM told of a newer one
    bool asking = false;
    std::minstd_rand random{std::random_device{}()};
};

/** Where other VMs ask. */
constexpr const char* config_path = "/configuration";

} // namespace worksshift
