#include "pattern.h"

#include <set>

#include <toml++/toml.h>

#include "errors.h"

namespace lab {

using namespace worksshift;

namespace {

/** Reads the fields of one table and records their names, so that unknown fields are rejected. */
class fields {
public:
    fields(const toml::table& table, std::string prefix, const std::string& file)
        : table(table), prefix(std::move(prefix)), file(file)
    {
    }

    double number(const char* name, double fallback, double low, double high)
    {
        this->known_names.insert(name);
        const toml::node* node = this->table.get(name);
        if (node == nullptr) return fallback;
        const auto value = node->value<double>();
        if (!value || *value < low || *value > high) {
            this->refuse(name, "must be a number from " + std::to_string(low) + " to " +
                                   std::to_string(high));
        }
        return *value;
    }

    std::uint32_t count(const char* name, std::uint32_t fallback)
    {
        constexpr double max_count = 1e7;
        return static_cast<std::uint32_t>(this->number(name, fallback, 0, max_count));
    }

    milliseconds span(const char* name)
    {
        constexpr double max_span_ms = 3.6e6;
        const double value = this->number(name, -1, 0, max_span_ms);
        if (value < 0) this->refuse(name, "is missing");
        return milliseconds(static_cast<std::int64_t>(value));
    }

    std::string text(const char* name, bool required)
    {
        this->known_names.insert(name);
        const toml::node* node = this->table.get(name);
        if (node == nullptr && !required) return {};
        const auto value = node == nullptr ? std::nullopt : node->value<std::string>();
        if (!value || value->empty()) this->refuse(name, "must be a non-empty string");
        return *value;
    }

    /** The tables of an array; empty if there is no such field. */
    std::vector<const toml::table*> list(const char* name)
    {
        this->known_names.insert(name);
        std::vector<const toml::table*> found;
        const toml::node* node = this->table.get(name);
        if (node == nullptr) return found;
        if (!node->is_array()) this->refuse(name, "must be an array of tables");
        for (const toml::node& item : *node->as_array()) {
            if (!item.is_table()) this->refuse(name, "must be an array of tables");
            found.push_back(item.as_table());
        }
        return found;
    }

    [[noreturn]] void refuse(const std::string& name, const std::string& why) const
    {
        throw user_error("pattern", this->file, this->prefix + name + " " + why);
    }

    /** Fails if the table has a field that was not read. */
    void finish() const
    {
        for (const auto& [key, node] : this->table) {
            const std::string name(key.str());
            if (!this->known_names.contains(name)) this->refuse(name, "is not a known field");
        }
    }

private:
    const toml::table& table;
    std::string prefix;
    const std::string& file;
    std::set<std::string> known_names;
};

constexpr double max_per_s = 1e6;
constexpr double max_s = 3600;
constexpr double max_factor = 1000;

request_kind read_kind(fields from)
{
    request_kind made;
    made.name = from.text("name", true);
    made.per_s = from.number("per_s", 0, 0, max_per_s);
    made.objective = from.span("objective_ms");
    made.deadline = from.span("deadline_ms");
    made.patience = from.span("patience_ms");
    made.priority = from.count("priority", made.priority);
    made.worth = from.number("worth", made.worth, 0, max_factor);
    made.worth_late = from.number("worth_late", made.worth_late, 0, max_factor);
    made.prompts = std::max(from.count("prompts", made.prompts), 1U);
    made.shared_tokens = from.count("shared_tokens", made.shared_tokens);
    made.own_tokens = from.count("own_tokens", made.own_tokens);
    made.answer_tokens = std::max(from.count("answer_tokens", made.answer_tokens), 1U);
    from.finish();
    return made;
}

wave read_wave(fields from)
{
    wave made;
    made.from_s = from.number("from_s", 0, 0, max_s);
    made.to_s = from.number("to_s", 0, 0, max_s);
    made.times = from.number("times", made.times, 0, max_factor);
    made.kind = from.text("kind", false);
    made.hot_share = from.number("hot_share", 0, 0, 1);
    from.finish();
    return made;
}

engine_fault read_fault(fields from)
{
    engine_fault made;
    const std::string what = from.text("what", true);
    if (what == "slow") {
        made.what = engine_fault::effect::slow;
    } else if (what == "leave") {
        made.what = engine_fault::effect::leave;
    } else if (what != "dark") {
        from.refuse("what", "must be one of dark, slow, leave");
    }
    made.from_s = from.number("from_s", 0, 0, max_s);
    made.to_s = from.number("to_s", max_s, 0, max_s);
    made.share = from.number("share", 0, 0, 1);
    made.times = from.number("times", 1, 1, max_factor);
    from.finish();
    return made;
}

engine_parameters read_engine(fields from)
{
    engine_parameters made;
    made.slots = from.count("slots", made.slots);
    made.queue = from.count("queue", made.queue);
    made.step_ms = from.number("step_ms", made.step_ms, 0.01, max_factor);
    made.step_ms_per_request =
        from.number("step_ms_per_request", made.step_ms_per_request, 0, max_factor);
    made.step_ms_per_k_context =
        from.number("step_ms_per_k_context", made.step_ms_per_k_context, 0, max_factor);
    made.prompt_tokens_per_ms =
        from.number("prompt_tokens_per_ms", made.prompt_tokens_per_ms, 0.1, max_per_s);
    made.first_event_ms = from.number("first_event_ms", made.first_event_ms, 0, max_factor);
    made.cache_tokens = from.count("cache_tokens", made.cache_tokens);
    from.finish();
    return made;
}

} // namespace

pattern read_pattern(const std::string& path)
{
    toml::table document;
    try {
        document = toml::parse_file(path);
    } catch (const toml::parse_error& fault) {
        throw user_error("pattern", path, std::string(fault.description()));
    }
    fields from(document, "", path);
    pattern made;
    made.name = from.text("name", true);
    made.answers = from.text("answers", true);
    made.grounds = from.text("grounds", true);
    made.seconds = from.number("seconds", made.seconds, 1, max_s);
    constexpr double max_vms = 10000;
    made.vms = static_cast<std::size_t>(from.number("vms", 8, 1, max_vms));
    made.engines = static_cast<std::size_t>(from.number("engines", 18, 1, max_vms));
    made.digest_ms = from.number("digest_ms", made.digest_ms, 1, max_s * 1000);
    made.pace_spread = from.number("pace_spread", made.pace_spread, 0, 2);
    made.states_pace = from.number("states_pace", 0, 0, 1) > 0;
    for (const toml::table* item : from.list("engine"))
        made.engine = read_engine({*item, "engine.", path});
    for (const toml::table* item : from.list("kind"))
        made.kinds.push_back(read_kind({*item, "kind.", path}));
    for (const toml::table* item : from.list("wave"))
        made.waves.push_back(read_wave({*item, "wave.", path}));
    for (const toml::table* item : from.list("fault"))
        made.faults.push_back(read_fault({*item, "fault.", path}));
    if (made.kinds.empty()) from.refuse("kind", "is missing");
    from.finish();
    return made;
}

} // namespace lab
