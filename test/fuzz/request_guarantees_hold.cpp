/** \file
 * Stateful test of the decisions of fleets against a simple oracle. Commands send requests,
 * non-idempotent ones with and without keys, and inject faults, several at once: nodes are killed,
 * paused, restarted and stopped, links broken and partitioned, servers crash, refuse and disappear,
 * and the platform is down or loses responses.
 *
 * The oracle uses only what callers received and what servers counted. Guards against: a response
 * reported as complete that is not the request's own, to the byte; `not_run` for a request that was
 * executed; a non-idempotent request, or all requests of one idempotency key together, executed
 * more than once; a request that ends twice or never; a server with more requests running than the
 * stated worst case.
 */
#include <algorithm>
#include <cstdlib>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "support/core_fleet.h"

namespace {

using namespace worksshift;
using support::core_fleet;
using support::core_options;
using support::core_request;
using support::core_result;
using support::ending;

constexpr std::size_t node_count = 5;
constexpr std::size_t server_count = 4;
constexpr std::uint32_t server_limit = 4;
/** gate_share.h: two or more gates that disagree admit less than 1.25 times the limit. */
constexpr std::uint32_t max_running = server_limit + server_limit / 4;

core_options make_options(bool plain)
{
    core_options options;
    options.nodes = node_count;
    options.servers = server_count;
    options.data_centres = 1;
    options.limit = server_limit;
    options.pieces = 4;
    options.plain = plain;
    options.bound = 4;
    options.settings.queue_capacity = 6;
    options.settings.load_interval = seconds(1);
    return options;
}

/** The model state, which only serves to generate commands. */
struct model {
    std::size_t requests = 0;
    std::size_t dead = 0;
};

struct system_under_test {
    explicit system_under_test(bool plain) : fleet(make_options(plain))
    {
        this->fleet.run_for(seconds(12));
    }
    core_fleet fleet;
    std::uint64_t keys = 0;
};

using command = rc::state::Command<model, system_under_test>;

void check_results(core_fleet& fleet)
{
    std::map<std::string, std::uint32_t> runs_by_key;
    for (const core_result& result : fleet.results) {
        if (result.end == ending::complete) RC_ASSERT(result.text == result.expected);
        if (result.end != ending::complete && result.end != ending::replayed) {
            RC_ASSERT(result.expected.starts_with(result.text));
        }
        if (result.end == ending::not_run) RC_ASSERT(result.runs == 0U);
        if (!result.request.idempotent) RC_ASSERT(result.runs <= 1U);
        RC_ASSERT(result.endings <= 1U);
        if (!result.request.claim_key.empty()) {
            runs_by_key[result.request.claim_key] += result.runs;
        }
    }
    for (const auto& [key, runs] : runs_by_key)
        RC_ASSERT(runs <= 1U);
    for (const auto& [id, server] : fleet.servers)
        RC_ASSERT(server.peak <= max_running);
}

struct send_request : command {
    std::size_t node = *rc::gen::inRange<std::size_t>(0, node_count);
    std::uint64_t chat = *rc::gen::inRange<std::uint64_t>(1, 12);
    int kind = *rc::gen::inRange(0, 4);
    std::uint64_t key = *rc::gen::inRange<std::uint64_t>(0, 6);
    std::uint32_t cost = *rc::gen::inRange<std::uint32_t>(20, 400);

    void apply(model& state) const override { ++state.requests; }
    void run(const model& /*state*/, system_under_test& system) const override
    {
        if (!system.fleet.up(this->node)) return;
        core_request request;
        request.chat = this->chat;
        request.returning = this->chat % 2 == 0;
        request.cost = this->cost;
        request.idempotent = this->kind >= 2;
        request.deadline = seconds(20);
        if (this->kind == 0) request.claim_key = "key-" + std::to_string(this->key);
        system.fleet.submit(this->node, request);
        system.fleet.run_for(milliseconds(30));
        check_results(system.fleet);
    }
    void show(std::ostream& out) const override
    {
        out << "send(" << this->node << ", chat " << this->chat << ", kind " << this->kind
            << ", key " << this->key << ", cost " << this->cost << ")";
    }
};

struct hang_up : command {
    std::size_t request_index = *rc::gen::inRange<std::size_t>(0, 200);

    void run(const model& /*state*/, system_under_test& system) const override
    {
        if (system.fleet.results.empty()) return;
        system.fleet.disconnect_caller(this->request_index % system.fleet.results.size());
    }
    void show(std::ostream& out) const override { out << "hang_up(" << this->request_index << ")"; }
};

struct disturb_node : command {
    std::size_t node = *rc::gen::inRange<std::size_t>(0, node_count);
    std::size_t other = *rc::gen::inRange<std::size_t>(0, node_count);
    int fault = *rc::gen::inRange(0, 7);

