/** \file
 * Splits JSON text into the raw texts of its members or elements, without parsing them.
 *
 * A page of many entries can thus be decoded entry by entry: a value that no parser accepts (bytes
 * that are not UTF-8, a number out of range) makes only its own entry unusable and not the page.
 */
#pragma once

#include <string_view>
#include <vector>

namespace worksshift {

/** One member of an object. */
struct json_member {
    std::string_view name;  ///< raw text without the quotes; escapes are not decoded
    std::string_view value; ///< raw text
};

/** The members of an object. \throws peer_error if the text is not exactly one object. */
std::vector<json_member> json_members(std::string_view text);
/** The elements of an array. \throws peer_error if the text is not exactly one array. */
std::vector<std::string_view> json_elements(std::string_view text);
/** The raw value of the first member named \p name; empty if there is none. */
std::string_view json_value(const std::vector<json_member>& members, std::string_view name);

} // namespace worksshift
