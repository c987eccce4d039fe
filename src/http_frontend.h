/** \file
 * The HTTP front end for callers, through evhttp: reads requests, writes responses and final
 * errors.
 *
 * A broken response never looks complete: its connection is closed without the final chunk or
 * before Content-Length bytes were sent. If no part of the response was sent yet, the caller gets a
 * JSON error with the header `X-Worksshift-Outcome` instead.
 */
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include <sigc++/sigc++.h>

#include "event_loop.h"
#include "http_listener.h"
#include "metrics.h"
#include "parse_request.h"
#include "settings.h"

namespace worksshift {

/** A caller's request that passed validation. */
struct accepted_request {
    request_row row;
    bool stream = false;
};

class http_frontend {
public:
    /** The account must live longer. */
    http_frontend(event_base* base, const settings& options, metrics& telemetry,
                  memory_account& memory);
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;
    http_frontend(http_frontend&&) = delete;
    http_frontend& operator=(http_frontend&&) = delete;

    void set_config(std::shared_ptr<const fleet_config> config)
    {
        this->config = std::move(config);
    }
    /** Makes `/healthz` fail, so that the load balancer stops sending requests to this VM. From now
     * on, each response whose head is still to be sent announces that its connection closes. */
    void set_leaving() { this->leaving = true; }
    /** Stops accepting connections. */
    void close() { this->listener.close(); }
    /** Frees closed connections. To be called regularly. */
    void sweep() { this->listener.sweep(); }
    /** Connections that were closed to make room. */
    [[nodiscard]] std::uint64_t closed_for_room() const { return this->listener.closed_for_room(); }

    void send_head(std::uint64_t request, std::uint16_t status, std::span<const header> headers);
    void send_data(std::uint64_t request, std::string_view bytes);
    void complete(std::uint64_t request);
    /** Ends a request with an error. Once a part of the response was sent, this frees the caller's
     * connection, so it must not be called from a callback of that connection then. */
    void fail(const fail_request& failure);
    void replay(const replay_request& recorded);

    [[nodiscard]] std::size_t size() const { return this->pending_requests.size(); }

    sigc::signal<void(const accepted_request&)> on_request;
    sigc::signal<void(std::uint64_t)> on_disconnect;
    /** Emitted when bytes were written to the caller's socket: request, number of bytes. */
    sigc::signal<void(std::uint64_t, std::uint32_t)> on_drained;
    /** Text to append to the response of /metrics. */
    std::function<std::string()> extra_metrics;

private:
    struct pending_request;

    void handle_http_request(evhttp_request* request);
    void handle_api_request(evhttp_request* request, raw_request& raw);
    void refuse_for_room(evhttp_request* request, std::size_t body_bytes);
    void announce_close(evhttp_request* request) const;
    void send_models(evhttp_request* request, const raw_request& raw);
    pending_request* find(std::uint64_t id);
    void detach(pending_request& pending);
    void handle_closed(pending_request& pending);
    void handle_disconnect(pending_request& pending);

    event_base* base;
    const settings& options;
    metrics& telemetry;
    memory_account& memory;
    http_listener listener;
    std::shared_ptr<const fleet_config> config;
    bool leaving = false;
    std::uint64_t next_id = 1;
    std::string id_prefix;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_request>> pending_requests;
};

} // namespace worksshift
