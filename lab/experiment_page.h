/** \file
 * One page of what an experiment showed: a table, and for each pattern the share of requests that
 * were on time in each second, by policy.
 */
#pragma once

#include <span>
#include <string>

#include "experiment.h"

namespace lab {

struct played {
    std::string pattern;
    std::string policy;
    outcome result;
};

/** HTML with drawings in it; needs no other file. */
std::string write_page(std::span<const played> all);

} // namespace lab
