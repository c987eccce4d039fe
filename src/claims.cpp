#include "claims.h"

#include <algorithm>

#include "errors.h"
#include "log.h"
#include "tables.h"

namespace worksshift {

namespace {

constexpr duration retry_delay = milliseconds(250);
constexpr duration max_claim_wait = seconds(3);
/** Limits the write rate of a bucket, so that 64 busy buckets stay within the platform's rate
 * limit. */
constexpr duration min_write_interval = milliseconds(150);
constexpr std::size_t max_queue_length = 4096;

claim_reply reply_to(const claim_request& request, claim_state state)
{
    return {request.id, state, 0, {}};
}

/** The slice that holds an unexpired claim of the key, or null if there is none. */
claim_slice* find_live_slice(claim_bucket_row& bucket, const std::string& key, std::uint64_t unix_s)
{
    for (auto& [number, slice] : bucket.slices) {
        const auto found = slice.records.find(key);
        const bool live =
            found != slice.records.end() && found->second.claimed_at_s + claim_lifetime_s >= unix_s;
        if (live) return &slice;
    }
    return nullptr;
}

/** The reply to a claim of a key that is already claimed. */
claim_reply reply_for_claimed_key(const claim_record& record, const claim_request& request)
{
    if (record.holder == request.id) return reply_to(request, claim_state::granted);
    if (record.fingerprint != request.fingerprint) return reply_to(request, claim_state::mismatch);
    if (!record.has_outcome) return reply_to(request, claim_state::in_doubt);
    return {request.id, claim_state::repeated, record.status, record.body};
}

/** Applies an outcome: `not_run` releases the key, `done` records the response. */
void apply_outcome(claim_records& records, const claim_outcome& report)
{
    const auto found = records.find(report.key);
    if (found == records.end() || found->second.holder != report.id) return;
    if (report.result == outcome::not_run) {
        records.erase(found);
        return;
    }
    if (report.result == outcome::done) {
        found->second.has_outcome = true;
        found->second.status = report.status;
        if (report.body.size() <= max_recorded_body_bytes) found->second.body = report.body;
    }
}

void start_call(tables& t, claim_bucket_row& bucket, claim_step step, object_call call, instant now)
{
    bucket.call = t.next_call++;
    bucket.call_started_at = now;
    bucket.step = step;
    call.id = bucket.call;
    t.out.emplace_back(std::move(call));
}

void start_read(tables& t, claim_bucket_row& bucket, claim_step step, std::string name, instant now)
{
    start_call(t, bucket, step, {0, std::move(name), false, 0, {}}, now);
}

void start_slice_write(tables& t, std::size_t index, claim_bucket_row& bucket, claim_step step,
                       instant now)
{
    bucket.last_write_at = now;
    start_call(t, bucket, step,
               {0, claim_slice_object(index, bucket.pending_slice.number), true,
                bucket.pending_slice.version, write_claim_slice(bucket.pending_slice)},
               now);
}

/** Whether the newest slice must be sealed before another claim is accepted. */
bool is_full(const tables& t, const claim_slice& newest, std::uint64_t unix_s)
{
    return newest.records.size() >= t.settings.claims_per_slice ||
           (!newest.records.empty() && newest.opened_at_s + max_claim_slice_age_s < unix_s);
}

/** Whether the outcome of the claim is queued and not yet stored. */
bool has_queued_outcome(const claim_bucket_row& bucket, const std::string& key,
                        const attempt_id& holder)
{
    return std::ranges::any_of(bucket.queue, [&](const queued_claim& queued) {
        const auto* report = std::get_if<claim_outcome>(&queued.message);
        return report != nullptr && report->key == key && report->id == holder;
    });
}

/** Replies to queued claims whose key is already claimed, and drops outcomes that have no claim. */
void reply_to_queued_claims(tables& t, claim_bucket_row& bucket, std::uint64_t unix_s)
{
    std::erase_if(bucket.queue, [&](const queued_claim& queued) {
        const auto* request = std::get_if<claim_request>(&queued.message);
        if (request == nullptr) {
            const auto& report = std::get<claim_outcome>(queued.message);
            const claim_slice* slice = find_live_slice(bucket, report.key, unix_s);
            return slice == nullptr || slice->records.at(report.key).holder != report.id;
        }
        const claim_slice* slice = find_live_slice(bucket, request->key, unix_s);
        if (slice == nullptr) return false;
        const claim_record& record = slice->records.at(request->key);
        // A caller that retries immediately gets the recorded response instead of `in_doubt`.
        if (has_queued_outcome(bucket, request->key, record.holder)) return false;
        t.send(queued.entry, reply_for_claimed_key(record, *request));
        return true;
    });
}

/** Whether something is queued and the interval since the last write has elapsed. */
bool write_is_due(const claim_bucket_row& bucket, instant now)
{
    return !bucket.queue.empty() && now - bucket.last_write_at >= min_write_interval;
}

/** Whether the item is a claim of an unclaimed key, so that a write may grant it. */
bool is_new_claim(claim_bucket_row& bucket, const queued_claim& queued, std::uint64_t unix_s)
{
    const auto* request = std::get_if<claim_request>(&queued.message);
    return request != nullptr && find_live_slice(bucket, request->key, unix_s) == nullptr;
}

/** The number of the slice to which the first queued outcome belongs, or of the newest slice if no
 * outcome is queued. Requires that reply_to_queued_claims has dropped the outcomes without a
 * claim. */
std::uint64_t first_outcome_slice(claim_bucket_row& bucket, std::uint64_t unix_s)
{
    for (const queued_claim& queued : bucket.queue) {
        const auto* report = std::get_if<claim_outcome>(&queued.message);
        if (report != nullptr) return find_live_slice(bucket, report->key, unix_s)->number;
    }
    return bucket.newest;
}

/** Moves the queued items of one slice into the next write: the newest slice if new claims are
 * queued, otherwise the slice of the first outcome. */
void prepare_write(claim_bucket_row& bucket, std::uint64_t unix_s)
{
    const bool has_new_claims = std::ranges::any_of(bucket.queue, [&](const queued_claim& queued) {
        return is_new_claim(bucket, queued, unix_s);
    });
    const std::uint64_t number =
        has_new_claims ? bucket.newest : first_outcome_slice(bucket, unix_s);
    bucket.pending_slice = bucket.slices.at(number);
    std::vector<queued_claim> remaining;
    for (queued_claim& queued : std::exchange(bucket.queue, {})) {
        if (const auto* request = std::get_if<claim_request>(&queued.message)) {
            const auto existing = bucket.pending_slice.records.find(request->key);
            const bool duplicate = existing != bucket.pending_slice.records.end() &&
                                   existing->second.claimed_at_s + claim_lifetime_s >= unix_s;
            if (duplicate || !is_new_claim(bucket, queued, unix_s)) {
                // Gets its reply once the earlier claim of the key is stored.
                remaining.push_back(std::move(queued));
                continue;
            }
            bucket.pending_slice.records[request->key] = {
                request->id, request->fingerprint, unix_s, false, 0, {}};
            bucket.in_write.push_back(std::move(queued));
            continue;
        }
        const auto& report = std::get<claim_outcome>(queued.message);
        if (find_live_slice(bucket, report.key, unix_s)->number != number) {
            remaining.push_back(std::move(queued));
            continue;
        }
        apply_outcome(bucket.pending_slice.records, report);
        bucket.in_write.push_back(std::move(queued));
    }
    bucket.queue = std::move(remaining);
}

/** Starts the next platform call of a bucket with a non-empty queue. */
void start_next_call(tables& t, std::size_t index, claim_bucket_row& bucket, const tick_time& time)
{
    if (bucket.newest == 0) {
        start_read(t, bucket, claim_step::read_head, claim_head_object(index), time.now);
    } else if (!bucket.slices.contains(bucket.newest)) {
        start_read(t, bucket, claim_step::read_newest, claim_slice_object(index, bucket.newest),
                   time.now);
    } else if (bucket.next_older_slice != 0) {
        start_read(t, bucket, claim_step::read_older,
                   claim_slice_object(index, bucket.next_older_slice), time.now);
    } else if (bucket.head_update_pending) {
        start_call(t, bucket, claim_step::write_head,
                   {0, claim_head_object(index), true, bucket.head_version,
                    write_claim_head(bucket.newest)},
                   time.now);
    } else {
        std::erase_if(bucket.slices, [&](const auto& entry) {
            return entry.first != bucket.newest && entry.second.expired(time.unix_s);
        });
        reply_to_queued_claims(t, bucket, time.unix_s);
        if (!write_is_due(bucket, time.now)) return;
        if (is_full(t, bucket.slices.at(bucket.newest), time.unix_s)) {
            bucket.pending_slice = bucket.slices.at(bucket.newest);
            bucket.pending_slice.sealed = true;
            start_slice_write(t, index, bucket, claim_step::seal, time.now);
            return;
        }
        prepare_write(bucket, time.unix_s);
        start_slice_write(t, index, bucket, claim_step::write, time.now);
    }
}

/** Discards the cached slices; the next call reads the head again. */
void invalidate_bucket(claim_bucket_row& bucket)
{
    bucket.slices.clear();
    bucket.newest = 0;
    bucket.next_older_slice = 0;
    bucket.head_update_pending = false;
}

/** Rejects the queued claims, because the next object of the ring still holds unexpired claims. */
void reject_queued_claims(tables& t, claim_bucket_row& bucket)
{
    std::erase_if(bucket.queue, [&](const queued_claim& queued) {
        const auto* request = std::get_if<claim_request>(&queued.message);
        if (request == nullptr) return false;
        t.send(queued.entry, reply_to(*request, claim_state::unavailable));
        return true;
    });
}

/** Handles a read of the object in which the newest slice is expected. */
void handle_newest_slice(tables& t, claim_bucket_row& bucket, const object_result& result,
                         const tick_time& time)
{
    claim_slice slice{bucket.newest, time.unix_s, false, {}, 0};
    if (result.status == object_status::ok) {
        claim_slice found = parse_claim_slice(result.value);
        found.version = result.version;
        if (found.number > bucket.newest) {
            // The head was stale by at least one full pass over the ring.
            bucket.slices.clear();
            bucket.next_older_slice = found.number - 1;
            bucket.newest = found.number;
        }
        if (found.number == bucket.newest) {
            slice = std::move(found);
        } else if (found.expired(time.unix_s)) {
            slice.version = result.version;
        } else {
            log_event(log_level::error, "claims_full", {{"slice", bucket.newest}});
            reject_queued_claims(t, bucket);
            bucket.retry_not_before = time.now + retry_delay;
            return;
        }
    }
    const bool sealed = slice.sealed;
    bucket.slices[bucket.newest] = std::move(slice);
    if (!sealed) return;
    ++bucket.newest;
    bucket.head_update_pending = true;
}

/** Handles a read of an older slice. A missing or expired slice ends the search. */
void handle_older_slice(claim_bucket_row& bucket, const object_result& result, std::uint64_t unix_s)
{
    const std::uint64_t number = std::exchange(bucket.next_older_slice, 0);
    if (result.status != object_status::ok) return;
    claim_slice slice = parse_claim_slice(result.value);
    if (slice.number != number || slice.expired(unix_s)) return;
    slice.version = result.version;
    bucket.slices[number] = std::move(slice);
    const bool has_older = number > 1 && bucket.newest - number + 1 < claim_ring_size;
    bucket.next_older_slice = has_older ? number - 1 : 0;
}

void handle_head(claim_bucket_row& bucket, const object_result& result)
{
    const bool missing = result.status == object_status::missing;
    bucket.head_version = missing ? 0 : result.version;
    bucket.newest = missing ? 1 : parse_claim_head(result.value);
    bucket.next_older_slice = bucket.newest - 1;
}

void handle_slice_written(tables& t, claim_bucket_row& bucket, std::uint64_t version)
{
    bucket.pending_slice.version = version;
    bucket.slices[bucket.pending_slice.number] = std::move(bucket.pending_slice);
    for (const queued_claim& queued : std::exchange(bucket.in_write, {})) {
        if (const auto* request = std::get_if<claim_request>(&queued.message)) {
            t.send(queued.entry, reply_to(*request, claim_state::granted));
        }
    }
}

/** Returns the items of a write that failed, or whose outcome is unknown, to the queue. Repeating
 * the write is safe because records are matched by attempt id. */
void requeue_unconfirmed(claim_bucket_row& bucket)
{
    std::ranges::move(bucket.queue, std::back_inserter(bucket.in_write));
    bucket.queue = std::exchange(bucket.in_write, {});
}

/** Handles a conflict or a failed call: the state that may have changed is read again before the
 * next decision. */
void handle_call_failure(claim_bucket_row& bucket, object_status status, instant now)
{
    requeue_unconfirmed(bucket);
    const bool conflict = status == object_status::conflict;
    const bool wrote = bucket.step == claim_step::write || bucket.step == claim_step::seal;
    if (conflict || bucket.step == claim_step::write_head) {
        invalidate_bucket(bucket);
    } else if (wrote) {
        // Without a conflict no other node is known to have written, so only the slice of this
        // write is uncertain.
        bucket.slices.erase(bucket.pending_slice.number);
        if (bucket.pending_slice.number != bucket.newest) invalidate_bucket(bucket);
    }
    if (!conflict) bucket.retry_not_before = now + retry_delay;
}

void handle_success(tables& t, claim_bucket_row& bucket, const object_result& result,
                    const tick_time& time)
{
    switch (bucket.step) {
    case claim_step::read_head:
        handle_head(bucket, result);
        return;
    case claim_step::read_newest:
        handle_newest_slice(t, bucket, result, time);
        return;
    case claim_step::read_older:
        handle_older_slice(bucket, result, time.unix_s);
        return;
    case claim_step::write:
        handle_slice_written(t, bucket, result.version);
        return;
    case claim_step::seal:
        handle_slice_written(t, bucket, result.version);
        ++bucket.newest;
        bucket.head_update_pending = true;
        bucket.last_write_at = {};
        return;
    case claim_step::write_head:
        bucket.head_version = result.version;
        bucket.head_update_pending = false;
        return;
    }
}

void handle_result(tables& t, claim_bucket_row& bucket, const object_result& result,
                   const tick_time& time)
{
    bucket.call = 0;
    const bool succeeded =
        result.status == object_status::ok || result.status == object_status::missing;
    if (!succeeded) {
        handle_call_failure(bucket, result.status, time.now);
        return;
    }
    try {
        handle_success(t, bucket, result, time);
    } catch (const peer_error& fault) {
        // An object that cannot be parsed grants no claims and must not be overwritten.
        log_event(log_level::error, "claims_unreadable",
                  {{"step", fault.step}, {"peer", fault.peer}, {"why", fault.what()}});
        invalidate_bucket(bucket);
        bucket.retry_not_before = time.now + retry_delay;
    }
}

/** Rejects claims that waited too long. If such a claim was part of a write whose response was
 * lost, it may be stored; its key then stays `in_doubt`, which is safe because nothing is sent for
 * it. */
void expire_queued_items(tables& t, claim_bucket_row& bucket, instant now)
{
    std::erase_if(bucket.queue, [&](const queued_claim& queued) {
        const auto* request = std::get_if<claim_request>(&queued.message);
        if (now - queued.queued_at < max_claim_wait) return false;
        if (request == nullptr) return now - queued.queued_at > 20 * max_claim_wait;
        t.send(queued.entry, reply_to(*request, claim_state::unavailable));
        return true;
    });
}

void enqueue(tables& t, const std::string& key, queued_claim queued)
{
    claim_bucket_row& bucket = t.claims.buckets[claim_bucket(key)];
    if (bucket.queue.size() < max_queue_length) {
        bucket.queue.push_back(std::move(queued));
        return;
    }
    if (const auto* request = std::get_if<claim_request>(&queued.message)) {
        t.send(queued.entry, reply_to(*request, claim_state::unavailable));
    }
}

} // namespace

std::size_t claim_bucket(const std::string& key)
{
    return hash_of(key) % claim_buckets;
}

void invalidate_claim_buckets(tables& t)
{
    for (auto& [index, bucket] : t.claims.buckets) {
        if (bucket.call == 0) invalidate_bucket(bucket);
    }
}

void process_claims(tables& t, const tick_time& time)
{
    for (auto& [from, message] : std::exchange(t.in.claim_requests, {})) {
        const std::string key = message.key;
        enqueue(t, key, {from, std::move(message), time.now});
    }
    for (auto& [from, message] : std::exchange(t.in.claim_outcomes, {})) {
        const std::string key = message.key;
        enqueue(t, key, {from, std::move(message), time.now});
    }
    for (const object_result& result : t.in.object_results) {
        const auto row = std::ranges::find(t.claims.buckets, result.id,
                                           [](const auto& entry) { return entry.second.call; });
        if (row != t.claims.buckets.end()) handle_result(t, row->second, result, time);
    }
    for (auto& [index, bucket] : t.claims.buckets) {
        if (bucket.call != 0 && time.now - bucket.call_started_at > object_call_timeout) {
            handle_result(t, bucket, {bucket.call, object_status::failed, 0, {}}, time);
        }
        expire_queued_items(t, bucket, time.now);
        if (bucket.call != 0 || bucket.queue.empty() || time.now < bucket.retry_not_before)
            continue;
        start_next_call(t, index, bucket, time);
    }
}

} // namespace worksshift
