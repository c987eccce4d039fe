/** \file
 * Stand-ins for clients, servers and the platform's store, and processes of the router, for the
 * scripts in review/6 to review/10. Everything listens on loopback addresses. Threads with blocking
 * sockets, so that each stand-in reads like the protocol page.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cases {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline steady::time_point start_time()
{
    static const steady::time_point at = steady::now();
    return at;
}

inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - start_time()).count();
}

inline void sleep_ms(int span) { std::this_thread::sleep_for(ms(span)); }

/** Ends the script with status 2: the case could not run. */
[[noreturn]] inline void cannot_run(const std::string& why)
{
    std::cerr << "cannot run: " << why << '\n';
    std::_Exit(exit_not_run);
}

/** Writes record.txt: one line for each thing sent, answered or run, with the time in seconds. */
class record_file {
public:
    explicit record_file(const std::string& path) : out(path) {}
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> held(this->guard);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", now_s());
        this->out << at << text << '\n';
        this->out.flush();
    }

private:
    std::mutex guard;
    std::ofstream out;
};

struct address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in socket_address(const address& from)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.ip.c_str(), &to.sin_addr);
    return to;
}

/** A port of the address that is free now, and that was not returned before. */
inline int free_port(const std::string& ip)
{
    static std::set<int> returned;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = socket_address({ip, 0});
    socklen_t size = sizeof at;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) cannot_run("bind " + ip);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    const int port = ntohs(at.sin_port);
    return returned.insert(port).second ? port : free_port(ip);
}

/** One HTTP message. Header names are in lower case. */
struct message {
    std::string first_line;
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false; ///< of an answer: whole, as far as its framing tells

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/** A TCP connection with an input buffer. */
class channel {
public:
    explicit channel(int fd = -1) : fd(fd) {}
    ~channel() { this->close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    bool connect(const address& to, int timeout_ms = 1000)
    {
        this->close();
        this->input.clear();
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in at = socket_address(to);
        const int result = ::connect(this->fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        if (result != 0 && errno != EINPROGRESS) return false;
        pollfd wait{this->fd, POLLOUT, 0};
        if (::poll(&wait, 1, timeout_ms) != 1) return false;
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return false;
        ::fcntl(this->fd, F_SETFL, ::fcntl(this->fd, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }
    [[nodiscard]] bool open() const { return this->fd >= 0; }
    void close()
    {
        if (this->fd >= 0) ::close(this->fd);
        this->fd = -1;
    }
    /** Closes with a reset. */
    void reset()
    {
        const linger at_once{1, 0};
        if (this->fd >= 0) ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        this->close();
    }
    /** Ends reading and writing; a thread that waits for input returns. */
    void shut()
    {
        if (this->fd >= 0) ::shutdown(this->fd, SHUT_RDWR);
    }
    bool send(const std::string& bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t sent =
                ::send(this->fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0) return false;
            at += static_cast<std::size_t>(sent);
        }
        return true;
    }
    /** Reads more input. Returns false at the end of input, after an error or at \p until. */
    bool fill(steady::time_point until)
    {
        const auto left = std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd wait{this->fd, POLLIN, 0};
        this->timed_out = false;
        if (::poll(&wait, 1, static_cast<int>(std::max<long long>(left, 0))) != 1) {
            this->timed_out = true;
            return false;
        }
        char bytes[65536];
        const ssize_t size = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (size <= 0) return false;
        this->input.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    /** Whether the peer has closed or reset the connection, or sent something. */
    [[nodiscard]] bool readable() const
    {
        pollfd wait{this->fd, POLLIN, 0};
        return ::poll(&wait, 1, 0) != 0;
    }

    /** Reads a head; std::nullopt if none came. */
    std::optional<message> read_head(steady::time_point until)
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until)) return std::nullopt;
        }
        message head;
        std::istringstream lines(this->input.substr(0, end + 2));
        this->input.erase(0, end + 4);
        std::string text;
        while (std::getline(lines, text)) {
            if (!text.empty() && text.back() == '\r') text.pop_back();
            if (head.first_line.empty()) {
                head.first_line = text;
                continue;
            }
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos) continue;
            std::string name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const std::size_t value = text.find_first_not_of(" \t", colon + 1);
            head.headers[name] = value == std::string::npos ? "" : text.substr(value);
        }
        std::istringstream words(head.first_line);
        std::string second;
        words >> head.method >> second;
        head.target = second;
        if (head.method.rfind("HTTP/", 0) == 0) head.status = std::atoi(second.c_str());
        return head;
    }
    bool take(std::size_t size, std::string& into, steady::time_point until)
    {
        while (this->input.size() < size) {
            if (!this->fill(until)) {
                into += std::exchange(this->input, {});
                return false;
            }
        }
        into += this->input.substr(0, size);
        this->input.erase(0, size);
        return true;
    }
    bool take_line(std::string& line, steady::time_point until)
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n")) == std::string::npos) {
            if (!this->fill(until)) return false;
        }
        line = this->input.substr(0, end);
        this->input.erase(0, end + 2);
        return true;
    }
    /** Reads a body with a length or in chunks. */
    bool read_body(message& into, steady::time_point until)
    {
        if (into.header("transfer-encoding") == "chunked") {
            for (;;) {
                std::string line;
                if (!this->take_line(line, until)) return false;
                const std::size_t size = std::stoul(line, nullptr, 16);
                if (!this->take(size, into.body, until)) return false;
                if (!this->take_line(line, until)) return false;
                if (size == 0) return true;
            }
        }
        const std::string length = into.header("content-length");
        return length.empty() || this->take(std::stoul(length), into.body, until);
    }
    std::optional<message> read_message(steady::time_point until)
    {
        std::optional<message> found = this->read_head(until);
        if (found) found->complete = this->read_body(*found, until);
        return found;
    }

    bool timed_out = false;
    std::string held; ///< for the stand-in that uses the connection

