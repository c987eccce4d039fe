/** \file
 * Command-line program that runs the fake engine of fake_engine.h.
 */
#include "fakes/fake_engine.h"
#include "settings.h"

int main(int count, char** values)
{
    const fakes::arguments command_line(count, values);
    fakes::engine_settings options;
    options.listen =
        worksshift::parse_address("listen", command_line.text("listen", "127.0.0.1:9000"));
    options.slots = command_line.number("slots", options.slots);
    options.token_interval_ms = command_line.number("token-interval-ms", options.token_interval_ms);
    options.prefill_us_per_token = command_line.real("prefill-us", options.prefill_us_per_token);
    options.cache_tokens = command_line.number("cache-tokens", 1'000'000);
    options.reject_when_full = command_line.number("stop-when-full", 0) != 0;
    const worksshift::event_ptr<event_base> base(event_base_new());
    options.version = command_line.text("version", options.version);
    options.load_ms = command_line.number("load-ms", options.load_ms);
    const fakes::fake_engine engine(base.get(), options);
    fakes::run_until_stopped(base.get());
}
