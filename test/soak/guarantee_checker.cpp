#include "guarantee_checker.h"

#include <algorithm>
#include <array>

#include "support/path_rig.h"
#include "support/router_fleet.h"

namespace soak {

using namespace worksshift;
using support::body_in;
using support::header_in;

namespace {

/** Statuses that guarantee that the request was not run. */
constexpr std::array not_run{408, 421, 429, 503};
/** A configuration that was in force must not be replaced by an older one. Requests that were in
 * flight when it came into force may still be handled by the one before. */
constexpr duration rollback_slack = milliseconds(250);
/** Time for which requests are retained, so that a run after the response is detected. */
constexpr duration request_retention = seconds(15);
constexpr int unauthorized = 401;
constexpr int ok = 200;

bool guarantees_not_run(int status)
{
    return std::ranges::find(not_run, status) != not_run.end();
}

} // namespace

const std::vector<route_properties>& routes()
{
    static const std::vector<route_properties> all{
        {"/safe/x", "GET", "desk", 2, false, true},
        {"/unsafe/x", "POST", "desk", 1, false, false},
        {"/stream/x", "POST", "llm", 2, true, true},
        {"/once/x", "POST", "llm", 1, true, false},
    };
    return all;
}

const route_properties& long_stream_route()
{
    static const route_properties route{
        "/long/x", "POST", "llm", 1, true, false, milliseconds(9000), milliseconds(9000)};
    return route;
}

std::string complete_body(const route_properties& route, const std::string& id,
                          const std::string& version, unsigned after)
{
    if (!route.stream) return "answer to " + id;
    std::string body;
    for (unsigned event = after + 1; event <= events_in_full_stream; ++event) {
        body += "id: " + std::to_string(event) + "\ndata: " + id;
        body += " " + version + "\n\n";
    }
    return body;
}

request_record& guarantee_checker::record_request(const request_record& request)
{
    ++this->requests_sent;
    request_record sent_request = request;
    sent_request.router_incarnation = this->incarnations[sent_request.router].number;
    this->recent.push_back(sent_request.id);
    this->arrivals_by_service[sent_request.route->service].first_attempts.push_back(
        sent_request.sent);
    return this->requests[sent_request.id] = sent_request;
}

request_record* guarantee_checker::find(const std::string& id)
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

void guarantee_checker::report(const std::string& violation, const request_record& sent_request)
{
    this->broken.push_back(violation + ": " + std::string(sent_request.route->path) + " " +
                           sent_request.id + " router=" + std::to_string(sent_request.router) +
                           " life=" + std::to_string(sent_request.router_incarnation) +
                           " status=" + std::to_string(sent_request.status) +
                           " runs=" + std::to_string(sent_request.runs));
}

void guarantee_checker::note_disturbance(std::size_t router, instant now)
{
    this->incarnations[router].disturbed = now;
}

void guarantee_checker::note_disturbance_of_all(instant now)
{
    for (std::size_t router = 0; router < this->incarnations.size(); ++router)
        this->note_disturbance(router, now);
}

void guarantee_checker::start_incarnation(std::size_t router, instant now)
{
    router_incarnation& incarnation = this->incarnations[router];
    incarnation = {incarnation.number + 1, 0, {}, now, {}};
}

bool guarantee_checker::is_undisturbed(const request_record& sent_request,
                                       bool must_be_running) const
{
    const router_incarnation& incarnation = this->incarnations[sent_request.router];
    if (incarnation.number != sent_request.router_incarnation ||
        sent_request.sent - incarnation.disturbed < min_undisturbed_time)
        return false;
    return !must_be_running || incarnation.stopped == instant{};
}

instant guarantee_checker::confirmed_at(std::uint64_t version) const
{
    const auto found = std::ranges::find(this->configs, version, &confirmed_config::version);
    return found == this->configs.end() ? instant::max() : found->at;
}

instant guarantee_checker::replaced_at(std::uint64_t version) const
{
    const auto found = std::ranges::find_if(
        this->configs, [version](const auto& config) { return config.version > version; });
    return found == this->configs.end() ? instant::max() : found->at;
}

void guarantee_checker::record_config(std::uint64_t version, instant now)
{
    this->configs.push_back({version, now});
}

void guarantee_checker::record_leaving(const std::string& server, instant now)
{
    this->leaving_since.try_emplace(server, now);
}

/** The server must receive the caller's request, with the account instead of the API key. */
void guarantee_checker::check_forwarded(const request_record& sent_request,
                                        const std::string& request)
{
    const std::string line = std::string(sent_request.route->method) + " " +
                             std::string(sent_request.route->path) + " HTTP/1.1";
    if (!request.starts_with(line)) this->report("the request line was changed", sent_request);
    if (header_in(request, "x-tenant") != "one")
        this->report("the account header is wrong", sent_request);
    if (!header_in(request, "x-api-key").empty())
        this->report("the API key was forwarded", sent_request);
    const std::string left = header_in(request, "x-deadline-ms");
    if (left.empty() || milliseconds(std::stoi(left)) > sent_request.route->deadline)
        this->report("the deadline is missing or longer than sent", sent_request);
    const bool has_body = sent_request.route->method == "POST";
    if (has_body && body_in(request) != "{}")
        this->report("the request body was changed", sent_request);
}

void guarantee_checker::check_leaving(const std::string& server, const request_record& sent_request,
                                      instant now)
{
    const auto left = this->leaving_since.find(server);
    if (left == this->leaving_since.end() || now - left->second <= max_propagation_time) return;
    // The router must have had no fault since the server left, not only since the request was sent.
    const router_incarnation& incarnation = this->incarnations[sent_request.router];
    if (!this->is_undisturbed(sent_request, true) ||
        left->second - incarnation.disturbed < min_undisturbed_time)
        return;
    this->report("new request to " + server + " after it left", sent_request);
}

void guarantee_checker::check_retries(const route_properties& route, instant now, bool is_retry)
{
    arrivals& all = this->arrivals_by_service[route.service];
    if (is_retry) all.retries.push_back(now);
    while (!all.retries.empty() && now - all.retries.front() > retry_window)
        all.retries.pop_front();
    while (!all.first_attempts.empty() && now - all.first_attempts.front() > retry_window * 2)
        all.first_attempts.pop_front();
    const double allowed =
        retry_ratio * static_cast<double>(all.first_attempts.size()) + retry_slack;
    if (!is_retry || static_cast<double>(all.retries.size()) <= allowed) return;
    this->broken.push_back("too many retries for " + std::string(route.service) + ": " +
                           std::to_string(all.retries.size()));
}

void guarantee_checker::record_run(const std::string& server, const std::string& request,
                                   bool succeeds, instant now)
{
    request_record* sent_request = this->find(header_in(request, "x-request-id"));
    if (sent_request == nullptr) {
        this->broken.push_back("run of an unknown request: " + request.substr(0, 80));
        return;
    }
    this->check_forwarded(*sent_request, request);
    this->check_leaving(server, *sent_request, now);
    this->check_retries(*sent_request->route, now, sent_request->runs > 0);
    ++sent_request->runs;
    ++sent_request->active_runs;
    sent_request->successful_runs += succeeds ? 1 : 0;
    sent_request->servers.push_back(server);
    if (sent_request->runs > sent_request->route->attempts)
        this->report("more runs than the route allows", *sent_request);
    if (guarantees_not_run(sent_request->status))
        this->report("rejected as not run, but ran", *sent_request);
    const bool caller_left =
        sent_request->left != instant{} && now - sent_request->left > max_cancel_delay;
    if (caller_left && this->is_undisturbed(*sent_request, true) &&
        !this->may_have_been_held(server, *sent_request)) {
        this->report("sent on to " + server + " (" + this->describe_fault(server, now) +
                         ") after its caller left",
                     *sent_request);
    }
    if (sent_request->key_config_version == 0) return;
    const bool key_was_revoked =
        sent_request->sent - this->replaced_at(sent_request->key_config_version) >
        max_propagation_time;
    if (key_was_revoked && this->is_undisturbed(*sent_request, true))
        this->report("ran with a revoked API key", *sent_request);
    router_incarnation& incarnation = this->incarnations[sent_request->router];
    const bool config_regressed =
        incarnation.newest_key > sent_request->key_config_version &&
        sent_request->sent - incarnation.newest_key_seen_at > rollback_slack;
    if (incarnation.number != sent_request->router_incarnation) return;
    if (config_regressed)
        this->report("an older configuration came into force again", *sent_request);
    if (sent_request->key_config_version > incarnation.newest_key) {
        incarnation.newest_key = sent_request->key_config_version;
        incarnation.newest_key_seen_at = now;
    }
}

void guarantee_checker::record_refusal(const std::string& request, instant now)
{
    const request_record* sent_request = this->find(header_in(request, "x-request-id"));
    if (sent_request != nullptr)
        this->check_retries(*sent_request->route, now, sent_request->runs > 0);
}

void guarantee_checker::record_run_end(const std::string& request)
{
    request_record* sent_request = this->find(header_in(request, "x-request-id"));
    if (sent_request != nullptr && sent_request->active_runs > 0) --sent_request->active_runs;
}

/** A stream is written by servers of one version, which is that of the stream that it resumes. */
void guarantee_checker::check_body(request_record& sent_request, const std::string& received)
{
    const std::string body = body_in(received);
    const auto matches = [&](const std::string& version) {
        return complete_body(*sent_request.route, sent_request.id, version,
                             sent_request.resume_after)
            .starts_with(body);
    };
    const auto version = std::ranges::find_if(software_versions, matches);
    if (version == software_versions.end()) {
        this->report("unexpected response body", sent_request);
        return;
    }
    if (sent_request.route->stream && !body.empty()) {
        if (!sent_request.version.empty() && sent_request.version != *version)
            this->report("stream goes on at another software version", sent_request);
        sent_request.version = *version;
    }
    const std::string expected =
        complete_body(*sent_request.route, sent_request.id, *version, sent_request.resume_after);
    if (sent_request.complete && body != expected)
        this->report("truncated response looks complete", sent_request);
    if (sent_request.complete && !sent_request.resumes.empty()) ++this->resumed;
}

bool guarantee_checker::had_server_fault(const request_record& sent_request, instant now) const
{
    return std::ranges::any_of(sent_request.servers, [&](const std::string& server) {
        const auto found = this->faulty_since.find(server);
        return found != this->faulty_since.end() && now - found->second < min_undisturbed_time;
    });
}

bool guarantee_checker::may_have_been_held(const std::string& server,
                                           const request_record& sent_request) const
{
    const auto found = this->link_faulty_since.find(server);
    return found != this->link_faulty_since.end() && found->second >= sent_request.sent;
}

std::string guarantee_checker::describe_fault(const std::string& server, instant now) const
{
    const auto found = this->faulty_since.find(server);
    if (found == this->faulty_since.end()) return "no fault yet";
    return "last fault " + std::to_string((now - found->second) / milliseconds(1)) + " ms ago";
}

bool guarantee_checker::may_be_cut_by_stop(const request_record& sent_request, instant now) const
{
    const instant stopped = this->incarnations[sent_request.router].stopped;
    return stopped != instant{} && sent_request.sent <= stopped + early_in_a_stop &&
           now >= stopped + stop_may_cut_after;
}

/** A correct server ran the request, and the caller got no complete response. */
void guarantee_checker::check_lost(const request_record& sent_request, instant now)
{
    if (sent_request.complete || sent_request.left != instant{} ||
        sent_request.successful_runs == 0)
        return;
    if (now - sent_request.sent >= sent_request.route->timeout ||
        !this->is_undisturbed(sent_request, false) || this->may_be_cut_by_stop(sent_request, now))
        return;
    if (!this->had_server_fault(sent_request, now) &&
        sent_request.runs == sent_request.successful_runs)
        this->report("the response was cut off", sent_request);
}

void guarantee_checker::check_key(const request_record& sent_request)
{
    if (sent_request.status != unauthorized) return;
    if (sent_request.key_config_version == 0) {
        this->report("an API key of all configurations was rejected", sent_request);
        return;
    }
    const bool in_force =
        sent_request.sent - this->confirmed_at(sent_request.key_config_version) >
            max_propagation_time &&
        sent_request.answered < this->replaced_at(sent_request.key_config_version);
    if (in_force && this->is_undisturbed(sent_request, true))
        this->report("an API key in force was rejected", sent_request);
}

void guarantee_checker::record_response(request_record& sent_request, const std::string& received,
                                        instant now)
{
    sent_request.answered = now;
    sent_request.status = support::status_in(received);
    sent_request.complete = support::is_complete_response(received);
    if (sent_request.left == instant{}) ++this->by_status[sent_request.status];
    if (guarantees_not_run(sent_request.status) && sent_request.runs > 0) {
        this->report("rejected as not run, but ran", sent_request);
    }
    if (sent_request.status == ok) this->check_body(sent_request, received);
    if (sent_request.status == ok && sent_request.complete) ++this->served;
    this->check_lost(sent_request, now);
    this->check_key(sent_request);
    const bool late = now - sent_request.sent > sent_request.route->timeout + response_slack;
    if (late && this->is_undisturbed(sent_request, true))
        this->report("no response in time", sent_request);
}

void guarantee_checker::check(instant now)
{
    while (!this->recent.empty()) {
        const auto found = this->requests.find(this->recent.front());
        if (now - found->second.sent < request_retention) break;
        this->requests.erase(found);
        this->recent.pop_front();
    }
    for (auto& [id, sent_request] : this->requests) {
        const bool caller_left =
            sent_request.left != instant{} && now - sent_request.left > max_cancel_delay;
        if (!caller_left || sent_request.active_runs == 0) continue;
        const bool can_be_cancelled = sent_request.route->stream || sent_request.route->repeatable;
        if (can_be_cancelled && this->is_undisturbed(sent_request, true) &&
            !this->had_server_fault(sent_request, now)) {
            this->report("run not cancelled after its caller left", sent_request);
        }
        sent_request.active_runs = 0;
    }
}

} // namespace soak
