#include "plans.h"

#include <algorithm>
#include <numeric>

#include "errors.h"
#include "intents.h"

namespace worksshift {

namespace {

using nlohmann::json;

/** Appends one line for each field that differs between two states of an object. */
void describe_changes(const json& before, const json& after, const std::string& path,
                      std::vector<std::string>& changes)
{
    if (before == after) return;
    const bool both_objects = before.is_object() && after.is_object();
    if (!both_objects) {
        const auto show = [](const json& value) {
            return value.is_null() ? std::string("(none)") : value.dump();
        };
        changes.push_back(path + ": " + show(before) + " -> " + show(after));
        return;
    }
    json fields = before;
    fields.update(after);
    for (const auto& [name, unused] : fields.items()) {
        std::string field = path;
        field.append(".").append(name);
        describe_changes(before.value(name, json()), after.value(name, json()), field, changes);
    }
}

std::uint32_t capacity(const service_config& service)
{
    return std::accumulate(service.servers.begin(), service.servers.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const server_config& server) {
                               return server.draining ? sum : sum + server.limit;
                           });
}

void describe_capacity(const fleet_config& before, const fleet_config& after, plan& result)
{
    for (const service_config& service : after.services) {
        const service_config* old = before.find_service(service.id);
        const std::uint32_t old_capacity = old == nullptr ? 0 : capacity(*old);
        const std::uint32_t new_capacity = capacity(service);
        if (old_capacity == new_capacity) continue;
        result.effect += "capacity of " + service.id.text + " from " +
                         std::to_string(old_capacity) + " to " + std::to_string(new_capacity) +
                         " requests; ";
        if (new_capacity == 0)
            result.warnings.push_back("no server of " + service.id.text + " would be left");
        if (new_capacity * 4 < old_capacity * 3) {
            result.warnings.push_back("the rest of " + service.id.text +
                                      " loses more than a quarter of its capacity");
        }
    }
}

/** Describes changes of the serving version, and warns if no engine was ordered to load
 * it before. */
void describe_versions(const fleet_config& before, const fleet_config& after, plan& result)
{
    for (const service_config& service : after.services) {
        const service_config* old = before.find_service(service.id);
        if (old == nullptr || old->serving == service.serving) continue;
        const bool load_ordered =
            std::ranges::find(old->versions, service.serving) != old->versions.end();
        result.effect += "each engine of " + service.id.text + " serves by " + service.serving +
                         " as soon as it has it loaded; ";
        if (!load_ordered) {
            result.warnings.push_back("no engine of " + service.id.text + " was told to load " +
                                      service.serving + " before");
        }
    }
}

/** Applies the intent and validates the whole result by serialising and parsing it. */
fleet_config config_after(const fleet_config& config, const intent& requested, std::uint64_t unix_s)
{
    fleet_config next = config;
    apply_intent(next, requested, unix_s);
    ++next.revision;
    return parse_fleet_config(write_changed_config(next, config), &config);
}

} // namespace

plan make_plan(const fleet_config& config, const json& intent_document, std::string id,
               std::string who, std::uint64_t unix_s)
{
    const intent parsed = parse_intent(intent_document);
    plan result;
    result.id = std::move(id);
    result.who = std::move(who);
    result.base_revision = config.revision;
    result.created_at_s = unix_s;
    result.intent_document = intent_document;
    result.touches = touched_object(parsed);
    const fleet_config next = config_after(config, parsed, unix_s);
    result.before = object_document(config, result.touches);
    describe_changes(result.before, object_document(next, result.touches), result.touches,
                     result.changes);
    if (result.changes.empty()) result.warnings.emplace_back("nothing would change");
    describe_capacity(config, next, result);
    describe_versions(config, next, result);
    return result;
}

fleet_config apply_plan(const fleet_config& config, const plan& confirmed, std::uint64_t unix_s)
{
    if (confirmed.created_at_s + plan_lifetime_s < unix_s) {
        throw user_error("expired", confirmed.id, "the plan is older than an hour; make a new one");
    }
    const json current = object_document(config, confirmed.touches);
    if (current != confirmed.before) {
        throw user_error("conflict", confirmed.id,
                         confirmed.touches + " changed since revision " +
                             std::to_string(confirmed.base_revision) + "; it is now " +
                             (current.is_null() ? "(none)" : current.dump()) + " at revision " +
                             std::to_string(config.revision));
    }
    fleet_config next = config_after(config, parse_intent(confirmed.intent_document), unix_s);
    next.plans.push_back(confirmed.id);
    if (next.plans.size() > max_plans_in_manifest) next.plans.erase(next.plans.begin());
    return next;
}

json undo_intent(const plan& applied)
{
    json restore{{"kind", "restore_object"}, {"touched", applied.touches}};
    if (!applied.before.is_null()) restore["document"] = applied.before;
    return restore;
}

bool is_applied(const std::vector<std::string>& plans, const std::string& id)
{
    return std::ranges::find(plans, id) != plans.end();
}

json write_plan(const plan& source)
{
    return {{"id", source.id},
            {"base_revision", source.base_revision},
            {"created_at_s", source.created_at_s},
            {"who", source.who},
            {"intent", source.intent_document},
            {"touches", source.touches},
            {"before", source.before},
            {"changes", source.changes},
            {"warnings", source.warnings},
            {"effect", source.effect}};
}

plan parse_plan(const std::string& text)
{
    try {
        const json value = json::parse(text);
        return {value.at("id"),     value.at("base_revision"), value.at("created_at_s"),
                value.at("who"),    value.at("intent"),        value.at("touches"),
                value.at("before"), value.at("changes"),       value.at("warnings"),
                value.at("effect")};
    } catch (const json::exception& fault) {
        throw user_error("read plan", "platform", fault.what());
    }
}

} // namespace worksshift
