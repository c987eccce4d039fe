#include "support/loopback_proxy.h"

#include <algorithm>
#include <chrono>

#include "errors.h"

namespace support {

using namespace worksshift;

namespace {

/** A socket that is bound to an address; -1 if it is empty. */
evutil_socket_t open_socket(const std::string& source)
{
    if (source.empty()) return -1;
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in from = to_socket_address({source, 0});
    if (bind(opened, reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0) {
        throw user_error("bind", source, "the address cannot be used");
    }
    return opened;
}

} // namespace

/** One side of a connection: bytes read from `socket` go to the other side. */
struct loopback_proxy::connection_side {
    struct delayed_bytes {
        instant due;
        std::string bytes;
    };

    proxied_connection* owner = nullptr;
    bool is_target = false;
    event_ptr<bufferevent> socket;
    std::deque<delayed_bytes> delayed;
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

loopback_proxy::loopback_proxy(event_base* base, const link_address& target,
                               const std::string& source)
    : base(base), target(target), source(source),
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
    proxied_connection& connection = *this->connections.back();
    connection.owner = this;
    connection.kind = this->kind;
    connection.caller.socket.reset(
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    connection.target.socket.reset(
        bufferevent_socket_new(this->base, open_socket(this->source), BEV_OPT_CLOSE_ON_FREE));
    connection.target.is_target = true;
    for (connection_side* side : {&connection.caller, &connection.target}) {
        side->owner = &connection;
        bufferevent_setcb(
            side->socket.get(),
            [](bufferevent*, void* context) {
                auto* from = static_cast<connection_side*>(context);
                from->owner->owner->handle_bytes(*from);
            },
            nullptr,
            [](bufferevent*, short events, void* context) {
                auto* from = static_cast<connection_side*>(context);
                if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
                from->owner->owner->end(*from->owner);
            },
            side);
        bufferevent_enable(side->socket.get(), EV_READ | EV_WRITE);
    }
    const sockaddr_in to = to_socket_address(this->target);
    bufferevent_socket_connect(connection.target.socket.get(),
                               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void loopback_proxy::handle_bytes(connection_side& from)
{
    evbuffer* input = bufferevent_get_input(from.socket.get());
    std::string bytes = read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    proxied_connection& connection = *from.owner;
    const bool held = connection.kind == link_fault::silent ||
                      (connection.kind == link_fault::to_target && !from.is_target) ||
                      (connection.kind == link_fault::from_target && from.is_target);
    if (connection.drops_bytes || connection.is_removable) return;
    if (held || connection.kind == link_fault::delayed || !from.delayed.empty()) {
        const instant due = held ? instant::max() : std::chrono::steady_clock::now() + this->delay;
        from.delayed.push_back({due, std::move(bytes)});
        return;
    }
    const connection_side& other = from.is_target ? connection.caller : connection.target;
    bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
}

/** One side has closed. The other side is closed too, unless a fault holds the connection. */
void loopback_proxy::end(proxied_connection& connection)
{
    connection.ended = true;
    const bool nothing_delayed =
        connection.caller.delayed.empty() && connection.target.delayed.empty();
    if (connection.kind == link_fault::none && !connection.drops_bytes && nothing_delayed) {
        connection.is_removable = true;
    }
}

void loopback_proxy::set_fault(link_fault new_fault, duration new_delay)
{
    this->kind = new_fault;
    this->delay = new_delay;
    const instant now = std::chrono::steady_clock::now();
    for (const auto& connection : this->connections) {
        connection->kind = new_fault;
        if (new_fault != link_fault::none && new_fault != link_fault::delayed) continue;
        for (connection_side* side : {&connection->caller, &connection->target}) {
            for (auto& bytes : side->delayed)
                bytes.due = std::min(bytes.due, now);
        }
    }
}

void loopback_proxy::silence_open_connections()
{
    for (const auto& connection : this->connections)
        connection->drops_bytes = true;
}

void loopback_proxy::reset_open_connections()
{
    for (const auto& connection : this->connections) {
        close_by_reset(bufferevent_getfd(connection->caller.socket.get()));
        close_by_reset(bufferevent_getfd(connection->target.socket.get()));
        connection->is_removable = true;
    }
}

void loopback_proxy::tick(instant now)
{
    for (const auto& connection : this->connections) {
        for (connection_side* side : {&connection->caller, &connection->target}) {
            const connection_side& other =
                side->is_target ? connection->caller : connection->target;
            while (!side->delayed.empty() && side->delayed.front().due <= now) {
                const std::string& bytes = side->delayed.front().bytes;
                bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
                side->delayed.pop_front();
            }
        }
        const bool nothing_delayed =
            connection->caller.delayed.empty() && connection->target.delayed.empty();
        const bool forwards_close =
            connection->kind == link_fault::none || connection->kind == link_fault::delayed;
        if (connection->ended && !connection->drops_bytes && forwards_close && nothing_delayed)
            connection->is_removable = true;
    }
    // Bytes written to the caller are flushed before its connection closes.
    std::erase_if(this->connections, [](const auto& connection) {
        const auto unsent = [](const connection_side& side) {
            return evbuffer_get_length(bufferevent_get_output(side.socket.get()));
        };
        return connection->is_removable && (!connection->ended || unsent(connection->caller) == 0);
    });
}

} // namespace support
