/** \file
 * Version of a server's software. Versions have no order; they are only compared for equality.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "ids.h"

namespace worksshift {

/** Hash of the version's name. */
enum class software_version : std::uint32_t {
    unknown = 0 ///< equals no server's version
};

inline software_version software_version_of(std::string_view name)
{
    if (name.empty()) return software_version::unknown;
    return software_version{std::max<std::uint32_t>(static_cast<std::uint32_t>(hash_of(name)), 1)};
}

} // namespace worksshift
