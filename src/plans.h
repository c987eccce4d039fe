/** \file
 * Plans: previews of configuration changes that operators request as intents.
 *
 * An intent is checked against the configuration in force and yields a plan, which lists the
 * changes, their effect on capacity, and warnings. Nothing changes until the plan is confirmed. A
 * plan records the state of the object that it changes. It applies to a later revision only if that
 * object is unchanged; otherwise it is rejected as a conflict.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "config_documents.h"

namespace worksshift {

constexpr std::uint64_t plan_lifetime_s = 3600;
/** Number of plan ids kept in the manifest. When the response to a confirmation was lost, the id in
 * the manifest shows that the plan took effect. */
constexpr std::size_t max_plans_in_manifest = 500;

struct plan {
    std::string id;
    std::uint64_t base_revision = 0;
    std::uint64_t created_at_s = 0;
    std::string who;
    nlohmann::json intent_document; ///< see intents.h
    std::string touches;            ///< the object that the plan changes, such as `server e1`
    nlohmann::json before; ///< the object's document at the base revision, null if it did not exist
    std::vector<std::string> changes;
    std::vector<std::string> warnings;
    std::string effect; ///< on capacity and on the model versions served
};

/** Makes a plan from an intent. \throws user_error when the intent is malformed or does not fit the
 * configuration. */
plan make_plan(const fleet_config& config, const nlohmann::json& intent_document, std::string id,
               std::string who, std::uint64_t unix_s);

/** The intent that reverts a plan's change. The plan made from it also lists later changes to the
 * object, and is rejected like any other if the object changes again before confirmation. */
nlohmann::json undo_intent(const plan& applied);

/** The configuration after the plan, with the revision incremented.
 * \throws user_error with step `expired` or `conflict` when it cannot be applied. */
fleet_config apply_plan(const fleet_config& config, const plan& confirmed, std::uint64_t unix_s);

/** Whether the plan has already been applied, given the plan ids of the manifest. */
bool is_applied(const std::vector<std::string>& plans, const std::string& id);

nlohmann::json write_plan(const plan& source);
/** \throws user_error when the text is not a plan. */
plan parse_plan(const std::string& text);

} // namespace worksshift
