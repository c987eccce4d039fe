/** \file
 * Makes the calls to the platform's store that a `store_watch` decides on, and decodes their
 * responses.
 */
#pragma once

#include "http_client.h"
#include "store_watch.h"

namespace worksshift {

class store_watch_client {
public:
    store_watch_client(event_base* base, http_client& caller, const link_address& store,
                       const protocol& adapter, store_watch& watch);

    /** Makes the call that is due, or sets a timer for the next one. To be called after the state
     * of the `store_watch` was changed. */
    void proceed();

    /** Number of objects received so far whose name cannot be read. */
    [[nodiscard]] std::uint64_t unreadable() const { return this->unreadable_total; }
    /** Number of calls made in a read mode. */
    [[nodiscard]] std::uint64_t calls(read_mode mode) const;

private:
    void send(const store_read& call);
    void handle_response(std::uint64_t number, const http_response& response);
    object_page decode(const std::string& body);

    http_client& caller;
    link_address store;
    const protocol& adapter;
    store_watch& watch;
    timer next_call;
    std::uint64_t newest_call = 0; ///< number that `caller` gave the newest call
    std::uint64_t unreadable_total = 0;
    std::uint64_t stale_calls = 0;
    std::uint64_t linearizable_calls = 0;
};

} // namespace worksshift
