/** \file
 * Parameters of engine selection and admission control, in one place, so that experiments can vary
 * them and disable each mechanism.
 */
#pragma once

namespace worksshift {

struct placement_policy {
    /** A request is refused if it would wait for an engine slot longer than this share of the
     * shortest latency objective of its service; 0: none is refused. Processing the prompt and the
     * first decoding step take up to another third of the objective. */
    double wait_of_objective = 0.5;
    /** Share of a request's own latency objective within which its first event is expected, with
     * the wait for a slot, the reading of its prompt and the arrivals that are not yet known; 0:
     * requests are admitted by the wait for a slot alone. Off by default: with 0.8, a burst of long
     * prompts in a fleet of 87 VMs served long requests less often than less urgent ones. */
    double first_event_share = 0;
    /** While at least this share of all slots is in use, requests are admitted at the engines'
     * service rate; 0: disabled. In a fleet of 80 VMs the loads of single engines are known too
     * late: in a wave, the median time to first event was 1,000 ms with their sums alone and 290 ms
     * with both. */
    double busy_from = 0.85;
    /** Number of engines, in a prompt's rank order, that may fill up before its requests are
     * refused: while all engines are busy, a request is refused rather than its prompt copied to a
     * further engine. In a wave of long prompts this reduced copies from 770 to 110 GB, and 4% more
     * requests were served. */
    double ranks_to_wait_at = 3;
    /** Engines of lower rank are still used while their load is below this share of their slots. */
    double free_share = 0.5;
    /** A prompt is spread over enough engines that its own requests take at most this share of the
     * slots of each; 0: no prompt is spread. */
    double hot_prompt_share = 0.25;
    /** Load reports are delayed. The load bound is lowered by this many standard deviations of the
     * requests that may have reached an engine since its report; 0: reports are taken as exact. */
    double lateness_margin = 1;
    /** The load at which an engine counts as full is randomised per request by up to this many
     * requests in either direction. Loads of other VMs are known late; without this all VMs would
     * start or stop sending to an engine at the same moment. */
    double load_spread = 4;
    /** An engine whose time to first event exceeds this multiple of the first quartile counts as
     * slow and is used only if no other has a slot; 0: none counts as slow. With half of the
     * engines at a sixth of their speed during a wave of short requests, late requests fell from
     * 16% to 9%. */
    double slow_multiple = 2;
    /** A server whose smoothed pace, as stated by itself, exceeds this multiple of the median of
     * its service counts as slow; 0: stated paces are not used at all. Below it an engine keeps its
     * prompts, as processing them again elsewhere takes longer than its delay. */
    double slow_pace = 1.75;
    /** Multiple of the silence timeout after which a request is retried elsewhere if its server
     * still answers other requests. */
    double responsive_timeout_multiple = 4;
    /** At this share of recent failures, as reported by VMs of the same data centre, an engine gets
     * only occasional trial requests; 0: none is avoided. */
    double failing_share = 0.3;
    /** Above 0, reported loads of engines are lowered as the requests in flight of the data centre
     * fall; 0: a report counts unchanged until it expires. */
    double load_estimate = 1;
    /** Share of a cold server's tolerated requests per second that is used, and that determines how
     * many VMs may send them; 0: all VMs may, each an equal share. The unused third allows for VMs
     * that disagree on which VMs are alive. */
    double cold_senders = 2.0 / 3;
    /** Requests for a plain service are refused so that its mean response time stays below this
     * share of the latency objective; 0: none is refused. Off by default: with 0.45, late requests
     * at a service at its capacity fell from 35% to 17%, but in a fleet of 25 VMs three times as
     * many requests were refused as without it, and fewer were served in time. */
    double plain_response_share = 0;
};

} // namespace worksshift
