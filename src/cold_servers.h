/** \file
 * How many requests this VM may send to a server that is cold.
 *
 * A server that has just started serves slowly for some seconds, and crashes when all VMs together
 * send it more than a stated rate. Digests are up to two seconds old while the bound holds in each
 * second, so VMs cannot count their requests together: the rate is divided beforehand, first
 * among the data centres. In each, a few VMs, first in a rank that differs from server to server,
 * may send to it, each with a pause between two requests; the others leave it alone until it is
 * warm. While all VMs want to send, 98% of the rate is used so, and no second has more than two
 * thirds of what is allowed (65 and 480 VMs, `cold_servers_are_spared`). An even share of every VM
 * was the other way: unused shares come together, so the mean must stay far below the bound, and
 * 58% of the rate was used.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Requests beyond the stated rate that a cold server bears. */
struct cold_tolerance {
    double over = 1;  ///< multiple of the rate
    double slack = 0; ///< further requests in any second
};

/** What a cold server of a service bears from all VMs together. */
struct cold_bound {
    double per_s = 0;       ///< that it is to get on the mean
    double in_a_second = 0; ///< at most, in any second

    cold_bound(double per_s, const cold_tolerance& allowed)
        : per_s(per_s), in_a_second(per_s * allowed.over + allowed.slack)
    {
    }
};

/** The VMs beside which one may send. It hears those of its own data centre directly, so it soon
 * knows them all; of the others in a fleet of hundreds it hears by rumours, and with 480 VMs knew
 * two thirds of them 8 s after the start. */
struct fleet_members {
    std::uint32_t self = 0;                  ///< its address
    std::uint32_t data_centre = 0;           ///< its own, by the low half of the name's hash
    std::vector<std::uint32_t> near;         ///< VMs of its data centre, this one included
    std::vector<std::uint32_t> data_centres; ///< all there are, its own included
    bool complete = false;                   ///< it has been in the fleet for long enough to know

    void add(std::uint32_t place)
    {
        const bool known = std::ranges::find(this->data_centres, place) != this->data_centres.end();
        if (place != 0 && !known) this->data_centres.push_back(place);
    }
};

/** What one VM may send to one cold server. */
struct cold_share {
    std::optional<duration> pause; ///< between two requests; nothing: no request
    bool drawn = false;            ///< the first request waits for a part of the pause, drawn
};

/** In any second as many of a VM's requests arrive as pauses fit into this time. The 50 ms beyond
 * the second are for a request that took longer on its way than the next one. */
constexpr duration cold_second = milliseconds(1050);

/** \p senders: requests in any second that the VMs which send make together at most, as a share of
 * those that are allowed; the rest is left for VMs that disagree on who lives. As many VMs send, or
 * all of a fleet that has fewer. 0: all VMs send, each its even share. */
cold_share share_of_cold(const cold_bound& bound, std::uint64_t server,
                         const fleet_members& members, double senders);

/** Whether the VM is the one of its fleet that does what is ranked by \p key. Two may be when they
 * do not know the same others, and none while a VM that was lost lately is remembered. */
bool is_first_in_fleet(const fleet_members& members, std::uint64_t key);

/** One server's turn to be cold, as one VM keeps to it. */
class cold_gate {
public:
    [[nodiscard]] bool cold(instant now) const { return now < this->until; }
    /** Whether a request may be sent now. */
    [[nodiscard]] bool open(instant now) const
    {
        return !this->cold(now) || (this->share.pause && now >= this->next());
    }
    /** When a request may be sent, as far as is known. */
    [[nodiscard]] instant opens_at() const
    {
        return this->share.pause ? std::min(this->until, this->next()) : this->until;
    }
    /** The server is cold until then at least. */
    void extend(instant end) { this->until = std::max(this->until, end); }
    void set_share(const cold_share& given, instant now, std::minstd_rand& random);
    void on_sent(instant now) { this->sent = now; }

private:
    [[nodiscard]] instant next() const
    {
        return std::max(this->first, this->sent + this->share.pause.value_or(duration::zero()));
    }

    instant until{};
    cold_share share;
    instant first{}; ///< not before
    instant sent{};  ///< the last request
};

} // namespace worksshift
