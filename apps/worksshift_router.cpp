/** \file
 * The router daemon: reads its settings and runs one router with the platform's adapter.
 */
#include <cstdlib>
#include <iostream>

#include "platform.h"
#include "router.h"

int main(int count, char** arguments)
{
    using namespace worksshift;
    try {
        const router_settings options = parse_router_settings(count, arguments);
        if (options.help) {
            std::cout << options.help_text;
            return 0;
        }
        if (options.check_only) {
            std::cout << "settings are valid\n";
            return 0;
        }
        start_bounded_log(options.level, options.vm.text, {options.log_lines_per_s});
        const protocol adapter = platform_protocol();
        int status = 0;
        {
            router process(options, adapter,
                           [=] { return parse_router_settings(count, arguments); });
            status = process.run();
        }
        // No normal exit: the log library joins its threads then, which on the users' platform
        // blocked until the process was killed. All log lines have been written by now.
        flush_log();
        std::_Exit(status);
    } catch (const error& fault) {
        std::cerr << "worksshift-router: " << fault.step << ' ' << fault.peer << ": "
                  << fault.what() << '\n';
        return 2;
    }
}
