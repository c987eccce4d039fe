/** \file
 * A model engine as the laboratory plays it: continuous batches, prompts read in chunks between the
 * tokens of other requests, a cache of shared prompt parts, a queue by urgency.
 *
 * One call of `step` is one iteration of the engine. It knows no clock but the one it is given.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "ids.h"

namespace lab {

/** What an engine can do. The defaults are those of an engine of 48 slots that the users describe:
 * a step takes 3.23 ms and 0.05 ms more for each request, 112 prompt tokens are read in a ms. */
struct engine_figures {
    std::uint32_t slots = 48;
    std::uint32_t queue = 144; ///< requests that wait at most; more are turned away
    double step_ms = 3.23;
    double step_ms_per_request = 0.0483;
    double step_ms_per_k_context = 0; ///< for each thousand tokens of prompt that it goes by
    double prompt_tokens_per_ms = 112;
    std::uint32_t chunk_tokens = 2048; ///< of prompts in one step
    double first_event_ms = 47;        ///< from the first token to the caller's first event
    std::uint32_t cache_tokens = 700'000;
};

/** A request at an engine. */
struct engine_request {
    std::uint64_t id = 0;
    unsigned priority = 0;    ///< 0 is the most urgent
    std::uint64_t shared = 0; ///< names the part of the prompt that others share
    std::uint32_t shared_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t answer_tokens = 0;
    bool copied = false; ///< another engine hands the shared part over
};

/** What an engine has read and copied so far. */
struct engine_totals {
    std::uint64_t tokens_read = 0;
    std::uint64_t shared_tokens_read = 0;
    std::uint64_t shared_tokens_copied = 0;
};

class emulated_engine {
public:
    explicit emulated_engine(const engine_figures& figures) : figures(figures) {}

    /** Whether the request was taken: not when the queue is full. */
    bool take(const engine_request& request);
    /** The caller has left. */
    void cancel(std::uint64_t id);
    /** Runs one iteration if the last one is over. */
    void step(worksshift::instant now);
    /** All that runs or waits is lost, and so is the cache. */
    void restart();

    [[nodiscard]] std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(this->running.size() + this->waiting.size());
    }
    [[nodiscard]] bool holds(std::uint64_t shared) const { return this->cache.contains(shared); }

    engine_totals totals;
    double slowness = 1; ///< each iteration takes this many times as long
    bool dark = false;   ///< does nothing and answers nobody

    std::function<void(std::uint64_t id, worksshift::instant at)> on_first_event;
    std::function<void(std::uint64_t id, worksshift::instant at)> on_end;

private:
    struct run {
        engine_request request;
        std::uint32_t unread = 0;
        std::uint32_t produced = 0;
    };
    struct cached {
        std::uint32_t tokens = 0;
        std::uint64_t used = 0;
    };

    void admit();
    double read_prompts();
    void keep(const engine_request& request);

    engine_figures figures;
    std::list<run> running;
    std::vector<engine_request> waiting; ///< by urgency, then by arrival
    std::unordered_map<std::uint64_t, cached> cache;
    std::uint64_t cache_size = 0;
    std::uint64_t uses = 0;
    worksshift::instant busy_until{};
};

} // namespace lab
