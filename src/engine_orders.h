/** \file
 * Systems: reconcile the model versions that engines have loaded with the configuration.
 *
 * A gate reads the loaded versions from its engines' load reports. While they differ from the
 * configuration, it requests one order at a time from the holder of the lease (fleet_lease.h). The
 * effect of an order is thus always read back, and a lost order is requested again. The holder
 * sends the orders with its fencing number, and limits the number of concurrent loads to what the
 * store of model weights can serve (setting `loads-at-once`).
 *
 * An engine that checks fencing numbers rejects a late order from a previous holder, for example
 * one that was paused. An engine that does not check them receives only load orders, which are
 * harmless when repeated or late; its retired versions stay loaded until it restarts.
 */
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "ids.h"
#include "messages.h"

namespace worksshift {

/** The versions of its model that an engine reports. */
struct engine_versions {
    bool versions_reported = false; ///< false if the engine does not report versions
    std::vector<std::string> loaded;
    std::vector<std::string> loading;

    [[nodiscard]] bool has(const std::string& version) const;
    [[nodiscard]] bool is_loading(const std::string& version) const;
};

/** An order requested by a gate, as stored by the holder of the lease. */
struct order_row {
    order_request request;
    instant requested_at{};
    bool sent = false;
    instant sent_at{};
};

using order_table = std::unordered_map<server_id, order_row>;

/** An engine's response to an order. */
struct order_result {
    server_id server;
    bool accepted = false;
    std::uint64_t known_fence = 0; ///< the engine's number, if it rejected a lower one; else 0
};

struct tables;
struct tick_time;
struct gate_row;
struct service_config;

/** The model version for a server's next request. */
struct version_choice {
    bool available = true; ///< false: the engine has loaded none of the eligible versions
    std::string version;   ///< empty: the engine chooses
};

/** The serving version if the engine has loaded it, else the newest configured version that it has,
 * else a version that it loaded by itself. \p continued is the version of a resumed stream, which
 * may use no other version; empty for a new request. */
version_choice choose_version(const gate_row& gate, const service_config& service,
                              const std::string& continued);

/** Gate role: requests loads of missing versions and unloads of retired ones, at most once per
 * second. */
void request_orders(tables& t, instant& next_request_at, const tick_time& time);

/** Lease holder role: sends the requested orders to engines. */
void issue_orders(tables& t, const tick_time& time);

} // namespace worksshift
