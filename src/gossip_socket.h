/** \file
 * The UDP socket of the gossip protocol: authenticates datagrams, counts bytes and enforces the
 * byte budget.
 */
#pragma once

#include <random>

#include <sigc++/sigc++.h>

#include "codec.h"
#include "event_loop.h"
#include "link_hub.h"
#include "membership.h"

namespace worksshift {

/** Sustained rate of gossip sent by one VM. Over the budget, notices (load summaries, revisions)
 * are dropped, since they are only hints. Probes and acks, which decide who is alive, and the
 * notices of a leaving VM are always sent. */
constexpr double gossip_bytes_per_second = 9000;
/** Size of the token bucket, and largest negative balance that probes and acks may cause. */
constexpr double gossip_burst_bytes = 60'000;

struct gossip_counters {
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_refused = 0; ///< received, but not authentic or malformed
    std::uint64_t datagrams_shed = 0;    ///< not sent: over the budget or over the maximum length
};

class gossip_socket {
public:
    gossip_socket(event_base* base, const link_address& listen, authenticator& auth,
                  std::uint32_t loss_percent);
    ~gossip_socket();
    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;
    gossip_socket(gossip_socket&&) = delete;
    gossip_socket& operator=(gossip_socket&&) = delete;

    void send(const outgoing_gossip& datagram, instant now);
    [[nodiscard]] const gossip_counters& counters() const { return this->counts; }

    sigc::signal<void(const gossip_message&)> on_message;

private:
    void read();
    bool withdraw_budget(std::size_t bytes, bool sheddable, instant now);

    evutil_socket_t socket;
    authenticator& auth;
    std::uint32_t loss_percent;
    std::minstd_rand random{1};
    event_ptr<event> readable;
    gossip_counters counts;
    double budget = gossip_burst_bytes;
    instant budget_at{};
};

} // namespace worksshift
