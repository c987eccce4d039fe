#include "emulated_engine.h"

#include <algorithm>
#include <numeric>

namespace lab {

using namespace worksshift;

namespace {

duration in_ms(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace

bool emulated_engine::try_enqueue(const engine_request& request)
{
    if (this->waiting.size() >= this->figures.queue) return false;
    const auto place =
        std::ranges::upper_bound(this->waiting, request.priority, {}, &engine_request::priority);
    this->waiting.insert(place, request);
    return true;
}

void emulated_engine::cancel(std::uint64_t id)
{
    std::erase_if(this->waiting, [id](const engine_request& item) { return item.id == id; });
    this->running.remove_if([id](const run& item) { return item.request.id == id; });
}

void emulated_engine::restart()
{
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
    this->cache_size = 0;
}

void emulated_engine::admit()
{
    while (!this->waiting.empty() && this->running.size() < this->figures.slots) {
        const engine_request request = this->waiting.front();
        this->waiting.erase(this->waiting.begin());
        run item{request, request.own_tokens, 0};
        const bool shared = request.shared != 0 && !this->holds(request.shared);
        if (shared && request.copied) this->totals.shared_tokens_copied += request.shared_tokens;
        if (shared && !request.copied) {
            item.unread_tokens += request.shared_tokens;
            this->totals.shared_tokens_read += request.shared_tokens;
        }
        if (request.shared != 0) this->add_to_cache(request);
        this->running.push_back(item);
    }
}

/** Evicts the least recently used prefixes when the cache is full. */
void emulated_engine::add_to_cache(const engine_request& request)
{
    cache_entry& item = this->cache[request.shared];
    if (item.tokens == 0) this->cache_size += request.shared_tokens;
    item = {std::max(request.shared_tokens, 1U), ++this->use_count};
    while (this->cache_size > this->figures.cache_tokens && this->cache.size() > 1) {
        const auto oldest = std::ranges::min_element(
            this->cache, {}, [](const auto& entry) { return entry.second.last_use; });
        this->cache_size -= std::min<std::uint64_t>(this->cache_size, oldest->second.tokens);
        this->cache.erase(oldest);
    }
}

/** Prefills the next chunk of prompt tokens. Returns the time that it takes, in milliseconds. */
double emulated_engine::prefill_chunk()
{
    std::uint32_t tokens_left = this->figures.chunk_tokens;
    for (run& item : this->running) {
        const std::uint32_t read = std::min(tokens_left, item.unread_tokens);
        item.unread_tokens -= read;
        tokens_left -= read;
    }
    const std::uint32_t read = this->figures.chunk_tokens - tokens_left;
    this->totals.tokens_read += read;
    return read / this->figures.prompt_tokens_per_ms;
}

void emulated_engine::step(instant now)
{
    if (this->dark || now < this->busy_until) return;
    this->admit();
    if (this->running.empty()) return;
    const double prefill_ms = this->prefill_chunk();
    const double step_ms_total =
        this->figures.step_ms + prefill_ms +
        this->figures.step_ms_per_request * static_cast<double>(this->running.size());
    this->busy_until = now + in_ms(step_ms_total * this->slowdown_factor);
    std::vector<std::uint64_t> ended;
    for (run& item : this->running) {
        if (item.unread_tokens > 0) continue;
        const instant first =
            this->busy_until + in_ms(this->figures.first_event_ms * this->slowdown_factor);
        if (item.produced_tokens++ == 0) this->on_first_event(item.request.id, first);
        if (item.produced_tokens >= item.request.answer_tokens) ended.push_back(item.request.id);
    }
    this->running.remove_if([](const run& item) {
        return item.unread_tokens == 0 && item.produced_tokens >= item.request.answer_tokens;
    });
    for (const std::uint64_t id : ended) {
        this->on_end(id, this->busy_until +
                             in_ms(this->figures.first_event_ms * this->slowdown_factor));
    }
}

} // namespace lab
