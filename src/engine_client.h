/** \file
 * Client of the engines' control interface, apart from callers' requests: load reports and orders
 * to load or unload model versions (docs/engine-api.md).
 */
#pragma once

#include <functional>

#include "http_client.h"
#include "tables.h"

namespace worksshift {

class engine_client {
public:
    using report_handler = std::function<void(load_report)>;
    using order_handler = std::function<void(order_result)>;

    explicit engine_client(http_client& http) : http(http) {}

    /** Fills in the report from the engine's response. \p done is not called if the engine does not
     * respond or its response lacks the number of running requests. */
    void request_load_report(const server_config& engine, load_report report, report_handler done);
    /** Sends an order. \p done is called in any case; an order without response is not accepted. */
    void send_order(const start_order& order, order_handler done);

private:
    http_client& http;
};

} // namespace worksshift
