/** \file
 * Simulates the gossip of a whole fleet in one loop, without sockets or real clocks, over a network
 * that delays and loses datagrams and can be partitioned.
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
#include "watcher_selection.h"

namespace support {

/** One VM of the simulated fleet. */
struct digest_vm {
    digest_vm(const worksshift::fleet_table::identity& self, std::span<const std::uint32_t> seeds,
              worksshift::instant now)
        : rounds(self, seeds, now)
    {
    }

    worksshift::fleet_rounds rounds;
    worksshift::watcher_selection watch_role;
    worksshift::load_table loads;
    std::vector<std::uint32_t> busy;
    std::uint64_t config_version = 1;
    bool store_answers = true;
    bool reads_store = false; ///< the store answers its linearizable watches
    bool leaving = false;
    std::size_t watch_starts = 0;   ///< how often it became a standby watcher
    worksshift::store_status store; ///< state of the store from its own calls
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_to_other_centres = 0; ///< sent to other data centres
};

class digest_fleet {
public:
    /** Assigns VMs to data centres round-robin; the first three VMs are the seeds of all. \p seed
     * is that of the random generator. */
    digest_fleet(std::size_t vms, std::size_t data_centres, std::uint64_t seed);

    void run(worksshift::duration span);
    /** Runs until \p done returns true. Returns the simulated time that took, or \p limit. */
    worksshift::duration run_until(const std::function<bool()>& done, worksshift::duration limit);
    /** Stops a VM; `start` starts it again, with a new incarnation at the same address. */
    void kill(std::size_t vm) { this->vms.erase(vm); }
    void start(std::size_t vm);

    [[nodiscard]] std::size_t data_centre_of(std::size_t vm) const
    {
        return vm % this->data_centres;
    }
    /** The VM at an address. */
    [[nodiscard]] static std::size_t vm_at(std::uint32_t address);
    /** True loads: requests from all running VMs except one at each server. */
    [[nodiscard]] worksshift::load_table total_loads_without(std::size_t vm) const;

    worksshift::instant now{worksshift::seconds(1000)};
    std::map<std::size_t, digest_vm> vms;              ///< that are running
    std::size_t servers = 20;                          ///< in the registry
    double loss = 0;                                   ///< share of datagrams that are lost
    std::set<std::pair<std::size_t, std::size_t>> cut; ///< disconnected pairs, the smaller first
    std::set<std::size_t> suspended; ///< VMs that do not run; datagrams to them wait
    /** Hooks for tests: called in each tick of a VM, and to add to the state that a VM reports. */
    std::function<void(std::size_t)> on_tick;
    std::function<void(std::size_t, worksshift::local_state&)> describe;
    /** Called when a VM received a digest: the VM and the sender. */
    std::function<void(std::size_t, const worksshift::fleet_vm&)> on_digest;

private:
    struct datagram {
        worksshift::instant at;
        std::uint64_t sequence = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;

        bool operator>(const datagram& other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };

    void step();
    static worksshift::store_status known_store_state(const digest_vm& item);
    void deliver(const datagram& item);
    void send_notice(std::size_t vm);
    void send_round(std::size_t vm);
    void send(std::size_t vm, const worksshift::outgoing_digest& message);

    std::size_t data_centres;
    std::mt19937_64 random;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> network;
    std::uint64_t datagrams_sent = 0;
};

} // namespace support
