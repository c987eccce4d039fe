/** \file
 * The figures by which engines are chosen and requests are refused, in one place, so that
 * measurements can vary them and switch each mechanism off.
 */
#pragma once

namespace worksshift {

struct placement_policy {
    /** A request is refused if it would wait for a slot of an engine for more than this share of
     * the shortest latency objective of its service; 0 refuses nothing. Reading the prompt and the
     * first step take up to another third. */
    double wait_of_objective = 0.5;
    /** While this share of all slots is taken, requests are admitted at the engines' pace; 0
     * switches that off. Loads of single engines are known too late in a fleet of 80 VMs: with
     * their sums alone, the median first event of a wave came after 1,000 ms, and after 290 ms with
     * both. */
    double busy_from = 0.85;
    /** Engines in rank of a prompt that are let get full: a request is refused rather than have its
     * prompt copied to one more engine while all are busy. In a wave of long prompts, copies fell
     * from 770 to 110 GB with it, and 4% more requests were served. */
    double ranks_to_wait_at = 3;
    /** Beyond these an engine is taken while its load is below this share of its slots. */
    double free_share = 0.5;
    /** A prompt is spread over so many engines that its own requests take this share of the slots
     * of each; 0 spreads none. */
    double hot_prompt_share = 0.25;
    /** Loads are told late. The load bound is lower by so many standard deviations of what may have
     * come to an engine since; 0 trusts what was told. */
    double lateness_margin = 1;
    /** Requests draw the load at which an engine is full from this far to either side of it. Loads
     * of other VMs are known late; without it all VMs send to an engine, or stop, at the same
     * moment. */
    double spread_of_loads = 4;
    /** An engine whose first events come this many times as late as those of the first quartile is
     * slow, and taken only where no other has a slot; 0 calls none slow. With half of the engines
     * at a sixth of their pace beside a wave of short requests, late requests fell from 16% to 9%.
     */
    double slow_multiple = 2;
    /** A request that waits at a server which answers others is sent elsewhere only after this
     * multiple of the time that a silent server is given. */
    double patience_while_heard = 4;
    /** From this share of recent failures on, as near VMs tell them, an engine is left alone but
     * for a trial now and then; 0 leaves none alone. */
    double failing_share = 0.3;
    /** Requests in any second that may be sent to one cold server, as a share of those that it
     * bears, and VMs that may send them; 0: all VMs may, each its even share. A third leaves room
     * for VMs that disagree on who lives. */
    double cold_senders = 2.0 / 3;
};

} // namespace worksshift
