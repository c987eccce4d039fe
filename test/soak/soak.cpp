/** \file
 * Fault-injection soak test of router processes; see soak_run.h for the faults and
 * guarantee_checker.h for the guarantees that are checked.
 *
 *     soak [--first SEED] [--seeds N] [--seconds S] [--routers N] [--regressions FILE]
 *
 * Each violated guarantee is printed with its seed. With --regressions the seeds at the start of
 * the lines of FILE are run. Exit status 1 if a guarantee was violated.
 */
#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "log.h"
#include "soak_run.h"

namespace {

using namespace worksshift;

/** The value behind an option of the form `--name value`. */
std::string option(int count, char** values, const std::string& name, const std::string& fallback)
{
    for (int i = 1; i + 1 < count; i += 2) {
        if (name == values[i]) return values[i + 1];
    }
    return fallback;
}

std::uint64_t number(int count, char** values, const std::string& name, std::uint64_t fallback)
{
    const std::string text = option(count, values, name, "");
    std::from_chars(text.data(), text.data() + text.size(), fallback);
    return fallback;
}

std::vector<std::uint64_t> read_seeds(const std::string& path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed) seeds.push_back(seed);
    }
    return seeds;
}

} // namespace

int main(int count, char** values)
{
    std::signal(SIGPIPE, SIG_IGN);
    start_log(log_level::off, "soak");
    std::vector<std::uint64_t> seeds;
    const std::string regressions = option(count, values, "--regressions", "");
    if (regressions.empty()) {
        const std::uint64_t first = number(count, values, "--first", 1);
        for (std::uint64_t i = 0; i < number(count, values, "--seeds", 3); ++i)
            seeds.push_back(first + i);
    } else {
        seeds = read_seeds(regressions);
    }
    const auto span = seconds(number(count, values, "--seconds", 10));
    const std::size_t routers = number(count, values, "--routers", 6);
    std::size_t broken = 0;
    for (const std::uint64_t seed : seeds) {
        soak::soak_run run(seed, routers, span);
        run.run();
        const soak::guarantee_checker& guarantees = run.checker();
        for (const std::string& violation : guarantees.broken)
            std::cout << "seed=" << seed << " broken=\"" << violation << "\"\n";
        std::cout << "seed=" << seed << " requests=" << guarantees.requests_sent
                  << " served=" << guarantees.served << " resumed=" << guarantees.resumed
                  << " stalls=" << run.stalls;
        for (const auto& [status, requests] : guarantees.by_status)
            std::cout << " status_" << status << '=' << requests;
        std::cout << " broken=" << guarantees.broken.size() << std::endl;
        broken += guarantees.broken.size();
    }
    std::cout << seeds.size() << " seeds, " << broken << " broken promises\n";
    return broken == 0 ? 0 : 1;
}
