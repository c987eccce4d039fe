#include "json_reader.h"

#include "errors.h"

namespace worksshift {

using nlohmann::json;

void fail_at(const std::string& step, const std::string& path, const std::string& why)
{
    throw user_error(step, path, step + " " + path + ": " + why);
}

json parse_json(std::string_view text, const std::string& step, const std::string& path)
{
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) fail_at(step, path, "is not valid JSON");
    return value;
}

std::string element_path(const std::string& list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

json_reader::json_reader(const json& object, std::string step, std::string path)
    : value(object), step(std::move(step)), path(std::move(path))
{
    if (!object.is_object()) {
        fail_at(this->step, this->path, "must be an object, is " + object.dump());
    }
}

std::string json_reader::at(const std::string& name) const
{
    return this->path.empty() ? name : this->path + "." + name;
}

void json_reader::fail(const std::string& name, const std::string& why) const
{
    fail_at(this->step, this->at(name), why);
}

const json* json_reader::find_field(const char* name, bool optional)
{
    this->read_fields.insert(name);
    const auto found = this->value.find(name);
    if (found != this->value.end()) return &*found;
    if (!optional) this->fail(name, "is missing");
    return nullptr;
}

std::string json_reader::text(const char* name, const std::optional<std::string>& fallback)
{
    const json* field = this->find_field(name, fallback.has_value());
    if (field == nullptr) return fallback.value_or("");
    if (!field->is_string()) this->fail(name, "must be a string, is " + field->dump());
    return field->get<std::string>();
}

double json_reader::number(const char* name, double low, double high,
                           std::optional<double> fallback)
{
    const json* field = this->find_field(name, fallback.has_value());
    if (field == nullptr) return fallback.value_or(0);
    const bool valid =
        field->is_number() && field->get<double>() >= low && field->get<double>() <= high;
    if (!valid) {
        this->fail(name, "must be a number from " + json(low).dump() + " to " + json(high).dump() +
                             ", is " + field->dump());
    }
    return field->get<double>();
}

std::uint64_t json_reader::integer(const char* name, std::uint64_t low, std::uint64_t high,
                                   std::optional<std::uint64_t> fallback)
{
    const json* field = this->find_field(name, fallback.has_value());
    if (field == nullptr) return fallback.value_or(0);
    const bool valid = field->is_number_unsigned() && field->get<std::uint64_t>() >= low &&
                       field->get<std::uint64_t>() <= high;
    if (!valid) {
        this->fail(name, "must be a whole number from " + std::to_string(low) + " to " +
                             std::to_string(high) + ", is " + field->dump());
    }
    return field->get<std::uint64_t>();
}

std::uint32_t json_reader::integer32(const char* name, std::uint32_t low, std::uint32_t high,
                                     std::optional<std::uint32_t> fallback)
{
    return static_cast<std::uint32_t>(this->integer(name, low, high, fallback));
}

bool json_reader::flag(const char* name, bool fallback)
{
    const json* field = this->find_field(name, true);
    if (field == nullptr) return fallback;
    if (!field->is_boolean()) this->fail(name, "must be true or false, is " + field->dump());
    return field->get<bool>();
}

const json& json_reader::list(const char* name)
{
    const json* field = this->find_field(name, false);
    if (!field->is_array()) this->fail(name, "must be a list, is " + field->dump());
    return *field;
}

std::vector<std::string> json_reader::names(const char* name)
{
    std::vector<std::string> result;
    for (const json& element : this->list(name)) {
        if (!element.is_string()) this->fail(name, "must hold strings, holds " + element.dump());
        result.push_back(element.get<std::string>());
    }
    return result;
}

const json& json_reader::object(const char* name)
{
    const json* field = this->find_field(name, false);
    if (!field->is_object()) this->fail(name, "must be an object, is " + field->dump());
    return *field;
}

void json_reader::finish() const
{
    for (const auto& [name, field] : this->value.items()) {
        if (!this->read_fields.contains(name)) this->fail(name, "is not a known field");
    }
}

} // namespace worksshift
