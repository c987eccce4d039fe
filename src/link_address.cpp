#include "link_address.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

#include "errors.h"

namespace worksshift {

std::string to_string(const link_address& from)
{
    return from.address + ":" + std::to_string(from.port);
}

std::string to_text(std::uint32_t address)
{
    in_addr binary{};
    binary.s_addr = htonl(address);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &binary, text.data(), text.size());
    return text.data();
}

std::uint32_t parse_ipv4(const std::string& text)
{
    in_addr binary{};
    return inet_pton(AF_INET, text.c_str(), &binary) == 1 ? ntohl(binary.s_addr) : 0;
}

sockaddr_in to_socket_address(const link_address& from)
{
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(from.port);
    if (inet_pton(AF_INET, from.address.c_str(), &converted.sin_addr) != 1) {
        throw user_error("listen", from.address, "not an IPv4 address: " + from.address);
    }
    return converted;
}

link_address parse_address(std::string_view name, std::string_view text)
{
    const auto fail = [&] {
        throw user_error(
            "settings", "",
            std::string(name) + "=" + std::string(text) +
                " is not ADDRESS:PORT with an IPv4 address and a port from 1 to 65535");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) fail();
    link_address result;
    result.address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    in_addr parsed{};
    const bool valid = fault == std::errc{} && end == port.data() + port.size() &&
                       result.port > 0 && inet_pton(AF_INET, result.address.c_str(), &parsed) == 1;
    if (!valid) fail();
    return result;
}

} // namespace worksshift
