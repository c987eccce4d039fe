/** \file
 * Settings of a daemon as they were given: flags go before environment variables, and these before
 * a file of `name = value` lines.
 */
#pragma once

#include <string>

#include <boost/program_options.hpp>

namespace worksshift {

struct given_options {
    boost::program_options::variables_map values;
    std::string file;      ///< named by the option `config`; empty: none
    std::string help_text; ///< of all options
    bool help = false;
    bool check_only = false;
};

/** Reads all sources. An environment variable is `WORKSSHIFT_` and the option's name in capitals,
 * with _ for -; those that name no option are left alone. \throws user_error naming the fault. */
given_options read_options(const boost::program_options::options_description& all, int count,
                           const char* const* arguments);

} // namespace worksshift
