/** \file
 * Claims of idempotency keys, which ensure that a non-idempotent request is sent to a server at
 * most once under any failure.
 *
 * Keys are hashed into `claim_buckets` buckets. The platform stores each bucket as a sequence of
 * slices (claim_slices.h). The bucket's home node batches the claims that arrive while a write is
 * in flight into the next conditional write, so the write rate does not grow with the request rate.
 * A claim is granted only after its write is known to have taken effect. If the response to a write
 * is lost, the home reads the slice again and looks for the claim's attempt id. If two nodes both
 * act as the home of a bucket, conditional writes detect it and only one of them succeeds.
 *
 * A granted claim is stored before the request is sent and is never granted again. If its holder
 * fails, the key stays `in_doubt` until `claim_lifetime_s` has elapsed. Only an outcome that proves
 * that the request did not execute releases the key.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "claim_slices.h"
#include "ids.h"
#include "messages.h"

namespace worksshift {

constexpr std::size_t claim_buckets = 64;
constexpr duration object_call_timeout = seconds(2);

/** The bucket of a claim key. */
std::size_t claim_bucket(const std::string& key);

/** A request to the platform's object API, issued by one of the systems that run in each tick. */
struct object_call {
    std::uint64_t id = 0;
    std::string name;
    bool write = false;
    std::uint64_t expected_version = 0; ///< 0: the object must not exist
    std::string value;
};

enum class object_status : std::uint8_t { ok, conflict, missing, failed };

/** The result of an object_call. After `failed` it is unknown whether a write took effect. */
struct object_result {
    std::uint64_t id = 0;
    object_status status = object_status::failed;
    std::uint64_t version = 0;
    std::string value; ///< set by reads only
};

/** A claim, or the outcome of one, queued for its bucket's next write. */
struct queued_claim {
    vm_id entry;
    std::variant<claim_request, claim_outcome> message;
    instant queued_at{};
};

/** The purpose of a bucket's call in flight to the platform. */
enum class claim_step : std::uint8_t {
    read_head,
    read_newest,
    read_older,
    write,
    seal,
    write_head
};

/** The state of one bucket on its home node. */
struct claim_bucket_row {
    /** By number, as last read from the platform or written to it. */
    std::map<std::uint64_t, claim_slice> slices;
    std::uint64_t head_version = 0;
    std::uint64_t newest = 0; ///< number of the slice that accepts new claims; 0: not known yet
    /** Number of the next older slice to read; 0: all have been read. */
    std::uint64_t next_older_slice = 0;
    bool head_update_pending = false; ///< the stored head does not name the newest slice yet
    claim_slice pending_slice;        ///< the content of the slice after the write in flight
    std::vector<queued_claim> queue;
    std::vector<queued_claim> in_write; ///< those that the write in flight contains
    std::uint64_t call = 0;             ///< id of the call in flight, 0 if none
    claim_step step = claim_step::read_head;
    instant call_started_at{};
    instant last_write_at{};
    instant retry_not_before{}; ///< backoff after a failure
};

struct claim_table {
    std::map<std::size_t, claim_bucket_row> buckets;
};

struct tables;
struct tick_time;

/** Invalidates the cached buckets after a change of membership, because another VM may have written
 * them as their home. Otherwise a key that another home released would stay `in_doubt` here. */
void invalidate_claim_buckets(tables& t);

/** System: queues received claims and outcomes, reads and writes buckets, and replies to the entry
 * nodes. */
void process_claims(tables& t, const tick_time& time);

} // namespace worksshift
