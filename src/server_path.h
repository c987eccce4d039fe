/** \file
 * Whether this VM can open connections to a server, and whether other VMs get answers from it.
 *
 * A server that this VM cannot reach has failed, or the network between the two has. Only what the
 * server did for other VMs since then tells these cases apart.
 */
#pragma once

#include <algorithm>

#include "ids.h"

namespace worksshift {

class server_path {
public:
    /** Reports of other VMs date an answer up to this much too late: their rounding, and the time
     * that the report takes. */
    static constexpr duration report_time_error = milliseconds(100);

    /** A connection could not be opened. */
    void on_connect_failed(instant now)
    {
        if (this->lost_since == instant{}) this->lost_since = now;
        this->failed_at = now;
    }
    /** A connection was opened. */
    void on_connected(instant now)
    {
        this->lost_since = {};
        this->opened_at = now;
    }
    /** Another VM reported that the server answered it at \p at. */
    void on_answered_other(instant at)
    {
        this->answered_other_at = std::max(this->answered_other_at, at);
    }

    /** Whether the last connection could not be opened. */
    [[nodiscard]] bool lost() const { return this->lost_since != instant{}; }
    /** Whether the server answered another VM after this VM lost the path to it. */
    [[nodiscard]] bool lost_here_only() const
    {
        return this->lost() && this->answered_other_at > this->lost_since + report_time_error;
    }
    /** First failure since the last connection; the epoch: not lost. */
    [[nodiscard]] instant lost_at() const { return this->lost_since; }
    /** When a connection last could not be opened; the epoch: never. */
    [[nodiscard]] instant last_failed_at() const { return this->failed_at; }
    /** When a connection was last opened; the epoch: never. */
    [[nodiscard]] instant last_opened_at() const { return this->opened_at; }
    /** When the server last answered another VM, as far as reported; the epoch: never. */
    [[nodiscard]] instant last_answered_other_at() const { return this->answered_other_at; }

private:
    instant lost_since{}; ///< first failure since the last connection; the epoch: not lost
    instant failed_at{};
    instant opened_at{};
    instant answered_other_at{};
};

} // namespace worksshift
