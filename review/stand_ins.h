/** \file
 * Small stand-ins for the review's scripts: the platform's store, servers, clients, and the router
 * processes of one deployment. Everything listens on loopback addresses, each machine on its own.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr int broken = 1; ///< exit status: the rule was broken
constexpr int held = 0;
constexpr int could_not_run = 2;

inline const steady::time_point begun = steady::now();

inline long elapsed_ms()
{
    return std::chrono::duration_cast<ms>(steady::now() - begun).count();
}

inline void pause_ms(long span)
{
    std::this_thread::sleep_for(ms(span));
}

/** Writes record.txt in the folder of the case. */
class record_file {
public:
    explicit record_file(const std::string& path) : out(path, std::ios::trunc) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(this->guard);
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f s  ", static_cast<double>(elapsed_ms()) / 1000);
        this->out << at << text << std::endl;
    }

private:
    std::mutex guard;
    std::ofstream out;
};

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int bind_socket(const std::string& ip, int port, int kind)
{
    const int fd = socket(AF_INET, kind | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (kind == SOCK_STREAM) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/** A port that is free, for TCP and UDP, on all the given addresses. Below those that the system
 * gives to outgoing connections, so that none of these takes it. */
inline int free_port(const std::vector<std::string>& ips)
{
    constexpr int first = 12000;
    constexpr int count = 18000;
    static int next = static_cast<int>((getpid() * 7919L + time(nullptr)) % count);
    for (int attempt = 0; attempt < count; ++attempt) {
        next = (next + 1) % count;
        const int port = first + next;
        const bool all = std::ranges::all_of(ips, [&](const std::string& ip) {
            const int tcp = bind_socket(ip, port, SOCK_STREAM);
            const int udp = bind_socket(ip, port, SOCK_DGRAM);
            if (tcp >= 0) close(tcp);
            if (udp >= 0) close(udp);
            return tcp >= 0 && udp >= 0;
        });
        if (all) return port;
    }
    std::exit(could_not_run);
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/** One HTTP message, as it was read. */
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers; ///< names in lower case
    std::string body;
    bool complete = false; ///< with its whole body

    [[nodiscard]] std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (key == name) return value;
        }
        return {};
    }
    [[nodiscard]] int status() const
    {
        return this->first_line.size() < 12 ? 0 : std::atoi(this->first_line.c_str() + 9);
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t from = this->first_line.find(' ') + 1;
        return this->first_line.substr(from, this->first_line.find(' ', from) - from);
    }
};

/** Reads HTTP messages from a socket; bytes after a message are kept for the next one. */
class reader {
public:
    explicit reader(int fd) : fd(fd) {}

    /** Returns false if the peer closed, reset or was silent until \p until before the head was
     * complete. A message whose body was cut short has complete = false. */
    bool read(message& result, steady::time_point until, bool is_response)
    {
        result = {};
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until)) return false;
        }
        parse_head(result, this->input.substr(0, end));
        this->input.erase(0, end + 4);
        if (lower(result.header("transfer-encoding")) == "chunked") {
            result.complete = this->read_chunks(result, until);
        } else if (!result.header("content-length").empty()) {
            const std::size_t size = std::stoul(result.header("content-length"));
            while (this->input.size() < size && this->fill(until)) {
            }
            result.complete = this->input.size() >= size;
            result.body = this->input.substr(0, size);
            this->input.erase(0, size);
        } else if (is_response) {
            while (this->fill(until)) {
            }
            result.complete = this->clean_end;
            result.body = std::exchange(this->input, {});
        } else {
            result.complete = true;
        }
        return true;
    }

    /** Reads slowly: a piece of this many bytes, then a pause. */
    void read_slowly(std::size_t piece, long pause)
    {
        this->piece = piece;
        this->pause = pause;
    }
    [[nodiscard]] std::string how_ended() const
    {
        return this->reset ? "reset" : this->clean_end ? "closed" : "open";
    }

