/** \file
 * Writes a change of the configuration to the platform: the initial configuration, or a plan that
 * an operator confirmed.
 *
 * A change takes effect with one conditional write of the manifest. Its new shards are written
 * before, and are not referenced until then. If another change was written first, the plan is
 * applied again to the resulting configuration, or rejected as a conflict. If the response to a
 * write is lost, the plan's id in the manifest shows whether it took effect.
 */
#pragma once

#include <functional>
#include <memory>

#include <sigc++/sigc++.h>

#include "node.h"
#include "plans.h"
#include "platform_client.h"
#include "shard_fetcher.h"

namespace worksshift {

enum class change_state : std::uint8_t {
    accepted,
    unknown_plan,
    conflict, ///< the object that the plan changes was modified after the plan was made
    expired,
    exists, ///< bootstrap: there already is a configuration
    invalid,
    platform_behind, ///< the platform returned a lower revision than the one in force
    unanswered       ///< the platform did not respond; the request may safely be repeated
};

struct change_result {
    change_state state = change_state::unanswered;
    std::uint64_t revision = 0; ///< that contains the change, if it was accepted
    std::string step;
    std::string why;
};

/** Name of the object that stores a plan. */
std::string plan_object(const std::string& id);

class config_writer {
public:
    using handler = std::function<void(const change_result&)>;

    config_writer(node& core, platform_client& platform, shard_fetcher& fetcher)
        : core(core), platform(platform), fetcher(fetcher)
    {
    }

    /** Applies a stored plan. \p done is called once, with the outcome. */
    void confirm(const std::string& plan_id, std::uint64_t unix_s, handler done);
    /** Writes the initial configuration; rejected if there already is one. */
    void bootstrap(const fleet_config& config, handler done);

    /** Emitted when this VM has written a new configuration, which the next tick will apply. */
    sigc::signal<void()> on_accepted;

private:
    struct pending_change;
    using change_ptr = std::shared_ptr<pending_change>;

    void read_plan(const change_ptr& change);
    void read_manifest(const change_ptr& change);
    void handle_manifest(const change_ptr& change, const object_result& result);
    void handle_initial_manifest(const change_ptr& change, const object_result& result);
    void apply(const change_ptr& change, const config_documents& documents);
    void write_shards(const change_ptr& change);
    void write_next_shard(const change_ptr& change);
    void write_manifest(const change_ptr& change);
    void accept(const change_ptr& change, std::uint64_t revision);

    node& core;
    platform_client& platform;
    shard_fetcher& fetcher;
};

} // namespace worksshift
