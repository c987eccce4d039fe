/** \file
 * The choice of a server of a plain service.
 *
 * Loads of other VMs are told a second late, many times what a plain server takes to answer. VMs
 * that all take the server which looked least loaded move as a herd from one to the next: of 295
 * VMs before six servers with six tenths of their slots in use, 620 of 1,000 requests met a full
 * queue, and none with this choice (`correctness/plain_services_at_size`). So servers are drawn at
 * random, those less often that answered late or not at all, and of two that were drawn the one is
 * taken that has fewer requests of this VM.
 */
#pragma once

#include <random>
#include <span>

#include "server_entry.h"

namespace worksshift {

/** Servers whose answers take up to this multiple of the best one's are drawn alike. What is within
 * it is mostly chance, and VMs that act on it would drive each other from server to server. */
constexpr double alike_within = 1.5;
/** No server is drawn less often than this share of the best one's, so that its return is seen. */
constexpr double least_drawn = 0.02;
/** Near servers are drawn this many times as often: bytes between data centres cost, and a server
 * gets a fifth more than its share when one data centre asks three times what the others do. */
constexpr double near_preference = 2;

struct plain_choice {
    server_entry* row = nullptr;
    double expected_s = 0; ///< until an answer of use, as the recent ones took
};

/** \p rows: those that take work, not empty. */
plain_choice choose_plain(std::span<server_entry* const> rows, const data_centre_id& here,
                          instant now, std::minstd_rand& random);

} // namespace worksshift
