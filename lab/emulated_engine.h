/** \file
 * Simulated model engine: continuous batching, chunked prefill interleaved with the decoding of
 * other requests, a cache of shared prompt prefixes, and a priority queue.
 *
 * One call of `step` is one iteration of the engine. The caller supplies the time.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "ids.h"

namespace lab {

/** Capacity and speed of an engine. The defaults are those that users state for an engine of 48
 * slots: a step takes 3.23 ms plus 0.05 ms for each request, and 112 prompt tokens are prefilled in
 * a millisecond. */
struct engine_parameters {
    std::uint32_t slots = 48;
    std::uint32_t queue = 144; ///< maximum number of waiting requests; further ones are rejected
    double step_ms = 3.23;
    double step_ms_per_request = 0.0483;
    double step_ms_per_k_context = 0; ///< for each thousand tokens of context
    double prompt_tokens_per_ms = 112;
    std::uint32_t chunk_tokens = 2048;    ///< prompt tokens prefilled in one step at most
    double first_event_ms = 47;           ///< from the first token to the first event at the caller
    std::uint32_t cache_tokens = 700'000; ///< capacity of the cache of shared prompt prefixes
};

/** A request as the engine sees it. */
struct engine_request {
    std::uint64_t id = 0;
    unsigned priority = 0;    ///< 0: the most urgent
    std::uint64_t shared = 0; ///< identifies the prompt prefix that other requests share; 0: none
    std::uint32_t shared_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t answer_tokens = 0;
    bool copied = false; ///< the shared prefix is copied from another engine instead of prefilled
};

/** Prompt tokens that an engine has prefilled and copied so far. */
struct engine_totals {
    std::uint64_t tokens_read = 0;
    std::uint64_t shared_tokens_read = 0;
    std::uint64_t shared_tokens_copied = 0;
};

class emulated_engine {
public:
    explicit emulated_engine(const engine_parameters& figures) : figures(figures) {}

    /** False if the queue is full. */
    bool try_enqueue(const engine_request& request);
    /** Drops the request because its caller has left. */
    void cancel(std::uint64_t id);
    /** Runs one iteration if the last one has ended by \p now. */
    void step(worksshift::instant now);
    /** Drops all running and waiting requests and clears the cache. */
    void restart();

    [[nodiscard]] std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(this->running.size() + this->waiting.size());
    }
    [[nodiscard]] bool holds(std::uint64_t shared) const { return this->cache.contains(shared); }

    engine_totals totals;
    double slowdown_factor = 1; ///< factor on the time of each iteration
    bool dark = false;          ///< accepts requests and never responds

    std::function<void(std::uint64_t id, worksshift::instant at)> on_first_event;
    std::function<void(std::uint64_t id, worksshift::instant at)> on_end;

private:
    struct run {
        engine_request request;
        std::uint32_t unread_tokens = 0;
        std::uint32_t produced_tokens = 0;
    };
    struct cache_entry {
        std::uint32_t tokens = 0;
        std::uint64_t last_use = 0;
    };

    void admit();
    double prefill_chunk();
    void add_to_cache(const engine_request& request);

    engine_parameters figures;
    std::list<run> running;
    std::vector<engine_request> waiting; ///< by priority, then by arrival
    std::unordered_map<std::uint64_t, cache_entry> cache;
    std::uint64_t cache_size = 0;
    std::uint64_t use_count = 0;
    worksshift::instant busy_until{};
};

} // namespace lab
