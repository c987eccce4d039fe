/** \file
 * Timeouts of a call to another process.
 */
#pragma once

#include "ids.h"

namespace worksshift {

struct call_timeouts {
    /** Timeout of the complete call. */
    duration total{};
    /** Longest time without a received byte; zero: limited only by `total`. Distinguishes a long
     * response from a peer that does not respond. */
    duration idle{};
};

} // namespace worksshift
