/** \file
 * One seeded run: routers as separate processes under a drawn series of faults from outside, while
 * callers ask all the time and servers answer as drawn.
 */
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "loopback_proxy.h"
#include "promise_ledger.h"
#include "soak_server.h"
#include "support/router_fleet.h"

namespace soak {

class soak_run {
public:
    soak_run(std::uint64_t seed, std::size_t routers, worksshift::duration span);

    void run();

    [[nodiscard]] const promise_ledger& ledger() const { return this->promises; }
    /** Times at which this process itself was held up; nothing with a time is checked then. */
    std::size_t stalls = 0;

private:
    /** A caller that keeps its connection for as long as it is open. */
    struct caller {
        std::unique_ptr<support::raw_caller> connection;
        std::size_t router = 0;
        std::string asking; ///< id of the request under way; empty: none
        worksshift::instant next{};
        worksshift::instant leave_at{}; ///< the epoch: it stays
    };
    struct served {
        std::string id;
        std::string service;
        std::unique_ptr<soak_server> server;
        std::unique_ptr<loopback_proxy> way;
    };

    [[nodiscard]] std::size_t draw(std::size_t below);
    [[nodiscard]] worksshift::duration draw_span(int least_ms, int most_ms);
    void prepare();
    void add_server(const std::string& service);
    answer_plan plan(const std::string& server, const std::string& request);
    answer_plan spoil(std::size_t conduct, const std::string& request, answer_plan whole);
    void step();
    void tend_routers();
    void tend_callers();
    void tend_ways();
    void ask(caller& from);
    void take(caller& from);
    void disturb();
    void disturb_router(std::size_t router);
    void disturb_store(std::size_t router);
    void disturb_way();
    void leave();
    void change_config();
    void recover();

    std::mt19937_64 random;
    worksshift::duration span;
    support::router_fleet fleet;
    promise_ledger promises;
    std::vector<std::unique_ptr<loopback_proxy>> ways_to_store; ///< one a router
    std::vector<served> servers;
    std::vector<std::string> listed; ///< servers that take work
    std::vector<caller> callers;
    std::map<std::size_t, worksshift::instant> paused;          ///< routers, and when they wake
    std::map<loopback_proxy*, worksshift::instant> faulty_ways; ///< and when they are mended
    worksshift::instant store_fails_until{};
    worksshift::instant servers_fail_until{};
    worksshift::instant now{};
    std::uint64_t version = 0;
    std::size_t next_server = 0;
    std::size_t next_id = 0;
};

} // namespace soak
