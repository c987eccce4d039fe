/** \file
 * What servers say about themselves in responses: that they are leaving, or for how long they are
 * backing off.
 *
 * Stored by incarnation, so that it outlives the registry entry, which may expire and reappear
 * while the store is unavailable, and does not apply to the server after a restart.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <unordered_set>

#include "crash_suspects.h"
#include "ids.h"

namespace worksshift {

/** Maximum number of remembered incarnations that are leaving; the oldest are evicted. */
constexpr std::size_t max_leaving_incarnations = 4096;

class server_notices {
public:
    /** The server is leaving. This is final: a later response that does not say so may have been
     * generated before the one that does. Returns whether this is new. */
    bool note_leaving(server_incarnation server)
    {
        if (!this->leaving_incarnations.insert(server).second) return false;
        this->insertion_order.push_back(server);
        if (this->insertion_order.size() > max_leaving_incarnations) {
            this->leaving_incarnations.erase(this->insertion_order.front());
            this->insertion_order.pop_front();
        }
        return true;
    }
    [[nodiscard]] bool leaving(server_incarnation server) const
    {
        return this->leaving_incarnations.contains(server);
    }

    /** The server is backing off: this VM sends it nothing before \p until. */
    void note_backoff(server_incarnation server, instant until)
    {
        instant& known = this->backoffs[server];
        known = std::max(known, until);
    }
    /** End of the back-off period; the epoch if the server did not ask for one. */
    [[nodiscard]] instant backoff_until(server_incarnation server) const
    {
        const auto found = this->backoffs.find(server);
        return found == this->backoffs.end() ? instant{} : found->second;
    }
    /** Drops back-off periods that are over. */
    void expire_backoffs(instant now)
    {
        std::erase_if(this->backoffs, [now](const auto& entry) { return entry.second <= now; });
    }

private:
    std::unordered_set<server_incarnation> leaving_incarnations;
    std::deque<server_incarnation> insertion_order; ///< of `leaving_incarnations`, the oldest first
    std::unordered_map<server_incarnation, instant> backoffs; ///< ends of the back-off periods
};

} // namespace worksshift
