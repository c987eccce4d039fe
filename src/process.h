/** \file
 * Process-level helpers for daemons: the limit of open files, and random identifiers.
 */
#pragma once

#include <cstdint>

namespace worksshift {

/** Raises the soft limit of open files to the hard limit, since many callers keep idle connections.
 */
void raise_file_limit();

/** 64-bit random number that identifies one start of a process, from std::random_device. */
std::uint64_t random_process_id();

} // namespace worksshift
