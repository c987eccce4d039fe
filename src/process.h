/** \file
 * What a daemon asks of its own process: descriptors, and numbers that no other start has.
 */
#pragma once

#include <cstdint>

namespace worksshift {

/** Raises the soft limit of open files to the hard one: many callers hold idle connections. */
void raise_file_limit();

/** A number that differs from that of every other start of every process. */
std::uint64_t random_number();

} // namespace worksshift
