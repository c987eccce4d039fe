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

constexpr std::size_t servers_of_service = 4;
constexpr std::size_t servers_left_at_least = 2;
constexpr std::size_t callers_of_router = 5;
constexpr duration fault_period = milliseconds(200);
constexpr duration recovered_within = seconds(10);
/** A step that took longer held up callers, servers and the store alike. */
constexpr duration longest_step = milliseconds(150);

/** The example's configuration with a key of its own for each version. */
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
    : random(seed), span(span), fleet(routers), promises(routers),
      now(std::chrono::steady_clock::now())
{
    for (std::size_t i = 0; i < routers; ++i) {
        this->ways_to_store.push_back(
            std::make_unique<loopback_proxy>(this->fleet.base.get(), this->fleet.store_address(i)));
        this->fleet.set_store_address(i, this->ways_to_store.back()->address());
    }
    this->callers.resize(routers * callers_of_router);
}

std::size_t soak_run::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->random);
}

duration soak_run::draw_span(int least_ms, int most_ms)
{
    return milliseconds(std::uniform_int_distribution<int>(least_ms, most_ms)(this->random));
}

void soak_run::prepare()
{
    this->change_config();
    for (std::size_t i = 0; i < servers_of_service; ++i) {
        this->add_server("desk");
        this->add_server("llm");
    }
    for (std::size_t i = 0; i < this->fleet.routers.size(); ++i) {
        this->fleet.start(i);
        this->promises.start_life(i, this->now);
    }
    if (!this->fleet.all_ready()) this->promises.broken.emplace_back("not ready after the start");
    this->now = std::chrono::steady_clock::now();
}

void soak_run::add_server(const std::string& service)
{
    served made;
    made.id = service + std::to_string(this->next_server++);
    made.service = service;
    made.server = std::make_unique<soak_server>(
        this->fleet.base.get(),
        [this, id = made.id](const std::string& request) { return this->plan(id, request); },
        [this](const std::string& request) { this->promises.end_run(request); });
    made.way = std::make_unique<loopback_proxy>(this->fleet.base.get(), made.server->address());
    this->fleet.list_server(made.id, service, made.way->address());
    this->listed.push_back(made.id);
    this->servers.push_back(std::move(made));
}

/** The whole answer over some time, or what a failing server makes of it. */
answer_plan soak_run::plan(const std::string& server, const std::string& request)
{
    const bool failing = std::chrono::steady_clock::now() < this->servers_fail_until;
    const std::size_t conduct = failing ? this->draw(10) : 9;
    const instant time = std::chrono::steady_clock::now();
    if (conduct == 0) {
        this->promises.take_refusal(request, time);
        return {{{{}, answer_text(503, request, "", "X-Not-Executed: 1\r\n")}}, answer_end::keep};
    }
    const asked_request* item = this->promises.find(header_in(request, "x-request-id"));
    constexpr std::size_t first_sound = 7;
    this->promises.take_run(server, request, conduct >= first_sound, time);
    if (item == nullptr) return {};
    answer_plan whole;
    if (!item->route->stream) {
        whole.pieces.push_back({this->draw_span(0, 40),
                                answer_text(200, request, whole_body(*item->route, item->id))});
        return this->spoil(conduct, request, whole);
    }
    const std::string last = header_in(request, "last-event-id");
    whole.pieces.push_back({{}, stream_head(request)});
    duration at{};
    for (unsigned event = last.empty() ? 1 : std::stoul(last) + 1; event <= events_in_stream;
         ++event) {
        at += this->draw_span(5, 60);
        whole.pieces.push_back({at, event_chunk(event, item->id)});
    }
    whole.pieces.push_back({at, "0\r\n\r\n"});
    return this->spoil(conduct, request, whole);
}

