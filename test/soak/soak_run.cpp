#include "soak_run.h"

#include <algorithm>
#include <csignal>

namespace soak {

using namespace worksshift;
using support::event_chunk;
using support::header_in;
using support::response_text;
using support::stream_head;

namespace {

constexpr std::size_t servers_per_service = 4;
constexpr std::size_t min_servers_left = 2;
constexpr std::size_t callers_per_router = 5;
constexpr std::size_t back_to_back_callers_per_router = 2;
constexpr duration fault_period = milliseconds(200);
constexpr duration planned_work_period = milliseconds(500);
/** One seed in this many has planned work only, and one faults of the store's readers only. */
constexpr std::uint64_t planned_work_seeds = 3;
constexpr std::uint64_t store_readers_seeds = 5;
constexpr duration store_readers_period = milliseconds(6500);
/** One seed in this many has crowds, beside its faults. */
constexpr std::uint64_t crowd_seeds = 4;
constexpr std::size_t crowd_size = 24;
constexpr std::size_t machine_memory_mb = 32;
constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
/** Age of stale reads in runs with faults of the store's readers. */
constexpr duration store_lag = seconds(4);
constexpr duration max_recovery_time = seconds(10);
/** A longer step delays callers, servers and the store alike, so it counts as a stall. */
constexpr duration max_step_time = milliseconds(150);

/** The example configuration with one API key more, specific to the version, and a route for long
 * streams. */
std::string config_text(std::uint64_t version)
{
    std::string text = support::example_config(version);
    const std::string keys = R"("apiKeys":["k1")";
    const std::string idle = R"("idleTimeoutMs":1000)";
    text.insert(text.find(keys) + keys.size(), R"(,"r)" + std::to_string(version) + '"');
    const std::size_t once = text.find(R"({"name":"once")");
    std::string long_route = text.substr(once, text.find('}', once) + 1 - once);
    for (std::size_t at = 0; (at = long_route.find("once")) != std::string::npos;)
        long_route.replace(at, 4, "long");
    long_route.replace(long_route.find(":1500"), 5, ":9000");
    text.insert(once, long_route + ",");
    text.replace(text.find(idle), idle.size(), R"("idleTimeoutMs":5000)");
    const std::string body = R"("maxBodyBytes":4096)";
    return text.replace(text.find(body), body.size(),
                        R"("maxBodyBytes":)" + std::to_string(max_body_bytes));
}

/** Address from which a router's calls come to the store. */
std::string store_source(std::size_t router)
{
    return "127.9.1." + std::to_string(router + 1);
}

} // namespace

soak_run::soak_run(std::uint64_t seed, std::size_t routers, duration span)
    : random(seed), back_to_back_random(seed), faults(fault_kind_of(seed)), span(span),
      memory("WORKSSHIFT_MEMORY_MB", std::to_string(machine_memory_mb)), fleet(routers),
      guarantees(routers), has_crowds(seed % crowd_seeds == 1), crowd_random(seed),
      now(std::chrono::steady_clock::now())
{
    for (std::size_t i = 0; i < routers; ++i) {
        this->store_proxies.push_back(std::make_unique<loopback_proxy>(
            this->fleet.base.get(), this->fleet.store_address(i), store_source(i)));
        this->fleet.set_store_address(i, this->store_proxies.back()->address());
    }
    this->callers.resize(routers * (callers_per_router + back_to_back_callers_per_router));
    for (std::size_t i = 0; i < routers * back_to_back_callers_per_router; ++i)
        this->callers[i].back_to_back = true;
}

soak_run::fault_kind soak_run::fault_kind_of(std::uint64_t seed)
{
    if (seed % store_readers_seeds == store_readers_seeds - 1) return fault_kind::store_readers;
    return seed % planned_work_seeds == 0 ? fault_kind::planned_work : fault_kind::all;
}

std::size_t soak_run::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->random);
}

duration soak_run::draw_span(int min_ms, int max_ms)
{
    return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(this->random));
}

void soak_run::prepare()
{
    if (this->faults == fault_kind::store_readers) this->fleet.store->stale_by = store_lag;
    this->change_config();
    for (std::size_t i = 0; i < servers_per_service; ++i) {
        this->add_server("desk");
        this->add_server("llm");
    }
    for (std::size_t i = 0; i < this->fleet.routers.size(); ++i) {
        this->fleet.start(i);
        this->guarantees.start_incarnation(i, this->now);
    }
    if (!this->fleet.wait_until_all_ready())
        this->guarantees.broken.emplace_back("routers not ready after the start");
    this->now = std::chrono::steady_clock::now();
}

