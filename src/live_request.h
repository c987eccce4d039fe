/** \file
 * State of one request while it is processed.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "event_stream.h"
#include "memory_account.h"
#include "output_limits.h"
#include "protocol.h"
#include "request_content.h"
#include "server_table.h"

namespace worksshift {

/** One request from its arrival to its final response. The request path owns it. */
struct live_request {
    std::uint64_t id = 0;
    http_head head;
    caller_body_ptr body;       ///< nullptr once the request has ended or its body was released
    bool body_released = false; ///< for lack of memory, so that it cannot be sent again
    memory_charge charge;       ///< of the metadata
    request_metadata metadata;
    /** The configuration at admission. Keeps `matched_route` and `account_regions` valid. */
    router_config_ptr config;
    const route* matched_route = nullptr;
    client_account_id account;
    std::span<const region_id> account_regions; ///< allowed by the account; part of `config`
    unsigned priority = 0;                      ///< 0 is the most urgent
    service_id service;
    bool engine = false;
    bool from_vm = false; ///< another VM relays it for its caller
    /** Servers of which the VM that relays it asks whether they answer others. */
    std::vector<server_id> asked_servers;
    bool demand_counted = false; ///< it counts for this VM's demand, as it is sent from here
    std::uint64_t affinity = 0;  ///< hash of the shared part of the prompt; 0: none
    content_key content{};
    std::vector<content_key> parts; ///< of its prompt, those that other requests may share
    instant arrived_at{};
    instant deadline{};

    std::vector<server_id> tried_servers; ///< one for each send, in order
    unsigned sends = 0;
    unsigned runs = 0; ///< sends that the server may have run
    std::uint64_t attempt = 0;
    server_entry* row = nullptr;           ///< server of the current attempt; nullptr: none
    std::optional<std::uint32_t> relay_vm; ///< address of the VM of the current attempt, if relayed
    std::uint32_t relayed_by = 0;          ///< address of the VM of the last such attempt; 0: none
    std::vector<std::uint32_t> tried_vms;  ///< addresses, one for each relayed attempt
    unsigned relay_refusals = 0;           ///< VMs that did not serve the request
    bool refused_for_slot = false; ///< the VM that refused it last had no free slot of the service
    bool relay_responded = false;  ///< it sent the head of a response
    server_id relay_server;        ///< that responded through it
    placement_result placement;    ///< selection of the server of the current attempt
    duration loads_age{};          ///< age of the other VMs' loads when the server was chosen
    instant attempt_started_at{};
    instant sent_at{}; ///< when the attempt was sent; the epoch once its first event has arrived
    instant last_byte_at{}; ///< last response byte of the attempt, or when it was sent

    std::optional<std::uint32_t> response_load; ///< load that the server reported in its response
    http_head response_head;
    duration retry_after_hint{}; ///< until a server accepts the request; zero: not known
    bool refused = false;        ///< the response shows that the attempt did not run
    bool streaming = false;
    bool cannot_resume = false;  ///< the response cannot continue what the caller already has
    bool response_begun = false; ///< the response head was sent to the caller
    bool caller_left = false;    ///< the caller disconnected; the attempt is left to complete
    bool ended = false;
    /** The stream that the caller gets: its first event came, or will come, with this request. */
    stream_key stream{};
    /** The only version of the software that may go on with the stream; std::nullopt: any may begin
     * it. */
    std::optional<software_version> required_version;
    /** Version of the software at the server of the current attempt, when it was sent; with a
     * relayed one, what the other VM stated. */
    software_version attempt_version = software_version::unknown;
    bool paused = false;            ///< its server is not read, as the caller reads slowly
    bool was_paused = false;        ///< so its times do not describe the server
    response_progress unproductive; ///< bytes of the attempt's response since its last progress
    std::string buffered_body;      ///< response body not yet forwarded
    event_stream events;
    instant first_event_at{}; ///< when the first event was forwarded; the epoch: not yet

    /** Number of servers that may run the request. A request of another VM runs once at most; that
     * VM decides on retries. */
    [[nodiscard]] unsigned max_runs() const
    {
        return this->from_vm ? 1 : this->matched_route->attempts;
    }
};

} // namespace worksshift
