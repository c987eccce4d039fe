/** \file
 * The path of a request: route and account, choice of a server, attempts, and the caller's answer.
 *
 * Two rules decide everything here. What may have run is sent again only if its route allows it,
 * within the route's attempts and the fleet's retry budget. "Not run" (503) is said only of a
 * request that provably ran nowhere; whatever else fails is a 502 or 504.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission.h"
#include "caller_links.h"
#include "crash_suspects.h"
#include "fleet_retry_budget.h"
#include "live_request.h"
#include "metrics.h"
#include "server_links.h"
#include "server_table.h"

namespace worksshift {

/** Sends of one request, refused ones included, whatever its route allows. */
constexpr unsigned sends_at_most = 4;
/** A repeatable request whose server stays silent for this multiple of its latency objective, and
 * at least for the shortest silence below, is tried elsewhere. */
constexpr int silence_of_objective = 2;
constexpr duration shortest_silence = milliseconds(600);
/** With less than this left, another attempt could not be of use to the caller. */
constexpr duration least_time_to_retry = milliseconds(60);
/** Body bytes of an answer that is not a stream that are held until it is whole. A broken one can
 * then still be replaced or reported; larger ones are passed on as they come. */
constexpr std::size_t answer_held_at_most = std::size_t{64} * 1024;
/** Named to callers that are refused: about the time in which a brief surge is worked off. */
constexpr duration refusal_retry_after = milliseconds(400);
/** Named to callers while this VM has no configuration yet. */
constexpr duration starting_retry_after = milliseconds(500);
/** Requests that come before the first configuration wait for it so long. It takes 45 ms from the
 * start; refused, their callers would come back half a second later. */
constexpr duration first_config_within = milliseconds(300);

class request_path {
public:
    request_path(caller_links& callers, server_links& servers, server_table& table,
                 const protocol& dialect, metrics& numbers);
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;
    request_path(request_path&&) = delete;
    request_path& operator=(request_path&&) = delete;

    void set_config(router_config_ptr config);
    void set_budget(const fleet_retry_settings& settings) { this->budget_settings = settings; }
    void set_fleet_size(std::size_t vms) { this->vms = std::max(this->vms, vms); }

    /** The VM was suspended for so long, which the clock that deadlines go by did not count. */
    void on_suspended(duration span);
    /** Ends what ran out of time, and moves repeatable requests away from silent servers. */
    void tick(instant now);
    [[nodiscard]] admission& admissions() { return this->admitting; }
    /** Requests under which servers end, as this VM knows them. */
    [[nodiscard]] crash_suspects& suspects() { return this->harmful; }
    [[nodiscard]] const crash_suspects& suspects() const { return this->harmful; }
    /** Whether this VM is the one that tries a content which is blocked. */
    std::function<bool(content_key)> makes_trials = [](content_key) { return false; };
    [[nodiscard]] std::size_t active() const { return this->requests.size(); }
    /** When the last request came. */
    [[nodiscard]] instant last_arrival() const { return this->arrived_last; }

private:
    void take(caller_request request);
    void begin(live_request& item);
    bool admit(live_request& item);
    void dispatch(live_request& item);
    [[nodiscard]] bool is_blocked(live_request& item);
    void note_broken(const live_request& item, const server_record& server, const attempt_end& end,
                     instant time);
    void take_check(server_life server, bool ended);
    void refuse(live_request& item, const come_back& answer);
    void send(live_request& item, const placed& where);
    void take_head(std::uint64_t attempt, const http_head& head, const answer_facts& facts);
    void heed(const live_request& item, int status, const answer_facts& facts);
    void take_body(std::uint64_t attempt, std::string_view bytes);
    void take_end(const attempt_end& end);
    void note_outcome(const live_request& item, const attempt_end& end, instant time);
    void note_silence(live_request& item, instant time);
    void finish_answer(live_request& item);
    void take_refusal(live_request& item, const attempt_end& end);
    void retry_or_fail(live_request& item, bool may_have_run, const char* step,
                       const std::string& detail);
    [[nodiscard]] bool may_retry(live_request& item, bool may_have_run);
    void fail(live_request& item, const char* step, const std::string& detail);
    void answer_own(live_request& item, int status, std::string text, duration retry_after = {});
    void release(live_request& item);
    void end(live_request& item, std::string_view outcome, int status);
    void leave(std::uint64_t request);
    void check_silence(live_request& item, instant now);
    void expire(live_request& item);
    live_request* find_attempt(std::uint64_t attempt);
    void log_attempt(const live_request& item, std::string_view outcome, std::string_view step,
                     std::string_view detail) const;

    caller_links& callers;
    server_links& servers;
    server_table& table;
    admission admitting;
    crash_suspects harmful;
    const protocol& dialect;
    metrics& numbers;
    router_config_ptr config;
    fleet_retry_settings budget_settings;
    std::size_t vms = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<live_request>> requests;
    std::map<service_id, fleet_retry_budget> budgets;
    std::vector<std::uint64_t> over;      ///< erased in the tick
    std::vector<std::uint64_t> too_early; ///< wait for the first configuration
    instant arrived_last{};
};

} // namespace worksshift
