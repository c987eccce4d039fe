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

void describe_capacity(const fleet_config& before, const fleet_config& after, plan& item)
{
    for (const service_config& service : after.services) {
        const service_config* old = before.find_service(service.id);
        const std::uint32_t old_capacity = old == nullptr ? 0 : capacity(*old);
        const std::uint32_t new_capacity = capacity(service);
        if (old_capacity == new_capacity) continue;
        item.effect += "capacity of " + service.id.text + " from " + std::to_string(old_capacity) +
                       " to " + std::to_string(new_capacity) + " requests; ";
        if (new_capacity == 0)
            item.warnings.push_back("no server of " + service.id.text + " would be left");
        if (new_capacity * 4 < old_capacity * 3) {
            item.warnings.push_back("the rest of " + service.id.text +
                                    " loses more than a quarter of its capacity");
        }
    }
}

/** Describes changes of the serving version, and warns if no engine was ordered to load
 * it before. */
void describe_versions(const fleet_config& before, const fleet_config& after, plan& item)
{
    for (const service_config& service : after.services) {
        const service_config* old = before.find_service(service.id);
        if (old == nullptr || old->serving == service.serving) continue;
        const bool known = std::ranges::find(old->versions, service.serving) != old->versions.end();
        item.effect += "each engine of " + service.id.text + " serves by " + service.serving +
                       " as soon as it has it loaded; ";
        if (!known) {
            item.warnings.push_back("no engine of " + service.id.text + " was told to load " +
                                    service.serving + " before");
        }
    }
}

/** Applies the intent and validates the whole result by serialising and parsing it. */
fleet_config config_after(const fleet_config& config, const intent& wanted, std::uint64_t unix_s)
{
    fleet_config next = config;
    apply_intent(next, wanted, unix_s);
    ++next.revision;
    return parse_fleet_config(write_changed_config(next, config), &config);
}

} // namespace

plan make_plan(const fleet_config& config, const json& wanted, std::string id, std::string who,
               std::uint64_t unix_s)
{
    const intent parsed = parse_intent(wanted);
    plan item;
    item.id = std::move(id);
    item.who = std::move(who);
    item.base_revision = config.revision;
    item.created_at_s = unix_s;
    item.wanted = wanted;
    item.touches = touched_object(parsed);
    const fleet_config next = config_after(config, parsed, unix_s);
    item.before = object_document(config, item.touches);
    describe_changes(item.before, object_document(next, item.touches), item.touches, item.changes);
    if (item.changes.empty()) item.warnings.emplace_back("nothing would change");
    describe_capacity(config, next, item);
    describe_versions(config, next, item);
    return item;
}

fleet_config apply_plan(const fleet_config& config, const plan& item, std::uint64_t unix_s)
{
    if (item.created_at_s + plan_lifetime_s < unix_s) {
        throw user_error("expired", item.id, "the plan is older than an hour; make a new one");
    }
    const json now = object_document(config, item.touches);
    if (now != item.before) {
        throw user_error("conflict", item.id,
                         item.touches + " changed since revision " +
                             std::to_string(item.base_revision) + "; it is now " +
                             (now.is_null() ? "(none)" : now.dump()) + " at revision " +
                             std::to_string(config.revision));
    }
    fleet_config next = config_after(config, parse_intent(item.wanted), unix_s);
    next.plans.push_back(item.id);
    if (next.plans.size() > max_plans_in_manifest) next.plans.erase(next.plans.begin());
    return next;
}

json undo_intent(const plan& item)
{
    json wanted{{"kind", "restore_object"}, {"touched", item.touches}};
    if (!item.before.is_null()) wanted["document"] = item.before;
    return wanted;
}

bool is_applied(const std::vector<std::string>& plans, const std::string& id)
{
    return std::ranges::find(plans, id) != plans.end();
}

json write_plan(const plan& item)
{
    return {{"id", item.id},
            {"base_revision", item.base_revision},
            {"created_at_s", item.created_at_s},
            {"who", item.who},
            {"intent", item.wanted},
            {"touches", item.touches},
            {"before", item.before},
            {"changes", item.changes},
            {"warnings", item.warnings},
            {"effect", item.effect}};
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
