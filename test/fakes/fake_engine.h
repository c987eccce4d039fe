/** \file
 * A fake model engine: streams deterministic tokens in batches, caches prompt prefixes, reports its
 * load, resumes and cancels streams, and fails on demand.
 *
 * Interface: `POST /v1/chat/completions` (with `X-Resume-From: N` the response starts at token N),
 * `GET /load` gives running, waiting and the versions loaded and loading, `POST /orders` with
 * `{"order":"load"|"unload","version":V,"fence":N}` changes them (409 with the highest fence seen
 * if N is lower), `X-Model-Version` requires a version, `GET /stats` gives counters, `POST
 * /fault?mode=M&count=N&after=K` makes the next N chat requests fail in mode M (after K tokens,
 * where that applies). In mode `raw` they send the bytes of its body as their response.
 */
#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "fakes/fake_http.h"

namespace fakes {

struct engine_settings {
    worksshift::link_address listen;
    std::uint32_t slots = 64; ///< maximum number of concurrent streams; further ones wait
    std::uint32_t token_interval_ms = 5;  ///< between the tokens of a stream
    double prefill_us_per_token = 20;     ///< for prompt tokens that are not cached
    std::size_t cache_tokens = 1'000'000; ///< capacity of the prefix cache
    bool reject_when_full = false; ///< rejects requests with X-Not-Run instead of queueing them
    std::string version = "v1";    ///< model version that is loaded at the start
    std::uint32_t load_ms = 500;   ///< time to load another version
};

class fake_engine {
public:
    fake_engine(event_base* base, const engine_settings& options);
    ~fake_engine();
    fake_engine(const fake_engine&) = delete;
    fake_engine& operator=(const fake_engine&) = delete;
    fake_engine(fake_engine&&) = delete;
    fake_engine& operator=(fake_engine&&) = delete;

private:
    struct stream;
    struct fault {
        std::string mode;
        std::uint32_t count = 0;
        std::uint32_t after = 0;
        std::string raw; ///< response in mode `raw`
    };

    void handle_request(evhttp_request* request);
    void handle_chat(evhttp_request* request);
    void handle_order(evhttp_request* request);
    void finish_loads();
    bool fail_on_demand(evhttp_request* request, std::uint64_t key);
    void begin(stream& item);
    void step();
    void advance(stream& item);
    void finish(stream& item);
    void remove_stream(stream& item);
    void start_waiting();
    std::uint32_t look_up_prompt(const std::string& body);
    [[nodiscard]] std::string stats() const;

    event_base* base;
    engine_settings options;
    fake_http http;
    worksshift::timer ticker;
    std::list<std::unique_ptr<stream>> streams;
    std::list<stream*> waiting;
    std::map<std::string, std::uint32_t> runs; ///< by request id
    std::list<std::pair<std::uint64_t, std::uint32_t>>
        cache; ///< prefix hash and tokens, most recently used first
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::uint32_t>>::iterator>
        cache_index;
    std::size_t cached_tokens = 0;
    fault next_fault;
    std::set<std::string> loaded;
    std::map<std::string, worksshift::instant> loading; ///< versions, and when each is loaded
    std::uint64_t fence = 0;                            ///< highest fence seen
    std::map<std::string, std::uint64_t> runs_by_version;
    std::uint64_t orders = 0;
    std::uint32_t running = 0;
    std::uint32_t peak_running = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t reused_tokens = 0;
    std::uint64_t tokens_sent = 0;
};

} // namespace fakes
