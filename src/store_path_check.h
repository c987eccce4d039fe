/** \file
 * Decides when a VM that reads the store linearizably checks its path to the store, by short calls
 * beside its watches.
 *
 * A watch waits for seconds, and keep-alive probes find a path that drops all packets only after up
 * to two seconds. Until then no other VM reads linearizably in place of this one. Reads no clock
 * and makes no calls.
 */
#pragma once

#include "store_watch.h"

namespace worksshift {

class store_path_check {
public:
    /** Interval between two calls. They are stale reads, at a tenth of the price. */
    static constexpr duration period = milliseconds(400);
    /** Timeout of a call: the same as for other short calls, since a store that answers more slowly
     * answers no probe, either. */
    static constexpr duration timeout = store_watch::probe_timeout;

    /** \p needed: the store answers linearizable watches of this VM. Returns whether a call is to
     * be made now; its outcome is to be passed to `end`. */
    bool begin(bool needed, instant now)
    {
        if (!needed) this->passes = true;
        if (!needed || this->pending || now - this->begun_at < period) return false;
        this->begun_at = now;
        this->pending = true;
        return true;
    }
    /** \p answered: the store answered the call. */
    void end(bool answered)
    {
        this->pending = false;
        this->passes = answered;
    }
    /** Whether the last call was answered, or none has ended since checks are needed. */
    [[nodiscard]] bool passed() const { return this->passes; }

private:
    bool pending = false;
    bool passes = true;
    instant begun_at{};
};

} // namespace worksshift