private:
    static void parse_head(message& result, const std::string& text)
    {
        std::size_t at = text.find("\r\n");
        result.first_line = text.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t from = at + 2;
            at = text.find("\r\n", from);
            const std::string line = text.substr(from, at == std::string::npos ? at : at - from);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            result.headers.emplace_back(lower(line.substr(0, colon)),
                                        value == std::string::npos ? "" : line.substr(value));
        }
    }

    bool read_chunks(message& result, steady::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = this->input.find("\r\n")) == std::string::npos) {
                if (!this->fill(until)) return false;
            }
            const std::size_t size = std::stoul(this->input.substr(0, end), nullptr, 16);
            while (this->input.size() < end + 2 + size + 2) {
                if (!this->fill(until)) {
                    const std::size_t got = this->input.size() - end - 2;
                    result.body += this->input.substr(end + 2, std::min(size, got));
                    this->input.clear();
                    return false;
                }
            }
            result.body += this->input.substr(end + 2, size);
            this->input.erase(0, end + 2 + size + 2);
            if (size == 0) return true;
        }
    }

    bool fill(steady::time_point until)
    {
        if (this->pause > 0) pause_ms(this->pause);
        const auto left = std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd item{this->fd, POLLIN, 0};
        if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0) return false;
        std::string buffer(this->piece, '\0');
        const ssize_t size = recv(this->fd, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            this->clean_end = size == 0;
            this->reset = size < 0;
            return false;
        }
        this->input.append(buffer, 0, static_cast<std::size_t>(size));
        return true;
    }

    int fd;
    std::string input;
    std::size_t piece = 65536;
    long pause = 0;
    bool clean_end = false;
    bool reset = false;
};

inline int connect_to(const std::string& ip, int port, int receive_buffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = address_of(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/** Accepts connections and serves each in a thread of its own. The threads end with the process. */
class listener {
public:
    listener(const std::string& ip, int port, std::function<void(int)> serve)
        : fd(bind_socket(ip, port, SOCK_STREAM))
    {
        if (this->fd < 0 || listen(this->fd, 256) != 0) {
            std::perror("listen");
            std::exit(could_not_run);
        }
        this->port = port_of(this->fd);
        std::thread([fd = this->fd, serve = std::move(serve)] {
            for (;;) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) continue;
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, serve] {
                    serve(accepted);
                    close(accepted);
                }).detach();
            }
        }).detach();
    }
    int port = 0;

private:
    int fd;
};

/** The platform's store: lists and watches of kinds, as the pages describe them. Calls with
 * serializable=1 are answered with a state that is `stale_by` old. */
class store {
public:
    /** \p ips: an address for each machine, so that its calls can be told apart. */
    explicit store(const std::vector<std::string>& ips)
    {
        this->port = free_port(ips);
        for (std::size_t i = 0; i < ips.size(); ++i) {
            this->listeners.push_back(std::make_unique<listener>(
                ips[i], this->port, [this, i](int fd) { this->serve(fd, i); }));
        }
    }

    /** Returns once the change is done, which is the confirmation. */
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(this->guard);
        this->changes.push_back({++this->revision, steady::now(), kind, name, spec, false});
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->guard);
        const std::string spec = this->state(kind, this->revision)[name].spec;
        this->changes.push_back({++this->revision, steady::now(), kind, name, spec, true});
    }
    /** Machines that have a linearizable watch of the kind pending. */
    std::vector<std::size_t> watchers(const std::string& kind)
    {
        const std::lock_guard lock(this->guard);
        std::vector<std::size_t> found;
        for (const auto& [id, watch] : this->pending) {
            if (watch.kind == kind && !watch.stale) found.push_back(watch.machine);
        }
        std::ranges::sort(found);
        found.erase(std::ranges::unique(found).begin(), found.end());
        return found;
    }

    /** From now on the machine's channels to the store are reset, open ones and new ones. */
    void cut(std::size_t machine)
    {
        const std::lock_guard lock(this->guard);
        this->cut_off.insert(machine);
    }

    ms stale_by{0};
    int port = 0;

