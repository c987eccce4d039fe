/** \file
 * System: maintains the fleet-wide lease on the platform. Only its holder sends orders to engines.
 *
 * The lease is one object with a holder and a fencing number. Only conditional writes change it, so
 * of two VMs that compete for it one succeeds, and each new holder increments the number. Clocks of
 * different VMs are never compared: a candidate acquires the lease when the object has not changed
 * for `lease_duration` by its own clock. The holder regards its lease as valid for `lease_duration`
 * less `lease_margin`, counted from the moment at which it sent the renewing write. The write takes
 * effect after it is sent, and the candidate observes it later still. The holder therefore stops
 * first, as long as the clock rates of the two VMs differ by less than `lease_margin` /
 * `lease_duration`. A holder that was paused detects the expiry in the first tick after it resumes.
 */
#pragma once

#include <cstdint>
#include <string>

#include "ids.h"

namespace worksshift {

constexpr duration lease_duration = seconds(10);
constexpr duration lease_margin = seconds(2);
constexpr duration lease_renewal = seconds(3);
constexpr const char* lease_object = "leases/orders";

/** Rendezvous key that ranks the VMs; only the VM ranked first tries to acquire the lease. */
constexpr std::uint64_t lease_key = 0x6f7264657273ULL;

/** The value of the lease object. */
struct lease_value {
    std::uint64_t holder = 0; ///< origin of the holder's process; 0: released
    std::uint64_t fence = 0;
};

/** \throws peer_error when the object does not hold a lease. */
lease_value parse_lease(const std::string& text);
std::string write_lease(const lease_value& value);

/** The state of the lease as this VM knows it, and its call in flight to the platform. */
struct lease_row {
    bool held = false;
    lease_value value;          ///< as last read or written
    std::uint64_t version = 0;  ///< of the object at that time
    bool known = false;         ///< `value` and `version` are current as far as this VM knows
    instant seen_at{};          ///< when this VM first saw this version
    instant renewed_at{};       ///< when the write of the latest renewal was sent
    instant acquired_at{};      ///< when this VM acquired the lease
    instant valid_until{};      ///< from then on the holder sends no orders
    instant next_call_at{};     ///< earliest time of the next call
    std::uint64_t call = 0;     ///< id of the call in flight, 0 if none
    bool call_is_write = false; ///< the call in flight is a write
    lease_value proposed;       ///< value of the write in flight, or of one whose response was lost
    bool write_outcome_unknown = false; ///< it is not known whether the last write took effect
    instant call_started_at{};
    /** The highest fencing number seen by this VM or reported by an engine. A platform restored
     * from a backup shows a lower one, and engines reject orders with a number below the highest
     * that they have seen. */
    std::uint64_t highest_fence = 0;
};

struct tables;
struct tick_time;

/** Whether this VM holds a valid lease at \p now. */
[[nodiscard]] bool holds_lease(const lease_row& lease, instant now);

/** Acquires, renews and releases the lease. */
void maintain_lease(tables& t, const tick_time& time);

} // namespace worksshift
