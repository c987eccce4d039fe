/** \file
 * Gossip rounds of one VM: decides which digest is sent to which VMs, and the interval between
 * rounds.
 *
 * Reads no clock and opens no socket, so that tests can simulate fleets of any size in one loop.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet_table.h"
#include "load_exchange.h"

namespace worksshift {

/** Digest bytes that a VM sends per second. Control traffic may take 12,000 bytes per second; the
 * rest of that is for documents that VMs fetch from each other. */
constexpr double digest_bytes_per_s = 9000;
/** Bounds of the interval between rounds. Small fleets use the shortest; fleets whose digests
 * exceed the byte budget use up to the longest. */
constexpr duration min_digest_period = milliseconds(150);
constexpr duration max_digest_period = seconds(2);
/** Minimum interval between a round that is sent early and the previous round. */
constexpr duration min_early_digest_period = milliseconds(50);
/** Interval between two notices of a VM that reads the store linearizably. */
constexpr duration store_reader_notice_period = milliseconds(250);
/** How often a VM tells that it no longer reads so, as notices may be lost. */
constexpr int store_reader_stop_notices = 3;
/** Silent VMs of the same data centre are sent a digest in one of this many rounds. */
constexpr unsigned silent_vm_retry_rounds = 8;
/** Liveness reports in a digest: to any VM, and to a VM that is joining. */
constexpr std::size_t liveness_reports_per_digest = 3;
constexpr std::size_t liveness_reports_to_joining = 16;
/** VMs of the same data centre that are joining and are told all its members in one round. */
constexpr std::size_t max_full_replies = 4;

/** State that a VM reports in a round. */
struct local_state {
    fleet_digest digest; ///< without loads and liveness reports
    load_table loads;
    std::vector<crash_report> remote_crash_reports; ///< for VMs of other data centres
    std::size_t servers = 0;                        ///< in the registry
    std::vector<std::uint32_t> busy;                ///< servers near their load bound
    bool reads_store = false; ///< linearizable watches of this VM are answered by the store
};

/** One datagram and the VMs that it goes to. */
struct outgoing_digest {
    std::string bytes;
    std::vector<std::uint32_t> to; ///< IPv4 addresses, host order
};

class fleet_rounds {
public:
    fleet_rounds(const fleet_table::identity& self, std::span<const std::uint32_t> seeds,
                 instant now);
    ~fleet_rounds() = default;
    fleet_rounds(const fleet_rounds&) = delete;
    fleet_rounds& operator=(const fleet_rounds&) = delete;
    fleet_rounds(fleet_rounds&&) = delete;
    fleet_rounds& operator=(fleet_rounds&&) = delete;

    [[nodiscard]] bool due(instant now) const { return now >= this->next_round; }
    /** The datagrams of the round that is due. */
    std::vector<outgoing_digest> next(local_state state, instant now);
    /** The notice that is due to the VMs that watch the store; std::nullopt if none is.
     * \p reads_store: whether this VM reads the store linearizably. */
    std::optional<outgoing_digest> next_notice(bool reads_store, instant now);
    /** Adds VMs to contact, such as those that reloaded settings name. */
    void add_seeds(std::span<const std::uint32_t> seeds, instant now);
    /** Sends the next round early, as after a change that others should learn soon. */
    void send_early();

    [[nodiscard]] fleet_table& fleet() { return this->table; }
    [[nodiscard]] const fleet_table& fleet() const { return this->table; }
    /** Requests from all other VMs at each server. */
    [[nodiscard]] load_table loads_of_others(instant now) const
    {
        return this->loads.loads_of_others(now);
    }
    [[nodiscard]] duration period() const { return this->round_period; }

private:
    outgoing_digest make_local_digest(fleet_digest digest, instant now);
    void add_remote_digests(std::vector<outgoing_digest>& messages, fleet_digest digest,
                            instant now);
    void add_digest_to_readers(std::vector<outgoing_digest>& messages, fleet_digest digest,
                               instant now);
    outgoing_digest make_joining_digest(fleet_digest digest, instant now);
    outgoing_digest make_member_list(fleet_digest digest, instant now);
    void update_period(std::span<const outgoing_digest> sent);

    std::vector<std::uint32_t> seeds;
    fleet_table table;
    load_exchange loads;
    std::vector<std::uint32_t> delegates; ///< of the current round
    std::uint32_t sequence = 0;
    duration round_period = min_digest_period;
    instant last_round{};
    instant next_round{};
    instant notice_sent_at{};
    bool noticed_reading = false; ///< content of the last notice
    int stop_notices_left = 0;
    unsigned rounds = 0;
};

} // namespace worksshift
