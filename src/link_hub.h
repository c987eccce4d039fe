/** \file
 * Links to other VMs: one TCP connection per pair, framed and authenticated by codec.h.
 *
 * A VM connects only when it has a message to send and no connection to or from that VM is open. A
 * message that is still queued when connecting fails was never sent, and is reported as
 * undelivered; once a connection is lost, it is unknown what of the data written to it was
 * received.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <sigc++/sigc++.h>

#include "codec.h"
#include "event_loop.h"
#include "link_address.h"

namespace worksshift {

/** Counters for /metrics and for benchmarks of control traffic. */
struct link_counters {
    std::uint64_t bytes_sent = 0;
    std::uint64_t control_bytes_sent = 0; ///< all but attempts and their data
    std::uint64_t frames_refused = 0;     ///< wrong key, wrong version, malformed, too long
    std::uint64_t connections_opened = 0;
};

class link_hub {
public:
    link_hub(event_base* base, vm_id self, const link_address& listen, authenticator& auth);
    ~link_hub();
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;
    link_hub(link_hub&&) = delete;
    link_hub& operator=(link_hub&&) = delete;

    /** Sends a message; connects to \p to at \p address if there is no link. */
    void send(const vm_id& to, const link_address& address, const link_message& message);
    /** Whether there is a link on which messages to the VM are sent. */
    [[nodiscard]] bool connected(const vm_id& to) const { return this->outgoing.contains(to); }
    /** Removes links marked closed, and those whose peer has sent no hello within the timeout. */
    void sweep(instant now);

    [[nodiscard]] const link_counters& counters() const { return this->counts; }

    sigc::signal<void(const vm_id&, const link_message&)> on_message;
    sigc::signal<void(const vm_id&)> on_lost;
    /** An `open_attempt` message of which no byte was sent. */
    sigc::signal<void(const attempt_id&)> on_undelivered;

private:
    struct link;
    using link_ptr = std::unique_ptr<link>;

    void accept(evutil_socket_t socket);
    link& dial(const vm_id& to, const link_address& address);
    link& add_link(bufferevent* socket);
    void read(link& peer_link);
    void handle(link& peer_link, link_message message);
    void handle_hello(link& peer_link, const hello& greeting);
    void write(link& peer_link, const link_message& message);
    void refuse(link& peer_link, const std::string& reason);
    void close(link& peer_link);
    static void on_read(bufferevent* socket, void* context);
    static void on_event(bufferevent* socket, short what, void* context);

    event_base* base;
    vm_id self;
    authenticator& auth;
    event_ptr<evconnlistener> listener;
    std::vector<link_ptr> links;
    std::map<vm_id, link*> outgoing; ///< the link on which messages to a VM are sent
    link_counters counts;
};

} // namespace worksshift
