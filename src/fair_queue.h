/** \file
 * The queue of one server's gate: bounded in length, ordered by priority, and fair between client
 * accounts by weight.
 *
 * An account is heavy if its recent demand is clearly above its weighted share of all demand on the
 * server. Heavy accounts only get capacity that the others leave unused. Since the others demand no
 * more than their shares, heavy accounts still get theirs. Demand identifies a surge far better
 * than executed work, since a throttled surge executes little more than other accounts do. Fair
 * queueing alone was not enough: it lets a surge take all idle time, and an account within its
 * share then queues behind its own small bursts (docs/design/fairness.md has the figures).
 *
 * Within the heavy accounts and within the others, requests run in the order of start-time fair
 * queueing: each request gets a virtual finish time, its account's last one plus cost over weight,
 * and the lowest runs first. When the queue is full, the account with the most waiting work per
 * weight loses its newest request, so a surge sheds its own requests.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ids.h"
#include "messages.h"

namespace worksshift {

/** A request that is queued at a gate. */
struct waiting_attempt {
    attempt_id id;
    client_account_id account;
    std::uint32_t cost = 1; ///< tokens
    double weight = 1;
    priority request_priority = priority::interactive;
    instant deadline{}; ///< latest start
    instant since{};    ///< when it was queued
};

/** An account is heavy if its demand is above this multiple of its share. */
constexpr double heavy_demand_ratio = 1.5;
/** Time constant with which past demand decays to 1/e. */
constexpr duration demand_decay_time = seconds(20);
/** Demand in tokens below which an account is no longer tracked. */
constexpr double min_tracked_demand = 1;

class fair_queue {
public:
    explicit fair_queue(std::size_t capacity) : capacity(capacity) {}

    /** Adds a request. Returns the one that was shed for it, which may be the request itself. */
    std::optional<waiting_attempt> push(const waiting_attempt& request);
    /** Removes and returns the next request, interactive ones first; std::nullopt if empty. */
    std::optional<waiting_attempt> pop(instant now);
    /** Removes and returns the next request of an account that is not heavy; std::nullopt if there
     * is none. */
    std::optional<waiting_attempt> pop_light(instant now);
    /** Adds a request's cost, in tokens, to the demand of \p account. */
    void charge(const client_account_id& account, double weight, std::uint32_t cost, instant now);
    [[nodiscard]] bool heavy(const client_account_id& account, instant now) const;
    /** Removes and returns the next request of \p account regardless of its turn, for reserved
     * capacity; std::nullopt if there is none. */
    std::optional<waiting_attempt> pop_account(const client_account_id& account);
    /** Removes and returns all requests whose deadline is not after \p now. */
    std::vector<waiting_attempt> take_expired(instant now);
    /** Removes and returns all requests. */
    std::vector<waiting_attempt> take_all();
    bool erase(const attempt_id& id);

    [[nodiscard]] std::size_t size() const { return this->queued.size(); }
    [[nodiscard]] bool empty() const { return this->queued.empty(); }
    /** Work in tokens that would run before a new request of this account, weight and cost. The
     * queues of other accounts count up to the same amount per weight as this account's own. */
    [[nodiscard]] double cost_ahead(const client_account_id& account, double weight, double cost,
                                    instant now) const;
    [[nodiscard]] double total_cost() const;

private:
    struct order {
        priority urgency = priority::interactive;
        double finish = 0;
        std::uint64_t arrival = 0;
        auto operator<=>(const order&) const = default;
    };
    struct flow {
        double last_finish = 0;
        double waiting_cost = 0;
        double weight = 1;
        std::size_t count = 0;
    };
    /** Recent demand in tokens, decayed up to `updated_at`. */
    struct demand {
        double amount = 0;
        double weight = 1;
        instant updated_at{};

        /** The amount in tokens, decayed up to \p now. */
        [[nodiscard]] double decayed_amount(instant now) const;
    };
    using queue_map = std::map<order, waiting_attempt>;

    waiting_attempt remove(queue_map::iterator position);
    waiting_attempt remove_in_turn(queue_map::iterator position);
    queue_map::iterator find_light(instant now);
    void remove_idle_demands(instant now);

    std::size_t capacity;
    queue_map queued;
    std::map<client_account_id, flow> flows;
    std::map<client_account_id, demand> demands;
    demand total_demand;                ///< of all accounts; its weight is the sum of theirs
    std::size_t cleanup_threshold = 64; ///< number of accounts at which idle ones are removed
    double virtual_time = 0;
    std::uint64_t arrivals = 0;
};

} // namespace worksshift
