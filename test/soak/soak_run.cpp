#include "soak_run.h"

#include <algorithm>
#include <csignal>

namespace soak {

using namespace worksshift;
using support::answer_text;
using support::event_chunk;
using support::header_in;
using support::stream_head;

namespace {

constexpr std::size_t servers_per_service = 4;
constexpr std::size_t min_servers_left = 2;
constexpr std::size_t callers_per_router = 5;
constexpr duration fault_period = milliseconds(200);
constexpr duration max_recovery_time = seconds(10);
/** A longer step delays callers, servers and the store alike, so it counts as a stall. */
constexpr duration max_step_time = milliseconds(150);

/** The example configuration with one API key more, specific to the version. */
std::string config_text(std::uint64_t version)
{
    std::string text = support::example_config(version);
    const std::string keys = R"("apiKeys":["k1")";
    const std::string idle = R"("idleTimeoutMs":1000)";
    text.insert(text.find(keys) + keys.size(), R"(,"r)" + std::to_string(version) + '"');
    return text.replace(text.find(idle), idle.size(), R"("idleTimeoutMs":5000)");
}

} // namespace

soak_run::soak_run(std::uint64_t seed, std::size_t routers, duration span)
    : random(seed), span(span), fleet(routers), guarantees(routers),
      now(std::chrono::steady_clock::now())
{
    for (std::size_t i = 0; i < routers; ++i) {
        this->store_proxies.push_back(
            std::make_unique<loopback_proxy>(this->fleet.base.get(), this->fleet.store_address(i)));
        this->fleet.set_store_address(i, this->store_proxies.back()->address());
    }
    this->callers.resize(routers * callers_per_router);
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
        this->guarantees.broken.emplace_back("not ready after the start");
    this->now = std::chrono::steady_clock::now();
}

void soak_run::add_server(const std::string& service)
{
    proxied_server made;
    made.id = service + std::to_string(this->next_server++);
    made.service = service;
    made.server = std::make_unique<soak_server>(
        this->fleet.base.get(),
        [this, id = made.id](const std::string& request) { return this->plan(id, request); },
        [this](const std::string& request) { this->guarantees.record_run_end(request); });
    made.proxy = std::make_unique<loopback_proxy>(this->fleet.base.get(), made.server->address());
    this->fleet.register_server(made.id, service, made.proxy->address());
    this->active_servers.push_back(made.id);
    this->servers.push_back(std::move(made));
}

/** A correct response spread over time, or a faulty one while servers fail. */
response_plan soak_run::plan(const std::string& server, const std::string& request)
{
    const bool failing = std::chrono::steady_clock::now() < this->servers_fail_until;
    const std::size_t behaviour = failing ? this->draw(10) : 9;
    const instant time = std::chrono::steady_clock::now();
    if (behaviour == 0) {
        this->guarantees.record_refusal(request, time);
        return {{{{}, answer_text(503, request, "", "X-Not-Executed: 1\r\n")}}, response_end::keep};
    }
    const asked_request* item = this->guarantees.find(header_in(request, "x-request-id"));
    constexpr std::size_t first_correct_behaviour = 7;
    this->guarantees.record_run(server, request, behaviour >= first_correct_behaviour, time);
    if (item == nullptr) return {};
    response_plan whole;
    if (!item->route->stream) {
        whole.pieces.push_back({this->draw_span(0, 40),
                                answer_text(200, request, whole_body(*item->route, item->id))});
        return this->apply_failure(behaviour, request, whole);
    }
    const std::string last = header_in(request, "last-event-id");
    whole.pieces.push_back({{}, stream_head(request)});
    duration at{};
    for (unsigned event = last.empty() ? 1 : std::stoul(last) + 1; event <= events_in_full_stream;
         ++event) {
        at += this->draw_span(5, 60);
        whole.pieces.push_back({at, event_chunk(event, item->id)});
    }
    whole.pieces.push_back({at, "0\r\n\r\n"});
    return this->apply_failure(behaviour, request, whole);
}

response_plan soak_run::apply_failure(std::size_t behaviour, const std::string& request,
                                      response_plan whole)
{
    std::string& last = whole.pieces.back().bytes;
    switch (behaviour) {
    case 1:
        last.resize(last.size() / 2);
        whole.end = response_end::close;
        break;
    case 2:
        whole.pieces.front().bytes = "rubbish\r\n\r\n";
        break;
    case 3:
        last.resize(last.size() / 2);
        whole.end = response_end::reset;
        break;
    case 4:
        whole.pieces.push_back({whole.pieces.back().after, answer_text(200, request, "again")});
        break;
    case 5:
        whole.pieces.clear();
        whole.end = response_end::send_nothing;
        break;
    case 6:
        whole.pieces = {{{}, answer_text(500, request, "failed")}};
        break;
    default:
        break;
    }
    return whole;
}

void soak_run::run()
{
    this->prepare();
    const instant end = this->now + this->span;
    instant next_fault = this->now + guarantee_checker::min_undisturbed_time;
    while (this->now < end) {
        if (this->now >= next_fault) {
            this->inject_random_fault();
            next_fault = this->now + fault_period;
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
    event_base_loop(this->fleet.base.get(), EVLOOP_ONCE);
    const instant before = std::exchange(this->now, std::chrono::steady_clock::now());
    if (this->now - before > max_step_time) {
        ++this->stalls;
        this->guarantees.note_disturbance_of_all(this->now);
    }
    for (const proxied_server& item : this->servers) {
        item.server->tick(this->now);
        item.proxy->tick(this->now);
    }
    for (const auto& proxy : this->store_proxies)
        proxy->tick(this->now);
    this->guarantees.check(this->now);
}

/** Restarts routers that have exited and resumes those whose pause is over. */
void soak_run::update_routers()
{
    for (std::size_t i = 0; i < this->fleet.routers.size(); ++i) {
        const auto wake = this->paused.find(i);
        if (wake != this->paused.end()) {
            this->guarantees.note_disturbance(i, this->now);
            if (this->now > wake->second) {
                this->fleet.routers[i].signal(SIGCONT);
                this->paused.erase(wake);
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
        const bool store = this->fleet.store->fault != fakes::store_fault::none;
        if (store || this->store_proxies[i]->fault() != link_fault::none) {
            this->guarantees.note_disturbance(i, this->now);
        }
    }
    for (const proxied_server& item : this->servers) {
        const bool failing = this->now < this->servers_fail_until;
        if (failing || item.proxy->fault() != link_fault::none) {
            this->guarantees.note_server_fault(item.id, this->now);
        }
    }
    std::erase_if(this->faulty_proxies, [this](const auto& entry) {
        if (this->now < entry.second) return false;
        entry.first->set_fault(link_fault::none);
        return true;
    });
    if (this->now >= this->store_fails_until) this->fleet.store->fault = fakes::store_fault::none;
}

void soak_run::update_callers()
{
    for (caller& item : this->callers) {
        if (!item.request_id.empty()) {
            this->update_request(item);
        } else if (this->now >= item.next) {
            this->ask(item);
        }
    }
}

/** Sends the next request; opens a connection to a random router if none is open. */
void soak_run::ask(caller& from)
{
    if (from.connection == nullptr || from.connection->closed) {
        from.router = this->draw(this->fleet.routers.size());
        from.connection = this->fleet.connect(from.router);
    }
    from.connection->received.clear();
    asked_request item;
    item.id = "q" + std::to_string(this->next_id++);
    item.route = &routes()[this->draw(routes().size())];
    item.router = from.router;
    item.sent = this->now;
    // One request in four uses the API key of one of the newest three configurations.
    const std::size_t age = this->draw(12);
    if (age < 3 && this->version > age) item.key_config_version = this->version - age;
    from.request_id = item.id;
    from.leave_at = this->draw(12) == 0 ? this->now + this->draw_span(1, 150) : instant{};
    this->guarantees.ask(item);
    const bool is_post = item.route->method == "POST";
    std::string text =
        support::request_text(std::string(item.route->method), std::string(item.route->path),
                              item.id, is_post ? "{}" : "");
    const std::string api_key =
        item.key_config_version == 0 ? "k1" : "r" + std::to_string(item.key_config_version);
    from.connection->send(text.replace(text.find(": k1") + 2, 2, api_key));
}

void soak_run::update_request(caller& from)
{
    asked_request* item = this->guarantees.find(from.request_id);
    const std::string& got = from.connection->received;
    const bool ended = from.connection->closed || support::is_complete_response(got);
    if (item != nullptr && ended) this->guarantees.record_response(*item, got, this->now);
    const bool caller_leaves = from.leave_at != instant{} && this->now >= from.leave_at;
    constexpr duration max_wait = seconds(4);
    const bool gave_up = item == nullptr || this->now - item->sent > max_wait;
    if (!ended && !caller_leaves && !gave_up) return;
    if (!ended && item != nullptr) {
        item->left = this->now;
        if (gave_up) this->guarantees.record_response(*item, got, this->now);
    }
    if (!ended) from.connection.reset();
    from.request_id.clear();
    from.next = this->now + this->draw_span(0, 60);
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
            this->leave();
        } else {
            this->add_server(this->draw(2) == 0 ? "desk" : "llm");
        }
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
    const proxied_server& item = this->servers[this->draw(this->servers.size())];
    this->guarantees.note_server_fault(item.id, this->now);
    switch (this->draw(4)) {
    case 0:
        item.proxy->reset_open_connections();
        break;
    case 1:
        item.proxy->silence_open_connections();
        break;
    default:
        item.proxy->set_fault(static_cast<link_fault>(1 + this->draw(4)), this->draw_span(20, 400));
        this->faulty_proxies[item.proxy.get()] = this->now + this->draw_span(300, 2000);
        break;
    }
}

/** A server is set to draining or removed; min_servers_left of its service stay. */
void soak_run::leave()
{
    const std::string id = this->active_servers[this->draw(this->active_servers.size())];
    const std::string service = id.substr(0, id.find_first_of("0123456789"));
    const auto others = std::ranges::count_if(
        this->active_servers, [&](const std::string& each) { return each.starts_with(service); });
    if (static_cast<std::size_t>(others) <= min_servers_left) return;
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
            asked_request last;
            last.id = "last" + std::to_string(this->next_id++);
            last.route = routes().data();
            last.router = router;
            last.sent = this->now;
            this->guarantees.ask(last);
            const auto connection = this->fleet.connect(router);
            std::string text = support::request_text("GET", "/safe/x", last.id);
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
            this->guarantees.broken.push_back("does not serve again: router " +
                                              std::to_string(router));
        }
    }
}

} // namespace soak
