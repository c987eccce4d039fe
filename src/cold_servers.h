/** \file
 * Limits how many requests this VM may send to a cold server.
 *
 * A server that has just started is slow for some seconds, and crashes if all VMs together send it
 * more than a configured rate. The limit holds in any one second while digests are up to two
 * seconds old, so the VMs cannot count their requests together. Instead the rate is divided in
 * advance, first among the data centres. In each data centre, the few VMs that rendezvous hashing
 * ranks highest for the server may send to it, each with a minimum pause between two requests; the
 * other VMs avoid the server until it is warm. While all VMs have requests to send, this uses 98%
 * of the rate, and no second has more than two thirds of the limit (65 and 480 VMs,
 * `cold_server_rate_limit_holds`). The alternative, an even share for every VM, used 58%: requests
 * of independent senders coincide, so their mean rate must stay far below the limit.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Requests beyond the configured rate that a cold server tolerates. */
struct cold_tolerance {
    double rate_multiple = 1;  ///< factor applied to the rate
    double extra_requests = 0; ///< additional requests in any second
};

/** Limits on the requests that all VMs together send to one cold server. */
struct cold_request_limit {
    double per_s = 0;             ///< mean rate, requests per second
    double max_in_any_second = 0; ///< maximum number of requests in any second

    cold_request_limit(double per_s, const cold_tolerance& tolerance)
        : per_s(per_s),
          max_in_any_second(per_s * tolerance.rate_multiple + tolerance.extra_requests)
    {
    }
};

/** What a VM may use of a limit that is divided among the VMs in advance. */
enum class share_state : std::uint8_t {
    none,    ///< it does not know the others yet, or they do not know it
    minimal, ///< it knows of no other VM: it is alone or cut off
    full,    ///< its share
};

std::string_view name_of(share_state state);

/** The VMs that share the limit, as one VM knows them. VMs of the same data centre send digests to
 * each other, so it soon knows them all. VMs of other data centres become known indirectly, through
 * lists in digests: in a fleet of 480 VMs, two thirds of them were known 8 s after the start. */
struct fleet_members {
    std::uint32_t self = 0;                  ///< this VM's address
    std::uint32_t data_centre = 0;           ///< this VM's own: low 32 bits of the hash of its name
    std::vector<std::uint32_t> local_vms;    ///< VMs of this data centre, this one included
    std::vector<std::uint32_t> data_centres; ///< all known, this VM's own included
    bool complete = false;                   ///< this VM has run for long enough to know the others
    /** Unlike `complete`, stays `full` while new VMs are discovered: these have no share yet, and
     * this VM's share shrinks at once. */
    share_state share = share_state::none;
    instant share_since{}; ///< when `share` last changed

    void add_data_centre(std::uint32_t data_centre_hash)
    {
        const bool known =
            std::ranges::find(this->data_centres, data_centre_hash) != this->data_centres.end();
        if (data_centre_hash != 0 && !known) this->data_centres.push_back(data_centre_hash);
    }
};

/** What one VM may send to one cold server. */
struct cold_share {
    std::optional<duration> pause; ///< least time between requests; std::nullopt: none allowed
    bool random_start = false;     ///< the first request waits for a random part of the pause
};

/** Length of the window in which the requests of one VM are limited. 50 ms longer than the second
 * of the bound, because a request may take longer to arrive than the one after it. */
constexpr duration cold_window = milliseconds(1050);

/** Computes the share of one VM. \p used_share: share of `max_in_any_second` that is used; the
 * rest is a reserve for VMs that disagree on which VMs are alive. This is also the number of VMs
 * that may send, if the fleet has that many. 0: every VM may send an even share. */
cold_share compute_cold_share(const cold_request_limit& bound, std::uint64_t server,
                              const fleet_members& members, double used_share);

/** Share of this VM when \p total units are divided evenly, first among the data centres and then
 * among the VMs of each. What remains goes to those that rendezvous hashing ranks highest for
 * \p key. */
std::size_t share_of_vm(std::size_t total, std::uint64_t key, const fleet_members& members);
/** Slots of a server that this VM may use: its share as far as it may use one. */
std::size_t slots_of_vm(std::size_t slots, std::uint64_t key, const fleet_members& members);
/** The VMs of this data centre that have a share. */
std::vector<std::uint32_t> local_vms_with_share(std::size_t total, std::uint64_t key,
                                                const fleet_members& members);

/** Whether this VM is the highest-ranked of the fleet for \p key, and so has to do the task that
 * the key identifies. This may hold for two VMs that know different members, and for none while a
 * VM that stopped recently still counts as a member. */
bool is_first_in_fleet(const fleet_members& members, std::uint64_t key);

/** Limits the requests of one VM to one server while the server is cold. */
class cold_request_limiter {
public:
    [[nodiscard]] bool cold(instant now) const { return now < this->cold_until; }
    /** Whether a request may be sent now. */
    [[nodiscard]] bool open(instant now) const
    {
        return !this->cold(now) || (this->share.pause && now >= this->next_allowed_at());
    }
    /** Earliest time at which a request may be sent, as known now. */
    [[nodiscard]] instant opens_at() const
    {
        return this->share.pause ? std::min(this->cold_until, this->next_allowed_at())
                                 : this->cold_until;
    }
    /** The server is cold until \p end at least. */
    void extend(instant end) { this->cold_until = std::max(this->cold_until, end); }
    void set_share(const cold_share& new_share, instant now, std::minstd_rand& random);
    void on_sent(instant now) { this->last_sent_at = now; }

private:
    [[nodiscard]] instant next_allowed_at() const
    {
        return std::max(this->first,
                        this->last_sent_at + this->share.pause.value_or(duration::zero()));
    }

    instant cold_until{};
    cold_share share;
    instant first{}; ///< no request before this time
    instant last_sent_at{};
};

} // namespace worksshift
