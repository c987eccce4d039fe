/** \file
 * Headers of requests that one VM relays for another, and of the responses to them. Neither callers
 * nor servers get them.
 */
#pragma once

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http_wire.h"

namespace worksshift {

/** The request was sent to no server, because the VM cannot reach one or takes no more requests;
 * another VM may serve it. The value is the reason. */
constexpr std::string_view relay_refused_header = "Worksshift-Relay-Refused";
/** Id of the server that responded. */
constexpr std::string_view relay_server_header = "Worksshift-Relay-Server";

/** In a request: ids of servers that the sending VM cannot reach, comma-separated, while it does
 * not know whether others can. */
constexpr std::string_view relay_lost_header = "Worksshift-Relay-Lost";
/** In the response: ID=AGE of each of these servers that answered this VM or another, with the time
 * since then in milliseconds, comma-separated. */
constexpr std::string_view relay_answered_header = "Worksshift-Relay-Answered";
/** Maximum number of servers in these headers. */
constexpr std::size_t max_relay_servers = 8;

/** Address of another VM that probably serves such requests. VMs that are cut off find the few that
 * are not from each other's hints, and spread over them by the hints of those. */
constexpr std::string_view relay_hint_header = "Worksshift-Relay-Hint";

/** Version of the software that began the stream, as the number of `software_version`. In a
 * request: only servers of this version may go on with it. In the response: the server's version.
 */
constexpr std::string_view relay_version_header = "Worksshift-Relay-Version";

/** Splits a list at its commas; entries beyond `max_relay_servers` are left out. */
inline std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> entries;
    std::istringstream stream(text);
    for (std::string entry;
         entries.size() < max_relay_servers && std::getline(stream, entry, ',');) {
        if (!entry.empty()) entries.push_back(std::move(entry));
    }
    return entries;
}

/** Removes the header from \p head. Returns its value; empty if there is none. */
inline std::string remove_header(http_head& head, std::string_view name)
{
    std::string value;
    std::erase_if(head.headers, [&](header& entry) {
        if (!header_names_equal(entry.name, name)) return false;
        value = std::move(entry.value);
        return true;
    });
    return value;
}

} // namespace worksshift
