/** \file
 * The part of `request_path` that keeps each event stream at one version of the server software.
 *
 * What two versions write does not fit together, and servers do not check it. The version that
 * wrote a stream's first event is required of all servers that go on with it, within the response
 * and when its caller takes the stream up again. If nobody knows it, the request is refused.
 */
#include "log.h"
#include "request_path.h"

namespace worksshift {

namespace {

constexpr int ok = 200;
constexpr std::string_view resume_step = "resume";

instant now()
{
    return std::chrono::steady_clock::now();
}

/** The server of the current attempt, also if it answers through another VM; empty: not known. */
const server_id& answering_server(const live_request& request)
{
    return request.row == nullptr ? request.relay_server : request.row->record.id;
}

} // namespace

/** Determines the version that must go on with a stream that the caller takes up. Returns false if
 * it is being asked for, or if the request was refused. */
bool request_path::resolve_version(live_request& request)
{
    const bool resumed = request.matched_route->resumable && request.metadata.last_event_id;
    const bool named = resumed && !request.metadata.resumes.empty();
    request.stream = stream_key_of(named ? request.metadata.resumes : request.metadata.id);
    if (!resumed) {
        request.required_version.reset();
        return true;
    }
    if (request.required_version) {
        this->require_version(request, request.required_version, "vm");
    } else if (!named) {
        // Callers that do not name the stream can go on while there is nothing to confuse.
        const auto version = this->table.only_version(request.service, now());
        if (!version) {
            this->find_only_version(request);
            return false;
        }
        this->require_version(request, version, "only_version");
    } else if (const auto known = this->origins.find(request.stream)) {
        this->require_version(request, known, "here");
    } else {
        this->awaiting_version.emplace(request.stream, request.id);
        this->origins.ask(request.stream, now());
        return false;
    }
    return !request.ended;
}

/** The other VMs were asked for the version that began a stream. */
void request_path::on_stream_version(stream_key stream, std::optional<software_version> version)
{
    const auto [first, last] = this->awaiting_version.equal_range(stream);
    std::vector<std::uint64_t> ids;
    for (auto entry = first; entry != last; ++entry)
        ids.push_back(entry->second);
    this->awaiting_version.erase(first, last);
    for (const std::uint64_t id : ids) {
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second->ended) continue;
        live_request& request = *found->second;
        if (!version) {
            // No VM that is left has passed it on, as after the loss of all VMs.
            this->find_only_version(request);
            continue;
        }
        this->require_version(request, version, "asked");
        if (!request.ended) this->dispatch(request);
    }
}

/** Asks for the only version of the service, unless this VM knows that there were several. */
void request_path::find_only_version(live_request& request)
{
    if (this->table.has_had_several_versions(request.service, now())) {
        this->require_version(request, std::nullopt, "several_versions");
    } else {
        this->ask_only_version(request.service, request.id);
    }
}

void request_path::on_only_version(std::uint64_t id, std::optional<software_version> version)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second->ended) return;
    live_request& request = *found->second;
    this->require_version(request, version, "version_log");
    if (!request.ended) this->dispatch(request);
}

/** Binds a resumed request to the version, or refuses it if that is not known. */
void request_path::require_version(live_request& request, std::optional<software_version> version,
                                   std::string_view source)
{
    const bool known = version.value_or(software_version::unknown) != software_version::unknown;
    log_event(log_level::info, "resumption",
              {{"request", request.metadata.id},
               {"resumes", request.metadata.resumes},
               {"source", source},
               {"known", known ? 1 : 0},
               {"version", static_cast<std::uint32_t>(version.value_or(software_version::unknown))},
               {"waited_ms", (now() - request.arrived_at) / milliseconds(1)}});
    this->telemetry.count("worksshift_resumptions_total{known=\"" + std::to_string(known ? 1 : 0) +
                          "\"}");
    request.required_version = version;
    if (!known) {
        this->fail(request, resume_step.data(),
                   "the software version that began the stream is not known");
    }
}

/** Whether the current entry of the server that answers names the version that its entry named when
 * the request was sent. If not, the process that answers may have either version. */
bool request_path::has_certain_version(const live_request& request) const
{
    // Another VM states the version by its own registry, which may be newer.
    if (request.row == nullptr) return true;
    const server_entry* row = this->table.find(request.row->record.id);
    return row != nullptr && row->software == request.attempt_version;
}

/** The first event of a stream is about to be passed on. Its version is told to other VMs before,
 * so that they know it when this VM is lost and the caller comes to them. */
void request_path::begin_stream(live_request& request)
{
    if (!request.matched_route->resumable) return;
    const bool certain = this->has_certain_version(request);
    request.required_version = certain ? request.attempt_version : software_version::unknown;
    // The VM to which the caller is connected tells the others.
    if (request.from_vm || *request.required_version == software_version::unknown) return;
    this->origins.announce({request.stream, *request.required_version}, now());
}

/** A server writes its entry some time after its start, so streams that are in progress when the
 * entry of a new process arrives may have been begun by that process, at its version. */
void request_path::on_server_restarted(const server_id& server)
{
    const server_entry* row = this->table.find(server);
    if (row == nullptr) return;
    for (live_request* request : this->requests_in_progress()) {
        const bool begun = request->response_begun && request->required_version &&
                           *request->required_version != software_version::unknown;
        if (!begun || answering_server(*request) != server ||
            request->attempt_version == row->software)
            continue;
        log_event(log_level::info, "stream_version_uncertain",
                  {{"request", request->metadata.id},
                   {"server", server.text},
                   {"version", static_cast<std::uint32_t>(*request->required_version)},
                   {"events", request->events.events()}});
        this->telemetry.count("worksshift_uncertain_streams_total");
        request->required_version = software_version::unknown;
        // The VM to which the caller is connected tells the others.
        if (!request->from_vm)
            this->origins.announce({request->stream, software_version::unknown}, now());
    }
}

/** Whether the server that answers through another VM may not go on with the stream. */
bool request_path::has_wrong_version(const live_request& request, int status) const
{
    if (!request.required_version || status != ok) return false;
    return request.attempt_version == software_version::unknown ||
           request.attempt_version != *request.required_version;
}

} // namespace worksshift
