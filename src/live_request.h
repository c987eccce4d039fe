/** \file
 * What is known of a request while it is served.
 */
#pragma once

#include <span>
#include <string>
#include <vector>

#include "event_stream.h"
#include "protocol.h"
#include "request_content.h"
#include "server_table.h"

namespace worksshift {

/** One request from its arrival to its final answer. */
struct live_request {
    std::uint64_t id = 0;
    http_head head;
    std::string body;
    request_facts facts;
    router_config_ptr config; ///< by which it was admitted
    const route* way = nullptr;
    client_account_id account;
    std::span<const region_id> account_regions; ///< of `config`: where the account allows
    unsigned priority = 0;
    service_id service;
    bool engine = false;
    std::uint64_t affinity = 0;
    content_key content{};
    instant arrived{};
    instant deadline{};

    std::vector<server_id> tried;
    unsigned sends = 0;
    unsigned runs = 0; ///< sends that may have run
    std::uint64_t attempt = 0;
    server_entry* row = nullptr; ///< of the attempt
    placed where;
    duration loads_age{}; ///< of the other VMs' loads when the server was chosen
    instant attempt_since{};
    instant sent{};      ///< the attempt; the epoch once its first event has come
    instant last_byte{}; ///< of the attempt, or when it was sent

    std::optional<std::uint32_t> told_load; ///< by the server, with its answer
    http_head answer;
    duration come_back_in{}; ///< a server takes the request by then; zero: not known
    bool refused = false;    ///< the attempt's answer states that it did not run
    bool streaming = false;
    bool unusable = false; ///< the answer cannot go on behind what the caller has
    bool begun = false;    ///< the caller has the head
    bool gone = false;     ///< the caller left; the attempt runs out
    bool ended = false;
    std::string held;
    event_stream events;
    instant first_event{};
};

} // namespace worksshift
