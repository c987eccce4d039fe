/** \file
 * TCP proxy on loopback in front of one address that injects network faults: delayed bytes, reset
 * connections, loss in one direction, and connections that stall without being closed.
 */
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>

#include "event_loop.h"
#include "link_address.h"
#include "support/loopback_listener.h"

namespace support {

/** Fault of all connections of a proxy. */
enum class link_fault : std::uint8_t {
    none,
    delayed,    ///< bytes are delayed, in order
    silent,     ///< bytes and the end of connections are held until the fault is over
    to_target,  ///< bytes towards the target are held
    from_target ///< bytes from the target are held
};

class loopback_proxy {
public:
    /** \p source: IPv4 address from which it connects to the target; empty: any. */
    loopback_proxy(event_base* base, const worksshift::link_address& target,
                   const std::string& source = {});
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    [[nodiscard]] worksshift::link_address address() const { return this->listener.address(); }

    /** Applies to open and new connections until the next call. \p delay is used by
     * link_fault::delayed. */
    void set_fault(link_fault kind, worksshift::duration delay = {});
    /** Open connections drop all bytes from now on; new ones work. */
    void silence_open_connections();
    void reset_open_connections();
    /** New connections are refused from now on; open ones work. */
    void refuse_connections() { this->listener.close(); }
    /** New connections are not answered from now on; open ones work. */
    void hold_connections() { this->listener.hold(); }
    /** New connections are accepted again. */
    void accept_connections() { this->listener.reopen(); }
    /** Forwards delayed bytes that are due and frees ended connections. */
    void tick(worksshift::instant now);

    [[nodiscard]] link_fault fault() const { return this->kind; }

private:
    struct proxied_connection;
    struct connection_side;

    void accept(evutil_socket_t socket);
    void handle_bytes(connection_side& from);
    void end(proxied_connection& connection);

    event_base* base;
    worksshift::link_address target;
    std::string source;
    loopback_listener listener;
    link_fault kind = link_fault::none;
    worksshift::duration delay{};
    std::list<std::unique_ptr<proxied_connection>> connections;
};

} // namespace support
