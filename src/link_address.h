/** \file
 * Network addresses of processes: an IPv4 address and a port.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace worksshift {

/** Address and port on which a VM listens. */
struct link_address {
    std::string address; ///< IPv4, dotted decimal
    std::uint16_t port = 0;
};

/** Formats as `ADDRESS:PORT`. */
std::string to_string(const link_address& from);

/** Formats an IPv4 address in host byte order as dotted decimal. */
std::string to_text(std::uint32_t address);

/** The IPv4 address in host byte order; 0 if \p text is not one in dotted decimal. */
std::uint32_t parse_ipv4(const std::string& text);

/** Converts to the form used by socket calls. \throws user_error if the address is not IPv4. */
sockaddr_in to_socket_address(const link_address& from);

/** Parses `ADDRESS:PORT`. \throws user_error naming the setting \p name if the text is invalid. */
link_address parse_address(std::string_view name, std::string_view text);

} // namespace worksshift
