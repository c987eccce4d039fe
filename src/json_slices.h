/** \file
 * Cuts JSON text into the raw texts of its members or elements, without reading what they hold.
 *
 * A page of many entries can so be read entry by entry: a value that no parser takes (bytes that
 * are not UTF-8, a number out of range) costs its own entry and not the page.
 */
#pragma once

#include <string_view>
#include <vector>

namespace worksshift {

/** One member of an object. */
struct json_member {
    std::string_view name;  ///< as it is written, without the quotes
    std::string_view value; ///< its raw text
};

/** The members of an object. \throws peer_error when the text is not one object. */
std::vector<json_member> json_members(std::string_view text);
/** The elements of an array. \throws peer_error when the text is not one array. */
std::vector<std::string_view> json_elements(std::string_view text);
/** The raw value of the first member called \p name; empty when there is none. */
std::string_view json_value(const std::vector<json_member>& members, std::string_view name);

} // namespace worksshift
