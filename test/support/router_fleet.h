/** \file
 * Routers as separate processes on loopback addresses of their own, before scripted servers and a
 * stand-in of the store that run in the test's loop. Processes are ended by id when the object
 * goes.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_store.h"
#include "support/fleet.h"
#include "support/path_rig.h"

namespace support {

class router_fleet {
public:
    explicit router_fleet(std::size_t routers);

    /** Starts a router, or starts it anew; its callers' port listens soon after. */
    void start(std::size_t router);
    void start_all();
    /** Adds a server to the registry of the store. */
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script answer,
                                const std::string& data_centre = "dc");
    /** Lists a server of the test's own in the registry. */
    void list_server(const std::string& id, const std::string& service,
                     const worksshift::link_address& address,
                     const std::string& data_centre = "dc");
    /** Where a router finds the store; takes effect with its next start. */
    [[nodiscard]] worksshift::link_address store_address(std::size_t router) const;
    void set_store_address(std::size_t router, const worksshift::link_address& address);
    void set_server_state(const std::string& id, const std::string& state);
    void remove_server(const std::string& id) { this->store->remove("servers", id); }
    void set_config(const std::string& document) { this->store->put("config", "main", document); }

    std::unique_ptr<raw_caller> connect(std::size_t router);
    /** Sends one request and returns all that came back when the answer was whole or the
     * connection had ended; empty when neither came in five seconds. */
    std::string ask(std::size_t router, const std::string& text);
    /** Whether the router says that it takes callers. */
    bool ready(std::size_t router);
    bool all_ready();
    /** What the router serves on its metrics port, with the answer's head. */
    std::string metrics(std::size_t router, const std::string& path = "/metrics");
    bool run_until(const std::function<bool()>& done, worksshift::duration limit);

    worksshift::event_ptr<event_base> base;
    std::unique_ptr<fakes::fake_store> store;
    std::vector<child> routers;
    std::vector<std::unique_ptr<scripted_server>> servers;

private:
    [[nodiscard]] std::string address_of(std::size_t router) const;
    [[nodiscard]] std::string entry(const std::string& id, const std::string& state);

    struct listing {
        std::string id;
        std::string service;
        worksshift::link_address address;
        std::string data_centre;
    };

    std::vector<worksshift::link_address> stores; ///< by router
    std::uint16_t front_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::vector<listing> listings;
    worksshift::timer ticker;
};

/** Whether a raw answer is complete as HTTP says. */
bool is_whole(const std::string& answer);
/** Status of a raw answer; 0 when there is none. */
int status_in(const std::string& answer);

} // namespace support
