#include "link_hub.h"

#include <algorithm>

#include <arpa/inet.h>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr duration hello_timeout = seconds(2);
/** Unsent bytes on one link; beyond it the link is closed. */
constexpr std::size_t max_backlog_bytes = std::size_t{64} << 20U;

bool is_control(const link_message& message)
{
    return std::visit(
        []<class Message>(const Message&) {
            return !std::is_same_v<Message, open_attempt> &&
                   !std::is_same_v<Message, attempt_data> &&
                   !std::is_same_v<Message, attempt_head> &&
                   !std::is_same_v<Message, attempt_ended> &&
                   !std::is_same_v<Message, attempt_refused> &&
                   !std::is_same_v<Message, data_credit> &&
                   !std::is_same_v<Message, cancel_attempt>;
        },
        message);
}

} // namespace

/** One connection. */
struct link_hub::link {
    link(link_hub& owner, bufferevent* socket, authenticator& keys)
        : hub(owner), socket(socket), writer(keys), reader(keys)
    {
    }

    link_hub& hub;
    event_ptr<bufferevent> socket;
    frame_writer writer;
    frame_reader reader;
    /** Covered by the tags of the frames that the peer sends after it has read this VM's hello. */
    nonce own_nonce{};
    vm_id peer;
    bool dialled = false;
    bool hello_received = false; ///< the peer's hello was read
    bool closed = false;         ///< removed by the next sweep
    instant opened_at = std::chrono::steady_clock::now();
    std::deque<link_message> pending_messages; ///< queued until the peer's hello is read
};

link_hub::link_hub(event_base* base, vm_id self, const link_address& listen, authenticator& keys)
    : base(base), self(std::move(self)), keys(keys)
{
    const sockaddr_in target = to_socket_address(listen);
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* hub) {
        static_cast<link_hub*>(hub)->accept(socket);
    };
    this->listener.reset(
        evconnlistener_new_bind(base, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<const sockaddr*>(&target), sizeof target));
    if (this->listener == nullptr) {
        throw user_error("listen", listen.address + ":" + std::to_string(listen.port),
                         "cannot bind the TCP port for links");
    }
}

link_hub::~link_hub() = default;

link_hub::link& link_hub::add_link(bufferevent* socket)
{
    this->links.push_back(std::make_unique<link>(*this, socket, this->keys));
    link& item = *this->links.back();
    bufferevent_setcb(socket, &link_hub::on_read, nullptr, &link_hub::on_event, &item);
    bufferevent_enable(socket, EV_READ | EV_WRITE);
    ++this->counts.connections_opened;
    item.own_nonce = make_nonce();
    hello greeting;
    greeting.vm = this->self;
    greeting.nonce = item.own_nonce;
    this->write(item, greeting);
    return item;
}

void link_hub::accept(evutil_socket_t socket)
{
    set_no_delay(socket);
    this->add_link(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
}

link_hub::link& link_hub::dial(const vm_id& to, const link_address& address)
{
    bufferevent* socket = bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    link& item = this->add_link(socket);
    item.peer = to;
    item.dialled = true;
    this->outgoing[to] = &item;
    const sockaddr_in target = to_socket_address(address);
    if (bufferevent_socket_connect(socket, reinterpret_cast<const sockaddr*>(&target),
                                   sizeof target) != 0) {
        item.closed = true;
        return item;
    }
    set_no_delay(bufferevent_getfd(socket));
    return item;
}

void link_hub::send(const vm_id& to, const link_address& address, const link_message& message)
{
    const auto found = this->outgoing.find(to);
    link& item = found == this->outgoing.end() ? this->dial(to, address) : *found->second;
    if (!item.hello_received) {
        item.pending_messages.push_back(message);
        return;
    }
    this->write(item, message);
}

void link_hub::write(link& item, const link_message& message)
{
    if (item.closed) return;
    const std::string frame = item.writer.write(message);
    this->counts.bytes_sent += frame.size();
    if (is_control(message)) this->counts.control_bytes_sent += frame.size();
    evbuffer* output = bufferevent_get_output(item.socket.get());
    if (evbuffer_get_length(output) > max_backlog_bytes) {
        this->refuse(item, "send backlog exceeds 64 MiB: the peer reads too slowly");
        return;
    }
    evbuffer_add(output, frame.data(), frame.size());
    if (item.hello_received) flush_output(item.socket.get());
}

void link_hub::on_read(bufferevent* /*socket*/, void* context)
{
    auto* item = static_cast<link*>(context);
    item->hub.read(*item);
}

void link_hub::on_event(bufferevent* /*socket*/, short what, void* context)
{
    auto* item = static_cast<link*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) return;
    item->hub.close(*item);
}

