#include "suspension.h"

#include <ctime>

namespace worksshift {

namespace {

duration read_boot_clock()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

duration read_steady_clock()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace

std::optional<clock_pair> read_clocks()
{
    constexpr int max_attempts = 3;
    constexpr duration max_delay = milliseconds(5);
    for (int i = 0; i < max_attempts; ++i) {
        const duration before = read_steady_clock();
        const duration boot = read_boot_clock();
        const duration after = read_steady_clock();
        if (after - before < max_delay) return clock_pair{after, boot};
    }
    return std::nullopt;
}

} // namespace worksshift
