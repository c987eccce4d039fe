/** \file
 * Selection of a server of a plain service.
 *
 * Loads at other VMs are known a second late, many times the response time of a plain server. If
 * all VMs take the server that looks least loaded, they cause a thundering herd: with 295 VMs and
 * six servers at 60% of their slots, 620 of 1,000 requests met a full queue, and none with this
 * selection (`correctness/plain_services_by_fleet_size`). So this is a power-of-two-choices
 * selection: two servers are drawn at random, slow and failing ones with a lower probability, and
 * the one with fewer requests of this VM per slot is taken.
 */
#pragma once

#include <random>
#include <span>

#include "server_entry.h"

namespace worksshift {

/** Servers whose expected response time is up to this multiple of the best one's are drawn with the
 * same probability per slot. Smaller differences are mostly noise, and VMs that act on them would
 * make each other switch servers. */
constexpr double similar_time_multiple = 1.5;
/** The same for the paces that servers state, which are not affected by queueing. Without it, 84
 * VMs that follow paces which change ten times a second around 1 raised the mean response time. */
constexpr double similar_pace_multiple = 1.25;
/** Minimum weight of a server relative to the best one, so that its recovery is noticed. */
constexpr double min_draw_share = 0.02;
/** Factor on the weight of servers in the VM's own data centre, as traffic between data centres has
 * a cost. As a drawback, a server gets a fifth more than its share when its data centre sends three
 * times as many requests as the others. */
constexpr double local_weight_multiple = 2;

/** The selected server. */
struct plain_choice {
    server_entry* row = nullptr;
    double expected_s = 0; ///< expected time to a usable response, from the recent ones
};

/** Selects a server. \p rows: the candidates, not empty. \p here: the VM's data centre. */
plain_choice choose_plain(std::span<server_entry* const> rows, const data_centre_id& here,
                          instant now, std::minstd_rand& random);

} // namespace worksshift
