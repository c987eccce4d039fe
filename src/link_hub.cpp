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
    link(link_hub& owner, bufferevent* socket, authenticator& auth)
        : hub(owner), socket(socket), writer(auth), reader(auth)
    {
    }

    link_hub& hub;
    event_ptr<bufferevent> socket;
    frame_writer writer;
    frame_reader reader;
    /** Covered by the tags of the frames that the peer sends after it has read this VM's hello. */
    nonce own_nonce{};
    vm_id peer;
    bool dialled = false;        ///< this VM opened the connection
    bool hello_received = false; ///< the peer's hello was read
    bool closed = false;         ///< removed by the next sweep
    instant opened_at = std::chrono::steady_clock::now();
    std::deque<link_message> pending_messages; ///< queued until the peer's hello is read
};

link_hub::link_hub(event_base* base, vm_id self, const link_address& listen, authenticator& auth)
    : base(base), self(std::move(self)), auth(auth)
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
    this->links.push_back(std::make_unique<link>(*this, socket, this->auth));
    link& peer_link = *this->links.back();
    bufferevent_setcb(socket, &link_hub::on_read, nullptr, &link_hub::on_event, &peer_link);
    bufferevent_enable(socket, EV_READ | EV_WRITE);
    ++this->counts.connections_opened;
    peer_link.own_nonce = make_nonce();
    hello greeting;
    greeting.vm = this->self;
    greeting.nonce = peer_link.own_nonce;
    this->write(peer_link, greeting);
    return peer_link;
}

void link_hub::accept(evutil_socket_t socket)
{
    set_no_delay(socket);
    this->add_link(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
}

link_hub::link& link_hub::dial(const vm_id& to, const link_address& address)
{
    bufferevent* socket = bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    link& peer_link = this->add_link(socket);
    peer_link.peer = to;
    peer_link.dialled = true;
    this->outgoing[to] = &peer_link;
    const sockaddr_in target = to_socket_address(address);
    if (bufferevent_socket_connect(socket, reinterpret_cast<const sockaddr*>(&target),
                                   sizeof target) != 0) {
        peer_link.closed = true;
        return peer_link;
    }
    set_no_delay(bufferevent_getfd(socket));
    return peer_link;
}

void link_hub::send(const vm_id& to, const link_address& address, const link_message& message)
{
    const auto found = this->outgoing.find(to);
    link& peer_link = found == this->outgoing.end() ? this->dial(to, address) : *found->second;
    if (!peer_link.hello_received) {
        peer_link.pending_messages.push_back(message);
        return;
    }
    this->write(peer_link, message);
}

void link_hub::write(link& peer_link, const link_message& message)
{
    if (peer_link.closed) return;
    const std::string frame = peer_link.writer.write(message);
    this->counts.bytes_sent += frame.size();
    if (is_control(message)) this->counts.control_bytes_sent += frame.size();
    evbuffer* output = bufferevent_get_output(peer_link.socket.get());
    if (evbuffer_get_length(output) > max_backlog_bytes) {
        this->refuse(peer_link, "send backlog exceeds 64 MiB: the peer reads too slowly");
        return;
    }
    evbuffer_add(output, frame.data(), frame.size());
    if (peer_link.hello_received) flush_output(peer_link.socket.get());
}

void link_hub::on_read(bufferevent* /*socket*/, void* context)
{
    auto* peer_link = static_cast<link*>(context);
    peer_link->hub.read(*peer_link);
}

void link_hub::on_event(bufferevent* /*socket*/, short what, void* context)
{
    auto* peer_link = static_cast<link*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) return;
    peer_link->hub.close(*peer_link);
}

void link_hub::read(link& peer_link)
{
    evbuffer* input = bufferevent_get_input(peer_link.socket.get());
    try {
        while (!peer_link.closed && evbuffer_get_length(input) >= frame_header_size) {
            const unsigned char* head = evbuffer_pullup(input, frame_header_size);
            const std::size_t length = frame_reader::frame_length({head, frame_header_size});
            if (evbuffer_get_length(input) < length) return;
            const unsigned char* frame = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
            link_message message = peer_link.reader.read({frame, length});
            evbuffer_drain(input, length);
            this->handle(peer_link, std::move(message));
        }
    } catch (const error& fault) {
        this->refuse(peer_link, fault.what());
    }
}

void link_hub::handle(link& peer_link, link_message message)
{
    if (const auto* greeting = std::get_if<hello>(&message)) {
        this->handle_hello(peer_link, *greeting);
        return;
    }
    if (!peer_link.hello_received)
        throw peer_error("read frame", peer_link.peer.text, "first message is not a hello");
    this->on_message.emit(peer_link.peer, message);
}

void link_hub::handle_hello(link& peer_link, const hello& greeting)
{
    if (peer_link.hello_received)
        throw peer_error("hello", peer_link.peer.text, "unexpected second hello");
    if (greeting.version != protocol_version) {
        throw peer_error("hello", greeting.vm.text,
                         "unsupported protocol version " + std::to_string(greeting.version));
    }
    if (peer_link.dialled && greeting.vm != peer_link.peer) {
        throw peer_error("hello", greeting.vm.text,
                         "a different VM responds at the address of " + peer_link.peer.text);
    }
    peer_link.peer = greeting.vm;
    peer_link.hello_received = true;
    peer_link.writer.set_nonce(greeting.nonce);
    peer_link.reader.set_nonce(peer_link.own_nonce);
    this->outgoing.try_emplace(peer_link.peer, &peer_link);
    for (const link_message& message : std::exchange(peer_link.pending_messages, {})) {
        this->write(peer_link, message);
    }
}

void link_hub::refuse(link& peer_link, const std::string& reason)
{
    ++this->counts.frames_refused;
    log_event(log_level::warn, "link_refused", {{"peer", peer_link.peer.text}, {"why", reason}});
    this->close(peer_link);
}

void link_hub::close(link& peer_link)
{
    if (peer_link.closed) return;
    peer_link.closed = true;
    bufferevent_disable(peer_link.socket.get(), EV_READ | EV_WRITE);
}

void link_hub::sweep(instant now)
{
    for (const link_ptr& peer_link : this->links) {
        if (!peer_link->hello_received && now - peer_link->opened_at > hello_timeout)
            peer_link->closed = true;
    }
    std::vector<link_ptr> closed_links;
    for (link_ptr& peer_link : this->links) {
        if (peer_link->closed) closed_links.push_back(std::move(peer_link));
    }
    std::erase(this->links, nullptr);
    for (const link_ptr& peer_link : closed_links) {
        const auto found = this->outgoing.find(peer_link->peer);
        const bool was_outgoing = found != this->outgoing.end() && found->second == peer_link.get();
        if (was_outgoing) this->outgoing.erase(found);
        for (const link_message& message : peer_link->pending_messages) {
            if (const auto* open = std::get_if<open_attempt>(&message)) {
                this->on_undelivered.emit(open->id);
            }
        }
        if (!peer_link->peer.empty()) this->on_lost.emit(peer_link->peer);
    }
}

} // namespace worksshift
