/** \file
 * Systems of the gate role. The gate of a server is the one VM that admits requests to it: it knows
 * exactly what it has in flight there, queues what does not fit, and calls the server.
 */
#pragma once

#include "tables.h"

namespace worksshift {

/** Applies the servers' own load reports, which show requests that another VM sent there, and the
 * load summaries of other gates. */
void apply_load_reports(tables& t);

/** Removes ended calls from the counts, updates the circuit breakers, and reports refusals to the
 * entry VMs. */
void finish_calls(tables& t, const tick_time& time);

/** Cancels attempts that their entry VM abandoned, and those whose entry VM is gone. */
void cancel_attempts(tables& t);

/** Admits, queues, redirects or refuses each new attempt. */
void open_attempts(tables& t, const tick_time& time);

/** Refuses queued attempts that waited too long and starts those that now fit. */
void run_queues(tables& t, const tick_time& time);

} // namespace worksshift