private:
    [[nodiscard]] bool is_cut(std::size_t machine)
    {
        const std::lock_guard lock(this->guard);
        return this->cut_off.contains(machine);
    }
    static void reset(int fd)
    {
        const linger at_once{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }

    struct change {
        std::uint64_t revision = 0;
        steady::time_point at;
        std::string kind;
        std::string name;
        std::string spec;
        bool removed = false;
    };
    struct item {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct waiting {
        std::size_t machine = 0;
        std::string kind;
        bool stale = false;
    };

    std::map<std::string, item> state(const std::string& kind, std::uint64_t upto) const
    {
        std::map<std::string, item> found;
        for (const change& each : this->changes) {
            if (each.revision > upto || each.kind != kind) continue;
            if (each.removed)
                found.erase(each.name);
            else
                found[each.name] = {each.revision, each.spec};
        }
        return found;
    }

    /** The revision that a call sees now. */
    std::uint64_t visible(bool stale) const
    {
        if (!stale) return this->revision;
        std::uint64_t seen = 0;
        const auto limit = steady::now() - this->stale_by;
        for (const change& each : this->changes) {
            if (each.at <= limit) seen = each.revision;
        }
        return seen;
    }

    static std::string text_of(const std::string& name, std::uint64_t revision,
                               const std::string& spec)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
               R"(,"createRev":1,"finalizers":[],"deleting":false},"spec":)" + spec +
               R"(,"status":null})";
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t query = target.find('?');
        if (query == std::string::npos) return {};
        std::size_t at = query + 1;
        while (at < target.size()) {
            std::size_t end = target.find('&', at);
            if (end == std::string::npos) end = target.size();
            const std::string part = target.substr(at, end - at);
            if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }

    void serve(int fd, std::size_t machine)
    {
        reader from(fd);
        message request;
        while (from.read(request, steady::now() + std::chrono::seconds(60), false)) {
            const std::string body =
                this->is_cut(machine) ? "" : this->answer(fd, request.target(), machine);
            if (body.empty()) {
                reset(fd);
                return;
            }
            const bool last = lower(request.header("connection")) == "close";
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                                  std::to_string(body.size()) +
                                  (last ? "\r\nConnection: close" : "") + "\r\n\r\n" + body) ||
                last)
                return;
        }
    }

    /** Empty if the caller closed its connection while its watch was pending. */
    std::string answer(int fd, const std::string& target, std::size_t machine)
    {
        const std::string prefix = "/api/objects/";
        const std::string path = target.substr(0, target.find('?'));
        const std::string kind = path.substr(std::min(prefix.size(), path.size()));
        const bool stale = parameter(target, "serializable") == "1";
        pause_ms(4);
        if (parameter(target, "watch").empty()) return this->list(target, kind, stale);
        const std::uint64_t from = std::stoull(parameter(target, "watch"));
        const auto until = steady::now() + ms(std::stol("0" + parameter(target, "waitMs")));
        const std::uint64_t id = this->begin_watch({machine, kind, stale});
        std::string text;
        while (text.empty() && !closed(fd) && !this->is_cut(machine)) {
            text = this->events(kind, from, stale, steady::now() >= until);
            if (text.empty()) pause_ms(2);
        }
        const std::lock_guard lock(this->guard);
        this->pending.erase(id);
        return text;
    }

    std::uint64_t begin_watch(const waiting& watch)
    {
        const std::lock_guard lock(this->guard);
        this->pending[++this->watches] = watch;
        return this->watches;
    }

    static bool closed(int fd)
    {
        char next = 0;
        const ssize_t size = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string list(const std::string& target, const std::string& kind, bool stale)
    {
        const std::lock_guard lock(this->guard);
        const std::uint64_t seen = this->visible(stale);
        const std::string after = parameter(target, "after");
        std::string items;
        for (const auto& [name, entry] : this->state(kind, seen)) {
            if (name <= after) continue;
            items += (items.empty() ? "" : ",") + text_of(name, entry.revision, entry.spec);
        }
        return R"({"items":[)" + items + R"(],"truncated":false,"asOf":)" + std::to_string(seen) +
               "}";
    }

    std::string events(const std::string& kind, std::uint64_t from, bool stale, bool over)
    {
        const std::lock_guard lock(this->guard);
        const std::uint64_t seen = this->visible(stale);
        std::string found;
        for (const change& each : this->changes) {
            if (each.revision <= from || each.revision > seen || each.kind != kind) continue;
            found += std::string(found.empty() ? "" : ",") + R"({"removed":)" +
                     (each.removed ? "true" : "false") + R"(,"object":)" +
                     text_of(each.name, each.revision, each.spec) + "}";
        }
        if (found.empty() && !over) return {};
        return R"({"events":[)" + found + R"(],"asOf":)" + std::to_string(seen) + "}";
    }

    std::mutex guard;
    std::set<std::size_t> cut_off;
    std::vector<change> changes;
    std::uint64_t revision = 0;
    std::map<std::uint64_t, waiting> pending;
    std::uint64_t watches = 0;
    std::vector<std::unique_ptr<listener>> listeners;
};

/** Head of a response to the request. */
inline std::string response_head(const message& request, int status, const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nX-Request-Id: " + request.header("x-request-id") +
           "\r\nX-Response-Signature: s-" + request.header("x-request-id") + "\r\n" + more + "\r\n";
}

