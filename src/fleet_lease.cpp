#include "fleet_lease.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "errors.h"
#include "home.h"
#include "log.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr duration poll_period = seconds(2); ///< of a VM that does not hold the lease
constexpr duration retry_delay = milliseconds(500);

void mark_lost(lease_row& lease, const char* why)
{
    if (lease.held) {
        log_event(log_level::warn, "lease_lost", {{"fence", lease.value.fence}, {"why", why}});
    }
    lease.held = false;
}

void start_platform_call(tables& t, bool write, const lease_value& proposed, instant now)
{
    lease_row& lease = t.lease;
    lease.call = t.next_call++;
    lease.call_started_at = now;
    lease.call_is_write = write;
    lease.proposed = proposed;
    t.out.emplace_back(object_call{lease.call, lease_object, write, write ? lease.version : 0,
                                   write ? write_lease(proposed) : std::string()});
}

/** Handles a successful write: the validity of the lease starts when the write was sent. */
void handle_write_done(lease_row& lease, std::uint64_t version, instant sent, instant now)
{
    lease.version = version;
    lease.value = lease.proposed;
    lease.highest_fence = std::max(lease.highest_fence, lease.value.fence);
    lease.seen_at = now;
    const bool holds = lease.value.holder != 0;
    if (holds && !lease.held) {
        lease.acquired_at = now;
        log_event(log_level::info, "lease_taken", {{"fence", lease.value.fence}});
    }
    lease.held = holds;
    lease.renewed_at = sent;
    lease.valid_until = sent + lease_duration - lease_margin;
    lease.next_call_at = now + lease_renewal;
}

void handle_read(lease_row& lease, const object_result& result, instant now)
{
    lease_value value;
    try {
        if (result.status == object_status::ok) value = parse_lease(result.value);
    } catch (const peer_error& fault) {
        log_event(log_level::error, "lease_invalid",
                  {{"step", fault.step}, {"peer", fault.peer}, {"why", fault.what()}});
        lease.next_call_at = now + poll_period;
        return;
    }
    const bool own_write = std::exchange(lease.write_outcome_unknown, false) && value.holder != 0 &&
                           value.holder == lease.proposed.holder &&
                           value.fence == lease.proposed.fence;
    const bool changed = !lease.known || result.version != lease.version;
    if (own_write && changed) {
        // The write whose response was lost did take effect. The time at which it was sent is no
        // longer known, so the validity of the lease is not extended.
        lease.known = true;
        lease.version = result.version;
        lease.value = value;
        lease.seen_at = now;
        lease.next_call_at = now;
        return;
    }
    if (changed) {
        if (lease.held) mark_lost(lease, "acquired by another VM");
        lease.version = result.version;
        lease.value = value;
        lease.seen_at = now;
    }
    lease.known = true;
    lease.highest_fence = std::max(lease.highest_fence, value.fence);
    lease.next_call_at = lease.held ? now : now + poll_period;
}

void handle_result(lease_row& lease, const object_result& result, instant now)
{
    lease.call = 0;
    const bool write = lease.call_is_write;
    switch (result.status) {
    case object_status::ok:
        if (write) {
            handle_write_done(lease, result.version, lease.call_started_at, now);
        } else {
            handle_read(lease, result, now);
        }
        return;
    case object_status::missing:
        handle_read(lease, result, now);
        return;
    case object_status::conflict:
        mark_lost(lease, "conflict with another write");
        lease.known = false;
        lease.next_call_at = now;
        return;
    case object_status::failed:
        // A write may have taken effect; the next read determines that.
        lease.write_outcome_unknown = lease.write_outcome_unknown || write;
        lease.known = lease.known && !write;
        lease.next_call_at = now + retry_delay;
        return;
    }
}

/** Whether this VM may acquire the lease: it was released, or has expired by the local clock. */
bool is_free(const lease_row& lease, instant now)
{
    return lease.value.holder == 0 || now - lease.seen_at >= lease_duration;
}

} // namespace

lease_value parse_lease(const std::string& text)
{
    try {
        const json value = json::parse(text);
        return {value.at("holder"), value.at("fence")};
    } catch (const json::exception& fault) {
        throw peer_error("read lease", "platform", fault.what());
    }
}

std::string write_lease(const lease_value& value)
{
    return json{{"holder", value.holder}, {"fence", value.fence}}.dump();
}

bool holds_lease(const lease_row& lease, instant now)
{
    return lease.held && now < lease.valid_until;
}

void maintain_lease(tables& t, const tick_time& time)
{
    lease_row& lease = t.lease;
    for (const object_result& result : t.in.object_results) {
        if (result.id == lease.call && lease.call != 0) handle_result(lease, result, time.now);
    }
    if (lease.call != 0 && time.now - lease.call_started_at > object_call_timeout) {
        handle_result(lease, {lease.call, object_status::failed, 0, {}}, time.now);
    }
    if (lease.held && time.now >= lease.valid_until) mark_lost(lease, "not renewed in time");
    if (lease.call != 0) return;
    const bool should_hold = !t.leaving && home_of(t, lease_key) == t.self && t.needs_orders;
    if (!lease.held && !should_hold) return;
    // A VM that should no longer hold the lease, such as one that is shutting down, releases it, so
    // that its successor need not wait for expiry.
    const bool release = lease.known && lease.held && !should_hold;
    if (time.now < lease.next_call_at && !release) return;
    if (release) {
        start_platform_call(t, true, {0, lease.value.fence}, time.now);
        return;
    }
    // An expired lease that still names this VM is renewed like a held one: the conditional write
    // fails if another VM has acquired it.
    const bool held_by_self = lease.value.holder == t.origin;
    if (!lease.known || !(held_by_self || is_free(lease, time.now))) {
        start_platform_call(t, false, lease.proposed, time.now);
        return;
    }
    const bool newest = held_by_self && lease.value.fence >= lease.highest_fence;
    const std::uint64_t fence = newest ? lease.value.fence : lease.highest_fence + 1;
    start_platform_call(t, true, {t.origin, fence}, time.now);
}

} // namespace worksshift
