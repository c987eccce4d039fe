#include "fakes/fake_store.h"

#include <algorithm>

namespace fakes {

using namespace worksshift;

namespace {

constexpr std::string_view prefix = "/api/objects/";
constexpr duration tick_period = milliseconds(5);

std::string object_text(const std::string& name, std::uint64_t revision, const std::string& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(,"createRev":1,"finalizers":[],"deleting":false},"spec":)" + spec +
           R"(,"status":null})";
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
    ++this->revision;
    const std::string object = object_text(name, this->revision, spec);
    this->objects[kind][name] = object;
    this->add_change(kind, object, false);
}

void fake_store::remove(const std::string& kind, const std::string& name)
{
    ++this->revision;
    this->add_change(kind, this->objects[kind][name], true);
    this->objects[kind].erase(name);
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
    ++(from.empty() ? this->lists : this->watches);
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
    if (from.empty()) {
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
        items.push_back(next->second);
    const std::string more = next == all.end() ? "false" : "true";
    reply_json(request, 200,
               R"({"items":[)" + join(items) + R"(],"truncated":)" + more + R"(,"asOf":)" +
                   std::to_string(this->revision) + "}");
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
