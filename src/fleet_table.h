/** \file
 * Membership table of one VM: the other VMs as known from their own digests and from the liveness
 * reports of others.
 *
 * VMs of the same data centre ("local" in identifiers) exchange all their state. Of VMs in other
 * data centres ("remote") only liveness is tracked; a few of them, chosen by rendezvous rank,
 * receive load sums. Thus traffic and memory of a VM grow with its data centre and not with the
 * fleet. A small fleet is treated as one data centre.
 */
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cold_servers.h"
#include "fleet_size.h"
#include "ids.h"
#include "load_tables.h"
#include "store_outage.h"

namespace worksshift {

/** A fleet of up to this many VMs is treated as one data centre. */
constexpr std::size_t max_small_fleet_vms = 12;
/** A VM is considered silent, and its state is ignored, when no digest of it has arrived for this
 * many of its periods and for at least the time below. */
constexpr int max_silent_periods = 8;
constexpr duration min_vm_silence_timeout = milliseconds(1200);
/** A VM of another data centre that was not seen for this long is considered dead. A liveness
 * report takes about one period per hop. */
constexpr duration remote_vm_timeout = seconds(5);
/** Number of delegates of a fleet: more than one, so that the loss of one leaves no gap. */
constexpr std::size_t delegates_per_fleet = 2;
/** A VM that sends this VM notices counts as reading the store linearizably for this long after the
 * last one: three are lost then. */
constexpr duration store_reader_notice_timeout = seconds(1);
/** The same for VMs that are known to read by digests only, in periods of digests: their reports
 * take about one period for each of three hops. At least and at most the times below. */
constexpr int max_store_reader_report_periods = 4;
constexpr duration min_store_reader_report_timeout = seconds(2);
constexpr duration max_store_reader_report_timeout = seconds(6);
/** The reported time at which a VM read the store is later than the real one by at most this. */
constexpr duration max_store_reader_report_delay = milliseconds(200);
/** A VM is kept in the table, and sent digests, for this long after it was last seen. */
constexpr duration dead_vm_retention = seconds(60);
/** A newly discovered VM is sent a digest in each round for this long, even while it is silent. */
constexpr duration new_vm_contact_period = seconds(2);
/** A VM asks for replies to its digests for this long after its start, and while no digests
 * arrive. */
constexpr duration joining_period = seconds(4);
/** The VMs of the same data centre are considered all known when no new one was discovered for this
 * long. When 480 VMs start at once, some know half of the 80 of their data centre after 10 s, and
 * discover two more per second. */
constexpr duration membership_settle_period = seconds(3);

/** How long a VM receives digests before it relies on the fleet's size that it knows. In a fleet of
 * 480 VMs that all start at once, each is told the true size within 500 ms. */
constexpr duration fleet_size_settle_period = seconds(2);

/** The members of the data centre must not have changed for this long, in the view of this VM and
 * of the others, before it may use a share of a limit. Longer than most requests take that an
 * earlier process at its address may have sent. */
constexpr duration share_delay = seconds(1);
/** A VM that receives no digests gives up its share after this time, and the others may divide it
 * again after `dead_vm_retention`. */
constexpr duration share_lease = dead_vm_retention / 2;

/** One other VM. */
struct fleet_vm {
    std::uint32_t address = 0;     ///< IPv4, host order
    std::uint32_t data_centre = 0; ///< low half of the hash of its name; 0: not known yet
    fleet_digest last;             ///< newest digest, without its loads
    load_replica own_loads;
    load_replica centre_loads;
    load_replica remote_loads;
    instant last_received_at{}; ///< when its last digest arrived; the epoch: never
    instant alive_at{}; ///< when it was last seen, also as reported by others; the epoch: never
    /** When it was last known to read the store linearizably; the epoch: never. */
    instant reads_store_at{};
    instant stopped_reading_at{}; ///< when its notice said that it does not; the epoch: never
    bool sends_notices = false;   ///< a `store_reader_notice` of it was received
    instant known_since{};
    bool answer_pending = false; ///< it is joining, and sent a digest without a reply yet
};

class fleet_table {
public:
    struct identity {
        std::uint32_t address = 0;
        std::uint32_t data_centre = 0;
        std::uint32_t incarnation = 0;
    };

    fleet_table(const identity& self, std::span<const std::uint32_t> seeds, instant now);

    void add_seeds(std::span<const std::uint32_t> new_seeds, instant now);
    /** Applies a digest received from address \p from. Returns its sender; nullptr if a newer
     * digest arrived before, or if \p from is the address of this VM. */
    const fleet_vm* apply_digest(std::uint32_t from, fleet_digest digest, instant now);
    /** Sets the interval between two digests of this VM, which is about that of the others. */
    void set_period(duration span) { this->period = span; }
    /** Removes VMs that were not seen for `dead_vm_retention`, except seeds. */
    void remove_dead_vms(instant now);

