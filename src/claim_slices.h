/** \file
 * Storage format of claims of idempotency keys: each bucket is a sequence of small objects, called
 * slices.
 *
 * A single object for all claims of an hour would be rewritten as a whole for each new claim. The
 * claims of a bucket are therefore split into slices with increasing numbers. Only the newest slice
 * accepts new claims. Before the next slice is opened, the newest is sealed by a conditional write;
 * a writer that has not read the seal then fails with a conflict. New claims are thus serialized by
 * conditional writes of one object at a time, whichever node writes. The outcome of a claim is
 * recorded in the slice of the claim, sealed or not. Slices reuse a fixed ring of objects, because
 * the platform never deletes objects. A head object gives a new home node the approximate number of
 * the newest slice.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ids.h"

namespace worksshift {

constexpr std::uint64_t claim_lifetime_s = 3600;
/** A slice that is older accepts no more claims, so that all its claims can be dropped together
 * once they have expired. */
constexpr std::uint64_t max_claim_slice_age_s = 600;
/** The largest difference between the clocks of two VMs that is tolerated. */
constexpr std::uint64_t max_clock_skew_s = 60;
/** Number of slice objects of a bucket. */
constexpr std::uint64_t claim_ring_size = 256;
/** Longer responses are recorded without their body. */
constexpr std::size_t max_recorded_body_bytes = 1024;

/** One recorded claim. */
struct claim_record {
    attempt_id holder;
    std::uint64_t fingerprint = 0;
    std::uint64_t claimed_at_s = 0;
    bool has_outcome = false;
    std::uint16_t status = 0;
    std::string body;
};

using claim_records = std::map<std::string, claim_record>;

struct claim_slice {
    std::uint64_t number = 0; ///< from 1
    std::uint64_t opened_at_s = 0;
    bool sealed = false;
    claim_records records;
    /** Version of the object; initially that of the older slice which the object still holds. */
    std::uint64_t version = 0;

    /** Whether all claims of the slice have expired. */
    [[nodiscard]] bool expired(std::uint64_t unix_s) const;
};

/** \throws peer_error when the object does not hold a slice. */
claim_slice parse_claim_slice(const std::string& value);
std::string write_claim_slice(const claim_slice& slice);
std::string claim_slice_object(std::size_t bucket, std::uint64_t number);

/** The head object holds the number of the newest slice known to its writer. It may be stale.
 * \throws peer_error when the object does not hold a head. */
std::uint64_t parse_claim_head(const std::string& value);
std::string write_claim_head(std::uint64_t newest);
std::string claim_head_object(std::size_t bucket);

} // namespace worksshift
