/** \file
 * The router daemon: reads its settings and runs one router with the platform's adapter.
 */
#include <cstdlib>
#include <iostream>

#include "platform.h"
#include "process.h"
#include "router.h"

int main(int count, char** arguments)
{
    using namespace worksshift;
    return_large_blocks();
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
        // Exits without running static destructors: the log library joins its threads in them,
        // which blocked on the target platform until the process was killed. The buffered log lines
        // are written by flush_log before that.
        flush_log();
        std::_Exit(status);
    } catch (const error& fault) {
        std::cerr << "worksshift-router: " << fault.step << ' ' << fault.peer << ": "
                  << fault.what() << '\n';
        return 2;
    }
}
