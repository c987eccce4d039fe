/** \file
 * Interface between the router and the platform it runs on: typed request, response, configuration
 * and server records, and the functions that decode and encode them.
 *
 * An adapter (platform/) supplies the functions of `protocol`. It only translates and makes no
 * decisions, so that the router depends on none of the platform's names or formats.
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

/** One segment of a prompt. Requests whose prompts start with the same segments can share cached
 * tokens. */
struct prompt_part {
    std::uint64_t id = 0; ///< hash of the segment's name
    std::uint32_t tokens = 0;
};

/** Metadata from the headers of a caller's request. */
struct request_metadata {
    std::string id;
    std::string api_key; ///< empty: none was sent
    std::optional<milliseconds> deadline;
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> last_event_id;
    /** Id of the request that brought the first event of the stream that the caller takes up;
     * empty: not named. */
    std::string resumes;
    /** Headers that were ignored because they are reserved for the router or were sent twice. The
     * names come from the adapter's constants, so the number of distinct values is bounded. */
    std::vector<std::string_view> ignored_headers;
};

/** Metadata that the router adds to a request forwarded to a server. */
struct forward_metadata {
    std::string_view expected_server;
    std::string_view account;                  ///< empty: the route is public
    milliseconds remaining{};                  ///< until the deadline
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller received
    std::optional<unsigned> priority;          ///< 0: the highest
    std::string_view fetch_from; ///< address of a server that has the prompt cached; empty: none
};

/** Metadata from the headers of a server's response. */
struct response_metadata {
    std::string request_id;              ///< echoed by the server; empty: none
    bool has_several_ids = false;        ///< it names more than one request
    bool not_executed = false;           ///< the server reports that it did not run the request
    std::optional<seconds> idle_timeout; ///< announced for the connection
    bool close = false;                  ///< the server will close the connection
    bool leaving = false; ///< the server is going out of service; it must get no new requests
    /** Set on a rejection: the server asks for no requests for this long. */
    std::optional<duration> retry_after;
    std::optional<std::uint32_t> load; ///< requests running or queued at the server
    std::uint32_t queued = 0;          ///< of these, queued; 0 if unknown
    /** How long work currently takes on the server's machine; 1: as long as usual. std::nullopt:
     * not stated. */
    std::optional<double> pace;
    /** The server crashes if it has to reject more requests than this in a second, and may accept
     * fewer waiting requests soon. std::nullopt: it stated no limit. */
    std::optional<std::uint32_t> rejection_limit;
};

/** Longer delays requested by a server are cut to this; a longer one is assumed to be an error. */
constexpr duration max_retry_after = std::chrono::hours(1);

/** How many times a request may be executed. */
enum class route_kind : std::uint8_t {
    idempotent,     ///< any number of times
    non_idempotent, ///< at most once
    event_stream,   ///< at most once, unless `resumable`
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
    /** Target for the time until the complete response; for streams, until the first event. */
    milliseconds latency_objective{};
    unsigned priority = 0;  ///< 0: the highest
    unsigned attempts = 1;  ///< maximum number of servers that may run one request
    bool is_public = false; ///< no API key is required
    bool resumable = false;
    std::vector<region_id> allowed_regions; ///< regions that may serve its requests; empty: all
    std::vector<route_target> targets;

    /** Whether a request that may already have been executed can be sent again. */
    [[nodiscard]] bool repeatable() const
    {
        return this->kind == route_kind::idempotent ||
               (this->kind == route_kind::event_stream && this->resumable);
    }
};

struct client_account {
    client_account_id name;
    std::optional<unsigned> priority; ///< overrides the route's
    /** Regions that may serve its requests; empty: all. Applies in addition to the route's list. */
    std::vector<region_id> allowed_regions;
};

/** Per-service settings of the configuration. */
struct service_traits {
    bool engine = false; ///< its servers are model engines
    /** How long a server of the service counts as cold after its start. */
    milliseconds cold_start{};
    /** Maximum request rate of a cold server; std::nullopt: not limited. */
    std::optional<double> cold_requests_per_s;

    [[nodiscard]] bool has_cold_limit() const { return this->cold_requests_per_s.has_value(); }
};

/** Limits on what callers may send; larger or slower requests are rejected. */
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout = seconds(3);
    milliseconds idle_timeout = seconds(15);
};