    [[nodiscard]] const identity& self() const { return this->own; }
    [[nodiscard]] std::map<std::uint32_t, fleet_vm>& vms() { return this->table; }
    [[nodiscard]] const std::map<std::uint32_t, fleet_vm>& vms() const { return this->table; }
    /** Whether the address is that of a VM that was seen alive. */
    [[nodiscard]] bool is_known(std::uint32_t address) const;
    /** Whether the VM is treated as one of the same data centre. */
    [[nodiscard]] bool is_local(const fleet_vm& vm) const;
    /** Whether digests of the VM arrive, that is, it is not silent. */
    [[nodiscard]] static bool is_responsive(const fleet_vm& vm, instant now);
    /** Whether the VM is considered alive: in the same data centre by its own digests, in another
     * one also by liveness reports. */
    [[nodiscard]] bool is_alive(const fleet_vm& vm, instant now) const;
    /** All VMs of the same data centre that are not silent. */
    [[nodiscard]] std::vector<const fleet_vm*> local_vms(instant now) const;
    /** All VMs that are not silent. */
    [[nodiscard]] std::vector<const fleet_vm*> responsive_vms(instant now) const;
    /** Number of VMs that are alive, including this one. */
    [[nodiscard]] std::size_t alive_count(instant now) const;
    /** Counts the VMs that are alive, for `counted_vms` and `size`. */
    void count_vms(instant now) { this->counted.add(this->alive_count(now), now); }
    /** The most VMs that this VM has counted recently. */
    [[nodiscard]] std::size_t counted_vms() const { return this->counted.value(); }
    /** The most VMs that any VM has counted recently. Not known to a VM that has received no digest
     * yet: it may be cut off from the others. */
    [[nodiscard]] fleet_size size(instant now) const;
    /** Whether this VM asks for replies to its digests; see `joining_period`. */
    [[nodiscard]] bool is_joining(instant now) const;
    /** The VMs of this data centre in the table, including recently lost ones, and the data centres
     * of all VMs in the table. */
    [[nodiscard]] fleet_members members(instant now) const;
    /** Whether a VM that had joined before sent a digest: it told what is in force in the fleet. */
    [[nodiscard]] bool is_informed() const { return this->informed_at != instant{}; }
    /** Decides what this VM may use of divided limits. Called for each digest and each round. */
    void update_share(instant now);
    /** Hash of the VMs of this data centre that `members` returns; never 0. */
    [[nodiscard]] std::uint16_t local_members_hash() const;
    /** Whether digests used to arrive from other VMs, and none has arrived recently. */
    [[nodiscard]] bool is_isolated(instant now) const;
    [[nodiscard]] const store_status& store() const { return this->reported_store; }
    /** Highest revision of the registry in any digest received. */
    [[nodiscard]] std::uint64_t servers_revision() const { return this->max_servers_revision; }
    /** The VMs that do work which only a few VMs need to do for the whole fleet: the first by
     * rendezvous rank of those that are alive and not leaving. VMs that know the same members
     * choose the same delegates. */
    [[nodiscard]] std::vector<std::uint32_t> delegates(instant now) const;

    /** Applies a notice received from address \p from; ignored if that is not a known VM. */
    void apply_notice(std::uint32_t from, const store_reader_notice& notice, instant now);
    /** Addresses of the other VMs that read the store linearizably. */
    [[nodiscard]] std::vector<std::uint32_t> store_readers(instant now) const;
    /** Whether the VM at \p address precedes this one in the ranking from which `delegates` are
     * chosen. */
    [[nodiscard]] bool precedes_self(std::uint32_t address) const;
    /** Reports on VMs that read the store linearizably, by descending rank. \p reads_store: whether
     * this VM is one of them. */
    [[nodiscard]] std::vector<store_reader_report> store_reader_reports(bool reads_store,
                                                                        instant now) const;

    /** Liveness reports on up to \p count VMs, in rotation from call to call. One of them is for a
     * delegate if possible, since all VMs must learn in time that a delegate is alive. */
    std::vector<vm_liveness_report>
    liveness_reports(std::size_t count, std::span<const std::uint32_t> delegates, instant now);
    /** Reports on all VMs of this data centre that count as members, recently lost ones too. */
    [[nodiscard]] std::vector<vm_liveness_report> local_member_reports(instant now) const;

private:
    [[nodiscard]] std::optional<vm_liveness_report> make_liveness_report(const fleet_vm& vm,
                                                                         instant now) const;
    [[nodiscard]] bool receives_nothing(instant now) const;
    [[nodiscard]] share_state next_share(instant now) const;
    [[nodiscard]] bool is_local_member(const fleet_vm& vm) const;
    [[nodiscard]] bool local_vms_agree(instant now) const;
    [[nodiscard]] bool is_complete(instant now) const;
    void record_vm(std::uint32_t address, std::uint32_t data_centre, instant alive, instant now);
    void apply_report(const store_reader_report& report, instant now);

    identity own;
    std::vector<std::uint32_t> seeds;
    instant started_at{};
    instant first_digest_at{}; ///< the epoch: none yet
    instant last_digest_at{};
    instant informed_at{}; ///< first digest of a VM that had joined; the epoch: none yet
    duration period{};
    share_state share = share_state::none;
    instant share_since{};
    instant local_vm_discovered_at{}; ///< when a new VM of this data centre was last discovered
    instant receiving_since{};        ///< digests arrive without a long gap; the epoch: none yet
    std::map<std::uint32_t, fleet_vm> table; ///< by address
    std::uint32_t last_reported = 0;         ///< address in the newest liveness report
    std::size_t liveness_report_calls = 0;
    store_status reported_store;
    std::uint64_t max_servers_revision = 0;
    recent_maximum counted;  ///< VMs that were alive
    recent_maximum reported; ///< VMs that others counted
};

} // namespace worksshift
