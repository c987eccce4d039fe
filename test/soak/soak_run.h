/** \file
 * One seeded run: router processes under a random series of faults, while callers send requests all
 * the time and servers respond correctly or fail at random.
 */
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "guarantee_checker.h"
#include "soak_server.h"
#include "support/crowd.h"
#include "support/loopback_proxy.h"
#include "support/router_fleet.h"

namespace soak {

using support::link_fault;
using support::loopback_proxy;

class soak_run {
public:
    soak_run(std::uint64_t seed, std::size_t routers, worksshift::duration span);

    void run();

    [[nodiscard]] const guarantee_checker& checker() const { return this->guarantees; }
    /** Number of steps in which this process itself was delayed; guarantees with a deadline are not
     * checked then. */
    std::size_t stalls = 0;

private:
    /** A caller; reuses its connection while it is open. */
    struct caller {
        std::unique_ptr<support::raw_caller> connection;
        std::size_t router = 0;
        /** Sends one request after the other at once, most of them for long streams. */
        bool back_to_back = false;
        std::string request_id;         ///< id of the request in flight; empty: none
        worksshift::instant next{};     ///< time of the next request
        worksshift::instant leave_at{}; ///< the epoch: never
        request_record broken;          ///< stream to take up next; without id: none
    };
    struct proxied_server {
        std::string id;
        std::string service;
        std::string version; ///< of its software
        std::unique_ptr<soak_server> server;
        std::unique_ptr<loopback_proxy> proxy;
    };

    [[nodiscard]] std::size_t draw(std::size_t below);
    [[nodiscard]] const route_properties& draw_route(const caller& from);
    response_plan plan_long_stream(const std::string& request, const std::string& version);
    [[nodiscard]] worksshift::duration draw_span(int min_ms, int max_ms);
    void prepare();
    void add_server(const std::string& service);
    response_plan plan_response(const std::string& server, const std::string& version,
                                const std::string& request);
    response_plan apply_failure(std::size_t behaviour, const std::string& request,
                                response_plan response);
    void step();
    void update_routers();
    void update_callers();
    void update_faults();
    void send_request(caller& from);
    void update_request(caller& from);
    static void remember_broken_stream(caller& from, const request_record& sent_request);
    void inject_random_fault();
    void do_planned_work();
    void inject_store_readers_fault();
    void inject_router_fault(std::size_t router);
    void inject_store_fault(std::size_t router);
    void inject_server_link_fault();
    void update_crowd();
    [[nodiscard]] support::crowd_script draw_crowd();
    void check_memory(std::size_t router);
    void remove_random_server();
    void change_config();
    void check_recovery();

    std::mt19937_64 random;
    std::mt19937_64 back_to_back_random; ///< for back_to_back callers and their streams
    /** Which faults a seed has. */
    enum class fault_kind : std::uint8_t {
        all,
        planned_work,  ///< only: nothing else excuses a response that is cut off
        store_readers, ///< only: of the routers that read the store linearizably, beside changes
    };
    static fault_kind fault_kind_of(std::uint64_t seed);
    fault_kind faults;
    worksshift::duration span;
    /** Memory of the routers' machines, so that a small crowd fills what callers may hold. */
    support::environment_variable memory;
    support::router_fleet fleet;
    guarantee_checker guarantees;
    std::vector<std::unique_ptr<loopback_proxy>> store_proxies; ///< one for each router
    std::vector<proxied_server> servers;
    std::vector<std::string> active_servers; ///< ids of the servers that accept new requests
    std::vector<caller> callers;
    bool has_crowds; ///< clients come that do not end their requests
    std::mt19937_64 crowd_random;
    std::unique_ptr<support::crowd> crowd; ///< nullptr: none at present
    std::size_t crowd_router = 0;
    worksshift::instant crowd_changes_at{}; ///< when the crowd leaves or the next one comes
    std::map<std::size_t, worksshift::instant> paused; ///< routers, and when they are resumed
    std::map<loopback_proxy*, worksshift::instant> faulty_proxies; ///< and when their fault ends
    worksshift::instant store_fails_until{};
    worksshift::instant servers_fail_until{};
    worksshift::instant now{};
    std::uint64_t version = 0;
    std::size_t next_server = 0;
    std::size_t next_id = 0;
};

} // namespace soak
