/** \file
 * The other VMs as this one knows them: by their own digests, and by what others say of them.
 *
 * VMs of one data centre are near each other and tell each other everything. Of the VMs of other
 * data centres it is enough to know that they live: a few of them, chosen by rank, are told sums.
 * So what a VM sends and holds grows with its data centre and not with the fleet. A small fleet is
 * taken as one data centre.
 */
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cold_servers.h"
#include "ids.h"
#include "load_tables.h"
#include "store_outage.h"

namespace worksshift {

/** Up to this many VMs all are near each other, whatever their data centres. */
constexpr std::size_t small_fleet = 12;
/** A VM from which nothing was heard for this many of its periods, and at least for the time below,
 * counts for nothing. */
constexpr int periods_until_silent = 8;
constexpr duration silent_after_at_least = milliseconds(1200);
/** A distant VM of whose life nothing was heard for so long is taken for dead. Rumours need about
 * one period for each step. */
constexpr duration distant_alive_for = seconds(5);
/** Delegates of a fleet, so that the loss of one leaves no gap. */
constexpr std::size_t delegates_of_fleet = 2;
/** A VM is remembered, and told of this one, for so long after it was last known to live. */
constexpr duration forget_after = seconds(60);
/** A VM that was only just heard of is sent to in each round for so long, heard or not. */
constexpr duration new_vm_period = seconds(2);
/** A VM asks to be answered for so long after its start, and while it hears nobody. */
constexpr duration joining_for = seconds(4);
/** A VM that has not heard of another one of its data centre for so long knows all of them. When
 * 480 VMs start at once, some know half of the 80 near ones after 10 s, and hear of two more in
 * each second. */
constexpr duration members_settle_for = seconds(3);

/** One other VM. */
struct fleet_vm {
    std::uint32_t address = 0;     ///< IPv4, host order
    std::uint32_t data_centre = 0; ///< low half of the hash of its name; 0: not known yet
    fleet_digest last;             ///< but for its loads
    load_copy own_loads;
    load_copy centre_loads;
    load_copy distant_loads;
    instant heard_at{}; ///< its own digest; never: the epoch
    instant alive_at{}; ///< heard by anybody; never: the epoch
    instant known_since{};
    bool to_answer = false; ///< it is joining, and was heard since this VM last sent
};

class fleet_table {
public:
    struct identity {
        std::uint32_t address = 0;
        std::uint32_t data_centre = 0;
        std::uint32_t incarnation = 0;
    };

    fleet_table(const identity& self, std::span<const std::uint32_t> seeds, instant now);

    void add_seeds(std::span<const std::uint32_t> given, instant now);
    /** Takes a digest that came from an address. Returns its sender; nullptr when it is older than
     * one that came before. */
    const fleet_vm* take(std::uint32_t from, fleet_digest digest, instant now);
    /** Drops VMs that have not lived for long. */
    void forget_dead(instant now);

    [[nodiscard]] const identity& self() const { return this->own; }
    [[nodiscard]] std::map<std::uint32_t, fleet_vm>& vms() { return this->table; }
    [[nodiscard]] const std::map<std::uint32_t, fleet_vm>& vms() const { return this->table; }
    [[nodiscard]] bool is_near(const fleet_vm& item) const;
    [[nodiscard]] static bool is_heard(const fleet_vm& item, instant now);
    [[nodiscard]] bool is_alive(const fleet_vm& item, instant now) const;
    [[nodiscard]] std::vector<const fleet_vm*> near(instant now) const;
    /** All VMs whose own digests came lately. */
    [[nodiscard]] std::vector<const fleet_vm*> heard(instant now) const;
    /** VMs that live, this one included. */
    [[nodiscard]] std::size_t alive(instant now) const;
    [[nodiscard]] bool is_joining(instant now) const;
    /** The VMs of this data centre that are remembered, those that were lost lately included, and
     * the data centres that are known by their VMs. */
    [[nodiscard]] fleet_members members(instant now) const;
    /** There are other VMs, and none of them was heard lately. */
    [[nodiscard]] bool is_cut_off(instant now) const;
    [[nodiscard]] const store_news& store() const { return this->store_heard; }
    /** Highest revision of the registry that was heard of. */
    [[nodiscard]] std::uint64_t servers_revision() const { return this->newest_servers; }
    /** The VMs that do for the whole fleet what not all have to do: the first of those that live
     * and stay, in a rank that is the same on all VMs as far as they know the same others. */
    [[nodiscard]] std::vector<std::uint32_t> delegates(instant now) const;

    /** Some VMs that live, others with each call. One of them is a delegate of the fleet, since all
     * VMs have to know of these in time. */
    std::vector<vm_rumour> rumours(std::size_t count, std::span<const std::uint32_t> delegates,
                                   instant now);

private:
    [[nodiscard]] std::optional<vm_rumour> rumour_of(const fleet_vm& item, instant now) const;
    [[nodiscard]] bool hears_nobody(instant now) const;
    void learn(std::uint32_t address, std::uint32_t data_centre, instant alive, instant now);

    identity own;
    std::vector<std::uint32_t> seeds;
    instant started{};
    instant heard_any_at{};
    instant near_learnt_at{}; ///< a VM of this data centre was heard of for the first time
    instant hearing_since{};  ///< digests have come without a long pause; never: the epoch
    std::map<std::uint32_t, fleet_vm> table; ///< by address
    std::uint32_t told_last = 0;             ///< address of the newest rumour told
    std::size_t calls_for_rumours = 0;
    store_news store_heard;
    std::uint64_t newest_servers = 0;
};

} // namespace worksshift
