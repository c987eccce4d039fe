/** \file
 * Selects the server for a request: the home server of a chat, or another one if that is above its
 * load bound, which is a multiple of the mean load.
 *
 * Load is measured in tokens of work in flight: prompt tokens weighted with `prefill_weight`, since
 * a batch prefills them far faster than it generates tokens, plus the tokens of the response.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "tables.h"

namespace worksshift {

constexpr double prefill_weight = 0.1;
constexpr std::uint32_t default_answer_tokens = 256; ///< if the request sets no max_tokens
constexpr std::uint32_t plain_call_cost = 100;       ///< tokens of work per call of a plain service
constexpr std::size_t characters_per_token = 4;      ///< to estimate a prompt's tokens

/** The load of a chat request in tokens of work. */
std::uint32_t chat_cost(std::size_t prompt_characters, std::uint32_t answer_tokens);

/** Builds the tables of a configuration. Servers that remain keep their load, and services their
 * retry budget. */
void load_config(tables& t, std::shared_ptr<const fleet_config> config, std::uint64_t unix_s);

/** Updates which servers of each service are mature: neither ramping up after they were added, nor
 * draining. */
void refresh_mature_servers(tables& t, std::uint64_t unix_s);

/** The chat's home server: the first in rendezvous rank among the mature ones, or among all if none
 * is mature. Empty if the service has no servers. */
server_id home_server(const service_row& service, chat_key chat);

/** The first in rank among the servers that accept requests and are not in \p excluded; empty if
 * there is none. */
server_id first_ranked(const tables& t, const service_row& service, std::uint64_t key,
                       std::span<const server_id> excluded);

/** The load of all servers of the service plus \p extra, in tokens, divided by the number of
 * servers that accept requests. */
double mean_load(const tables& t, const service_row& service, double extra);

/** Whether one more request keeps the server within its bound: its load, before the request is
 * added, is below the bound times the mean after it. So the load never exceeds the bound times the
 * mean plus one request. */
bool below_load_bound(const tables& t, const service_row& service, const server_row& server,
                      std::uint32_t cost);

/** Slots of a server that heavy accounts (fair_queue.h) leave free, so that requests of others
 * start at once during a surge. */
constexpr std::uint32_t spare_slots(std::uint32_t limit)
{
    constexpr std::uint32_t slots_per_spare = 16;
    return (limit + slots_per_spare - 1) / slots_per_spare;
}

/** The less loaded of two random servers below their bound and limit; std::nullopt if there is
 * none. For a heavy account the limit excludes the spare slots. */
std::optional<server_id> find_alternate(tables& t, const service_row& service, std::uint32_t cost,
                                        std::span<const server_id> excluded, bool heavy);

/** The least loaded server that accepts requests and is below its limit, regardless of the bound;
 * std::nullopt if there is none. */
std::optional<server_id> find_least_loaded(const tables& t, const service_row& service,
                                           std::span<const server_id> excluded, bool heavy);

/** Counts a request as running at a server with another gate until that gate's next load summary
 * arrives. Without this, all gates would pick the same idle server in between. */
void count_redirected_request(server_row& server, std::uint32_t cost);

/** The gate of a server in this VM's membership view; empty if there is none. */
vm_id gate_of(const server_row& server);

} // namespace worksshift
