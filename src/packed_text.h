/** \file
 * Compression of long texts with zlib, for documents of hundreds of routes that a VM forwards to
 * many others.
 */
#pragma once

#include <string>
#include <string_view>

namespace worksshift {

/** Compresses a text; the result begins with the length of the text. */
std::string pack(std::string_view text);
/** Decompresses the output of `pack`. \throws peer_error naming \p peer if the bytes are not such
 * output, or if the text would be larger than any document. */
std::string unpack(std::string_view bytes, const std::string& peer);

} // namespace worksshift
