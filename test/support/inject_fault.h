/** \file
 * Faults injected by several property-based tests: of the platform, of a node and of a link.
 */
#pragma once

#include "support/core_fleet.h"

namespace support {

/** Number of the actions of `inject_fault`. */
constexpr int fault_kinds = 6;

/** Injects a fault or ends present ones, depending on \p which (0 to `fault_kinds` - 1). */
inline void inject_fault(core_fleet& fleet, int which, std::size_t node)
{
    switch (which) {
    case 0:
        fleet.set_platform(false);
        break;
    case 1:
        fleet.set_platform(true);
        break;
    case 2:
        fleet.lose_next_write_responses(2);
        break;
    case 3:
        fleet.restart(node);
        break;
    case 4:
        fleet.cut(node, (node + 1) % fleet.size());
        break;
    default:
        fleet.heal();
        break;
    }
}

} // namespace support