void link_hub::read(link& item)
{
    evbuffer* input = bufferevent_get_input(item.socket.get());
    try {
        while (!item.closed && evbuffer_get_length(input) >= frame_header_size) {
            const unsigned char* head = evbuffer_pullup(input, frame_header_size);
            const std::size_t length = frame_reader::frame_length({head, frame_header_size});
            if (evbuffer_get_length(input) < length) return;
            const unsigned char* frame = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
            link_message message = item.reader.read({frame, length});
            evbuffer_drain(input, length);
            this->handle(item, std::move(message));
        }
    } catch (const error& fault) {
        this->refuse(item, fault.what());
    }
}

void link_hub::handle(link& item, link_message message)
{
    if (const auto* greeting = std::get_if<hello>(&message)) {
        this->handle_hello(item, *greeting);
        return;
    }
    if (!item.hello_received)
        throw peer_error("read frame", item.peer.text, "first message is not a hello");
    this->on_message.emit(item.peer, message);
}

void link_hub::handle_hello(link& item, const hello& greeting)
{
    if (item.hello_received) throw peer_error("hello", item.peer.text, "unexpected second hello");
    if (greeting.version != protocol_version) {
        throw peer_error("hello", greeting.vm.text,
                         "unsupported protocol version " + std::to_string(greeting.version));
    }
    if (item.dialled && greeting.vm != item.peer) {
        throw peer_error("hello", greeting.vm.text,
                         "a different VM responds at the address of " + item.peer.text);
    }
    item.peer = greeting.vm;
    item.hello_received = true;
    item.writer.set_nonce(greeting.nonce);
    item.reader.set_nonce(item.own_nonce);
    this->outgoing.try_emplace(item.peer, &item);
    for (const link_message& message : std::exchange(item.pending_messages, {})) {
        this->write(item, message);
    }
}

void link_hub::refuse(link& item, const std::string& why)
{
    ++this->counts.frames_refused;
    log_event(log_level::warn, "link_refused", {{"peer", item.peer.text}, {"why", why}});
    this->close(item);
}

void link_hub::close(link& item)
{
    if (item.closed) return;
    item.closed = true;
    bufferevent_disable(item.socket.get(), EV_READ | EV_WRITE);
}

void link_hub::sweep(instant now)
{
    for (const link_ptr& item : this->links) {
        if (!item->hello_received && now - item->opened_at > hello_timeout) item->closed = true;
    }
    std::vector<link_ptr> gone;
    for (link_ptr& item : this->links) {
        if (item->closed) gone.push_back(std::move(item));
    }
    std::erase(this->links, nullptr);
    for (const link_ptr& item : gone) {
        const auto found = this->outgoing.find(item->peer);
        const bool was_outgoing = found != this->outgoing.end() && found->second == item.get();
        if (was_outgoing) this->outgoing.erase(found);
        for (const link_message& message : item->pending_messages) {
            if (const auto* open = std::get_if<open_attempt>(&message)) {
                this->on_undelivered.emit(open->id);
            }
        }
        if (!item->peer.empty()) this->on_lost.emit(item->peer);
    }
}

} // namespace worksshift
