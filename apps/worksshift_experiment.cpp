/** \file
 * Simulates patterns of load and faults under placement policies and prints the results of each.
 */
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>

#include <boost/program_options.hpp>

#include "errors.h"
#include "experiment.h"
#include "experiment_page.h"

namespace {

namespace options = boost::program_options;

/** The parsed command line. */
struct command_line {
    std::vector<std::string> patterns;
    std::vector<std::string> policies;
    unsigned seeds = 1;
    std::string folder; ///< for the HTML report; empty: no report
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) parts.push_back(part);
    }
    return parts;
}

std::string joined(const std::vector<std::string>& names)
{
    return std::accumulate(names.begin(), names.end(), std::string(),
                           [](const std::string& sum, const std::string& name) {
                               return sum.empty() ? name : sum + ", " + name;
                           });
}

/** `patterns` is empty if only the help text was printed. */
command_line read_command_line(int count, char** arguments)
{
    command_line parsed;
    std::string policies;
    options::options_description all("worksshift-experiment PATTERN... settings");
    auto add = all.add_options();
    add("help", "prints this help");
    add("pattern", options::value(&parsed.patterns), "TOML files of patterns");
    add("policy", options::value(&policies)->default_value("product,admit-all,all-knowing"),
        ("comma-separated: " + joined(lab::named_policy_names())).c_str());
    add("seeds", options::value(&parsed.seeds)->default_value(1),
        "number of runs of each pattern and policy, 1 to 100");
    add("out", options::value(&parsed.folder), "folder for an HTML report with plots");
    options::positional_options_description positions;
    positions.add("pattern", -1);
    options::variables_map values;
    options::store(
        options::command_line_parser(count, arguments).options(all).positional(positions).run(),
        values);
    options::notify(values);
    constexpr unsigned max_seeds = 100;
    if (values.count("help") > 0 || parsed.patterns.empty()) {
        std::cout << all << '\n';
        parsed.patterns.clear();
    }
    if (parsed.seeds < 1 || parsed.seeds > max_seeds) {
        throw worksshift::user_error("settings", "", "seeds must be a number from 1 to 100");
    }
    parsed.policies = split(policies);
    return parsed;
}

void print(const lab::outcome& result, const lab::pattern& pattern, const std::string& policy,
           unsigned seed)
{
    std::printf("pattern=%s policy=%s seed=%u earned=%.4f on_time=%.4f refused=%.4f "
                "over_bound=%.4f shared_tokens_read=%llu shared_tokens_copied=%llu\n",
                pattern.name.c_str(), policy.c_str(), seed, result.earned_share(),
                result.on_time_share(), result.refused_share(), result.over_bound,
                static_cast<unsigned long long>(result.totals.shared_tokens_read),
                static_cast<unsigned long long>(result.totals.shared_tokens_copied));
    for (const auto& [name, kind] : result.kinds) {
        std::printf(
            "  kind=%s asked=%zu on_time=%zu late=%zu late_at_first_attempt=%zu refused=%zu "
            "left=%zu\n",
            name.c_str(), kind.asked, kind.on_time, kind.late, kind.late_at_first_attempt,
            kind.refused, kind.left);
    }
    std::printf("  in_time_per_s=");
    for (const double count : result.in_time_per_s)
        std::printf("%.0f ", count);
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace

int main(int count, char** arguments)
{
    try {
        const command_line command = read_command_line(count, arguments);
        std::vector<lab::run_result> all;
        for (const std::string& file : command.patterns) {
            const lab::pattern pattern = lab::read_pattern(file);
            for (const std::string& policy : command.policies) {
                const lab::named_policy chosen_policy = lab::make_named_policy(policy);
                for (unsigned seed = 1; seed <= command.seeds; ++seed) {
                    all.push_back(
                        {pattern.name, policy, lab::run_simulation(pattern, chosen_policy, seed)});
                    print(all.back().result, pattern, policy, seed);
                }
            }
        }
        if (!command.folder.empty() && !all.empty()) {
            std::filesystem::create_directories(command.folder);
            std::ofstream(std::filesystem::path(command.folder) / "experiment.html")
                << lab::write_page(all);
        }
        return 0;
    } catch (const worksshift::error& fault) {
        std::cerr << "worksshift-experiment: " << fault.step << ' ' << fault.peer << ": "
                  << fault.what() << '\n';
    } catch (const std::exception& fault) {
        std::cerr << "worksshift-experiment: " << fault.what() << '\n';
    }
    return 2;
}