inline std::string with_length(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/** One chunk of a chunked body; the last one is empty. */
inline std::string chunk_of(const std::string& bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/** A server. \p work answers one request on the connection; returns whether it stays open. */
class server {
public:
    server(std::string id, const std::string& ip, std::function<bool(int, const message&)> work)
        : id(std::move(id)), ip(ip), at(ip, 0, [this, work = std::move(work)](int fd) {
              if (!this->add(fd)) return;
              reader from(fd);
              message request;
              while (from.read(request, steady::now() + std::chrono::seconds(10), false)) {
                  if (!request.complete) break;
                  const std::string wanted = request.header("x-expect-instance");
                  if (!wanted.empty() && wanted != this->id) {
                      if (!send_all(fd, response_head(request, 421, with_length("")))) break;
                      continue;
                  }
                  if (!work(fd, request)) break;
              }
              const std::lock_guard lock(this->guard);
              this->open.erase(fd);
          })
    {
    }

    /** Ends all connections, as when the process is killed. New ones end at once until `restart`.
     */
    void crash()
    {
        const std::lock_guard lock(this->guard);
        this->down = true;
        for (const int fd : this->open)
            shutdown(fd, SHUT_RDWR);
    }
    void restart() { this->down = false; }

    /** \p born: Unix time of its start in milliseconds; 0: it isn't told. */
    [[nodiscard]] std::string entry(const std::string& service, const std::string& state,
                                    const std::string& version = "v1", long born = 0) const
    {
        return R"({"service":")" + service + R"(","address":")" + this->ip + ":" +
               std::to_string(this->at.port) + R"(","zone":"nyarugenge","version":")" + version +
               R"(","slots":64,"state":")" + state + R"(","coldRemainingMs":0,"sequence":1)" +
               (born == 0 ? "" : R"(,"born":)" + std::to_string(born)) + "}";
    }

    const std::string id;

private:
    bool add(int fd)
    {
        const std::lock_guard lock(this->guard);
        if (this->down) return false;
        this->open.insert(fd);
        return true;
    }

    std::string ip;
    std::mutex guard;
    std::set<int> open;
    std::atomic<bool> down = false;
    listener at;
};

