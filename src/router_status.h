/** \file
 * Status of one router as JSON, for `worksshift status`: the VMs, the servers with their load and
 * health as this router knows them, and alarms.
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
    std::size_t requests = 0; ///< in flight
    bool serving = false;
    bool stopping = false;
    bool store_reachable = false;
    bool watching = false; ///< this VM watches the store
};

/** Writes the status in the same format as the administration API of worksshiftd. */
std::string write_status(const router_view& view, const fleet_table& fleet,
                         const server_table& servers, instant now);

/** Path of the status on the address of the metrics. */
constexpr const char* status_path = "/admin/status";

} // namespace worksshift