    void run(const model& /*state*/, system_under_test& system) const override
    {
        core_fleet& fleet = system.fleet;
        switch (this->fault) {
        case 0:
            fleet.kill(this->node);
            break;
        case 1:
            fleet.restart(this->node);
            break;
        case 2:
            if (fleet.up(this->node)) fleet.pause(this->node, seconds(30));
            break;
        case 3:
            if (fleet.up(this->node)) fleet.pause(this->node, seconds(2));
            break;
        case 4:
            fleet.break_link(this->node, this->other);
            break;
        case 5:
            fleet.cut(this->node, this->other);
            break;
        default:
            if (fleet.up(this->node)) fleet.leave(this->node);
            break;
        }
        fleet.run_for(milliseconds(50));
        check_results(fleet);
    }
    void show(std::ostream& out) const override
    {
        out << "disturb(" << this->node << ", " << this->other << ", " << this->fault << ")";
    }
};

struct disturb_server : command {
    std::size_t server = *rc::gen::inRange<std::size_t>(0, server_count);
    int fault = *rc::gen::inRange(0, 4);

    void run(const model& /*state*/, system_under_test& system) const override
    {
        support::core_server& row = system.fleet.servers["server-" + std::to_string(this->server)];
        if (this->fault == 0) row.crash_next = true;
        if (this->fault == 1) row.refuse_next = true;
        if (this->fault >= 2) row.up = !row.up;
    }
    void show(std::ostream& out) const override
    {
        out << "disturb_server(" << this->server << ", " << this->fault << ")";
    }
};

struct disturb_platform : command {
    int fault = *rc::gen::inRange(0, 3);

    void run(const model& /*state*/, system_under_test& system) const override
    {
        if (this->fault == 0) system.fleet.set_platform(false);
        if (this->fault == 1) system.fleet.set_platform(true);
        if (this->fault == 2) system.fleet.lose_next_write_responses(2);
    }
    void show(std::ostream& out) const override { out << "platform(" << this->fault << ")"; }
};

struct pass_time : command {
    int ms = *rc::gen::element(5, 50, 500, 2000, 6000, 12000);

    void run(const model& /*state*/, system_under_test& system) const override
    {
        system.fleet.run_for(milliseconds(this->ms));
        check_results(system.fleet);
    }
    void show(std::ostream& out) const override { out << "pass(" << this->ms << " ms)"; }
};

struct heal_links : command {
    void run(const model& /*state*/, system_under_test& system) const override
    {
        system.fleet.heal();
    }
    void show(std::ostream& out) const override { out << "heal"; }
};

/** Ends all faults, after which every request must end exactly once and leave no state at live
 * nodes. */
void check_all_ended(system_under_test& system)
{
    system.fleet.heal();
    system.fleet.set_platform(true);
    for (auto& [id, server] : system.fleet.servers)
        server.up = true;
    system.fleet.run_for(seconds(90));
    check_results(system.fleet);
    for (const core_result& result : system.fleet.results)
        RC_ASSERT(result.endings == 1U);
    for (const auto& [id, server] : system.fleet.servers)
        RC_ASSERT(server.running == 0U);
    for (std::size_t i = 0; i < system.fleet.size(); ++i) {
        if (!system.fleet.up(i)) continue;
        node& core = system.fleet.node_at(i);
        RC_ASSERT(core.data().requests.empty());
        RC_ASSERT(core.data().server_by_attempt.empty());
        RC_ASSERT(core.data().claim_requests.empty());
        RC_ASSERT(core.responses().size() == 0U);
    }
}

void run_session(bool plain)
{
    system_under_test system(plain);
    const auto commands =
        rc::state::gen::execOneOfWithArgs<send_request, send_request, send_request, hang_up,
                                          disturb_node, disturb_server, disturb_platform, pass_time,
                                          heal_links>();
    rc::state::check(model{}, system, commands);
    check_all_ended(system);
}

class request_guarantees_hold : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_guarantees_hold);
    CPPUNIT_TEST(at_engines);
    CPPUNIT_TEST(at_plain_services);
    CPPUNIT_TEST(when_a_caller_disconnects_from_a_paused_node);
    CPPUNIT_TEST_SUITE_END();

public:
    void at_engines()
    {
        CPPUNIT_ASSERT(rc::check("engines", [] { run_session(false); }));
    }
    void at_plain_services()
    {
        CPPUNIT_ASSERT(rc::check("plain services", [] { run_session(true); }));
    }

    /** Guards against a response row that is left over when a paused node resumes while it is
     * leaving: in the same tick it starts and refuses the request and learns that its caller
     * disconnected. */
    void when_a_caller_disconnects_from_a_paused_node()
    {
        CPPUNIT_ASSERT(rc::check("paused node", [] {
            system_under_test system(*rc::gen::arbitrary<bool>());
            core_request request;
            request.chat = 1;
            request.idempotent = false;
            request.cost = 20;
            request.deadline = seconds(20);
            system.fleet.pause(0, seconds(30));
            system.fleet.run_for(milliseconds(50));
            system.fleet.submit(0, request);
            system.fleet.run_for(milliseconds(30));
            system.fleet.leave(0);
            system.fleet.run_for(milliseconds(50));
            system.fleet.disconnect_caller(0);
            check_all_ended(system);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_guarantees_hold);

} // namespace
