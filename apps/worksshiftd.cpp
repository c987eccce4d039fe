/** \file
 * The main program of worksshiftd. Exit codes: 0 stopped with all work complete, 1 work in
 * flight was aborted by the stop deadline or a second stop signal, 2 invalid settings, 3 an
 * internal error.
 */
#include <csignal>
#include <iostream>

#include "daemon.h"
#include "process.h"

int main(int count, char** arguments)
{
    constexpr int exit_bad_settings = 2;
    constexpr int exit_internal = 3;
    worksshift::return_large_blocks();
    try {
        const worksshift::settings options = worksshift::parse_settings(count, arguments);
        if (options.help) {
            std::cout << options.help_text;
            return 0;
        }
        if (options.check_only) {
            std::cout << "settings are valid\n";
            return 0;
        }
        // Writing to a connection that the peer closed must return an error, not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        worksshift::start_log(options.level, options.vm.text);
        worksshift::daemon process(options);
        return process.run();
    } catch (const worksshift::user_error& fault) {
        std::cerr << "worksshiftd: " << fault.step << ": " << fault.what() << '\n';
        return exit_bad_settings;
    } catch (const std::exception& fault) {
        std::cerr << "worksshiftd: internal error: " << fault.what() << '\n';
        return exit_internal;
    }
}
