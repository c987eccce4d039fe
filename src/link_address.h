/** \file
 * Addresses of processes: an IPv4 number and a port.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace worksshift {

/** Where a VM listens. */
struct link_address {
    std::string address; ///< IPv4 number
    std::uint16_t port = 0;
};

/** `ADDRESS:PORT`. */
std::string to_string(const link_address& from);

/** An IPv4 number in host order as text. */
std::string to_text(std::uint32_t address);

/** For the system's socket calls. */
sockaddr_in to_socket_address(const link_address& from);

/** Parses `ADDRESS:PORT`. \throws user_error naming \p name. */
link_address parse_address(std::string_view name, std::string_view text);

} // namespace worksshift
