#include "process.h"

#include <random>

#include <sys/resource.h>

namespace worksshift {

void raise_file_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

std::uint64_t random_process_id()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace worksshift
