#include "plain_admission.h"

#include <cmath>
#include <vector>

namespace worksshift {

namespace {

/** The limit after an overload was detected, relative to the served rate. The rest of the capacity
 * drains the queues; with random choice between servers they stay short up to this utilisation. */
constexpr double limit_of_served = 0.88;
/** Share of the objective above which a mean response time shows that the queues are filling. */
constexpr double saturated_share = 0.75;
/** The same for the few responses of this VM itself, as a multiple. */
constexpr double own_saturated = 1.15;
/** The mean response time shows full queues only above this multiple of its target. */
constexpr double min_saturated_multiple = 1.5;
/** No correction in this time after a cut, while the figures of other VMs are from before it. */
constexpr duration settle_time = milliseconds(2500);
/** Change of the limit per second, for a response time that differs from its target by the
 * tolerated queueing time. */
constexpr double gain_per_s = 0.03;
/** Largest deviation from the target that counts, in tolerated queueing times. */
constexpr double max_excess = 4;
/** Estimated share of the slots in use up to which the limit rises. Above 1, as the service time is
 * estimated too long at first by a VM that starts in an overload; the response time ends the rise.
 */
constexpr double target_utilisation = 1.05;
/** Change of the limit per second and unit of utilisation. */
constexpr double utilisation_gain_per_s = 0.4;
constexpr double load_decay_s = 1.5;
/** The limit stays below this multiple of the demand, so that it takes effect soon when the
 * response time rises again. */
constexpr double max_limit_of_demand = 2.5;
/** The limit ends when no request was refused for the time below and the response time is below its
 * target by this part of the tolerated queueing time. */
constexpr double release_part = 0.5;
constexpr duration release_time = milliseconds(1500);
/** Requests that may be sent at once: those of this time, and at least this many. */
constexpr double bucket_s = 0.3;
constexpr double min_bucket = 2.5;
/** Tokens that less urgent requests, and those that are late already, leave to others. */
constexpr double urgent_reserve = 0.75;
constexpr double late_reserve = 1.4;
constexpr double usual_remaining_decay_s = 30;
constexpr double min_limit_per_s = 0.2;
/** A server counts as slow, and does not show an overload, above this multiple of the lower median
 * of the servers' response times. */
constexpr double slow_server_multiple = 2;
/** The estimated service time is at most this share of the objective. */
constexpr double max_service_share = 0.4;
/** Minimum tolerated queueing time, as a share of the service time. */
constexpr double min_queueing_share = 0.3;
/** Responses needed before a mean response time counts as a sample of the service time. */
constexpr double min_weight = 8;
/** Time over which the served rate is averaged. A VM of a large fleet gets a few responses per
 * second. */
constexpr double served_decay_s = 0.7;
/** Responses of this VM that are needed to detect an overload. */
constexpr double min_own_weight = 3;
/** The estimated service time rises by this share per second, so that it follows a service that
 * becomes slower for good. */
constexpr double service_time_rise_per_s = 0.001;
constexpr double peak_use_decay_s = 5;
/** Requests per slot below which nothing is refused. */
constexpr double free_use = 0.5;
constexpr double share_requests = 16;
/** With at least this share of admitted requests, a refused client is told to return while its
 * response may still be within the objective; otherwise as late as it accepts. */
constexpr double likely_share = 0.5;
constexpr double in_time_retry_share = 0.4;
/** Shortest announced time, as a share of the longest. */
constexpr double min_retry_part = 0.3;
/** Part of the remaining time after which clients do not retry any more. */
constexpr double max_retry_share = 1.0 / 3;

double as_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration to_duration(double span_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span_s));
}

struct response_sample {
    double mean_s;
    double weight;
};

/** Mean over the servers, without those that are slower than most. */
response_sample mean_of_most(std::vector<response_sample> samples)
{
    if (samples.empty()) return {0, 0};
    std::ranges::sort(samples, {}, &response_sample::mean_s);
    const double limit = slow_server_multiple * samples[(samples.size() - 1) / 2].mean_s;
    double time_s = 0;
    double weight = 0;
    for (const response_sample& item : samples) {
        if (item.mean_s > limit) break;
        weight += item.weight;
        time_s += item.mean_s * item.weight;
    }
    return {time_s / weight, weight};
}

} // namespace

void plain_admission::update(std::span<server_entry* const> servers, duration objective,
                             double target, instant now)
{
    if (target <= 0 || objective <= duration::zero()) {
        this->measured.limit_per_s = 0;
        return;
    }
    const double span_s =
        this->updated_at == instant{} ? 0 : std::max(as_seconds(now - this->updated_at), 0.0);
    this->updated_at = now;
    this->measure(servers, span_s, now);
    this->update_service_time(span_s);
    const plain_load& load = this->measured;
    const double use = load.slots > 0 ? load.requests / load.slots : 0;
    this->peak_use = std::max(use, this->peak_use * std::exp(-span_s / peak_use_decay_s));
    if (load.service_s <= 0) return;
    this->mean_use += (use - this->mean_use) * (1 - std::exp(-span_s / load_decay_s));
    if (load.response_s > 0)
        this->measured.utilisation = this->mean_use * load.service_s / load.response_s;
    // A VM that starts in an overload has seen no response without queueing.
    this->measured.service_s = std::min(load.service_s, max_service_share * as_seconds(objective));
    this->measured.target_s =
        std::max(target * as_seconds(objective), load.service_s * (1 + min_queueing_share));
    this->update_limit(objective, span_s, now);
}

