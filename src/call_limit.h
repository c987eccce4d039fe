/** \file
 * How long a call to an outside system may take.
 */
#pragma once

#include "ids.h"

namespace worksshift {

struct call_limit {
    duration whole{};
    /** Without a byte; zero: as long as the whole. Tells a long answer from a silent peer. */
    duration silence{};
};

} // namespace worksshift
