/** \file
 * A TCP proxy on loopback in front of one address, with faults that are switched on from outside:
 * bytes that come late, connections that are reset, cut one way, or fall silent.
 */
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>

#include "event_loop.h"
#include "link_address.h"
#include "support/loopback_listener.h"

namespace soak {

enum class wire_fault : std::uint8_t {
    none,
    delayed,    ///< bytes come late, in order
    silent,     ///< bytes are held until the fault is over, and nobody is told
    to_target,  ///< bytes towards the target are held
    from_target ///< bytes from the target are held
};

class loopback_proxy {
public:
    loopback_proxy(event_base* base, const worksshift::link_address& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->listener.address(); }

    /** Concerns connections that are open and those that come, until the next call. */
    void set_fault(wire_fault kind, worksshift::duration delay = {});
    /** Open connections fall silent for good; new ones work. */
    void silence_open();
    void reset_open();
    /** Moves late bytes on and frees what has ended. */
    void tick(worksshift::instant now);

    [[nodiscard]] wire_fault fault() const { return this->kind; }

private:
    struct pair;
    struct half;

    void accept(evutil_socket_t socket);
    void take(half& from);
    void end(pair& item);

    event_base* base;
    worksshift::link_address target;
    support::loopback_listener listener;
    wire_fault kind = wire_fault::none;
    worksshift::duration delay{};
    std::list<std::unique_ptr<pair>> pairs;
};

} // namespace soak
