/** \file
 * A pattern of load and faults, read from a TOML file and validated field by field.
 */
#pragma once

#include <string>
#include <vector>

#include "emulated_engine.h"

namespace lab {

/** One kind of request. */
struct request_kind {
    std::string name;
    double per_s = 0;                     ///< of the whole fleet, outside waves
    worksshift::milliseconds objective{}; ///< to the first event
    worksshift::milliseconds deadline{};
    /** Callers leave if the first event has not come within this time. */
    worksshift::milliseconds patience{};
    unsigned priority = 0;
    double worth = 1;          ///< of a response with its first event within the objective
    double worth_late = 0.3;   ///< of a later response
    std::uint32_t prompts = 1; ///< number of different shared prompt prefixes
    std::uint32_t shared_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t answer_tokens = 1; ///< mean; drawn from an exponential distribution
};

/** A change of the request rate of one kind, or of all, for a time. */
struct wave {
    double from_s = 0;
    double to_s = 0;
    double times = 1; ///< factor on the rate
    std::string kind; ///< empty: all
    /** Share of the kind's requests that use one prompt; 0: prompts are drawn uniformly. */
    double hot_share = 0;
};

/** A fault of a share of the engines. */
struct engine_fault {
    enum class effect : std::uint8_t { dark, slow, leave };
    effect what = effect::dark;
    double from_s = 0;
    double to_s = 0;
    double share = 0;
    double times = 1; ///< factor on the step time, for `slow`
};

struct pattern {
    std::string name;
    std::string answers; ///< the load that it represents
    std::string grounds; ///< source of its figures
    double seconds = 30;
    std::size_t vms = 8;
    std::size_t engines = 18;
    engine_parameters engine;
    double digest_ms = 150; ///< interval between the digests of a VM
    /** Standard deviation of the logarithm of each engine's pace, whose mean is 1 and which changes
     * ten times a second; 0: constant. */
    double pace_spread = 0;
    bool states_pace = false; ///< the engines state it with their load
    std::vector<request_kind> kinds;
    std::vector<wave> waves;
    std::vector<engine_fault> faults;
};

/** \throws worksshift::user_error that names the file, the field and the reason. */
pattern read_pattern(const std::string& path);

} // namespace lab