private:
    int fd;
    std::string input;
};

/** Accepts connections, and reads the requests of each in a thread of its own. */
class http_server {
public:
    using handler = std::function<void(channel&, const message&)>;

    http_server(const address& at, handler handle) : at(at), handle(std::move(handle))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in bound = socket_address(at);
        socklen_t size = sizeof bound;
        if (::bind(this->listener, reinterpret_cast<sockaddr*>(&bound), size) != 0 ||
            ::listen(this->listener, 512) != 0)
            cannot_run("listen at " + at.text());
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
        this->at.port = ntohs(bound.sin_port);
        this->acceptor = std::thread([this] { this->accept_all(); });
    }
    ~http_server() { this->stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] const address& where() const { return this->at; }

    /** Ends as a process does that exits or crashes: refuses connections, and closes all. */
    void stop()
    {
        if (this->stopping.exchange(true)) return;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        this->acceptor.join();
        std::vector<std::thread> all;
        {
            const std::lock_guard<std::mutex> held(this->guard);
            for (const auto& open : this->channels)
                open->shut();
            all.swap(this->threads);
        }
        for (std::thread& one : all)
            one.join();
    }

private:
    void accept_all()
    {
        while (!this->stopping) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (this->stopping || errno == EBADF || errno == EINVAL) return;
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> held(this->guard);
            auto opened = std::make_shared<channel>(fd);
            this->channels.insert(opened);
            this->threads.emplace_back([this, opened] { this->serve(opened); });
        }
    }
    void serve(const std::shared_ptr<channel>& opened)
    {
        while (!this->stopping && opened->open()) {
            const auto request = opened->read_message(steady::now() + std::chrono::hours(1));
            if (!request || !request->complete) break;
            this->handle(*opened, *request);
            if (request->header("connection") == "close") break;
        }
        const std::lock_guard<std::mutex> held(this->guard);
        opened->close();
        this->channels.erase(opened);
    }

    address at;
    handler handle;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::thread acceptor;
    std::mutex guard;
    std::set<std::shared_ptr<channel>> channels;
    std::vector<std::thread> threads;
};

/** The platform's store: lists, watches with a wait, and one revision counter. */
class store {
public:
    explicit store(const std::string& ip)
        : http({ip, 0}, [this](channel& to, const message& call) { this->answer(to, call); })
    {
    }
    ~store()
    {
        this->ending = true;
        this->changed.notify_all();
    }
    [[nodiscard]] const address& where() const { return this->http.where(); }

