/** \file
 * A pattern of load and faults, as a TOML file describes it, checked field by field.
 */
#pragma once

#include <string>
#include <vector>

#include "emulated_engine.h"

namespace lab {

/** One kind of request. */
struct request_kind {
    std::string name;
    double per_s = 0;                     ///< of the whole fleet, at the usual rate
    worksshift::milliseconds objective{}; ///< to the first event
    worksshift::milliseconds deadline{};
    /** Callers leave if the first event has not come by then. */
    worksshift::milliseconds patience{};
    unsigned priority = 0;
    double worth = 1;
    double worth_late = 0.3;
    std::uint32_t prompts = 1; ///< different shared parts
    std::uint32_t shared_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t answer_tokens = 1; ///< mean; they are drawn from an exponential distribution
};

/** From one moment to another, more of one kind, or of all, comes. */
struct wave {
    double from_s = 0;
    double to_s = 0;
    double times = 1;
    std::string kind; ///< empty: all
    /** Share of the kind's requests that are about one prompt; 0: as usual. */
    double hot_share = 0;
};

/** What happens to a share of the engines. */
struct engine_fault {
    enum class effect : std::uint8_t { dark, slow, leave };
    effect what = effect::dark;
    double from_s = 0;
    double to_s = 0;
    double share = 0;
    double times = 1; ///< of slow ones
};

struct pattern {
    std::string name;
    std::string answers; ///< which load it stands for
    std::string grounds; ///< where its figures come from
    double seconds = 30;
    std::size_t vms = 8;
    std::size_t engines = 18;
    engine_figures engine;
    double digest_ms = 150; ///< between what VMs tell each other
    std::vector<request_kind> kinds;
    std::vector<wave> waves;
    std::vector<engine_fault> faults;
};

/** \throws worksshift::user_error that names the file, the field and what is wrong with it. */
pattern read_pattern(const std::string& path);

} // namespace lab
