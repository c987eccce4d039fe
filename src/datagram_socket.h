/** \file
 * UDP socket through which the VMs of a fleet exchange short messages. All VMs use the same port.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "event_loop.h"
#include "link_address.h"

namespace worksshift {

class datagram_socket {
public:
    /** Called with the sender's IPv4 address in host order and the bytes. */
    using receiver = std::function<void(std::uint32_t, std::string_view)>;

    /** \throws user_error if the address cannot be bound. */
    datagram_socket(event_base* base, const link_address& listen, receiver on_datagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;

    /** Sends to the same port of another VM. A failed send is treated like a lost datagram. */
    void send(std::uint32_t address, std::string_view bytes);

private:
    void receive();

    receiver on_datagram;
    std::uint16_t port;
    evutil_socket_t socket = -1;
    event_ptr<event> read_event;
};

} // namespace worksshift
