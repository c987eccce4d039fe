/** \file
 * Settings of worksshift-router, read from flags, environment variables and a file of `name =
 * value` lines. All of them are checked at startup and at each reload.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cold_servers.h"
#include "errors.h"
#include "fleet_retry_budget.h"
#include "link_address.h"
#include "log.h"
#include "memory_account.h"
#include "placement_policy.h"

namespace worksshift {

struct router_settings {
    vm_id vm;
    data_centre_id data_centre;
    link_address front;     ///< HTTP for callers
    link_address readiness; ///< HTTP readiness check: whether this VM accepts callers
    link_address peer;      ///< UDP digests and TCP snapshots for other VMs
    link_address relay;     ///< HTTP for requests of callers that other VMs relay; port 0: none
    link_address metrics;   ///< HTTP: counters and histograms
    link_address store;     ///< HTTP API of the platform's store
    std::map<data_centre_id, region_id> regions; ///< region of each data centre
    /** Requests allowed to a cold server beyond its stated rate. */
    cold_tolerance cold_request_tolerance;
    std::vector<link_address> seeds; ///< VMs to contact first; their ports are not used
    log_level level = log_level::info;
    std::size_t log_lines_per_s = log_limits{}.lines_per_s;
    machine_limits machine;
    duration stop_grace = seconds(8); ///< from SIGTERM until the process is killed
    /** The whole fleet starts for the first time; false at each later start. */
    bool first_start = false;
    fleet_retry_settings retries;
    placement_policy placement;
    std::string file;        ///< path of the settings file; empty: none
    bool check_only = false; ///< check the settings and exit
    bool help = false;       ///< print the help text and exit
    std::string help_text;
};

/** Parses and checks the settings. Flags take precedence over environment variables (`WORKSSHIFT_`
 * and the name in upper case, with _ instead of -), and these over the file given by `--config` or
 * WORKSSHIFT_CONFIG. \throws user_error that names the setting, its value and the valid range. */
router_settings parse_router_settings(int count, const char* const* arguments);

} // namespace worksshift