void soak_run::add_server(const std::string& service)
{
    proxied_server added;
    added.id = service + std::to_string(this->next_server++);
    added.service = service;
    added.version = software_versions[this->draw(software_versions.size())];
    added.server = std::make_unique<soak_server>(
        this->fleet.base.get(),
        [this, id = added.id, version = added.version](const std::string& request) {
            return this->plan_response(id, version, request);
        },
        [this](const std::string& request) { this->guarantees.record_run_end(request); });
    added.proxy = std::make_unique<loopback_proxy>(this->fleet.base.get(), added.server->address());
    this->fleet.register_server(added.id, service, added.proxy->address(), "dc", added.version);
    this->active_servers.push_back(added.id);
    this->servers.push_back(std::move(added));
}

/** A correct response spread over time, or a faulty one while servers fail. */
response_plan soak_run::plan_response(const std::string& server, const std::string& version,
                                      const std::string& request)
{
    const bool failing = std::chrono::steady_clock::now() < this->servers_fail_until;
    const std::size_t behaviour = failing ? this->draw(10) : 9;
    const instant time = std::chrono::steady_clock::now();
    if (behaviour == 0) {
        this->guarantees.record_refusal(request, time);
        return {{{{}, response_text(503, request, "", "X-Not-Executed: 1\r\n")}},
                response_end::keep};
    }
    const request_record* sent_request = this->guarantees.find(header_in(request, "x-request-id"));
    constexpr std::size_t first_correct_behaviour = 7;
    this->guarantees.record_run(server, request, behaviour >= first_correct_behaviour, time);
    if (sent_request == nullptr) return {};
    if (sent_request->route == &long_stream_route())
        return this->apply_failure(behaviour, request, this->plan_long_stream(request, version));
    response_plan response;
    if (!sent_request->route->stream) {
        response.pieces.push_back(
            {this->draw_span(0, 40),
             response_text(200, request,
                           complete_body(*sent_request->route, sent_request->id, version))});
        return this->apply_failure(behaviour, request, response);
    }
    const std::string last = header_in(request, "last-event-id");
    response.pieces.push_back({{}, stream_head(request)});
    duration at{};
    for (unsigned event = last.empty() ? 1 : std::stoul(last) + 1; event <= events_in_full_stream;
         ++event) {
        at += this->draw_span(5, 60);
        response.pieces.push_back({at, event_chunk(event, sent_request->id + " " + version)});
    }
    response.pieces.push_back({at, "0\r\n\r\n"});
    return this->apply_failure(behaviour, request, response);
}

response_plan soak_run::plan_long_stream(const std::string& request, const std::string& version)
{
    std::uniform_int_distribution<int> pause_ms(200, 1800);
    response_plan response;
    response.pieces.push_back({{}, stream_head(request)});
    duration at{};
    for (unsigned event = 1; event <= events_in_full_stream; ++event) {
        const std::string data = header_in(request, "x-request-id") + " " + version;
        response.pieces.push_back({at, event_chunk(event, data)});
        at += milliseconds(pause_ms(this->back_to_back_random));
    }
    response.pieces.push_back({at, "0\r\n\r\n"});
    return response;
}

response_plan soak_run::apply_failure(std::size_t behaviour, const std::string& request,
                                      response_plan response)
{
    std::string& last = response.pieces.back().bytes;
    switch (behaviour) {
    case 1:
        last.resize(last.size() / 2);
        response.end = response_end::close;
        break;
    case 2:
        response.pieces.front().bytes = "rubbish\r\n\r\n";
        break;
    case 3:
        last.resize(last.size() / 2);
        response.end = response_end::reset;
        break;
    case 4:
        response.pieces.push_back(
            {response.pieces.back().after, response_text(200, request, "again")});
        break;
    case 5:
        response.pieces.clear();
        response.end = response_end::send_nothing;
        break;
    case 6:
        response.pieces = {{{}, response_text(500, request, "failed")}};
        break;
    default:
        break;
    }
    return response;
}

