/** \file
 * Strict reader for JSON objects from external sources: checks each field's type and range, and
 * rejects unknown fields.
 *
 * An unknown field is usually a misspelt one, so it is an error rather than ignored. Every error
 * states the path of the field and its value.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace worksshift {

/** Reads the fields of one object. Numbers must be in the range from \p low to \p high. A field
 * without \p fallback is required. All calls throw user_error with the step and the field's path.
 */
class json_reader {
public:
    /** \p step names what is read, such as `configuration`; \p path locates the object within it.
     * The object must outlive the reader. */
    json_reader(const nlohmann::json& object, std::string step, std::string path);

    std::string text(const char* name, const std::optional<std::string>& fallback = std::nullopt);
    double number(const char* name, double low, double high,
                  std::optional<double> fallback = std::nullopt);
    std::uint64_t integer(const char* name, std::uint64_t low, std::uint64_t high,
                          std::optional<std::uint64_t> fallback = std::nullopt);
    std::uint32_t integer32(const char* name, std::uint32_t low, std::uint32_t high,
                            std::optional<std::uint32_t> fallback = std::nullopt);
    bool flag(const char* name, bool fallback);
    const nlohmann::json& list(const char* name);
    std::vector<std::string> names(const char* name);
    const nlohmann::json& object(const char* name);

    [[nodiscard]] bool has(const char* name) const { return this->value.contains(name); }
    /** The path of a field of this object. */
    [[nodiscard]] std::string at(const std::string& name) const;
    /** Throws a user_error about the field. */
    [[noreturn]] void fail(const std::string& name, const std::string& why) const;
    /** Throws if the object has a field that was not read. */
    void finish() const;

private:
    const nlohmann::json* find_field(const char* name, bool optional);

    const nlohmann::json& value;
    std::string step;
    std::string path;
    std::set<std::string> read_fields;
};

/** \throws user_error when the text is not JSON. */
nlohmann::json parse_json(std::string_view text, const std::string& step, const std::string& path);

/** The path of a list's element. */
std::string element_path(const std::string& list, std::size_t index);

[[noreturn]] void fail_at(const std::string& step, const std::string& path, const std::string& why);

} // namespace worksshift
