#include "support/crowd.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "support/router_fleet.h"

namespace support {

using namespace worksshift;

namespace {

/** Bytes that are handed to a client's connection at once. */
constexpr std::size_t refill_bytes = std::size_t{256} * 1024;

/** Inodes of the sockets that a process has open. */
std::set<std::string> socket_inodes(pid_t process)
{
    std::set<std::string> inodes;
    constexpr std::string_view prefix = "socket:[";
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd")) {
        // A descriptor may be closed in the meantime.
        std::error_code closed;
        const std::string target = std::filesystem::read_symlink(entry.path(), closed).string();
        if (target.starts_with(prefix))
            inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
    return inodes;
}

} // namespace

crowd_script announced_body(std::string head, std::size_t size, std::size_t missing)
{
    crowd_script script;
    script.opening = std::move(head);
    script.piece = std::string(piece_size, 'x');
    script.pieces = size / piece_size - 1;
    script.ending = std::string(piece_size - missing, 'x');
    return script;
}

crowd_script chunked_body(std::string head, std::size_t size, std::size_t chunk_size)
{
    std::ostringstream chunk;
    chunk << std::hex << chunk_size << "\r\n" << std::string(chunk_size, 'x') << "\r\n";
    crowd_script script;
    script.opening = std::move(head);
    for (std::size_t sent = 0; sent < piece_size; sent += chunk_size)
        script.piece += chunk.str();
    script.pieces = size / piece_size;
    return script;
}

struct crowd::client {
    crowd* owner = nullptr;
    event_ptr<bufferevent> socket;
    std::size_t pieces_sent = 0;
    bool all_sent = false;
    bool closed = false;
    std::string received; ///< since the last request
};

crowd::crowd(event_base* base, const link_address& to, crowd_script script, std::size_t count)
    : base(base), to(to), script(std::move(script)), trickle(base, [this] {
          for (const auto& item : this->clients) {
              if (!item->closed && item->all_sent) bufferevent_write(item->socket.get(), "x", 1);
          }
      })
{
    this->clients.resize(count);
    for (std::unique_ptr<client>& item : this->clients) {
        item = std::make_unique<client>();
        item->owner = this;
        this->connect(*item);
    }
    if (this->script.trickle > duration::zero()) this->trickle.start_every(this->script.trickle);
}

crowd::~crowd() = default;

void crowd::connect(client& item)
{
    item.pieces_sent = 0;
    item.all_sent = false;
    item.closed = false;
    item.received.clear();
    item.socket.reset(bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        item.socket.get(),
        [](bufferevent*, void* context) {
            auto* self = static_cast<client*>(context);
            self->owner->read(*self);
        },
        [](bufferevent*, void* context) {
            auto* self = static_cast<client*>(context);
            self->owner->fill(*self);
        },
        [](bufferevent*, short events, void* context) {
            auto* self = static_cast<client*>(context);
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
            self->closed = true;
            bufferevent_disable(self->socket.get(), EV_READ | EV_WRITE);
            if (self->owner->script.reconnects) self->owner->connect(*self);
        },
        &item);
    const evutil_socket_t descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!this->script.source.empty()) {
        const sockaddr_in from = to_socket_address({this->script.source, 0});
        static_cast<void>(
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&from), sizeof from));
    }
    if (const int size = this->script.receive_buffer; size > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    bufferevent_setfd(item.socket.get(), descriptor);
    const sockaddr_in address = to_socket_address(this->to);
    bufferevent_enable(item.socket.get(), EV_WRITE);
    if (this->script.reads) bufferevent_enable(item.socket.get(), EV_READ);
    bufferevent_write(item.socket.get(), this->script.opening.data(), this->script.opening.size());
    bufferevent_socket_connect(item.socket.get(), reinterpret_cast<const sockaddr*>(&address),
                               sizeof address);
}

/** Called when all bytes of the client were accepted by the system. */
void crowd::fill(client& item)
{
    if (item.all_sent) return;
    evbuffer* out = bufferevent_get_output(item.socket.get());
    const std::string& piece = this->script.piece;
    while (item.pieces_sent < this->script.pieces && evbuffer_get_length(out) < refill_bytes) {
        evbuffer_add_reference(out, piece.data(), piece.size(), nullptr, nullptr);
        ++item.pieces_sent;
    }
    if (item.pieces_sent < this->script.pieces) return;
    item.all_sent = true;
    bufferevent_write(item.socket.get(), this->script.ending.data(), this->script.ending.size());
}

void crowd::read(client& item)
{
    evbuffer* input = bufferevent_get_input(item.socket.get());
    item.received += read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!item.received.starts_with("HTTP/1.1 ")) return;
    if (!this->script.asks_again || !is_complete_response(item.received)) return;
    item.received.clear();
    item.pieces_sent = 0;
    item.all_sent = false;
    bufferevent_write(item.socket.get(), this->script.opening.data(), this->script.opening.size());
}

std::size_t crowd::done() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->clients, [](const auto& item) {
        const bool sent =
            item->all_sent && evbuffer_get_length(bufferevent_get_output(item->socket.get())) == 0;
        return item->closed || sent;
    }));
}

void crowd::reset_half()
{
    for (std::size_t i = 0; i < this->clients.size(); i += 2) {
        const linger at_once{1, 0};
        const evutil_socket_t socket = bufferevent_getfd(this->clients[i]->socket.get());
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        this->clients[i]->closed = true;
        bufferevent_disable(this->clients[i]->socket.get(), EV_READ | EV_WRITE);
        this->clients[i]->socket.reset(
            bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE));
    }
}

std::size_t peak_memory(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        constexpr std::string_view name = "VmHWM:";
        constexpr std::size_t kib = 1024;
        if (line.starts_with(name)) return std::stoul(line.substr(name.size())) * kib;
    }
    return 0;
}

std::size_t unread_bytes(const std::string& address, std::optional<pid_t> process)
{
    in_addr wanted{};
    inet_pton(AF_INET, address.c_str(), &wanted);
    const std::set<std::string> inodes =
        process ? socket_inodes(*process) : std::set<std::string>();
    std::size_t sum = 0;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        std::string retransmissions;
        std::string user;
        std::string timeout;
        std::string inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmissions >> user >>
            timeout >> inode;
        constexpr int hexadecimal = 16;
        // The queue of a listener counts connections.
        constexpr std::string_view listening = "0A";
        const bool matches =
            std::stoul(local.substr(0, local.find(':')), nullptr, hexadecimal) == wanted.s_addr ||
            inodes.contains(inode);
        if (matches && state != listening)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

std::size_t open_descriptors(pid_t process)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void limit_descriptors(pid_t process, std::size_t count)
{
    const rlimit limit{count, count};
    if (prlimit(process, RLIMIT_NOFILE, &limit, nullptr) != 0)
        throw std::runtime_error("the descriptors of the process cannot be limited");
}

environment_variable::environment_variable(std::string name, const std::string& value)
    : name(std::move(name))
{
    setenv(this->name.c_str(), value.c_str(), 1);
}

environment_variable::~environment_variable()
{
    unsetenv(this->name.c_str());
}

} // namespace support