void soak_run::run()
{
    this->prepare();
    const instant end = this->now + this->span;
    instant next_fault = this->now + guarantee_checker::min_undisturbed_time;
    while (this->now < end) {
        if (this->now >= next_fault) {
            switch (this->faults) {
            case fault_kind::planned_work:
                this->do_planned_work();
                next_fault = this->now + planned_work_period;
                break;
            case fault_kind::store_readers:
                this->inject_store_readers_fault();
                next_fault = this->now + store_readers_period;
                break;
            case fault_kind::all:
                this->inject_random_fault();
                next_fault = this->now + fault_period;
                break;
            }
        }
        this->step();
    }
    this->check_recovery();
}

void soak_run::step()
{
    this->update_routers();
    this->update_faults();
    this->update_callers();
    this->update_crowd();
    event_base_loop(this->fleet.base.get(), EVLOOP_ONCE);
    const instant before = std::exchange(this->now, std::chrono::steady_clock::now());
    if (this->now - before > max_step_time) {
        ++this->stalls;
        this->guarantees.note_disturbance_of_all(this->now);
    }
    for (const proxied_server& proxied : this->servers) {
        proxied.server->tick(this->now);
        proxied.proxy->tick(this->now);
    }
    for (const auto& proxy : this->store_proxies)
        proxy->tick(this->now);
    this->guarantees.check(this->now);
}

/** Restarts routers that have exited and resumes those whose pause is over. */
void soak_run::update_routers()
{
    for (std::size_t i = 0; i < this->fleet.routers.size(); ++i) {
        const auto pause = this->paused.find(i);
        if (pause != this->paused.end()) {
            this->guarantees.note_disturbance(i, this->now);
            if (this->now > pause->second) {
                this->fleet.routers[i].signal(SIGCONT);
                this->paused.erase(pause);
            }
        }
        if (!this->fleet.routers[i].ended()) continue;
        this->fleet.start(i);
        this->guarantees.start_incarnation(i, this->now);
    }
}

void soak_run::update_faults()
{
    for (std::size_t i = 0; i < this->store_proxies.size(); ++i) {
        const bool store_fails = this->fleet.store->fault != fakes::store_fault::none;
        if (store_fails || this->store_proxies[i]->fault() != link_fault::none) {
            this->guarantees.note_disturbance(i, this->now);
        }
    }
    for (const proxied_server& proxied : this->servers) {
        if (this->now < this->servers_fail_until)
            this->guarantees.note_server_fault(proxied.id, this->now);
        if (proxied.proxy->fault() != link_fault::none)
            this->guarantees.note_link_fault(proxied.id, this->now);
    }
    std::erase_if(this->faulty_proxies, [this](const auto& entry) {
        if (this->now < entry.second) return false;
        entry.first->set_fault(link_fault::none);
        return true;
    });
    if (this->now >= this->store_fails_until) this->fleet.store->fault = fakes::store_fault::none;
}

/** A request that does not end: a body of the largest legal size, announced or in chunks, or a
 * head. */
support::crowd_script soak_run::draw_crowd()
{
    const std::string head = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n"
                             "X-Api-Key: k1\r\n";
    switch (this->crowd_random() % 3) {
    case 0:
        return support::announced_body(head + "Content-Length: " + std::to_string(max_body_bytes) +
                                           "\r\n\r\n",
                                       max_body_bytes, support::piece_size);
    case 1:
        return support::chunked_body(head + "Transfer-Encoding: chunked\r\n\r\n",
                                     max_body_bytes - support::piece_size);
    default:
        support::crowd_script unfinished_head;
        unfinished_head.opening = head + "X-Long: " + std::string(1000, 'x');
        return unfinished_head;
    }
}

void soak_run::update_crowd()
{
    if (!this->has_crowds || this->now < this->crowd_changes_at) return;
    if (this->crowd != nullptr) {
        this->check_memory(this->crowd_router);
        if (this->crowd_random() % 2 == 0) this->crowd->reset_half();
        this->crowd.reset();
        this->crowd_changes_at = this->now + milliseconds(300 + this->crowd_random() % 1000);
        return;
    }
    this->crowd_router = this->crowd_random() % this->fleet.routers.size();
    this->crowd = std::make_unique<support::crowd>(this->fleet.base.get(),
                                                   this->fleet.front(this->crowd_router),
                                                   this->draw_crowd(), crowd_size);
    this->crowd_changes_at = this->now + milliseconds(300 + this->crowd_random() % 1500);
}

