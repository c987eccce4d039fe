/** \file
 * What the VMs of a fleet tell each other, by UDP: requests under way at each server, and the
 * version of the configuration in force.
 *
 * Each VM sends a digest of itself to every other a few times a second; a larger fleet sends less
 * often, so that the datagrams that one VM receives in a second stay bounded. A digest replaces the
 * one before, so a lost datagram costs freshness only. VMs are found through the seeds and through
 * the addresses that digests name.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "event_loop.h"
#include "ids.h"
#include "link_address.h"

namespace worksshift {

/** Requests of one VM at one server. */
struct peer_load {
    std::uint32_t server = 0; ///< low half of the hash of its id
    std::uint16_t requests = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->requests);
    }
};

/** State of one VM, as it tells it itself. */
struct fleet_digest {
    std::uint16_t format = 1;
    std::uint64_t incarnation = 0; ///< random for each start of the process
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    std::uint64_t servers_revision = 0; ///< of the newest change of the registry that it knows
    bool watches_servers = false;       ///< follows the registry at the store, which answers it
    std::uint32_t store_back_ms = 0;    ///< since the store came back to it; of watchers only
    bool leaving = false;
    std::vector<peer_load> loads;
    std::vector<std::uint32_t> vms; ///< IPv4 addresses of some VMs that the sender hears

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->format, this->incarnation, this->sequence, this->config_version,
                this->servers_revision, this->watches_servers, this->store_back_ms, this->leaving,
                this->loads, this->vms);
    }
};

/** Time between digests in a small fleet. Loads older than a few of these mislead. */
constexpr duration digest_period = milliseconds(150);
/** Each VM receives at most one digest in this time on the mean, up to the size below. */
constexpr duration digest_spacing = milliseconds(8);
/** In larger fleets digests grow rarer still, so that the bytes of the whole fleet stay the same
 * from this size on. */
constexpr std::size_t digests_full_up_to = 100;
/** The few VMs that others follow tell of themselves at least this often, whatever the size. */
constexpr duration followed_period = milliseconds(500);
/** Loads that are told more rarely than this say nothing any more, and are left out. */
constexpr duration loads_told_up_to = seconds(2);
/** A VM from which nothing was heard for this many periods counts for nothing. */
constexpr int periods_until_silent = 8;
/** A silent VM is still sent to for this time, so that it is found again after a cut. */
constexpr duration forget_after = seconds(60);

class fleet_gossip {
public:
    /** One other VM. */
    struct peer {
        std::uint32_t address = 0; ///< IPv4, host order
        fleet_digest last;
        instant heard_at{}; ///< never: the epoch
        instant known_since{};
    };

    /** All VMs of the fleet use the same port. */
    fleet_gossip(event_base* base, const link_address& listen, std::span<const link_address> seeds);

    /** Sends digests that are due. \p describe fills the digest of this VM in. */
    void tick(instant now, const std::function<void(fleet_digest&)>& describe);
    /** Sends the digest with the next tick. */
    void hasten() { this->next_send = instant{}; }

    /** VMs heard lately. */
    [[nodiscard]] std::vector<const peer*> heard(instant now) const;
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent; }
    /** Random for each start; VMs are ranked by it. */
    [[nodiscard]] std::uint64_t own_incarnation() const { return this->incarnation; }
    /** Between digests of a VM that nobody follows. */
    [[nodiscard]] duration period() const;
    [[nodiscard]] bool tells_loads() const { return this->period() <= loads_told_up_to; }
    [[nodiscard]] link_address address_of(const peer& item) const;

    /** A newer digest of a VM has come. */
    sigc::signal<void(const peer&)> on_digest;

private:
    void receive();
    void take(std::uint32_t from, fleet_digest digest);
    void learn(std::uint32_t address);

    link_address own;
    std::uint32_t own_address = 0;
    std::vector<std::uint32_t> seeds;
    event_ptr<event> reading;
    evutil_socket_t socket = -1;
    std::map<std::uint32_t, peer> peers;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    instant next_send{};
    std::uint64_t sent = 0;
    std::size_t vms_told = 0; ///< where the next digest goes on in the list of VMs

public:
    ~fleet_gossip();
    fleet_gossip(const fleet_gossip&) = delete;
    fleet_gossip& operator=(const fleet_gossip&) = delete;
    fleet_gossip(fleet_gossip&&) = delete;
    fleet_gossip& operator=(fleet_gossip&&) = delete;
};

} // namespace worksshift
