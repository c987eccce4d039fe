/** \file
 * A plain service under load: emulated servers with few slots and a short queue, and the VMs' own
 * choices of a server, with what they tell each other as late as in a fleet of their number.
 *
 * One loop, a clock of its own, no network. The same seed gives the same run.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ids.h"

namespace lab {

/** What a plain service is asked, and what happens to its servers. */
struct plain_pattern {
    std::string name;
    std::size_t vms = 8;
    std::size_t data_centres = 4; ///< servers and VMs are spread over them in turn
    std::size_t servers = 4;
    std::uint32_t slots = 6;
    std::size_t queue = 24; ///< requests that wait at a server; it sheds what comes beyond
    double work_ms = 30;    ///< of a request, mean
    double used = 0.6;      ///< share of all slots' time that is asked for
    /** Of the requests, those of the first data centre come this many times as often. */
    double uneven = 1;
    /** From a third of the run on, the first server takes this many times as long. */
    double slow_times = 1;
    /** From a third of the run on, the first server sheds all it gets. */
    bool sheds_all = false;
    double told_after_s = 0.15; ///< from an event until other VMs know of it
    double seconds = 20;
    double late_ms = 150; ///< from the arrival to the answer
};

/** Who chooses the servers. */
enum class plain_chooser : std::uint8_t {
    product,
    uniform,      ///< at random
    single_queue, ///< all slots before one queue, which no router can have: the ceiling
};

struct plain_outcome {
    std::size_t asked = 0;
    std::size_t shed = 0; ///< sends that met a full queue
    std::size_t unserved = 0;
    std::size_t late = 0;
    double p99_ms = 0;

    [[nodiscard]] double share(std::size_t part) const
    {
        return static_cast<double>(part) / static_cast<double>(this->asked);
    }
};

plain_outcome play(const plain_pattern& given, plain_chooser chooser, std::uint64_t seed);

} // namespace lab
