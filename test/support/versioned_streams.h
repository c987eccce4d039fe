/** \file
 * Scripted servers of several software versions, whose events name the version, and the requests of
 * callers that take streams up again.
 */
#pragma once

#include <set>
#include <string>

#include "support/path_rig.h"

namespace support {

/** Id of the last event of a complete stream. */
constexpr unsigned last_event = 3;

/** Sends the events from the one after `Last-Event-Id` to \p to; each names the version. */
inline scripted_response send_events(const std::string& request, const std::string& version,
                                     unsigned to, scripted_response::then after)
{
    const std::string last = header_in(request, "last-event-id");
    std::string text = stream_head(request);
    for (unsigned id = last.empty() ? 1 : std::stoul(last) + 1; id <= to; ++id)
        text += event_chunk(id, version);
    return {text + (to == last_event ? "0\r\n\r\n" : ""), after};
}

/** A server that breaks off each new stream after its first event, and completes those that are
 * resumed. */
inline scripted_server::script breaks_new_streams(const std::string& version)
{
    return [version](const std::string& request) {
        const bool is_new = header_in(request, "last-event-id").empty();
        return is_new ? send_events(request, version, 1, scripted_response::then::close)
                      : send_events(request, version, last_event, scripted_response::then::keep);
    };
}

/** A server that stops sending after the first event of each new stream. */
inline scripted_server::script holds_new_streams(const std::string& version)
{
    return [version](const std::string& request) {
        const bool is_new = header_in(request, "last-event-id").empty();
        return send_events(request, version, is_new ? 1 : last_event,
                           scripted_response::then::keep);
    };
}

inline scripted_server::script completes_streams(const std::string& version)
{
    return [version](const std::string& request) {
        return send_events(request, version, last_event, scripted_response::then::keep);
    };
}

inline std::string new_stream(const std::string& id)
{
    return request_text("POST", "/stream/x", id, "{}");
}

/** A caller's request that goes on after the first event of the stream that began as \p began. */
inline std::string resumption(const std::string& id, const std::string& began)
{
    std::string text = new_stream(id);
    std::string headers = "Last-Event-Id: 1\r\n";
    if (!began.empty()) headers += "Resumes: " + began + "\r\n";
    return text.insert(text.find("X-Api-Key"), headers);
}

/** The software versions whose events the text contains. */
inline std::set<std::string> versions_in(const std::string& received)
{
    std::set<std::string> versions;
    const std::string body = body_in(received);
    for (const std::string version : {"v1", "v2"}) {
        if (body.find("data: " + version) != std::string::npos) versions.insert(version);
    }
    return versions;
}

inline bool is_complete(const raw_caller& caller)
{
    return caller.received.ends_with("0\r\n\r\n");
}

inline bool has_ended(const raw_caller* caller)
{
    return is_complete(*caller) || caller->closed || caller->received.starts_with("HTTP/1.1 503");
}

} // namespace support
