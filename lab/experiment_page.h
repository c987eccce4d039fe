/** \file
 * HTML report of an experiment: a table of results and, for each pattern, a plot of the share of
 * requests served on time in each second, by policy.
 */
#pragma once

#include <span>
#include <string>

#include "experiment.h"

namespace lab {

/** Result of one run. */
struct run_result {
    std::string pattern;
    std::string policy;
    outcome result;
};

/** A self-contained HTML document with inline SVG plots. */
std::string write_page(std::span<const run_result> all);

} // namespace lab