void soak_run::check_memory(std::size_t router)
{
    const support::child& process = this->fleet.routers[router];
    if (!support::memory_is_measured || !process.running()) return;
    const std::size_t peak = support::peak_memory(process.id());
    if (peak <= machine_memory_mb * bytes_per_mb) return;
    this->guarantees.broken.push_back("router " + std::to_string(router) + " held " +
                                      std::to_string(peak) + " bytes of memory");
}

void soak_run::update_callers()
{
    for (caller& from : this->callers) {
        if (!from.request_id.empty()) {
            this->update_request(from);
        } else if (this->now >= from.next) {
            this->send_request(from);
        }
    }
}

const route_properties& soak_run::draw_route(const caller& from)
{
    if (!from.back_to_back) return routes()[this->draw(routes().size())];
    const auto unsafe = std::ranges::find(routes(), "/unsafe/x", &route_properties::path);
    const bool is_short = this->back_to_back_random() % 3 == 0;
    return is_short ? *unsafe : long_stream_route();
}

/** Sends the next request; opens a connection to a random router if none is open. */
void soak_run::send_request(caller& from)
{
    if (from.connection == nullptr || from.connection->closed) {
        from.router = from.back_to_back ? this->back_to_back_random() % this->fleet.routers.size()
                                        : this->draw(this->fleet.routers.size());
        from.connection = this->fleet.connect(from.router);
    }
    from.connection->received.clear();
    request_record sent_request;
    sent_request = std::exchange(from.broken, {});
    if (sent_request.route == nullptr) sent_request.route = &this->draw_route(from);
    sent_request.id = "q" + std::to_string(this->next_id++);
    sent_request.router = from.router;
    sent_request.sent = this->now;
    // One request in four uses the API key of one of the newest three configurations.
    constexpr std::size_t no_versioned_key = 12;
    const std::size_t age = from.back_to_back ? no_versioned_key : this->draw(12);
    if (age < 3 && this->version > age) sent_request.key_config_version = this->version - age;
    from.request_id = sent_request.id;
    const bool leaves = !from.back_to_back && this->draw(12) == 0;
    from.leave_at = leaves ? this->now + this->draw_span(1, 150) : instant{};
    this->guarantees.record_request(sent_request);
    const bool is_post = sent_request.route->method == "POST";
    std::string text = support::request_text(std::string(sent_request.route->method),
                                             std::string(sent_request.route->path), sent_request.id,
                                             is_post ? "{}" : "");
    const std::string api_key = sent_request.key_config_version == 0
                                    ? "k1"
                                    : "r" + std::to_string(sent_request.key_config_version);
    text.replace(text.find(": k1") + 2, 2, api_key);
    text.replace(text.find(": 2000") + 2, 4, std::to_string(sent_request.route->deadline.count()));
    if (!sent_request.resumes.empty()) {
        text.insert(text.find("X-Api-Key"),
                    "Last-Event-Id: " + std::to_string(sent_request.resume_after) +
                        "\r\nResumes: " + sent_request.resumes + "\r\n");
    }
    from.connection->send(text);
}

/** The caller takes up a stream that broke off after its first event. */
void soak_run::remember_broken_stream(caller& from, const request_record& sent_request)
{
    const bool broken = sent_request.route->stream && sent_request.route->repeatable &&
                        !sent_request.complete && !sent_request.version.empty();
    if (!broken) return;
    const std::string body = support::body_in(from.connection->received);
    from.broken.route = sent_request.route;
    from.broken.resumes = sent_request.resumes.empty() ? sent_request.id : sent_request.resumes;
    from.broken.version = sent_request.version;
    const std::size_t id = body.rfind("id: ");
    // A response without an event leaves the caller where it was.
    from.broken.resume_after = id == std::string::npos
                                   ? sent_request.resume_after
                                   : static_cast<unsigned>(std::stoul(body.substr(id + 4)));
}

