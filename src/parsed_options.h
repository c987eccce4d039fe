/** \file
 * Reads the settings of a daemon: command line flags take precedence over environment variables,
 * and these over a file of `name = value` lines.
 */
#pragma once

#include <string>

#include <boost/program_options.hpp>

namespace worksshift {

struct parsed_options {
    boost::program_options::variables_map values;
    std::string file;        ///< path given by the option `config`; empty: none
    std::string help_text;   ///< describes all options
    bool help = false;       ///< print the help text and exit
    bool check_only = false; ///< check the settings and exit
};

/** Reads all sources. The environment variable of an option is `WORKSSHIFT_` followed by its name
 * in upper case with _ instead of -; other variables are ignored. \throws user_error describing the
 * invalid setting. */
parsed_options read_options(const boost::program_options::options_description& all, int count,
                            const char* const* arguments);

} // namespace worksshift
