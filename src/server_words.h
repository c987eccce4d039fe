/** \file
 * What servers' answers say of the servers themselves, by life: it outlasts the entry in the
 * registry, which may lapse and come back while the store is away, and ends with the life.
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

/** Lives of servers that are remembered as leaving; the oldest make room. */
constexpr std::size_t leaving_lives_at_most = 4096;

class server_words {
public:
    /** The server leaves. Nothing takes that back: an answer without the word may have been made
     * before one that has it. Returns whether it was not known. */
    bool note_leaving(server_life server)
    {
        if (!this->leaving_lives.insert(server).second) return false;
        this->in_order.push_back(server);
        if (this->in_order.size() > leaving_lives_at_most) {
            this->leaving_lives.erase(this->in_order.front());
            this->in_order.pop_front();
        }
        return true;
    }
    [[nodiscard]] bool leaving(server_life server) const
    {
        return this->leaving_lives.contains(server);
    }

    /** The server wants nothing of this VM until then. */
    void note_rest(server_life server, instant until)
    {
        instant& known = this->rests[server];
        known = std::max(known, until);
    }
    /** The epoch: it did not ask for rest. */
    [[nodiscard]] instant rests_until(server_life server) const
    {
        const auto found = this->rests.find(server);
        return found == this->rests.end() ? instant{} : found->second;
    }
    /** Drops rests that are over. */
    void forget(instant now)
    {
        std::erase_if(this->rests, [now](const auto& entry) { return entry.second <= now; });
    }

private:
    std::unordered_set<server_life> leaving_lives;
    std::deque<server_life> in_order;
    std::unordered_map<server_life, instant> rests;
};

} // namespace worksshift