answer_plan soak_run::spoil(std::size_t conduct, const std::string& request, answer_plan whole)
{
    std::string& last = whole.pieces.back().bytes;
    switch (conduct) {
    case 1:
        last.resize(last.size() / 2);
        whole.end = answer_end::close;
        break;
    case 2:
        whole.pieces.front().bytes = "rubbish\r\n\r\n";
        break;
    case 3:
        last.resize(last.size() / 2);
        whole.end = answer_end::reset;
        break;
    case 4:
        whole.pieces.push_back({whole.pieces.back().after, answer_text(200, request, "again")});
        break;
    case 5:
        whole.pieces.clear();
        whole.end = answer_end::say_nothing;
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
    instant next_fault = this->now + promise_ledger::calm_after;
    while (this->now < end) {
        if (this->now >= next_fault) {
            this->disturb();
            next_fault = this->now + fault_period;
        }
        this->step();
    }
    this->recover();
}

void soak_run::step()
{
    this->tend_routers();
    this->tend_ways();
    this->tend_callers();
    event_base_loop(this->fleet.base.get(), EVLOOP_ONCE);
    const instant before = std::exchange(this->now, std::chrono::steady_clock::now());
    if (this->now - before > longest_step) {
        ++this->stalls;
        this->promises.disturb_all(this->now);
    }
    for (const served& item : this->servers) {
        item.server->tick(this->now);
        item.way->tick(this->now);
    }
    for (const auto& way : this->ways_to_store)
        way->tick(this->now);
    this->promises.check(this->now);
}

/** Starts what has ended, and wakes what was paused for long enough. */
void soak_run::tend_routers()
{
    for (std::size_t i = 0; i < this->fleet.routers.size(); ++i) {
        const auto wake = this->paused.find(i);
        if (wake != this->paused.end()) {
            this->promises.disturb(i, this->now);
            if (this->now > wake->second) {
                this->fleet.routers[i].signal(SIGCONT);
                this->paused.erase(wake);
            }
        }
        if (!this->fleet.routers[i].ended()) continue;
        this->fleet.start(i);
        this->promises.start_life(i, this->now);
    }
}

void soak_run::tend_ways()
{
    for (std::size_t i = 0; i < this->ways_to_store.size(); ++i) {
        const bool store = this->fleet.store->fault != fakes::store_fault::none;
        if (store || this->ways_to_store[i]->fault() != wire_fault::none) {
            this->promises.disturb(i, this->now);
        }
    }
    for (const served& item : this->servers) {
        const bool failing = this->now < this->servers_fail_until;
        if (failing || item.way->fault() != wire_fault::none) {
            this->promises.harm(item.id, this->now);
        }
    }
    std::erase_if(this->faulty_ways, [this](const auto& entry) {
        if (this->now < entry.second) return false;
        entry.first->set_fault(wire_fault::none);
        return true;
    });
    if (this->now >= this->store_fails_until) this->fleet.store->fault = fakes::store_fault::none;
}

void soak_run::tend_callers()
{
    for (caller& item : this->callers) {
        if (!item.asking.empty()) {
            this->take(item);
        } else if (this->now >= item.next) {
            this->ask(item);
        }
    }
}

/** Sends the next request, on the open connection if there is one. */
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
    // One request in four brings the key of one of the newest three configurations.
    const std::size_t age = this->draw(12);
    if (age < 3 && this->version > age) item.key = this->version - age;
    from.asking = item.id;
    from.leave_at = this->draw(12) == 0 ? this->now + this->draw_span(1, 150) : instant{};
    this->promises.ask(item);
    const bool post = item.route->method == "POST";
    std::string text = support::request_text(
        std::string(item.route->method), std::string(item.route->path), item.id, post ? "{}" : "");
    const std::string key = item.key == 0 ? "k1" : "r" + std::to_string(item.key);
    from.connection->send(text.replace(text.find(": k1") + 2, 2, key));
}

void soak_run::take(caller& from)
{
    asked_request* item = this->promises.find(from.asking);
    const std::string& got = from.connection->received;
    const bool ended = from.connection->closed || support::is_whole(got);
    if (item != nullptr && ended) this->promises.take_answer(*item, got, this->now);
    const bool leaves = from.leave_at != instant{} && this->now >= from.leave_at;
    constexpr duration given_up_after = seconds(4);
    const bool hopeless = item == nullptr || this->now - item->sent > given_up_after;
    if (!ended && !leaves && !hopeless) return;
    if (!ended && item != nullptr) {
        item->left = this->now;
        if (hopeless) this->promises.take_answer(*item, got, this->now);
    }
    if (!ended) from.connection.reset();
    from.asking.clear();
    from.next = this->now + this->draw_span(0, 60);
}

