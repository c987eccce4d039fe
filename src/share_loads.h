/** \file
 * System: sends load summaries of the servers whose gate this VM is to the gates of the other
 * servers of the same service. Only those gates place requests of that service, so the traffic
 * grows with the number of servers of a service and not with the fleet.
 */
#pragma once

#include "membership.h"
#include "tables.h"

namespace worksshift {

constexpr std::size_t loads_per_datagram = 12;
/** Minimum interval between rounds per receiver, so that a VM sends at most 30 messages a second:
 * about 5 KB/s of the 12 KB/s that it may use for control traffic. */
constexpr duration load_interval_per_receiver = milliseconds(33);

/** Sends the load summaries if a round is due. \p next is the time of the next round, which is
 * updated. */
void share_loads(const tables& t, membership& members, instant& next, const tick_time& time);

} // namespace worksshift
