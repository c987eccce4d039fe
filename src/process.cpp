#include "process.h"

#include <algorithm>
#include <random>

#include <malloc.h>
#include <sys/resource.h>

#include "log.h"

namespace worksshift {

void raise_file_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

machine_limits granted_limits(const machine_limits& set)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max >= set.descriptors) return set;
    log_event(log_level::warn, "max_descriptors_lowered",
              {{"set", set.descriptors}, {"granted", limit.rlim_max}});
    return {set.memory_bytes, static_cast<std::size_t>(limit.rlim_max)};
}

void return_large_blocks()
{
    // Set explicitly, since the allocator raises its own threshold with each large block that is
    // freed, and keeps later blocks of that size.
    constexpr int threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

void heap_trimmer::update(std::size_t held, instant now)
{
    constexpr std::size_t min_fall_bytes = std::size_t{4} * 1024 * 1024;
    constexpr duration min_period = seconds(1);
    this->peak = std::max(this->peak, held);
    if (this->peak - held < min_fall_bytes || now - this->trimmed_at < min_period) return;
    malloc_trim(0);
    this->peak = held;
    this->trimmed_at = now;
}

std::uint64_t random_process_id()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace worksshift
