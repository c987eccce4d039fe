/** \file
 * Process-level helpers for daemons: the limit of open files, and random identifiers.
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include "ids.h"
#include "memory_account.h"

namespace worksshift {

/** Raises the soft limit of open files to the hard limit, since many callers keep idle connections.
 */
void raise_file_limit();

/** The limits that are set for the machine, lowered to what the system grants this process. Logs a
 * lowered one. */
machine_limits granted_limits(const machine_limits& set);

/** Lets the allocator return large blocks to the system as they are freed, whatever their number.
 * To be called before the first large allocation. */
void return_large_blocks();

/** Returns freed memory to the system after a peak: the allocator keeps small blocks otherwise. */
class heap_trimmer {
public:
    /** \p held: bytes that callers hold at present. */
    void update(std::size_t held, instant now);

private:
    std::size_t peak = 0; ///< since the last trim
    instant trimmed_at{};
};

/** 64-bit random number that identifies one start of a process, from std::random_device. */
std::uint64_t random_process_id();

} // namespace worksshift
