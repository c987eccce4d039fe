/** \file
 * The seam between the router and the surroundings that it is run in: typed facts of requests,
 * answers, configuration and registered servers, and the functions that decode and encode them.
 *
 * An adapter (platform/) fills a `protocol` in. It translates and decides nothing; everything here
 * is in the product's own names.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http_wire.h"
#include "ids.h"
#include "link_address.h"

namespace worksshift {

/** One part of a prompt. Requests whose prompts begin with the same parts share cached tokens. */
struct prompt_part {
    std::uint64_t id = 0; ///< hash of the part's name
    std::uint32_t tokens = 0;
};

/** What a caller's request says beside its start line. */
struct request_facts {
    std::string id;
    std::string api_key; ///< empty: none was given
    std::optional<milliseconds> deadline;
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> last_event_id;
    /** Headers that were not taken from the caller: reserved for the router, or sent twice. The
     * names are the adapter's constants, so there are few different ones. */
    std::vector<std::string_view> ignored_headers;
};

/** What we tell a server with a request. */
struct forward_facts {
    std::string_view expected_server;
    std::string_view account; ///< empty: the route is public
    milliseconds remaining{};
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller has
    std::optional<unsigned> priority;          ///< 0 is the most urgent
    std::string_view fetch_from;               ///< address of a server that has the prompt cached
};

/** What a server's answer says beside its status. */
struct answer_facts {
    std::string request_id;              ///< echoed; empty: none
    bool not_executed = false;           ///< the server states that it did not run the request
    std::optional<seconds> idle_timeout; ///< of the connection
    bool close = false;                  ///< the server closes the connection
    bool leaving = false;                ///< the server leaves, and should get nothing new
    /** With a refusal: the server wants nothing for so long. */
    std::optional<duration> retry_after;
    std::optional<std::uint32_t> load; ///< requests that the server runs or queues
};

/** What a server asks for beyond this is cut to it: it is no time that anybody planned. */
constexpr duration longest_retry_after = std::chrono::hours(1);

/** How often a request may run. */
enum class route_kind : std::uint8_t {
    idempotent,     ///< any number of times
    non_idempotent, ///< once at most
    event_stream,   ///< once at most, unless `resumable`
};

struct route_target {
    service_id service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    milliseconds timeout{};
    milliseconds latency_objective{}; ///< to the whole answer; of streams to the first event
    unsigned priority = 0;            ///< 0 is the most urgent
    unsigned attempts = 1;            ///< servers that may run one request
    bool is_public = false;           ///< no key is asked for
    bool resumable = false;
    std::vector<region_id> allowed_regions; ///< where its requests may be served; empty: anywhere
    std::vector<route_target> targets;

    /** Whether a request that may have run may be sent again. */
    [[nodiscard]] bool repeatable() const
    {
        return this->kind == route_kind::idempotent ||
               (this->kind == route_kind::event_stream && this->resumable);
    }
};

struct client_account {
    client_account_id name;
    std::optional<unsigned> priority; ///< goes before the route's
    /** Where its requests may be served; empty: anywhere. Binds beside the route's. */
    std::vector<region_id> allowed_regions;
};

/** What the configuration says of a service. */
struct service_traits {
    bool engine = false; ///< its servers are model engines
    /** For so long after its start a server of the service is cold. */
    milliseconds cold_start{};
    /** Requests in a second that a cold server bears; nothing: it is not limited. */
    std::optional<double> cold_requests_per_s;

    [[nodiscard]] bool limits_cold() const { return this->cold_requests_per_s.has_value(); }
};

struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout = seconds(3);
    milliseconds idle_timeout = seconds(15);
};

/** One accepted configuration, indexed for routing. Never changed once made. */
struct router_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_of_host; ///< longest first
    std::unordered_map<std::string, client_account> account_of_key;
    std::map<service_id, service_traits> services;
    /** Of the routes of a service. */
    std::map<service_id, milliseconds> shortest_objective;
    caller_limits limits;
    /** Routes and accounts whose allowed regions cannot be read. Nothing is sent for these. */
    std::size_t unreadable_regions = 0;

    /** The route of the host with the longest prefix of \p target; nullptr when there is none. */
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;
    /** Fills the indexes in from `routes`. */
    void index();
};

using router_config_ptr = std::shared_ptr<const router_config>;

/** One entry of the registry of servers. */
struct server_record {
    server_id id;
    service_id service;
    link_address address;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    /** Until the server is warm, as of when it wrote the entry. */
    milliseconds cold_for{};
    /** Unix time of its start in milliseconds; 0: it does not tell. A server that starts again may
     * keep its id, so this is what tells its lives apart. */
    std::uint64_t born_ms = 0;
};

/** An object of the store, as far as the store itself defines it. */
struct stored_object {
    std::string name;
    std::uint64_t revision = 0;
    std::string document;
    bool removed = false;
};

/** A page of a list, or a batch of changes. */
struct object_page {
    std::vector<stored_object> objects;
    bool truncated = false;
    std::uint64_t revision = 0; ///< of the store, from which a watch goes on
    /** Entries whose name cannot be read. One whose name can be read is among the objects, whatever
     * its document holds. */
    std::size_t unreadable = 0;
};

enum class object_kind : std::uint8_t {
    configuration,
    servers,
    evacuations, ///< data centres whose servers are to get no requests
};
std::string_view name_of(object_kind kind);

/** What the store may answer to a read. */
enum class read_mode : std::uint8_t {
    stale, ///< a state that is seconds old; at a tenth of the price, and outside the store's rate
    linearizable,
};
std::string_view name_of(read_mode mode);

/** The calls of one adapter. Decoders \throw peer_error that names the step and the fault. */
struct protocol {
    request_facts (*decode_request)(const http_head&) = nullptr;
    /** Head of the request to a server, up to and with the empty line. */
    std::string (*encode_request)(const http_head&, const forward_facts&,
                                  std::size_t body) = nullptr;
    answer_facts (*decode_answer)(const http_head&) = nullptr;
    /** Whether a caller's connection asks only whether this VM takes callers. */
    bool (*is_readiness)(std::string_view target) = nullptr;

    std::shared_ptr<router_config> (*decode_config)(std::string_view document) = nullptr;
    server_record (*decode_server)(const stored_object&) = nullptr;
    /** The data centre that an object asks to evacuate, whatever else it holds. */
    data_centre_id (*decode_evacuation)(const stored_object&) = nullptr;
    object_page (*decode_page)(std::string_view body) = nullptr;
    std::string (*list_path)(object_kind, std::string_view after, read_mode) = nullptr;
    std::string (*watch_path)(object_kind, std::uint64_t revision, milliseconds wait,
                              read_mode) = nullptr;
};

} // namespace worksshift
