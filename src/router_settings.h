/** \file
 * Settings of worksshift-router, from flags, environment variables and a file of `name = value`
 * lines, checked as a whole at the start and at each reload.
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
#include "placement_policy.h"

namespace worksshift {

struct router_settings {
    vm_id vm;
    data_centre_id data_centre;
    link_address front;                          ///< HTTP towards callers
    link_address readiness;                      ///< HTTP: whether this VM takes callers
    link_address peer;                           ///< UDP digests and TCP snapshots for other VMs
    link_address metrics;                        ///< HTTP: counters and histograms
    link_address store;                          ///< HTTP of the platform's store
    std::map<data_centre_id, region_id> regions; ///< of the data centres
    cold_tolerance cold;             ///< requests that a cold server bears beyond its stated rate
    std::vector<link_address> seeds; ///< VMs to begin with; only their addresses are used
    log_level level = log_level::info;
    std::size_t log_lines_per_s = log_bounds{}.lines_per_s;
    duration stop_grace = seconds(8); ///< from SIGTERM to the end
    fleet_retry_settings retries;
    placement_policy placement;
    std::string file; ///< empty: none
    bool check_only = false;
    bool help = false;
    std::string help_text;
};

/** Parses and checks. Flags go before environment variables (`WORKSSHIFT_` and the name in
 * capitals, with _ for -), and these before the file, which `--config` or WORKSSHIFT_CONFIG names.
 * \throws user_error that names the setting, its value and the valid range. */
router_settings parse_router_settings(int count, const char* const* arguments);

} // namespace worksshift