    /** Creates or replaces an object; its `spec` is the JSON text. */
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard<std::mutex> held(this->guard);
        ++this->revision;
        entry& item = this->objects[kind][name];
        if (item.created == 0) item.created = this->revision;
        item.revision = this->revision;
        item.spec = spec;
        this->history.push_back({this->revision, kind, this->event(name, item, false)});
        this->changed.notify_all();
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> held(this->guard);
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end()) return;
        ++this->revision;
        entry item = found->second;
        item.revision = this->revision;
        this->objects[kind].erase(found);
        this->history.push_back({this->revision, kind, this->event(name, item, true)});
        this->changed.notify_all();
    }

private:
    struct entry {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };

    static std::string object(const std::string& name, const entry& item)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" +
               std::to_string(item.revision) + R"(,"createRev":)" + std::to_string(item.created) +
               R"(,"finalizers":[],"deleting":false},"spec":)" + item.spec + R"(,"status":null})";
    }
    static std::string event(const std::string& name, const entry& item, bool removed)
    {
        return std::string(R"({"removed":)") + (removed ? "true" : "false") + R"(,"object":)" +
               object(name, item) + "}";
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t query = target.find('?');
        if (query == std::string::npos) return {};
        std::istringstream parts(target.substr(query + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
        }
        return {};
    }
    static void reply(channel& to, int status, const std::string& body)
    {
        to.send("HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void answer(channel& to, const message& call)
    {
        const std::string prefix = "/api/objects/";
        const std::string path = call.target.substr(0, call.target.find('?'));
        if (call.method != "GET" || path.rfind(prefix, 0) != 0) return reply(to, 404, "{}");
        sleep_ms(4); // the time that the store takes
        const std::string kind = path.substr(prefix.size());
        const std::string from = parameter(call.target, "watch");
        if (from.empty()) return reply(to, 200, this->list(kind, parameter(call.target, "after")));
        const std::string wait = parameter(call.target, "waitMs");
        reply(to, 200, this->watch(kind, std::stoull(from), wait.empty() ? 0 : std::stoi(wait)));
    }
    std::string list(const std::string& kind, const std::string& after)
    {
        constexpr std::size_t page = 50;
        const std::lock_guard<std::mutex> held(this->guard);
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto& [name, item] : this->objects[kind]) {
            if (!after.empty() && name <= after) continue;
            if (count == page) {
                more = true;
                break;
            }
            items += (count++ == 0 ? "" : ",") + object(name, item);
        }
        return R"({"items":[)" + items + R"(],"truncated":)" + (more ? "true" : "false") +
               R"(,"asOf":)" + std::to_string(this->revision) + "}";
    }
    std::string watch(const std::string& kind, std::uint64_t from, int wait_ms)
    {
        std::unique_lock<std::mutex> held(this->guard);
        std::string events;
        const auto found = [&] {
            events.clear();
            for (const change& item : this->history) {
                if (item.revision <= from || item.kind != kind) continue;
                events += (events.empty() ? "" : ",") + item.event;
            }
            return !events.empty() || this->ending;
        };
        this->changed.wait_for(held, ms(wait_ms), found);
        return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(this->revision) + "}";
    }

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, entry>> objects;
    std::vector<change> history;
    std::uint64_t revision = 1;
    std::atomic<bool> ending{false};
    http_server http; ///< last, so that it ends first
};

/** The value of a setting in the deploy file. */
inline std::string deploy_value(const std::string& name)
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + " = \"", 0) != 0) continue;
        const std::size_t begin = line.find('"') + 1;
        return line.substr(begin, line.rfind('"') - begin);
    }
    cannot_run("deploy/system.toml has no " + name);
}

inline void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

