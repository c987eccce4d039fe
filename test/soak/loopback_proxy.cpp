#include "loopback_proxy.h"

#include <algorithm>
#include <chrono>

namespace soak {

using namespace worksshift;

/** One direction of a connection: what is read from `socket` goes to the other half. */
struct loopback_proxy::half {
    struct late_bytes {
        instant due;
        std::string bytes;
    };

    pair* owner = nullptr;
    bool is_target = false;
    event_ptr<bufferevent> socket;
    std::deque<late_bytes> late;
};

struct loopback_proxy::pair {
    loopback_proxy* owner = nullptr;
    half caller;
    half target;
    wire_fault kind = wire_fault::none;
    bool mute = false;  ///< silent for good
    bool ended = false; ///< one side has closed
    bool over = false;  ///< to be freed
};

loopback_proxy::loopback_proxy(event_base* base, const link_address& target)
    : base(base), target(target),
      listener(base, [this](evutil_socket_t socket) { this->accept(socket); })
{
}

loopback_proxy::~loopback_proxy()
{
    this->reset_open();
}

void loopback_proxy::accept(evutil_socket_t socket)
{
    this->pairs.push_back(std::make_unique<pair>());
    pair& item = *this->pairs.back();
    item.owner = this;
    item.kind = this->kind;
    item.caller.socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    item.target.socket.reset(bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE));
    item.target.is_target = true;
    for (half* side : {&item.caller, &item.target}) {
        side->owner = &item;
        bufferevent_setcb(
            side->socket.get(),
            [](bufferevent*, void* given) {
                auto* from = static_cast<half*>(given);
                from->owner->owner->take(*from);
            },
            nullptr,
            [](bufferevent*, short what, void* given) {
                auto* from = static_cast<half*>(given);
                if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
                from->owner->owner->end(*from->owner);
            },
            side);
        bufferevent_enable(side->socket.get(), EV_READ | EV_WRITE);
    }
    const sockaddr_in to = to_socket_address(this->target);
    bufferevent_socket_connect(item.target.socket.get(), reinterpret_cast<const sockaddr*>(&to),
                               sizeof to);
}

void loopback_proxy::take(half& from)
{
    evbuffer* input = bufferevent_get_input(from.socket.get());
    std::string bytes = read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    pair& item = *from.owner;
    const bool held = item.kind == wire_fault::silent ||
                      (item.kind == wire_fault::to_target && !from.is_target) ||
                      (item.kind == wire_fault::from_target && from.is_target);
    if (item.mute || item.over) return;
    if (held || item.kind == wire_fault::delayed || !from.late.empty()) {
        const instant due = held ? instant::max() : std::chrono::steady_clock::now() + this->delay;
        from.late.push_back({due, std::move(bytes)});
        return;
    }
    const half& other = from.is_target ? item.caller : item.target;
    bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
}

/** A side has closed. The other hears of it, unless the connection is silent. */
void loopback_proxy::end(pair& item)
{
    item.ended = true;
    const bool nothing_late = item.caller.late.empty() && item.target.late.empty();
    if (item.kind == wire_fault::none && !item.mute && nothing_late) {
        item.over = true;
    }
}

void loopback_proxy::set_fault(wire_fault given, duration late_by)
{
    this->kind = given;
    this->delay = late_by;
    const instant now = std::chrono::steady_clock::now();
    for (const auto& item : this->pairs) {
        item->kind = given;
        if (given != wire_fault::none && given != wire_fault::delayed) continue;
        for (half* side : {&item->caller, &item->target}) {
            for (auto& bytes : side->late)
                bytes.due = std::min(bytes.due, now);
        }
    }
}

void loopback_proxy::silence_open()
{
    for (const auto& item : this->pairs)
        item->mute = true;
}

void loopback_proxy::reset_open()
{
    for (const auto& item : this->pairs) {
        support::close_by_reset(bufferevent_getfd(item->caller.socket.get()));
        support::close_by_reset(bufferevent_getfd(item->target.socket.get()));
        item->over = true;
    }
}

void loopback_proxy::tick(instant now)
{
    for (const auto& item : this->pairs) {
        for (half* side : {&item->caller, &item->target}) {
            const half& other = side->is_target ? item->caller : item->target;
            while (!side->late.empty() && side->late.front().due <= now) {
                const std::string& bytes = side->late.front().bytes;
                bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
                side->late.pop_front();
            }
        }
        const bool nothing_late = item->caller.late.empty() && item->target.late.empty();
        const bool tells = item->kind == wire_fault::none || item->kind == wire_fault::delayed;
        if (item->ended && !item->mute && tells && nothing_late) item->over = true;
    }
    // What was written to the side that is still open leaves before it closes.
    std::erase_if(this->pairs, [](const auto& item) {
        const auto unsent = [](const half& side) {
            return evbuffer_get_length(bufferevent_get_output(side.socket.get()));
        };
        return item->over && (!item->ended || unsent(item->caller) == 0);
    });
}

} // namespace soak
