/** \file
 * Phases of a graceful shutdown, and the decision whether a request that arrives during it is
 * served.
 *
 * A VM must not accept a request that cannot end before the process is killed. New connections are
 * accepted for the first part of the grace period, while the load balancer still sends callers.
 * Later, requests arrive only on connections that were open before. Those whose deadline comes too
 * late are refused, so that their callers can go to another VM at once.
 *
 * Reads no clock.
 */
#pragma once

#include "ids.h"

namespace worksshift {

class graceful_stop {
public:
    /** How long new connections are accepted by default. The platform's load balancer removes a VM
     * after two failed readiness checks one second apart. Accepting for longer risks requests that
     * cannot finish within the grace period: a response of five seconds, accepted after 3.2 s, was
     * cut off. */
    static constexpr duration default_accept_time = milliseconds(2700);
    /** Requests in progress are ended this long before the end of the grace period. */
    static constexpr duration end_margin = milliseconds(400);
    /** The process exits this long before it would be killed. Between the two margins, callers
     * read the last responses. */
    static constexpr duration exit_margin = milliseconds(150);

    /** \p span: from the stop request until the process is killed. */
    void set_grace(duration span) { this->grace = span; }
    /** \p span: for which new connections are accepted, at most half of the time until requests in
     * progress are ended. */
    void set_accept_time(duration span) { this->accept_time = span; }
    /** The stop request; further ones have no effect. */
    void begin(instant now);
    [[nodiscard]] bool stopping() const { return this->began_at != instant{}; }
    [[nodiscard]] bool accepts_connections(instant now) const;
    /** Whether a request that arrives now is served. */
    [[nodiscard]] bool serves(instant now, instant deadline) const;
    /** How long the shutdown has lasted; zero if none has begun. */
    [[nodiscard]] duration elapsed(instant now) const;
    /** When requests that are still in progress are ended. */
    [[nodiscard]] instant requests_end_at() const;
    /** When the process exits at the latest. */
    [[nodiscard]] instant exit_at() const;

private:
    duration grace = seconds(8);
    duration accept_time = default_accept_time;
    instant began_at{}; ///< the epoch: not stopping
};

} // namespace worksshift
