/** \file
 * Client of the platform's object API (docs/platform-api.md) and of its list of VMs.
 *
 * Each call has a timeout and counts against a budget of calls per second, so that a fault in this
 * program cannot overload the platform. When the budget is used up, urgent calls fail at once; bulk
 * calls (the shards of a configuration) are queued and use only what the urgent ones leave. After a
 * failed write it is unknown whether it took effect.
 */
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "claims.h"
#include "http_client.h"
#include "membership.h"

namespace worksshift {

constexpr double platform_call_burst = 100;    ///< calls; size of the token bucket
constexpr double reserved_platform_calls = 50; ///< of the burst, reserved for urgent calls

class platform_client {
public:
    using object_handler = std::function<void(const object_result&)>;
    /** Gets std::nullopt if the call failed. */
    using list_handler = std::function<void(const std::optional<std::vector<listed_vm>>&)>;

    /** \p calls_per_second is the sustained rate of this VM's calls. */
    platform_client(event_base* base, http_client& http, link_address address,
                    double calls_per_second);

    /** Reads or writes an object; fails at once if the budget is used up. */
    void run(const object_call& call, object_handler handler);
    /** Reads or writes an object as bulk work, queued while the budget is low. */
    void run_when_budget_allows(object_call call, object_handler handler);
    /** Waits until the object is newer than \p version; the result is `missing` if it did not
     * change in time. */
    void watch(const std::string& name, std::uint64_t version, object_handler handler);
    void list_vms(list_handler handler);

    [[nodiscard]] std::uint64_t calls() const { return this->call_count; }

private:
    struct queued_call {
        object_call call;
        object_handler handler;
    };

    void refill();
    bool spend_budget();
    void run_queued();
    void start(const object_call& call, object_handler handler);

    http_client& http;
    link_address address;
    double calls_per_second;
    std::uint64_t call_count = 0;
    double budget = platform_call_burst; ///< calls
    instant budget_updated_at{};
    std::deque<queued_call> bulk_queue;
    timer queue_timer;
};

/** Parses the list of VMs. \throws peer_error when it is malformed. */
std::vector<listed_vm> parse_vm_list(const std::string& body);

} // namespace worksshift
