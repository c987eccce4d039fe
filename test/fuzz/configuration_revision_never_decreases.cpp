/** \file
 * Configurations and plans checked against a simple model: two operators, lost responses, and stale
 * or damaged documents in any order. Guards against a decreasing revision in force, a confirmed
 * plan that takes effect more than once, a rejected plan that takes effect, and a change that
 * overwrites another operator's.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "errors.h"
#include "plans.h"
#include "support/core_fleet.h"
#include "sync_config.h"

namespace {

using namespace worksshift;
using nlohmann::json;

fleet_config make_first_config()
{
    fleet_config config;
    config.revision = 1;
    service_config service;
    service.id.text = "assist";
    for (int i = 0; i < 3; ++i) {
        server_config server;
        server.id.text = "server-" + std::to_string(i);
        server.data_centre.text = "dc";
        server.address = "127.0.0.1";
        server.port = 1;
        server.limit = 4;
        service.servers.push_back(server);
    }
    config.services.push_back(service);
    return parse_fleet_config(write_fleet_config(config));
}

json generate_intent()
{
    const std::string server = "server-" + std::to_string(*rc::gen::inRange(0, 3));
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return {{"kind", "drain_server"}, {"server", server}};
    case 1:
        return {{"kind", "undrain_server"}, {"server", server}};
    default:
        return {{"kind", "set_bound"},
                {"service", "assist"},
                {"bound", 1.1 + 0.1 * *rc::gen::inRange(0, 9)}};
    }
}

class configuration_revision_never_decreases : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_revision_never_decreases);
    CPPUNIT_TEST(plans_of_two_operators);
    CPPUNIT_TEST(documents_in_any_order);
    CPPUNIT_TEST(nodes_reach_the_newest_revision);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Models the platform's manifest as one value with a version: a confirmation reads it, applies
     * the plan, and writes the result if the version is unchanged. */
    void plans_of_two_operators()
    {
        const bool passed = rc::check("plans", [] {
            fleet_config accepted = make_first_config();
            std::vector<plan> plans;
            std::map<std::string, int> took_effect;
            std::uint64_t clock = 1000;
            const int steps = *rc::gen::inRange(5, 60);
            for (int i = 0; i < steps; ++i) {
                clock += *rc::gen::element<std::uint64_t>(1, 10, 2000);
                if (plans.empty() || *rc::gen::inRange(0, 2) == 0) {
                    plans.push_back(make_plan(accepted, generate_intent(), "p-" + std::to_string(i),
                                              "ops", clock));
                    continue;
                }
                const plan confirmed = parse_plan(write_plan(*rc::gen::elementOf(plans)).dump());
                // A retry after a lost response finds the plan in the manifest and does not apply
                // it again.
                if (is_applied(accepted.plans, confirmed.id)) continue;
                const std::string manifest_before = write_fleet_config(accepted).manifest;
                try {
                    const fleet_config next = apply_plan(accepted, confirmed, clock);
                    RC_ASSERT(next.revision == accepted.revision + 1);
                    RC_ASSERT(confirmed.created_at_s + plan_lifetime_s >= clock);
                    // Only the object that the plan changes may differ.
                    fleet_config compared = next;
                    compared.revision = accepted.revision;
                    compared.plans = accepted.plans;
                    for (std::size_t s = 0; s < compared.services[0].servers.size(); ++s) {
                        const server_config& old_server = accepted.services[0].servers[s];
                        const server_config& new_server = compared.services[0].servers[s];
                        if (!(old_server == new_server))
                            RC_ASSERT(confirmed.touches == "server " + old_server.id.text);
                    }
                    if (compared.services[0].bound != accepted.services[0].bound) {
                        RC_ASSERT(confirmed.touches == "service assist");
                    }
                    accepted = next;
                    ++took_effect[confirmed.id];
                } catch (const user_error& refused) {
                    RC_ASSERT(refused.step == "conflict" || refused.step == "expired");
                    RC_ASSERT(write_fleet_config(accepted).manifest == manifest_before);
                }
            }
            for (const auto& [id, times] : took_effect)
                RC_ASSERT(times == 1);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** Stale, incomplete or damaged documents must not lower the revision in force. */
    void documents_in_any_order()
    {
        const bool passed = rc::check("offers", [] {
            std::vector<config_documents> history;
            fleet_config config = make_first_config();
            for (int i = 0; i < 8; ++i) {
                history.push_back(write_fleet_config(config));
                ++config.revision;
                config.services[0].servers[0].draining = i % 2 == 0;
            }
            config_state state;
            std::uint64_t highest_revision = 0;
            const int steps = *rc::gen::inRange(1, 30);
            for (int i = 0; i < steps; ++i) {
                config_documents offered = *rc::gen::elementOf(history);
                const std::uint64_t revision = parse_manifest(offered.manifest).revision;
                const int damage = *rc::gen::inRange(0, 4);
                if (damage == 0) offered.shards.clear();
                if (damage == 1) offered.manifest.resize(offered.manifest.size() / 2);
                if (damage == 2) offered.shards.begin()->second += " ";
                const offer_result result = offer_config(state, offered);
                RC_ASSERT(state.revision() >= highest_revision);
                if (result == offer_result::applied) {
                    RC_ASSERT(state.revision() == revision);
                    RC_ASSERT(revision > highest_revision);
                }
                if (damage == 3) RC_ASSERT(state.revision() >= revision);
                highest_revision = state.revision();
            }
        });
        CPPUNIT_ASSERT(passed);
    }

    /** After partitions and pauses, every node must reach the newest revision, never going back. */
    void nodes_reach_the_newest_revision()
    {
        const bool passed = rc::check("every node reaches the newest revision", [] {
            support::core_options options;
            options.nodes = 6;
            options.servers = 4;
            options.data_centres = 2;
            options.gossip_loss = 0.05;
            options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
            support::core_fleet fleet(options);
            fleet.run_for(seconds(5));
            std::vector<std::uint64_t> in_force(options.nodes, 0);
            const int steps = *rc::gen::inRange(1, 12);
            for (int i = 0; i < steps; ++i) {
                const auto node = *rc::gen::inRange<std::size_t>(0, options.nodes);
                const int action = *rc::gen::inRange(0, 5);
                if (action <= 1) {
                    fleet.change_config(
                        [&](fleet_config& config) { config.services[0].bound = 1.1 + i * 0.1; },
                        node);
                }
                if (action == 2) fleet.cut(node, (node + 1) % options.nodes);
                if (action == 3) fleet.pause(node, seconds(4));
                if (action == 4) fleet.heal();
                fleet.run_for(milliseconds(*rc::gen::element(50, 800, 5000)));
                for (std::size_t n = 0; n < options.nodes; ++n) {
                    const std::uint64_t revision = fleet.node_at(n).config().revision();
                    RC_ASSERT(revision >= in_force[n]);
                    in_force[n] = revision;
                }
            }
            fleet.heal();
            fleet.run_for(seconds(12));
            for (std::size_t n = 0; n < options.nodes; ++n) {
                RC_ASSERT(fleet.node_at(n).config().revision() == fleet.config().revision);
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_revision_never_decreases);

} // namespace
