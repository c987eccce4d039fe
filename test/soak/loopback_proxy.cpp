#include "loopback_proxy.h"

#include <algorithm>
#include <chrono>

namespace soak {

using namespace worksshift;

/** One side of a connection: bytes read from `socket` go to the other side. */
struct loopback_proxy::connection_side {
    struct delayed_bytes {
        instant due;
        std::string bytes;
    };

    proxied_connection* owner = nullptr;
    bool is_target = false;
    event_ptr<bufferevent> socket;
    std::deque<delayed_bytes> late;
};

struct loopback_proxy::proxied_connection {
    loopback_proxy* owner = nullptr;
    connection_side caller;
    connection_side target;
    link_fault kind = link_fault::none;
    bool drops_bytes = false;  ///< all bytes are discarded, without closing
    bool ended = false;        ///< one side has closed
    bool is_removable = false; ///< to be freed
};

loopback_proxy::loopback_proxy(event_base* base, const link_address& target)
    : base(base), target(target),
      listener(base, [this](evutil_socket_t socket) { this->accept(socket); })
{
}

loopback_proxy::~loopback_proxy()
{
    this->reset_open_connections();
}

void loopback_proxy::accept(evutil_socket_t socket)
{
    this->connections.push_back(std::make_unique<proxied_connection>());
    proxied_connection& item = *this->connections.back();
    item.owner = this;
    item.kind = this->kind;
    item.caller.socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    item.target.socket.reset(bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE));
    item.target.is_target = true;
    for (connection_side* side : {&item.caller, &item.target}) {
        side->owner = &item;
        bufferevent_setcb(
            side->socket.get(),
            [](bufferevent*, void* given) {
                auto* from = static_cast<connection_side*>(given);
                from->owner->owner->handle_bytes(*from);
            },
            nullptr,
            [](bufferevent*, short what, void* given) {
                auto* from = static_cast<connection_side*>(given);
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

void loopback_proxy::handle_bytes(connection_side& from)
{
    evbuffer* input = bufferevent_get_input(from.socket.get());
    std::string bytes = read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    proxied_connection& item = *from.owner;
    const bool is_held = item.kind == link_fault::silent ||
                         (item.kind == link_fault::to_target && !from.is_target) ||
                         (item.kind == link_fault::from_target && from.is_target);
    if (item.drops_bytes || item.is_removable) return;
    if (is_held || item.kind == link_fault::delayed || !from.late.empty()) {
        const instant due =
            is_held ? instant::max() : std::chrono::steady_clock::now() + this->delay;
        from.late.push_back({due, std::move(bytes)});
        return;
    }
    const connection_side& other = from.is_target ? item.caller : item.target;
    bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
}

/** One side has closed. The other side is closed too, unless a fault holds the connection. */
void loopback_proxy::end(proxied_connection& item)
{
    item.ended = true;
    const bool nothing_delayed = item.caller.late.empty() && item.target.late.empty();
    if (item.kind == link_fault::none && !item.drops_bytes && nothing_delayed) {
        item.is_removable = true;
    }
}

void loopback_proxy::set_fault(link_fault given, duration new_delay)
{
    this->kind = given;
    this->delay = new_delay;
    const instant now = std::chrono::steady_clock::now();
    for (const auto& item : this->connections) {
        item->kind = given;
        if (given != link_fault::none && given != link_fault::delayed) continue;
        for (connection_side* side : {&item->caller, &item->target}) {
            for (auto& bytes : side->late)
                bytes.due = std::min(bytes.due, now);
        }
    }
}

void loopback_proxy::silence_open_connections()
{
    for (const auto& item : this->connections)
        item->drops_bytes = true;
}

void loopback_proxy::reset_open_connections()
{
    for (const auto& item : this->connections) {
        support::close_by_reset(bufferevent_getfd(item->caller.socket.get()));
        support::close_by_reset(bufferevent_getfd(item->target.socket.get()));
        item->is_removable = true;
    }
}

void loopback_proxy::tick(instant now)
{
    for (const auto& item : this->connections) {
        for (connection_side* side : {&item->caller, &item->target}) {
            const connection_side& other = side->is_target ? item->caller : item->target;
            while (!side->late.empty() && side->late.front().due <= now) {
                const std::string& bytes = side->late.front().bytes;
                bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
                side->late.pop_front();
            }
        }
        const bool nothing_delayed = item->caller.late.empty() && item->target.late.empty();
        const bool passes_end_on =
            item->kind == link_fault::none || item->kind == link_fault::delayed;
        if (item->ended && !item->drops_bytes && passes_end_on && nothing_delayed)
            item->is_removable = true;
    }
    // Bytes written to the caller are flushed before its connection closes.
    std::erase_if(this->connections, [](const auto& item) {
        const auto unsent = [](const connection_side& side) {
            return evbuffer_get_length(bufferevent_get_output(side.socket.get()));
        };
        return item->is_removable && (!item->ended || unsent(item->caller) == 0);
    });
}

} // namespace soak
