/** \file
 * Systems that enforce a client account's tokens per minute over the whole fleet, without a central
 * counter.
 *
 * Each account with a rate limit has a home VM (home.h) with its token bucket, which fills at the
 * account's rate and holds up to `quota_burst_s` seconds of it. An entry VM requests the cost of
 * its waiting requests from the home, plus a small prefetch so that a steady caller does not wait
 * for the reply. A grant needs a bucket level above zero and may take it below, so a request larger
 * than the bucket passes, and later ones are refused until the bucket fills again. What is not
 * granted is refused at once, with the time after which the level is above zero.
 *
 * The error under failures is bounded. If the home moves, the new one starts with a full bucket, so
 * each move adds up to `quota_burst_s` seconds of the rate. An entry VM that gets no reply grants
 * itself an even share of the rate, so all entries that cannot reach the home together pass no more
 * than the rate.
 */
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "ids.h"

namespace worksshift {

constexpr double quota_burst_s = 10;

/** An account's token bucket, at its home VM. */
struct quota_bucket {
    double tokens = 0;   ///< negative after a large request
    instant filled_at{}; ///< the epoch: never filled
};

/** The tokens of an account that were granted to an entry VM and not used yet, and its pending
 * request for more. */
struct quota_balance {
    std::uint64_t tokens = 0;
    std::vector<std::uint64_t> waiting; ///< ids of requests, in order of arrival
    std::uint64_t request_number = 0;   ///< of the latest quota request
    bool request_in_flight = false;
    std::uint64_t requested_tokens = 0;
    instant requested_at{};
    std::uint32_t sends = 0; ///< how often the quota request in flight was sent
    instant used_at{};
    double recent_tokens_per_s = 0; ///< tokens per second, smoothed, used by this entry VM
    instant own_share_granted_at{}; ///< time up to which this entry VM granted itself its share
};

struct quota_tables {
    std::unordered_map<client_account_id, quota_bucket> buckets;
    std::unordered_map<client_account_id, quota_balance> balances;
};

struct tables;
struct tick_time;
struct request_row;

/** Whether a request was paid from the entry VM's balance or waits for the home's reply. */
enum class quota_state : std::uint8_t { paid, waits };
quota_state pay_quota(tables& t, request_row& request, std::uint64_t tokens_per_minute,
                      instant now);

/** Returns the payment of a request that was not executed to the balance. */
void refund_quota(tables& t, const request_row& request);

/** Home role: replies to the quota requests of entry VMs. */
void grant_quotas(tables& t, const tick_time& time);

/** Requests that may continue, and those that are refused. */
struct quota_outcome {
    struct refusal {
        std::uint64_t request = 0;
        std::uint32_t retry_after_ms = 0;
    };
    std::vector<std::uint64_t> paid;
    std::vector<refusal> refused;
};

/** Entry role: handles the home's replies. Where none came in time, resends the quota request, then
 * falls back to this VM's own share. */
quota_outcome process_quota_replies(tables& t, const tick_time& time);

} // namespace worksshift