/** One accepted configuration, indexed for routing. Immutable once published. */
struct router_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    /** Indexes in `routes`, longest path prefix first. */
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
    std::unordered_map<std::string, client_account> account_by_key;
    std::map<service_id, service_traits> services;
    /** The shortest latency objective of all routes to a service. */
    std::map<service_id, milliseconds> min_latency_objective;
    caller_limits limits;
    /** Number of routes and accounts whose allowed regions could not be parsed. Their requests are
     * not sent to any server. */
    std::size_t unreadable_regions = 0;

    /** The route of the host with the longest path prefix that matches \p target; nullptr if there
     * is none. */
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;
    /** Builds the indexes from `routes`. */
    void index();
};

using router_config_ptr = std::shared_ptr<const router_config>;

/** One entry of the server registry. */
struct server_record {
    server_id id;
    service_id service;
    link_address address;
    data_centre_id data_centre;
    std::string version; ///< of its software
    std::uint32_t slots = 1;
    bool draining = false;
    /** Remaining time until the server is warm, measured when it wrote the entry. */
    milliseconds cold_remaining{};
    /** Unix time of the server's start in milliseconds; 0: not reported. A restarted server may
     * keep its id, so this value distinguishes a process from its predecessor. It does not order
     * them, as the clock of the server's machine may be set back. */
    std::uint64_t started_at_ms = 0;
    std::uint64_t revision = 0; ///< of the entry in the store
};

/** An object of the store: the store's own fields, and the document as raw text. */
struct stored_object {
    std::string name;
    std::uint64_t revision = 0;
    std::string document;
    bool removed = false;
    /** Store revision at which the object was created; 0: not stated. */
    std::uint64_t created_revision = 0;
};

/** One page of a list response, or a batch of watch events. */
struct object_page {
    std::vector<stored_object> objects;
    bool truncated = false;
    std::uint64_t revision = 0; ///< store revision at which a watch continues
    /** Number of entries whose name could not be parsed. An entry with a valid name is always in
     * `objects`, whatever its document holds. */
    std::size_t unreadable = 0;
};

enum class object_kind : std::uint8_t {
    configuration,
    servers,
    evacuations,  ///< data centres whose servers must get no requests
    version_logs, ///< the router's own, see version_log.h
};
std::string_view name_of(object_kind kind);

/** Consistency of a read from the store. */
enum class read_mode : std::uint8_t {
    /** May return data that is seconds old; costs a tenth of a linearizable read and does not
     * count towards the store's rate limit. */
    stale,
    linearizable,
};
std::string_view name_of(read_mode mode);

/** An object that is to be created, or replaced if it is unchanged. */
struct object_write {
    object_kind kind{};
    std::string name;
    std::uint64_t expected_revision = 0; ///< of the object that is replaced; 0: there is none
    std::string document;
};

/** A call to the store that writes. */
struct store_write {
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::string body;
};

/** Functions of a platform adapter. Decoders \throw peer_error naming the step and the fault. */
struct protocol {
    request_metadata (*decode_request)(const http_head&) = nullptr;
    /** Head of the request to a server, including the empty line that ends it. */
    std::string (*encode_request)(const http_head&, const forward_metadata&,
                                  std::size_t body) = nullptr;
    /** Head of a caller's request as it is relayed to another VM: with all that the caller sent,
     * but the remaining time and the last event received replaced. */
    std::string (*encode_relayed_request)(const http_head&, const forward_metadata&,
                                          std::size_t body) = nullptr;
    response_metadata (*decode_response)(const http_head&) = nullptr;
    /** Whether the request target is the platform's readiness check. */
    bool (*is_readiness_check)(std::string_view target) = nullptr;

    std::shared_ptr<router_config> (*decode_config)(std::string_view document) = nullptr;
    server_record (*decode_server)(const stored_object&) = nullptr;
    /** The data centre named by an evacuation object; the object's document is ignored. */
    data_centre_id (*decode_evacuation)(const stored_object&) = nullptr;
    object_page (*decode_page)(std::string_view body) = nullptr;
    std::string (*list_path)(object_kind, std::string_view after, read_mode) = nullptr;
    std::string (*watch_path)(object_kind, std::uint64_t revision, milliseconds wait,
                              read_mode) = nullptr;
    /** The call that writes the object. The store refuses it if the expected revision is not the
     * object's, or if an object that is to be created exists. */
    store_write (*encode_write)(const object_write&) = nullptr;
};

} // namespace worksshift