void plain_admission::measure(std::span<server_entry* const> servers, double span_s, instant now)
{
    std::vector<response_sample> all;
    std::vector<response_sample> own;
    this->measured.slots = 0;
    this->measured.requests = 0;
    double served_per_s = 0;
    constexpr double min_sample_weight = 0.1;
    const auto add = [now](std::vector<response_sample>& samples, recent_outcomes& recent) {
        recent.decay(now);
        if (recent.weight() < min_sample_weight) return;
        samples.push_back({recent.total_seconds() / recent.weight(), recent.weight()});
    };
    for (server_entry* row : servers) {
        add(all, row->outcomes);
        add(own, row->own_outcomes);
        served_per_s += row->own_outcomes.weight() / as_seconds(recent_outcomes::own_decay_time);
        if (!row->health.usable(now) || row->unresponsive(now)) continue;
        this->measured.slots += row->record.slots;
        this->measured.requests += row->load();
    }
    this->measured.served_per_s +=
        (served_per_s - this->measured.served_per_s) * (1 - std::exp(-span_s / served_decay_s));
    const response_sample mean = mean_of_most(std::move(all));
    this->measured.response_s = mean.mean_s;
    this->weight = mean.weight;
    const response_sample own_mean = mean_of_most(std::move(own));
    this->measured.own_response_s = own_mean.mean_s;
    this->own_weight = own_mean.weight;
}

void plain_admission::update_service_time(double span_s)
{
    double& service_s = this->measured.service_s;
    service_s *= 1 + service_time_rise_per_s * span_s;
    if (this->weight < min_weight) return;
    const double sample_s = this->measured.response_s;
    service_s = service_s > 0 ? std::min(service_s, sample_s) : sample_s;
}

void plain_admission::set_limit(double per_s, instant now)
{
    if (!this->limited()) this->limited_since = now;
    this->measured.limit_per_s = std::max(per_s, min_limit_per_s);
    this->cut_at = now;
}

void plain_admission::update_limit(duration objective, double span_s, instant now)
{
    const plain_load& load = this->measured;
    const double saturated_s =
        std::max(saturated_share * as_seconds(objective), min_saturated_multiple * load.target_s);
    const bool saturated = (load.response_s > load.target_s && this->own_weight >= min_own_weight &&
                            load.own_response_s > own_saturated * saturated_s) ||
                           (this->weight >= min_weight && load.response_s > saturated_s);
    const bool settled = now - this->cut_at > settle_time;
    if (saturated && settled && !this->limited() && this->peak_use >= free_use)
        this->set_limit(limit_of_served * load.served_per_s, now);
    if (!this->limited()) return;
    const instant refused_at = std::max(this->last_refusal, this->limited_since);
    const double tolerated_s = load.target_s - load.service_s;
    const double error =
        std::clamp((load.target_s - load.response_s) / tolerated_s, -max_excess, 1.0);
    const bool over = now - refused_at > release_time && error > release_part;
    if (this->peak_use < free_use || over) {
        this->measured.limit_per_s = 0;
        return;
    }
    const double capacity = std::max(min_bucket, bucket_s * load.limit_per_s);
    this->tokens = std::min(this->tokens + load.limit_per_s * span_s, capacity);
    if (!settled || this->weight <= 0) return;
    const double free = target_utilisation - load.utilisation;
    double change_per_s = utilisation_gain_per_s * free;
    if (free > 0) change_per_s *= std::clamp(2 * error, 0.0, 1.0);
    if (error < 0) change_per_s = std::min(change_per_s, gain_per_s * error);
    this->measured.limit_per_s *= std::exp(change_per_s * span_s);
    const double highest = max_limit_of_demand * this->demand.rate(now);
    this->measured.limit_per_s =
        std::max(std::min(this->measured.limit_per_s, highest), min_limit_per_s);
}

bool plain_admission::admit(double urgency, duration remaining, duration objective, instant now)
{
    this->demand.on_request(now);
    this->measured.demand_per_s = this->demand.rate(now);
    const double remaining_s = as_seconds(remaining);
    const double span_s = std::max(as_seconds(now - this->usual_remaining_at), 0.0);
    this->usual_remaining_at = now;
    this->usual_remaining_s = std::max(
        remaining_s, this->usual_remaining_s * std::exp(-span_s / usual_remaining_decay_s));
    const bool late =
        this->usual_remaining_s - remaining_s > as_seconds(objective) - this->measured.service_s;
    bool admitted = true;
    if (this->limited()) {
        // Less urgent and late requests leave some tokens to others.
        const double reserve =
            late ? late_reserve : std::clamp(-urgency, 0.0, 1.0) * urgent_reserve;
        admitted = this->tokens >= 1 + reserve;
        if (admitted) this->tokens -= 1;
    }
    this->share += ((admitted ? 1 : 0) - this->share) / share_requests;
    return admitted;
}

duration plain_admission::refuse(duration remaining, duration objective, instant now,
                                 std::minstd_rand& random)
{
    this->last_refusal = now;
    const double third_s = std::max(max_retry_share * as_seconds(remaining), 0.0);
    // Time left for a retry whose response may still be within the objective.
    const double in_time_s =
        in_time_retry_share * (as_seconds(objective) - this->measured.target_s);
    // An overload is expected to last about as long again as it has lasted.
    const bool lasting = as_seconds(now - this->limited_since) > third_s;
    const bool soon = (lasting || this->share >= likely_share) && in_time_s > 0;
    const double latest_s = soon ? std::min(in_time_s, third_s) : third_s;
    return to_duration(
        std::uniform_real_distribution<double>(latest_s * min_retry_part, latest_s)(random));
}

} // namespace worksshift
