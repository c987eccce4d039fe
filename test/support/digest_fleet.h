/** \file
 * Many VMs' digests in one loop: a network that delays, loses and cuts, and no sockets or clocks.
 */
#pragma once

#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "fleet_rounds.h"
#include "watch_duty.h"

namespace support {

/** One VM of the fleet. */
struct digest_vm {
    digest_vm(const worksshift::fleet_table::identity& self, std::span<const std::uint32_t> seeds,
              worksshift::instant now)
        : rounds(self, seeds, now)
    {
    }

    worksshift::fleet_rounds rounds;
    worksshift::watch_duty duty;
    worksshift::load_table loads;
    std::vector<std::uint32_t> busy;
    std::uint64_t config_version = 1;
    bool store_answers = true;
    bool leaving = false;
    std::size_t duties = 0;       ///< times that it began to stand by as a watcher
    worksshift::store_news store; ///< what it knows of the store by itself
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_across = 0; ///< sent to other data centres
};

class digest_fleet {
public:
    /** VMs are spread over the data centres in turn; the first three are everybody's seeds. */
    digest_fleet(std::size_t vms, std::size_t data_centres, std::uint64_t seed);

    void run(worksshift::duration span);
    /** Runs until \p done holds. Returns how long that took, or \p limit. */
    worksshift::duration run_until(const std::function<bool()>& done, worksshift::duration limit);
    /** Ends a VM; \p start gives it a new life at the same address. */
    void kill(std::size_t vm) { this->vms.erase(vm); }
    void start(std::size_t vm);

    [[nodiscard]] std::size_t data_centre_of(std::size_t vm) const
    {
        return vm % this->data_centres;
    }
    /** The VM at an address. */
    [[nodiscard]] static std::size_t vm_at(std::uint32_t address);
    /** Requests of all live VMs but one at each server. */
    [[nodiscard]] worksshift::load_table truth_without(std::size_t vm) const;

    worksshift::instant now{worksshift::seconds(1000)};
    std::map<std::size_t, digest_vm> vms;              ///< that live
    std::size_t servers = 20;                          ///< in the registry
    double loss = 0;                                   ///< share of datagrams
    std::set<std::pair<std::size_t, std::size_t>> cut; ///< pairs, both ways, smaller first
    /** What a test adds to a VM: to each tick, and to what it tells of itself. */
    std::function<void(std::size_t)> on_tick;
    std::function<void(std::size_t, worksshift::own_state&)> describe;
    std::function<void(std::size_t, const worksshift::fleet_vm&)> on_digest; ///< that came to a VM

private:
    struct datagram {
        worksshift::instant at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;

        bool operator>(const datagram& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void step();
    static worksshift::store_news store_known_to(const digest_vm& item);
    void deliver(const datagram& item);
    void send_round(std::size_t vm);

    std::size_t data_centres;
    std::mt19937_64 random;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> network;
    std::uint64_t sent = 0;
};

} // namespace support
