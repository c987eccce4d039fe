/** \file
 * Long texts in few bytes, by zlib: documents of hundreds of routes that one VM passes on to many.
 */
#pragma once

#include <string>
#include <string_view>

namespace worksshift {

std::string pack(std::string_view text);
/** \throws peer_error when the bytes were not packed by `pack`, or are too long to be a document.
 */
std::string unpack(std::string_view bytes, const std::string& peer);

} // namespace worksshift
