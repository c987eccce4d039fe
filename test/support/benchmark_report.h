/** \file
 * Results of a benchmark: prints one line each, with its bound; the program fails if one exceeds
 * its bound.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <sys/types.h>
#include <unistd.h>

namespace support {

/** Resident memory of this process, in KiB. */
inline double own_rss_kib()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

/** CPU time (user and system) that a process has used, in seconds. */
inline double cpu_seconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    for (int i = 3; fields >> word; ++i) {
        if (i == user_field || i == system_field) ticks += std::stod(word);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Resident memory of a process, in KiB; 0 if it cannot be read. */
inline double rss_kib(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
    }
    return 0;
}

/** A percentile of the values, without interpolation. \p share: from 0 to 1. Zero if there are no
 * values. */
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) return 0;
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(last * share))];
}

/** Prints results and records whether all were within their bounds. */
class benchmark_report {
public:
    /** Prints a result without a bound. */
    void note(const std::string& name, double value, const char* unit)
    {
        std::printf("name=%s value=%.6g unit=%s bound=none\n", name.c_str(), value, unit);
        std::fflush(stdout);
    }
    void at_most(const std::string& name, double value, const char* unit, double bound)
    {
        this->print(name, value, unit, "<=", bound, value <= bound);
    }
    void at_least(const std::string& name, double value, const char* unit, double bound)
    {
        this->print(name, value, unit, ">=", bound, value >= bound);
    }
    /** 1 if a result was out of its bound, else 0. */
    [[nodiscard]] int exit_status() const { return this->failed ? 1 : 0; }

private:
    void print(const std::string& name, double value, const char* unit, const char* relation,
               double bound, bool within_bound)
    {
        std::printf("name=%s value=%.6g unit=%s bound=%s%.6g%s\n", name.c_str(), value, unit,
                    relation, bound, within_bound ? "" : " PAST ITS BOUND");
        std::fflush(stdout);
        this->failed = this->failed || !within_bound;
    }

    bool failed = false;
};

} // namespace support
