/** \file
 * Systems of the entry role, which follow each caller's request from its arrival to its one final
 * response.
 *
 * Every attempt ends in one of three outcomes. For a request that is not idempotent, only `not_run`
 * is retried, because it proves that the request was not executed. For idempotent requests,
 * `unknown` is also retried, within the retry budget: from the start if no part of the response has
 * reached the caller, otherwise resumed after the last token that was passed on.
 */
#pragma once

#include "tables.h"

namespace worksshift {

/** Admits new requests: checks account limits, claims idempotency keys, sends first attempts. */
void start_requests(tables& t, const tick_time& time);

/** Continues or refuses requests that waited for their account's token quota (account_quota.h). */
void handle_quota_replies(tables& t, const tick_time& time);

/** Handles the replies of the VMs that store the claims of idempotency keys. */
void handle_claim_replies(tables& t, const tick_time& time);

/** Sends refused attempts to another server or gate, or ends the request. */
void handle_refusals(tables& t, const tick_time& time);

/** Ends, retries or resumes the requests whose attempts ended. */
void end_attempts(tables& t, const tick_time& time);

/** Ends requests past their deadline, and those whose caller disconnected. */
void expire_requests(tables& t, const tick_time& time);

/** Ends all requests, as the process is about to exit. Returns their number. */
std::size_t end_requests(tables& t);

/** The error of a request that was not run because its VM is stopping. */
fail_request make_stop_error();

/** What to do after an attempt that did not give a complete response. */
enum class next_step : std::uint8_t { retry, resume, give_up };

/** Decides whether an attempt is retried or resumed. The retry budget is charged only if all other
 * conditions allow it. */
next_step choose_next_step(const request_row& request, const attempt_result& result,
                           const node_settings& settings, retry_budget& budget);

} // namespace worksshift
