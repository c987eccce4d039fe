/** \file
 * The router daemon: reads its settings and runs one router on the platform's protocol.
 */
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
        start_log(options.level, options.vm.text, log_stream::output);
        const protocol dialect = platform_protocol();
        router process(options, dialect, [=] { return parse_router_settings(count, arguments); });
        return process.run();
    } catch (const error& fault) {
        std::cerr << "worksshift-router: " << fault.step << ' ' << fault.peer << ": "
                  << fault.what() << '\n';
        return 2;
    }
}
