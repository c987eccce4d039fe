/** \file
 * What one router believes, as JSON for `worksshift status`: the VMs, the servers with their load
 * and health, and what is wrong.
 */
#pragma once

#include <string>
#include <vector>

#include "fleet_table.h"
#include "server_table.h"

namespace worksshift {

struct router_view {
    vm_id vm;
    data_centre_id data_centre;
    std::uint64_t config_version = 0;
    std::uint64_t servers_revision = 0;
    std::size_t requests = 0; ///< under way
    bool serving = false;
    bool stopping = false;
    bool store_reachable = false;
    bool watching = false; ///< on watch duty
};

/** The same shape as the status of the administration API. */
std::string write_status(const router_view& view, const fleet_table& fleet,
                         const server_table& servers, instant now);

/** Where it is served, beside the metrics. */
constexpr const char* status_path = "/admin/status";

} // namespace worksshift
