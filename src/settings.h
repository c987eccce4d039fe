/** \file
 * Settings of worksshiftd, from flags and environment variables, all validated at the start.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "errors.h"
#include "link_hub.h"
#include "log.h"
#include "membership.h"
#include "tables.h"

namespace worksshift {

/** All settings of a worksshiftd process. */
struct settings {
    vm_id vm;
    data_centre_id data_centre;
    link_address link;               ///< TCP and UDP for other VMs
    link_address front;              ///< HTTP for callers
    link_address admin;              ///< HTTP for operators
    link_address platform;           ///< HTTP of the object API
    std::vector<link_address> peers; ///< contacted if the platform is down at the start
    std::string fleet_key;
    std::vector<std::string> admin_tokens; ///< NAME:ROLE:TOKEN
    log_level level = log_level::info;
    std::uint32_t stop_deadline_s = 120;
    std::uint32_t stop_linger_s = 5; ///< time for which a stopping VM accepts connections
    std::uint32_t max_request_body_bytes = 0;
    std::uint32_t idle_timeout_s = 0;  ///< of callers' connections
    std::uint32_t memory_mb = 0;       ///< of the machine
    std::uint32_t max_descriptors = 0; ///< that the process may have
    std::uint32_t default_deadline_ms = 0;
    std::uint32_t server_idle_ms = 0;        ///< silence after which a server is unresponsive
    std::uint32_t platform_calls_per_s = 0;  ///< of this VM, sustained
    std::uint32_t datagram_loss_percent = 0; ///< for tests: share of sent datagrams to drop
    bool check_only = false;
    bool help = false;
    std::string help_text;
    node_settings node;
    membership_settings membership;
};

/** Parses and validates the settings. Flags take precedence over environment variables
 * (`WORKSSHIFT_` and the flag's name in capitals, with _ for -).
 * \throws user_error that names the setting, its value and the valid range. */
settings parse_settings(int count, const char* const* arguments);

} // namespace worksshift
