/** \file
 * Timeouts of a call to another process.
 */
#pragma once

#include "ids.h"

namespace worksshift {

struct call_limit {
    /** Timeout of the complete call. */
    duration whole{};
    /** Longest time without a received byte; zero: limited only by `whole`. Distinguishes a long
     * response from a peer that does not respond. */
    duration silence{};
};

} // namespace worksshift
