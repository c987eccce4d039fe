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
constexpr duration request_retention = seconds(10);
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

std::string whole_body(const route_properties& route, const std::string& id)
{
    if (!route.stream) return "answer to " + id;
    std::string body;
    for (unsigned event = 1; event <= events_in_full_stream; ++event)
        body += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    return body;
}

asked_request& guarantee_checker::ask(const asked_request& given)
{
    ++this->asked;
    asked_request item = given;
    item.router_incarnation = this->incarnations[item.router].number;
    this->recent.push_back(item.id);
    this->arrivals_by_service[item.route->service].first_attempts.push_back(item.sent);
    return this->requests[item.id] = item;
}

asked_request* guarantee_checker::find(const std::string& id)
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

void guarantee_checker::report(const std::string& what, const asked_request& item)
{
    this->broken.push_back(what + ": " + std::string(item.route->path) + " " + item.id +
                           " router=" + std::to_string(item.router) +
                           " life=" + std::to_string(item.router_incarnation) + " status=" +
                           std::to_string(item.status) + " runs=" + std::to_string(item.runs));
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

bool guarantee_checker::is_undisturbed(const asked_request& item, bool must_be_running) const
{
    const router_incarnation& incarnation = this->incarnations[item.router];
    if (incarnation.number != item.router_incarnation ||
        item.sent - incarnation.disturbed < min_undisturbed_time)
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
        this->configs, [version](const auto& item) { return item.version > version; });
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
void guarantee_checker::check_forwarded(const asked_request& item, const std::string& request)
{
    const std::string line =
        std::string(item.route->method) + " " + std::string(item.route->path) + " HTTP/1.1";
    if (!request.starts_with(line)) this->report("another request line", item);
    if (header_in(request, "x-tenant") != "one") this->report("not the account's name", item);
    if (!header_in(request, "x-api-key").empty()) this->report("the key was passed on", item);
    const std::string left = header_in(request, "x-deadline-ms");
    constexpr int given_ms = 2000;
    if (left.empty() || std::stoi(left) > given_ms) this->report("a longer deadline", item);
    const bool has_body = item.route->method == "POST";
    if (has_body && body_in(request) != "{}") this->report("another body", item);
}

void guarantee_checker::check_leaving(const std::string& server, const asked_request& item,
                                      instant now)
{
    const auto left = this->leaving_since.find(server);
    if (left == this->leaving_since.end() || now - left->second <= max_propagation_time) return;
    // The router must have had no fault since the server left, not only since the request was sent.
    const router_incarnation& incarnation = this->incarnations[item.router];
    if (!this->is_undisturbed(item, true) ||
        left->second - incarnation.disturbed < min_undisturbed_time)
        return;
    this->report("new work for " + server + " after it had left", item);
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
    this->broken.push_back("too many repeats for " + std::string(route.service) + ": " +
                           std::to_string(all.retries.size()));
}

void guarantee_checker::record_run(const std::string& server, const std::string& request,
                                   bool sound, instant now)
{
    asked_request* item = this->find(header_in(request, "x-request-id"));
    if (item == nullptr) {
        this->broken.push_back("a run that nobody asked for: " + request.substr(0, 80));
        return;
    }
    this->check_forwarded(*item, request);
    this->check_leaving(server, *item, now);
    this->check_retries(*item->route, now, item->runs > 0);
    ++item->runs;
    ++item->active_runs;
    item->successful_runs += sound ? 1 : 0;
    item->servers.push_back(server);
    if (item->runs > item->route->attempts) this->report("ran too often", *item);
    if (guarantees_not_run(item->status)) this->report("refused as not run, and ran", *item);
    const bool caller_left = item->left != instant{} && now - item->left > max_cancel_delay;
    if (caller_left && this->is_undisturbed(*item, true))
        this->report("sent on after its caller left", *item);
    if (item->key_config_version == 0) return;
    const bool key_was_revoked =
        item->sent - this->replaced_at(item->key_config_version) > max_propagation_time;
    if (key_was_revoked && this->is_undisturbed(*item, true))
        this->report("ran by a key taken back", *item);
    router_incarnation& incarnation = this->incarnations[item->router];
    const bool config_regressed = incarnation.newest_key > item->key_config_version &&
                                  item->sent - incarnation.newest_key_seen_at > rollback_slack;
    if (incarnation.number != item->router_incarnation) return;
    if (config_regressed) this->report("an older configuration came back", *item);
    if (item->key_config_version > incarnation.newest_key) {
        incarnation.newest_key = item->key_config_version;
        incarnation.newest_key_seen_at = now;
    }
}

void guarantee_checker::record_refusal(const std::string& request, instant now)
{
    const asked_request* item = this->find(header_in(request, "x-request-id"));
    if (item != nullptr) this->check_retries(*item->route, now, item->runs > 0);
}

void guarantee_checker::record_run_end(const std::string& request)
{
    asked_request* item = this->find(header_in(request, "x-request-id"));
    if (item != nullptr && item->active_runs > 0) --item->active_runs;
}

void guarantee_checker::check_body(const asked_request& item, const std::string& received)
{
    const std::string expected = whole_body(*item.route, item.id);
    const std::string body = body_in(received);
    if (!expected.starts_with(body)) this->report("not its own answer", item);
    if (item.whole && body != expected) this->report("broken, and looks whole", item);
}

bool guarantee_checker::had_server_fault(const asked_request& item, instant now) const
{
    return std::ranges::any_of(item.servers, [&](const std::string& server) {
        const auto found = this->faulty_since.find(server);
        return found != this->faulty_since.end() && now - found->second < min_undisturbed_time;
    });
}

/** A correct server ran the request, and the caller got no complete response. */
void guarantee_checker::check_lost(const asked_request& item, instant now)
{
    if (item.whole || item.left != instant{} || item.successful_runs == 0) return;
    if (now - item.sent >= timeout || !this->is_undisturbed(item, false)) return;
    if (!this->had_server_fault(item, now) && item.runs == item.successful_runs)
        this->report("cut off", item);
}

void guarantee_checker::check_key(const asked_request& item)
{
    if (item.status != unauthorized) return;
    if (item.key_config_version == 0) {
        this->report("a key of all configurations was refused", item);
        return;
    }
    const bool in_force =
        item.sent - this->confirmed_at(item.key_config_version) > max_propagation_time &&
        item.answered < this->replaced_at(item.key_config_version);
    if (in_force && this->is_undisturbed(item, true))
        this->report("a key in force was refused", item);
}

void guarantee_checker::record_response(asked_request& item, const std::string& received,
                                        instant now)
{
    item.answered = now;
    item.status = support::status_in(received);
    item.whole = support::is_complete_response(received);
    if (item.left == instant{}) ++this->by_status[item.status];
    if (guarantees_not_run(item.status) && item.runs > 0) {
        this->report("refused as not run, and ran", item);
    }
    if (item.status == ok) this->check_body(item, received);
    if (item.status == ok && item.whole) ++this->served;
    this->check_lost(item, now);
    this->check_key(item);
    const bool late = now - item.sent > timeout + response_slack;
    if (late && this->is_undisturbed(item, true)) this->report("held past its time", item);
}

void guarantee_checker::check(instant now)
{
    while (!this->recent.empty()) {
        const auto found = this->requests.find(this->recent.front());
        if (now - found->second.sent < request_retention) break;
        this->requests.erase(found);
        this->recent.pop_front();
    }
    for (auto& [id, item] : this->requests) {
        const bool caller_left = item.left != instant{} && now - item.left > max_cancel_delay;
        if (!caller_left || item.active_runs == 0) continue;
        const bool can_be_cancelled = item.route->stream || item.route->repeatable;
        if (can_be_cancelled && this->is_undisturbed(item, true) &&
            !this->had_server_fault(item, now)) {
            this->report("a server works on after the caller left", item);
        }
        item.active_runs = 0;
    }
}

} // namespace soak