/** Removes a section of the template, or only its marks. */
inline void section(std::string& text, const std::string& name, bool keep)
{
    const std::string open = "{{#" + name + "}}";
    const std::string close = "{{/" + name + "}}";
    const std::size_t begin = text.find(open);
    const std::size_t end = text.find(close);
    if (begin == std::string::npos || end == std::string::npos) return;
    const std::string inner = text.substr(begin + open.size(), end - begin - open.size());
    text.replace(begin, end + close.size() - begin, keep ? inner : "");
}

/** A few routers as processes, each at a loopback address of its own. */
class router_fleet {
public:
    struct machine {
        std::string name;
        std::string zone;
        address front;
        address readiness;
        std::string settings;
        std::string log;
        pid_t process = -1;
    };

    /** \p zones: one machine in each, in a region `r`. */
    router_fleet(const std::vector<std::string>& zones, const address& store)
    {
        char name[] = "/tmp/review-case-XXXXXX";
        if (::mkdtemp(name) == nullptr) cannot_run("temporary folder");
        this->folder = name;
        std::random_device device;
        this->net = "127." + std::to_string(20 + device() % 200) + "." +
                    std::to_string(1 + device() % 250) + ".";
        const std::string first = this->net + "1";
        const int peer = free_port(first);
        const int relay = free_port(first);
        std::string seeds;
        std::string regions;
        std::set<std::string> named;
        for (std::size_t i = 0; i < zones.size(); ++i) {
            if (i < 3) seeds += (i == 0 ? "" : ",") + this->ip(i) + ":1";
            if (named.insert(zones[i]).second)
                regions += (regions.empty() ? "" : ",") + zones[i] + ":r";
        }
        for (std::size_t i = 0; i < zones.size(); ++i) {
            machine made;
            made.name = "front-" + std::to_string(i + 1);
            made.zone = zones[i];
            made.front = {this->ip(i), free_port(this->ip(i))};
            made.readiness = {this->ip(i), free_port(this->ip(i))};
            made.settings = this->folder + "/" + made.name + ".conf";
            made.log = this->folder + "/" + made.name + ".log";
            std::ifstream file("deploy/router.conf.template");
            std::stringstream read;
            read << file.rdbuf();
            std::string text = read.str();
            const std::map<std::string, std::string> values{
                {"nodeName", made.name},
                {"zone", made.zone},
                {"listen.front", made.front.text()},
                {"listen.readinessAddress", made.readiness.text()},
                {"ip", this->ip(i)},
                {"internalPortRange.0", std::to_string(peer)},
                {"internalPortRange.1", std::to_string(relay)},
                {"platform.address", store.text()},
                {"seeds", seeds},
                {"limits.memoryMb", "260"},
                {"limits.maxFds", "4100"},
                {"bounds.graceS", "8"},
                {"bounds.retryBudgetRatio", "0.2"},
                {"bounds.budgetWindowS", "10"},
                {"bounds.retryBudgetSlack", "56"}};
            for (const auto& [field, value] : values)
                replace_all(text, "{{" + field + "}}", value);
            section(text, "bootstrap", true);
            section(text, "bounds.coldOver", false);
            section(text, "bounds.coldSlack", false);
            replace_all(text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", regions);
            if (text.find("{{") != std::string::npos) cannot_run("unknown field in the template");
            std::ofstream(made.settings) << text;
            this->machines.push_back(made);
        }
    }
    ~router_fleet() { this->end_all(); }
    /** Ends all processes and removes their files. */
    void end_all()
    {
        for (std::size_t i = 0; i < this->machines.size(); ++i)
            this->kill(i, SIGKILL);
        if (std::getenv("KEEP") != nullptr) {
            std::cerr << "logs are in " << this->folder << '\n';
            return;
        }
        if (std::exchange(this->cleared, true)) return;
        for (const machine& one : this->machines) {
            ::unlink(one.settings.c_str());
            ::unlink(one.log.c_str());
        }
        ::rmdir(this->folder.c_str());
    }
    router_fleet(const router_fleet&) = delete;
    router_fleet& operator=(const router_fleet&) = delete;

    [[nodiscard]] std::string ip(std::size_t i) const { return this->net + std::to_string(i + 1); }
    /** An address for a stand-in, beside those of the machines. */
    [[nodiscard]] std::string other_ip(std::size_t i) const
    {
        return this->net + std::to_string(100 + i);
    }

    void start(std::size_t i)
    {
        machine& one = this->machines[i];
        const std::string program = deploy_value("run");
        const std::string setting = "WORKSSHIFT_CONFIG=" + one.settings;
        const pid_t parent = ::getpid();
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(127);
            const int log = ::open(one.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            char* const words[] = {const_cast<char*>(program.c_str()), nullptr};
            char path[] = "PATH=/usr/bin:/bin";
            char* const environment[] = {path, const_cast<char*>(setting.c_str()), nullptr};
            ::execve(program.c_str(), words, environment);
            ::_exit(127);
        }
        one.process = child;
    }
    /** Sends a signal; waits for the end after SIGKILL. */
    void kill(std::size_t i, int number)
    {
        machine& one = this->machines[i];
        if (one.process <= 0) return;
        ::kill(one.process, number);
        if (number != SIGKILL) return;
        ::waitpid(one.process, nullptr, 0);
        one.process = -1;
    }
    /** Whether the process has ended by itself; \p status is what waitpid returned. */
    bool ended(std::size_t i, int& status)
    {
        machine& one = this->machines[i];
        if (one.process <= 0 || ::waitpid(one.process, &status, WNOHANG) != one.process)
            return false;
        one.process = -1;
        return true;
    }
    [[nodiscard]] bool ready(std::size_t i) const
    {
        channel check;
        if (!check.connect(this->machines[i].readiness, 200)) return false;
        check.send("GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto found = check.read_message(steady::now() + ms(500));
        return found && found->status == 200;
    }
    void start_all()
    {
        for (std::size_t i = 0; i < this->machines.size(); ++i)
            this->start(i);
        const auto until = steady::now() + std::chrono::seconds(15);
        for (std::size_t i = 0; i < this->machines.size(); ++i) {
            while (!this->ready(i)) {
                if (steady::now() > until) {
                    std::ifstream log(this->machines[i].log);
                    std::cerr << log.rdbuf();
                    this->end_all();
                    cannot_run("a router is not ready");
                }
                sleep_ms(50);
            }
        }
    }

    std::vector<machine> machines;
    std::string folder;

private:
    std::string net;
    bool cleared = false;
};

/** The entry of a server in the store. */
inline std::string server_entry(const std::string& service, const address& at,
                                const std::string& zone, int slots, const std::string& state,
                                int sequence, long long born_ms)
{
    return R"({"service":")" + service + R"(","address":")" + at.text() + R"(","zone":")" + zone +
           R"(","version":"v1","slots":)" + std::to_string(slots) + R"(,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" +
           std::to_string(born_ms) + "}";
}

/** A configuration with a service `desk` and routes /unsafe/ and /safe/ to it. */
inline std::string configuration(int version, int attempts = 2)
{
    const auto route = [attempts](const std::string& kind) {
        return R"({"name":"r-)" + kind + R"(","host":"desk.example","pathPrefix":"/)" + kind +
               R"(/","kind":")" + kind +
               R"(","timeoutMs":3000,"targetLatencyMs":300,"priority":0,"service":"desk",)" +
               R"("attempts":)" + std::to_string(attempts) +
               R"(,"public":false,"sessionAffinity":false,"resumable":false})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("unsafe") + "," +
           route("safe") +
           R"(],"services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":110,)"
           R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"bureau","apiKeys":["k1"],"priority":1}]})";
}

inline std::string client_request(const std::string& method, const std::string& path,
                                  const std::string& id, const std::string& body = {},
                                  int deadline_ms = 3000)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " +
                       id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\nX-Api-Key: k1\r\n";
    if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/** A server's answer to a request, with its signature. */
inline std::string server_answer(int status, const std::string& reason, const message& request,
                                 const std::string& server, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason +
           "\r\nX-Request-Id: " + request.header("x-request-id") +
           "\r\nX-Response-Signature: " + server + "." + request.header("x-request-id") +
           "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/** Ends the process at once, without waiting for stand-ins' threads. */
[[noreturn]] inline void finish(int status)
{
    std::cout.flush();
    std::_Exit(status);
}

} // namespace cases