void soak_run::update_request(caller& from)
{
    request_record* sent_request = this->guarantees.find(from.request_id);
    const std::string& received = from.connection->received;
    const bool ended = from.connection->closed || support::is_complete_response(received);
    if (sent_request != nullptr && ended)
        this->guarantees.record_response(*sent_request, received, this->now);
    if (sent_request != nullptr && ended) remember_broken_stream(from, *sent_request);
    const bool caller_leaves = from.leave_at != instant{} && this->now >= from.leave_at;
    constexpr duration max_wait_after_timeout = milliseconds(2500);
    const bool gave_up =
        sent_request == nullptr ||
        this->now - sent_request->sent > sent_request->route->timeout + max_wait_after_timeout;
    if (!ended && !caller_leaves && !gave_up) return;
    if (!ended && sent_request != nullptr) {
        sent_request->left = this->now;
        if (gave_up) this->guarantees.record_response(*sent_request, received, this->now);
    }
    if (!ended) from.connection.reset();
    from.request_id.clear();
    const bool at_once =
        from.back_to_back && sent_request != nullptr && sent_request->complete && !gave_up;
    if (at_once) {
        from.next = this->now;
    } else if (from.back_to_back) {
        from.next = this->now + milliseconds(50);
    } else {
        from.next = this->now + this->draw_span(0, 60);
    }
}

void soak_run::inject_random_fault()
{
    const std::size_t router = this->draw(this->fleet.routers.size());
    switch (this->draw(6)) {
    case 0:
    case 1:
        this->inject_router_fault(router);
        break;
    case 2:
        this->inject_store_fault(router);
        break;
    case 3:
        this->inject_server_link_fault();
        break;
    case 4:
        this->change_config();
        break;
    default:
        if (this->draw(3) == 0) {
            this->servers_fail_until = this->now + this->draw_span(300, 1500);
        } else if (this->draw(2) == 0) {
            this->remove_random_server();
        } else {
            this->add_server(this->draw(2) == 0 ? "desk" : "llm");
        }
        break;
    }
}

/** Stops and reloads of routers, and changes of the configuration and of the servers. */
void soak_run::do_planned_work()
{
    const std::size_t router = this->draw(this->fleet.routers.size());
    switch (this->draw(6)) {
    case 0:
        this->fleet.routers[router].signal(SIGHUP);
        break;
    case 1:
        this->change_config();
        break;
    case 2:
        this->remove_random_server();
        this->add_server(this->draw(2) == 0 ? "desk" : "llm");
        break;
    default:
        this->fleet.routers[router].signal(SIGTERM);
        this->guarantees.stop(router, this->now);
        break;
    }
}

void soak_run::inject_router_fault(std::size_t router)
{
    const support::child& process = this->fleet.routers[router];
    switch (this->draw(4)) {
    case 0:
        process.signal(SIGCONT);
        process.signal(SIGKILL);
        this->guarantees.note_disturbance(router, this->now);
        break;
    case 1:
        process.signal(SIGSTOP);
        this->paused[router] = this->now + this->draw_span(100, 1500);
        this->guarantees.note_disturbance(router, this->now);
        break;
    default:
        process.signal(SIGTERM);
        this->guarantees.stop(router, this->now);
        break;
    }
}

/** All routers that read the store linearizably are lost, or their path to the store, right before
 * a change. The other routers are undisturbed. */
void soak_run::inject_store_readers_fault()
{
    const std::set<std::string> readers = this->fleet.store->linearizable_watchers("config");
    const std::size_t kind = this->draw(6);
    const duration lasting = this->draw_span(3000, 5000);
    for (std::size_t router = 0; router < this->fleet.routers.size(); ++router) {
        if (!readers.contains(store_source(router))) continue;
        loopback_proxy& proxy = *this->store_proxies[router];
        this->guarantees.note_disturbance(router, this->now);
        switch (kind) {
        case 0:
            this->fleet.routers[router].signal(SIGKILL);
            break;
        case 1:
            this->fleet.routers[router].signal(SIGSTOP);
            this->paused[router] = this->now + lasting;
            break;
        case 2:
            this->fleet.routers[router].signal(SIGTERM);
            this->guarantees.stop(router, this->now);
            break;
        default:
            proxy.set_fault(static_cast<link_fault>(kind - 1));
            this->faulty_proxies[&proxy] = this->now + lasting;
            break;
        }
    }
    const instant change_at = this->now + this->draw_span(50, 1500);
    while (this->now < change_at)
        this->step();
    this->change_config();
    this->remove_random_server();
    this->add_server(this->draw(2) == 0 ? "desk" : "llm");
}

