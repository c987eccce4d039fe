/** \file
 * Test fixture that runs routers as separate processes, each on its own loopback address. Scripted
 * servers and a fake store run in the test's event loop. The destructor terminates the processes by
 * id.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_store.h"
#include "support/fleet.h"
#include "support/path_rig.h"

namespace support {

/** Routers, servers and store of one test. A router is identified by its index from 0. */
class router_fleet {
public:
    explicit router_fleet(std::size_t routers);

    /** Starts or restarts a router, without waiting until it listens. */
    void start(std::size_t router);
    void start_all();
    /** Starts a scripted server and adds it to the store's registry. */
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script answer,
                                const std::string& data_centre = "dc",
                                const std::string& version = "v1");
    /** Adds a server that the test runs itself to the store's registry. \p version: of its
     * software.
     */
    void register_server(const std::string& id, const std::string& service,
                         const worksshift::link_address& address,
                         const std::string& data_centre = "dc", const std::string& version = "v1");
    /** The address at which a router contacts the store. A change takes effect at its next start.
     */
    [[nodiscard]] worksshift::link_address store_address(std::size_t router) const;
    void set_store_address(std::size_t router, const worksshift::link_address& address);
    void set_server_state(const std::string& id, const std::string& state);
    void remove_server(const std::string& id) { this->store->remove("servers", id); }
    void set_config(const std::string& document) { this->store->put("config", "main", document); }

    /** \p receive_buffer: see `raw_caller`. */
    std::unique_ptr<raw_caller> connect(std::size_t router, int receive_buffer = 0);
    /** Sends one request and returns all bytes received until the response was complete, the
     * connection was closed, or five seconds passed. */
    std::string ask(std::size_t router, const std::string& text);
    /** Where the router accepts callers, requests of other VMs, readiness checks, snapshots for
     * other VMs, and metrics. */
    [[nodiscard]] worksshift::link_address front(std::size_t router) const;
    [[nodiscard]] worksshift::link_address relay(std::size_t router) const;
    [[nodiscard]] worksshift::link_address readiness(std::size_t router) const;
    [[nodiscard]] worksshift::link_address peer(std::size_t router) const;
    [[nodiscard]] worksshift::link_address metrics_address(std::size_t router) const;
    /** Whether the router's readiness check succeeds. */
    bool ready(std::size_t router);
    /** Waits until all routers are ready; false if one is not within ten seconds. */
    bool wait_until_all_ready();
    /** The response of the router's metrics port, including its head. */
    std::string metrics(std::size_t router, const std::string& path = "/metrics");
    /** Runs the event loop until \p done; false if \p limit elapses first. */
    bool run_until(const std::function<bool()>& done, worksshift::duration limit);

    worksshift::event_ptr<event_base> base;
    std::unique_ptr<fakes::fake_store> store;
    unsigned stop_grace_s = 8; ///< of routers that are started from now on
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
        std::string version;
    };

    std::vector<worksshift::link_address> stores; ///< by router
    std::uint16_t front_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t relay_port = 0;
    std::uint16_t metrics_port = 0;
    std::vector<listing> listings;
    worksshift::timer ticker;
};

} // namespace support