void soak_run::disturb()
{
    const std::size_t router = this->draw(this->fleet.routers.size());
    switch (this->draw(6)) {
    case 0:
    case 1:
        this->disturb_router(router);
        break;
    case 2:
        this->disturb_store(router);
        break;
    case 3:
        this->disturb_way();
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

void soak_run::disturb_router(std::size_t router)
{
    const support::child& process = this->fleet.routers[router];
    switch (this->draw(4)) {
    case 0:
        process.signal(SIGCONT);
        process.signal(SIGKILL);
        this->promises.disturb(router, this->now);
        break;
    case 1:
        process.signal(SIGSTOP);
        this->paused[router] = this->now + this->draw_span(100, 1500);
        this->promises.disturb(router, this->now);
        break;
    default:
        process.signal(SIGTERM);
        this->promises.stop(router, this->now);
        break;
    }
}

/** The store fails for all, or the way of one router to it does. */
void soak_run::disturb_store(std::size_t router)
{
    loopback_proxy& way = *this->ways_to_store[router];
    switch (this->draw(7)) {
    case 0:
        this->fleet.store->fault = static_cast<fakes::store_fault>(1 + this->draw(3));
        this->store_fails_until = this->now + this->draw_span(300, 2500);
        this->promises.disturb_all(this->now);
        break;
    case 1:
        this->fleet.store->lose_waiting();
        this->promises.disturb_all(this->now);
        break;
    case 2:
        this->fleet.store->forget_history();
        break;
    case 3:
        way.reset_open();
        this->promises.disturb(router, this->now);
        break;
    case 4:
        way.silence_open();
        this->promises.disturb(router, this->now);
        break;
    default:
        way.set_fault(static_cast<wire_fault>(1 + this->draw(4)), this->draw_span(20, 400));
        this->faulty_ways[&way] = this->now + this->draw_span(300, 2500);
        this->promises.disturb(router, this->now);
        break;
    }
}

/** The way to one server fails. */
void soak_run::disturb_way()
{
    const served& item = this->servers[this->draw(this->servers.size())];
    this->promises.harm(item.id, this->now);
    switch (this->draw(4)) {
    case 0:
        item.way->reset_open();
        break;
    case 1:
        item.way->silence_open();
        break;
    default:
        item.way->set_fault(static_cast<wire_fault>(1 + this->draw(4)), this->draw_span(20, 400));
        this->faulty_ways[item.way.get()] = this->now + this->draw_span(300, 2000);
        break;
    }
}

/** A server drains, or is taken off the list; some of each service always stay. */
void soak_run::leave()
{
    const std::string id = this->listed[this->draw(this->listed.size())];
    const std::string service = id.substr(0, id.find_first_of("0123456789"));
    const auto others = std::ranges::count_if(
        this->listed, [&](const std::string& each) { return each.starts_with(service); });
    if (static_cast<std::size_t>(others) <= servers_left_at_least) return;
    if (this->draw(2) == 0) {
        this->fleet.set_server_state(id, "draining");
    } else {
        this->fleet.remove_server(id);
    }
    std::erase(this->listed, id);
    this->promises.take_leaving(id, this->now);
}

void soak_run::change_config()
{
    this->fleet.set_config(config_text(++this->version));
    this->promises.take_config(this->version, this->now);
}

/** All faults end; every router must serve again soon, by the newest configuration. */
void soak_run::recover()
{
    this->servers_fail_until = instant{};
    this->store_fails_until = instant{};
    for (auto& [way, until] : this->faulty_ways)
        until = instant{};
    for (auto& [router, until] : this->paused)
        until = instant{};
    this->change_config();
    const std::string key = "r" + std::to_string(this->version);
    const instant end = this->now + recovered_within;
    for (std::size_t router = 0; router < this->fleet.routers.size(); ++router) {
        bool served = false;
        while (!served && this->now < end) {
            asked_request last;
            last.id = "last" + std::to_string(this->next_id++);
            last.route = routes().data();
            last.router = router;
            last.sent = this->now;
            this->promises.ask(last);
            const auto connection = this->fleet.connect(router);
            std::string text = support::request_text("GET", "/safe/x", last.id);
            connection->send(text.replace(text.find(": k1") + 2, 2, key));
            const instant limit = this->now + seconds(1);
            while (!connection->closed && !support::is_whole(connection->received) &&
                   this->now < limit) {
                this->step();
            }
            served = support::status_in(connection->received) == 200;
            const instant again = this->now + milliseconds(50);
            while (!served && this->now < again)
                this->step();
        }
        if (!served) {
            this->promises.broken.push_back("does not serve again: router " +
                                            std::to_string(router));
        }
    }
}

} // namespace soak