/** A fault of the store, or of one router's connections to it. */
void soak_run::inject_store_fault(std::size_t router)
{
    loopback_proxy& proxy = *this->store_proxies[router];
    switch (this->draw(7)) {
    case 0:
        this->fleet.store->fault = static_cast<fakes::store_fault>(1 + this->draw(3));
        this->store_fails_until = this->now + this->draw_span(300, 2500);
        this->guarantees.note_disturbance_of_all(this->now);
        break;
    case 1:
        this->fleet.store->lose_waiting();
        this->guarantees.note_disturbance_of_all(this->now);
        break;
    case 2:
        this->fleet.store->forget_history();
        break;
    case 3:
        proxy.reset_open_connections();
        this->guarantees.note_disturbance(router, this->now);
        break;
    case 4:
        proxy.silence_open_connections();
        this->guarantees.note_disturbance(router, this->now);
        break;
    default:
        proxy.set_fault(static_cast<link_fault>(1 + this->draw(4)), this->draw_span(20, 400));
        this->faulty_proxies[&proxy] = this->now + this->draw_span(300, 2500);
        this->guarantees.note_disturbance(router, this->now);
        break;
    }
}

/** A fault of the connections to one server. */
void soak_run::inject_server_link_fault()
{
    const proxied_server& proxied = this->servers[this->draw(this->servers.size())];
    this->guarantees.note_server_fault(proxied.id, this->now);
    switch (this->draw(4)) {
    case 0:
        proxied.proxy->reset_open_connections();
        break;
    case 1:
        proxied.proxy->silence_open_connections();
        break;
    default:
        proxied.proxy->set_fault(static_cast<link_fault>(1 + this->draw(4)),
                                 this->draw_span(20, 400));
        this->faulty_proxies[proxied.proxy.get()] = this->now + this->draw_span(300, 2000);
        break;
    }
}

/** A server is set to draining or removed; min_servers_left of its service stay. */
void soak_run::remove_random_server()
{
    const std::string id = this->active_servers[this->draw(this->active_servers.size())];
    const std::string service = id.substr(0, id.find_first_of("0123456789"));
    const auto remaining = std::ranges::count_if(
        this->active_servers, [&](const std::string& other) { return other.starts_with(service); });
    if (static_cast<std::size_t>(remaining) <= min_servers_left) return;
    if (this->draw(2) == 0) {
        this->fleet.set_server_state(id, "draining");
    } else {
        this->fleet.remove_server(id);
    }
    std::erase(this->active_servers, id);
    this->guarantees.record_leaving(id, this->now);
}

void soak_run::change_config()
{
    this->fleet.set_config(config_text(++this->version));
    this->guarantees.record_config(this->version, this->now);
}

/** Ends all faults; every router must then serve requests by the newest configuration within
 * max_recovery_time. */
void soak_run::check_recovery()
{
    this->servers_fail_until = instant{};
    this->store_fails_until = instant{};
    for (auto& [proxy, until] : this->faulty_proxies)
        until = instant{};
    for (auto& [router, until] : this->paused)
        until = instant{};
    this->change_config();
    const std::string api_key = "r" + std::to_string(this->version);
    const instant end = this->now + max_recovery_time;
    for (std::size_t router = 0; router < this->fleet.routers.size(); ++router) {
        bool served = false;
        while (!served && this->now < end) {
            request_record probe;
            probe.id = "last" + std::to_string(this->next_id++);
            probe.route = routes().data();
            probe.router = router;
            probe.sent = this->now;
            this->guarantees.record_request(probe);
            const auto connection = this->fleet.connect(router);
            std::string text = support::request_text("GET", "/safe/x", probe.id);
            connection->send(text.replace(text.find(": k1") + 2, 2, api_key));
            const instant limit = this->now + seconds(1);
            while (!connection->closed && !support::is_complete_response(connection->received) &&
                   this->now < limit) {
                this->step();
            }
            served = support::status_in(connection->received) == 200;
            const instant retry_at = this->now + milliseconds(50);
            while (!served && this->now < retry_at)
                this->step();
        }
        if (!served) {
            this->guarantees.broken.push_back("does not serve after the faults ended: router " +
                                              std::to_string(router));
        }
    }
}

} // namespace soak
