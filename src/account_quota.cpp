#include "account_quota.h"

#include <algorithm>
#include <cmath>

#include "home.h"

namespace worksshift {

namespace {

constexpr double seconds_per_minute = 60;
constexpr duration resend_interval = milliseconds(150);
constexpr std::uint32_t max_sends = 2;
constexpr duration idle_retention = seconds(60);
constexpr double prefetch_s = 0.5; ///< of this entry VM's recent use
constexpr double use_smoothing_s = 2;
constexpr double min_retry_after_ms = 200;
constexpr double max_retry_after_ms = 60'000;
constexpr std::uint32_t own_share_retry_after_ms = 1000;

double tokens_per_second_of(const tables& t, const client_account_id& id)
{
    const account_config* account = t.config->accounts.find(id);
    if (account == nullptr) return 0;
    return static_cast<double>(account->tokens_per_minute) / seconds_per_minute;
}

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void record_use(quota_balance& balance, std::uint64_t tokens, instant now)
{
    const double elapsed_s = seconds_of(now - balance.used_at);
    balance.recent_tokens_per_s =
        balance.recent_tokens_per_s * std::exp(-elapsed_s / use_smoothing_s) +
        static_cast<double>(tokens) / use_smoothing_s;
    balance.used_at = now;
}

std::uint64_t cost_of_request(const tables& t, std::uint64_t request)
{
    const auto row = t.requests.find(request);
    return row == t.requests.end() ? 0 : row->second.cost;
}

void send_quota_request(tables& t, const client_account_id& account, quota_balance& balance,
                        instant now)
{
    balance.requested_at = now;
    ++balance.sends;
    const std::uint64_t min_tokens =
        balance.waiting.empty() ? 1 : cost_of_request(t, balance.waiting.front());
    t.send(home_of(t, account.hash()),
           quota_request{account, balance.request_number, balance.requested_tokens, min_tokens});
}

/** Requests the cost of all waiting requests, and prefetches for those expected before the next
 * quota request. */
void request_quota(tables& t, const client_account_id& account, quota_balance& balance, instant now)
{
    if (balance.request_in_flight) return;
    std::uint64_t needed_tokens =
        static_cast<std::uint64_t>(balance.recent_tokens_per_s * prefetch_s);
    for (const std::uint64_t request : balance.waiting)
        needed_tokens += cost_of_request(t, request);
    balance.request_in_flight = true;
    balance.requested_tokens = std::max<std::uint64_t>(1, needed_tokens);
    balance.sends = 0;
    ++balance.request_number;
    send_quota_request(t, account, balance, now);
}

void pay_request(quota_balance& balance, request_row& request, instant now)
{
    balance.tokens -= request.cost;
    request.quota_tokens_charged = request.cost;
    record_use(balance, request.cost, now);
}

/** Pays waiting requests in order, as far as the balance allows. */
void pay_waiting(tables& t, quota_balance& balance, instant now, quota_outcome& outcome)
{
    while (!balance.waiting.empty()) {
        const auto row = t.requests.find(balance.waiting.front());
        const bool ended = row == t.requests.end();
        if (!ended && balance.tokens < row->second.cost) return;
        balance.waiting.erase(balance.waiting.begin());
        if (ended) continue;
        pay_request(balance, row->second, now);
        outcome.paid.push_back(row->first);
    }
}

void refuse_waiting(tables& t, quota_balance& balance, std::uint32_t retry_after_ms,
                    quota_outcome& outcome)
{
    for (const std::uint64_t request : std::exchange(balance.waiting, {})) {
        if (t.requests.contains(request)) outcome.refused.push_back({request, retry_after_ms});
    }
}

void handle_reply(tables& t, const quota_reply& reply, instant now, quota_outcome& outcome)
{
    const auto found = t.quotas.balances.find(reply.account);
    if (found == t.quotas.balances.end()) return;
    quota_balance& balance = found->second;
    if (!balance.request_in_flight || reply.sequence != balance.request_number) return;
    balance.request_in_flight = false;
    balance.tokens += reply.tokens;
    pay_waiting(t, balance, now, outcome);
    if (balance.waiting.empty()) return;
    if (reply.tokens < balance.requested_tokens) {
        refuse_waiting(t, balance, reply.retry_after_ms, outcome);
    } else {
        // More requests arrived after the quota request was sent.
        request_quota(t, reply.account, balance, now);
    }
}

/** The home does not reply: grants an even share of the rate, for the time since the last such
 * grant but at most `quota_burst_s`. */
void grant_own_share(tables& t, const client_account_id& account, quota_balance& balance,
                     instant now, quota_outcome& outcome)
{
    balance.request_in_flight = false;
    const double entries = std::max<double>(1, static_cast<double>(t.homes.size()));
    const double elapsed_s =
        std::min(quota_burst_s, seconds_of(now - balance.own_share_granted_at));
    balance.own_share_granted_at = now;
    balance.tokens +=
        static_cast<std::uint64_t>(tokens_per_second_of(t, account) / entries * elapsed_s);
    pay_waiting(t, balance, now, outcome);
    refuse_waiting(t, balance, own_share_retry_after_ms, outcome);
}

void refill(quota_bucket& bucket, double rate, instant now)
{
    const double capacity = rate * quota_burst_s;
    if (bucket.filled_at == instant{}) {
        bucket.tokens = capacity;
    } else {
        bucket.tokens =
            std::min(capacity, bucket.tokens + rate * seconds_of(now - bucket.filled_at));
    }
    bucket.filled_at = now;
}

quota_reply grant(quota_bucket& bucket, const quota_request& request, double rate)
{
    quota_reply reply{request.account, request.sequence, 0, 0};
    if (bucket.tokens > 0) {
        const auto whole_tokens = static_cast<std::uint64_t>(bucket.tokens);
        reply.tokens = std::min(
            request.tokens, std::max(whole_tokens, std::max<std::uint64_t>(1, request.min_tokens)));
        bucket.tokens -= static_cast<double>(reply.tokens);
    }
    const double wait_ms =
        rate <= 0 ? max_retry_after_ms : 1000 * (1 - std::min(0.0, bucket.tokens)) / rate;
    reply.retry_after_ms =
        static_cast<std::uint32_t>(std::clamp(wait_ms, min_retry_after_ms, max_retry_after_ms));
    return reply;
}

} // namespace

quota_state pay_quota(tables& t, request_row& request, std::uint64_t tokens_per_minute, instant now)
{
    if (tokens_per_minute == 0) return quota_state::paid;
    quota_balance& balance = t.quotas.balances[request.account];
    if (balance.used_at == instant{}) balance.used_at = now;
    if (balance.waiting.empty() && balance.tokens >= request.cost) {
        pay_request(balance, request, now);
        const auto prefetch_threshold =
            static_cast<std::uint64_t>(balance.recent_tokens_per_s * prefetch_s / 2);
        if (balance.tokens < prefetch_threshold) request_quota(t, request.account, balance, now);
        return quota_state::paid;
    }
    balance.waiting.push_back(request.id);
    request_quota(t, request.account, balance, now);
    return quota_state::waits;
}

void refund_quota(tables& t, const request_row& request)
{
    if (request.quota_tokens_charged == 0) return;
    const auto balance = t.quotas.balances.find(request.account);
    if (balance != t.quotas.balances.end()) balance->second.tokens += request.quota_tokens_charged;
}

void grant_quotas(tables& t, const tick_time& time)
{
    for (const auto& [from, request] : std::exchange(t.in.quota_requests, {})) {
        const double rate = tokens_per_second_of(t, request.account);
        quota_bucket& bucket = t.quotas.buckets[request.account];
        refill(bucket, rate, time.now);
        t.send(from, grant(bucket, request, rate));
    }
    // An unused bucket is full after this time, as a new one would be.
    std::erase_if(t.quotas.buckets, [&](const auto& entry) {
        return entry.second.tokens >= 0 && time.now - entry.second.filled_at > idle_retention;
    });
}

quota_outcome process_quota_replies(tables& t, const tick_time& time)
{
    quota_outcome outcome;
    for (const auto& [from, reply] : std::exchange(t.in.quota_replies, {})) {
        handle_reply(t, reply, time.now, outcome);
    }
    for (auto& [account, balance] : t.quotas.balances) {
        if (!balance.request_in_flight || time.now - balance.requested_at < resend_interval)
            continue;
        if (balance.sends < max_sends) {
            send_quota_request(t, account, balance, time.now);
        } else {
            grant_own_share(t, account, balance, time.now, outcome);
        }
    }
    std::erase_if(t.quotas.balances, [&](const auto& entry) {
        return entry.second.waiting.empty() && time.now - entry.second.used_at > idle_retention;
    });
    return outcome;
}

} // namespace worksshift
