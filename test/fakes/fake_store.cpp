#include "fakes/fake_store.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace fakes {

using namespace worksshift;

namespace {

constexpr std::string_view prefix = "/api/objects/";
constexpr duration tick_period = milliseconds(5);

std::string object_text(const std::string& name, std::uint64_t revision, std::uint64_t created,
                        const std::string& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(,"createRev":)" + std::to_string(created) +
           R"(,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
}

std::string join(const std::vector<std::string>& parts)
{
    std::string all;
    for (const std::string& part : parts)
        all += (all.empty() ? "" : ",") + part;
    return all;
}

} // namespace

fake_store::fake_store(event_base* base, const link_address& listen)
    : http(base, listen, [this](evhttp_request* request) { this->take(request); }),
      ticker(base, [this] { this->answer_waiting(); })
{
    this->ticker.start_every(tick_period);
}

void fake_store::add_change(const std::string& kind, const std::string& object, bool removed)
{
    const std::string flag = removed ? "true" : "false";
    this->history.push_back({this->revision, kind,
                             R"({"removed":)" + flag + R"(,"object":)" + object + "}",
                             std::chrono::steady_clock::now()});
}

void fake_store::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    stored& object = this->objects[kind][name];
    object.revision = ++this->revision;
    if (object.created == 0) object.created = object.revision;
    object.text = object_text(name, object.revision, object.created, spec);
    this->add_change(kind, object.text, false);
}

void fake_store::remove(const std::string& kind, const std::string& name)
{
    ++this->revision;
    this->add_change(kind, this->objects[kind][name].text, true);
    this->objects[kind].erase(name);
}

bool fake_store::holds(const std::string& kind, const std::string& name) const
{
    const auto found = this->objects.find(kind);
    return found != this->objects.end() && found->second.contains(name);
}

std::size_t fake_store::waiting_for(const std::string& kind) const
{
    return static_cast<std::size_t>(std::ranges::count(this->waiting, kind, &waiter::kind));
}

std::size_t fake_store::stale_waiting_for(const std::string& kind) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->waiting, [&](const waiter& item) { return item.kind == kind && item.stale; }));
}

std::set<std::string> fake_store::linearizable_watchers(const std::string& kind) const
{
    std::set<std::string> addresses;
    for (const waiter& item : this->waiting) {
        if (item.kind != kind || item.stale) continue;
        char* address = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(item.request), &address, &port);
        addresses.insert(address);
    }
    return addresses;
}

void fake_store::take(evhttp_request* request)
{
    const std::string path = path_of(request);
    const std::string kind = path.substr(std::min(prefix.size(), path.size()));
    const std::string from = query_of(request, "watch");
    const evhttp_cmd_type method = evhttp_request_get_command(request);
    const bool reads = method == EVHTTP_REQ_GET;
    if (reads) ++(from.empty() ? this->lists : this->watches);
    constexpr int busy = 503;
    constexpr int many = 429;
    switch (this->fault) {
    case store_fault::busy:
        reply_json(request, busy, "{}");
        return;
    case store_fault::many:
        reply_json(request, many, "{}");
        return;
    case store_fault::silent:
        return;
    case store_fault::none:
        break;
    }
    if (!reads) {
        this->write(request, kind, method == EVHTTP_REQ_POST);
    } else if (from.empty()) {
        this->list(request, kind);
    } else {
        this->watch(request, kind, std::stoull(from));
    }
}

void fake_store::list(evhttp_request* request, const std::string& kind)
{
    const std::string after = query_of(request, "after");
    std::vector<std::string> items;
    const auto& all = this->objects[kind];
    auto next = all.upper_bound(after);
    for (; next != all.end() && items.size() < this->page_size; ++next)
        items.push_back(next->second.text);
    const std::string more = next == all.end() ? "false" : "true";
    reply_json(request, 200,
               R"({"items":[)" + join(items) + R"(],"truncated":)" + more + R"(,"asOf":)" +
                   std::to_string(this->revision) + "}");
}

/** \p path: the kind, and the name of an object that is replaced. */
void fake_store::write(evhttp_request* request, const std::string& path, bool create)
{
    constexpr int not_found = 404;
    constexpr int conflict = 409;
    const auto body = nlohmann::json::parse(body_of(request));
    const std::string name = body.at("metadata").at("name").get<std::string>();
    const std::string kind = path.substr(0, path.find('/'));
    const bool exists = this->holds(kind, name);
    if (!this->accepts_writes || (!create && !exists)) {
        reply_json(request, not_found, "{}");
        return;
    }
    const std::uint64_t expected = body.at("metadata").value("revision", std::uint64_t{0});
    const bool stale = exists && expected != 0 && expected != this->objects[kind][name].revision;
    if ((create && exists) || stale) {
        reply_json(request, conflict, this->objects[kind][name].text);
        return;
    }
    this->put(kind, name, body.at("spec").dump());
    reply_json(request, 200, this->objects[kind][name].text);
}

void fake_store::watch(evhttp_request* request, const std::string& kind, std::uint64_t from)
{
    constexpr int gone = 410;
    if (from < this->history_from) {
        reply_json(request, gone, "{}");
        return;
    }
    const auto wait = milliseconds(std::stoull("0" + query_of(request, "waitMs")));
    const waiter item{request, kind, from, std::chrono::steady_clock::now() + wait,
                      query_of(request, "serializable") == "1"};
    if (this->answer(item, std::chrono::steady_clock::now())) return;
    this->waiting.push_back(item);
    // The request is freed with its connection when the caller closes it.
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* closed, void* self) {
            std::erase_if(static_cast<fake_store*>(self)->waiting, [closed](const waiter& each) {
                return evhttp_request_get_connection(each.request) == closed;
            });
        },
        this);
}

/** Revision of the state that a watch returns. */
std::uint64_t fake_store::visible(bool stale, instant now) const
{
    if (!stale) return this->revision;
    const auto newer = std::ranges::find_if(
        this->history, [&](const change& each) { return each.at + this->stale_by > now; });
    return newer == this->history.end() ? this->revision : newer->revision - 1;
}

/** Answers when there is a change or the wait is over. */
bool fake_store::answer(const waiter& item, instant now)
{
    const std::uint64_t newest = std::max(this->visible(item.stale, now), item.from);
    std::vector<std::string> events;
    for (const change& each : this->history) {
        if (each.kind == item.kind && each.revision > item.from && each.revision <= newest)
            events.push_back(each.event);
    }
    if (events.empty() && now < item.until) return false;
    reply_json(item.request, 200,
               R"({"events":[)" + join(events) + R"(],"asOf":)" + std::to_string(newest) + "}");
    return true;
}

void fake_store::answer_waiting()
{
    if (this->fault == store_fault::silent) return;
    const instant now = std::chrono::steady_clock::now();
    // Sending a response may close its connection, which removes the other calls pending on it.
    const std::list<waiter> current = this->waiting;
    for (const waiter& item : current) {
        const auto same = [&item](const waiter& each) { return each.request == item.request; };
        if (this->answer(item, now)) std::erase_if(this->waiting, same);
    }
}

} // namespace fakes