/** The router processes of a small deployment, in zones of `per_zone` machines. */
class deployment {
public:
    explicit deployment(std::size_t machines, std::size_t per_zone = 2) : per_zone(per_zone)
    {
        char name[] = "/tmp/review-XXXXXX";
        this->folder = mkdtemp(name);
        for (std::size_t i = 0; i < machines; ++i) {
            this->ips.push_back("127.0.2." + std::to_string(10 + i));
            this->store_ips.push_back("127.0.3." + std::to_string(10 + i));
        }
        this->platform = std::make_unique<store>(this->store_ips);
        this->front_port = free_port(this->ips);
        this->ready_port = free_port(this->ips);
        this->peer_port = free_port(this->ips);
        this->relay_port = free_port(this->ips);
        this->metrics_port = free_port(this->ips);
        this->processes.resize(machines, -1);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Ends the processes that were started, and this one. Threads may still be running, so nothing
     * is destroyed. */
    [[noreturn]] void finish(int status)
    {
        for (std::size_t i = 0; i < this->processes.size(); ++i)
            this->signal(i, SIGKILL);
        for (const pid_t id : this->processes) {
            if (id > 0) waitpid(id, nullptr, 0);
        }
        for (const std::string& file : this->files)
            unlink(file.c_str());
        rmdir(this->folder.c_str());
        std::_Exit(status);
    }

    void start(std::size_t machine)
    {
        const std::string settings = this->write_settings(machine);
        const std::string log = this->folder + "/log-" + std::to_string(machine);
        this->files.push_back(log);
        const pid_t id = fork();
        if (id == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            setenv("WORKSSHIFT_CONFIG", settings.c_str(), 1);
            execl("target/worksshift-router", "target/worksshift-router", nullptr);
            _exit(127);
        }
        this->processes[machine] = id;
    }

    /** Starts a machine whose process was killed. */
    void start_again(std::size_t machine)
    {
        waitpid(this->processes[machine], nullptr, 0);
        this->start(machine);
    }

    void start_all()
    {
        for (std::size_t i = 0; i < this->processes.size(); ++i)
            this->start(i);
    }

    /** Whether the platform's question for readiness is answered with 200. */
    bool ready(std::size_t machine)
    {
        const int fd = connect_to(this->ips[machine], this->ready_port);
        if (fd < 0) return false;
        send_all(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        message answer;
        const bool read = reader(fd).read(answer, steady::now() + std::chrono::seconds(1), true);
        close(fd);
        return read && answer.status() == 200;
    }

    bool wait_until_ready()
    {
        const auto until = steady::now() + std::chrono::seconds(15);
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            while (!this->ready(i)) {
                if (steady::now() > until) return false;
                pause_ms(50);
            }
        }
        return true;
    }

    std::string metrics(std::size_t machine, const std::string& path)
    {
        const int fd = connect_to(this->ips[machine], this->metrics_port);
        if (fd < 0) return {};
        send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        message answer;
        reader(fd).read(answer, steady::now() + std::chrono::seconds(2), true);
        close(fd);
        return answer.body;
    }

    void signal(std::size_t machine, int number)
    {
        if (this->processes[machine] > 0) kill(this->processes[machine], number);
    }

    /** Whether the process has ended by now; its status is then in \p status. */
    bool ended(std::size_t machine, int& status)
    {
        if (this->processes[machine] <= 0) return true;
        if (waitpid(this->processes[machine], &status, WNOHANG) != this->processes[machine])
            return false;
        this->processes[machine] = -1;
        return true;
    }

    std::unique_ptr<store> platform;
    std::vector<std::string> ips;
    int front_port = 0;
    int metrics_port = 0;
    std::string folder;
    std::vector<pid_t> processes;

private:
    /** The settings as the template of the deploy file gives them. */
    std::string write_settings(std::size_t machine)
    {
        const std::vector<std::string> zones{"nyarugenge", "kicukiro", "gasabo", "remera"};
        const std::string& ip = this->ips[machine];
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, this->ips.size()); ++i)
            seeds += (i == 0 ? "" : ",") + this->ips[i] + ":8229";
        const auto at = [&ip](int port) { return ip + ":" + std::to_string(port); };
        const std::string path = this->folder + "/settings-" + std::to_string(machine);
        std::ofstream(path) << "vm = front-" << machine
                            << "\ndata-centre = " << zones[machine / this->per_zone % zones.size()]
                            << "\nfront = " << at(this->front_port)
                            << "\nreadiness = " << at(this->ready_port) << "\npeer-address = " << ip
                            << "\npeer-port = " << this->peer_port
                            << "\nrelay-port = " << this->relay_port
                            << "\nmetrics-port = " << this->metrics_port
                            << "\nstore = " << this->store_ips[machine] << ":"
                            << this->platform->port << "\nseeds = " << seeds
                            << "\nstop-grace-s = 8\nretry-ratio = 0.2\nretry-window-s = 10\n"
                               "retry-slack = 56\nregions = nyarugenge:kgl,kicukiro:kgl,"
                               "gasabo:kgl,remera:kgl\n";
        this->files.push_back(path);
        return path;
    }

    std::size_t per_zone;
    std::vector<std::string> store_ips;
    int ready_port = 0;
    int peer_port = 0;
    int relay_port = 0;
    std::vector<std::string> files;
};

/** A route of a configuration. */
inline std::string route(const std::string& name, const std::string& kind,
                         const std::string& service, int timeout_ms, int objective_ms,
                         const std::string& more = R"(,"attempts":1)")
{
    return R"({"name":")" + name + R"(","host":"print.example","pathPrefix":"/)" + name +
           R"(/","kind":")" + kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) +
           R"(,"targetLatencyMs":)" + std::to_string(objective_ms) +
           R"(,"priority":1,"public":false,"service":")" + service + R"(")" + more + "}";
}

inline std::string config(std::uint64_t version, const std::string& routes,
                          const std::string& keys = R"("key-1")")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"assist-llm","healthCheckPath":"/healthz","maxConnections":370,)"
           R"("protocol":"h1","tls":false,"engine":{"slots":64}},{"name":"jobdesk",)"
           R"("healthCheckPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"clinic","apiKeys":[)" +
           keys + R"(],"priority":1}]})";
}

inline std::string request_text(const std::string& method, const std::string& target,
                                const std::string& id, int deadline_ms,
                                const std::string& body = {}, const std::string& more = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: print.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Api-Key: key-1\r\n" + more +
           (method == "GET" ? "" : with_length(body)) + "\r\n" + body;
}

/** Whether the disturbance is to be made: TROUBLE=0 leaves it out. */
inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
