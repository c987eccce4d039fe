#include "support/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fakes/answer.h"
#include "parse_request.h"

namespace support {

namespace {

using nlohmann::json;

constexpr const char* loopback = "127.0.0.1";
constexpr const char* fleet_key = "a-fleet-key-for-tests-only";
constexpr int start_timeout_ms = 20000;
constexpr int admin_timeout_ms = 30000;

std::string address(std::uint16_t port)
{
    return std::string(loopback) + ":" + std::to_string(port);
}

std::string program(const std::string& name)
{
    return std::string(WORKSSHIFT_BINARY_DIR) + "/" + name;
}

std::string log_directory()
{
    const char* directory = std::getenv("WORKSSHIFT_TEST_LOGS");
    return directory == nullptr ? std::string() : std::string(directory);
}

sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return target;
}

/** Decodes chunked transfer coding; sets \p whole if the final chunk was received. */
std::string decode_chunks(std::string_view bytes, bool& whole)
{
    std::string text;
    whole = false;
    while (!bytes.empty()) {
        const std::size_t line = bytes.find("\r\n");
        if (line == std::string_view::npos) return text;
        const std::size_t length =
            std::strtoul(std::string(bytes.substr(0, line)).c_str(), nullptr, 16);
        bytes.remove_prefix(line + 2);
        if (length == 0) {
            whole = bytes.starts_with("\r\n");
            return text;
        }
        text += bytes.substr(0, length);
        if (bytes.size() < length + 2) return text;
        bytes.remove_prefix(length + 2);
    }
    return text;
}

} // namespace

child::child(const std::string& program_path, const std::vector<std::string>& arguments,
             const std::string& log_name)
{
    std::vector<std::string> words{program_path};
    std::ranges::copy(arguments, std::back_inserter(words));
    std::vector<char*> pointers;
    std::ranges::transform(words, std::back_inserter(pointers),
                           [](std::string& word) { return word.data(); });
    pointers.push_back(nullptr);
    const std::string directory = log_directory();
    const std::string log = directory.empty() ? "/dev/null" : directory + "/" + log_name + ".log";
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (log_name.ends_with(".json")) {
        posix_spawn_file_actions_addopen(&files, 1, log_name.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                         0644);
    } else {
        posix_spawn_file_actions_adddup2(&files, 2, 1);
    }
    const int fault =
        posix_spawn(&this->pid, program_path.c_str(), &files, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (fault != 0) throw std::runtime_error("cannot start " + program_path);
}

child::~child()
{
    if (this->pid <= 0) return;
    ::kill(this->pid, SIGCONT);
    ::kill(this->pid, SIGKILL);
    this->wait();
}

child::child(child&& other) noexcept : pid(std::exchange(other.pid, -1)) {}

child& child::operator=(child&& other) noexcept
{
    std::swap(this->pid, other.pid);
    return *this;
}

void child::signal(int number) const
{
    if (this->pid > 0) ::kill(this->pid, number);
}

int child::wait(int options)
{
    int status = 0;
    if (waitpid(this->pid, &status, options) == 0) return -1;
    this->pid = -1;
    constexpr int signal_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
}

bool child::ended()
{
    return this->pid <= 0 || this->wait(WNOHANG) >= 0;
}

std::optional<int> child::exit_status()
{
    const int status = this->pid <= 0 ? -1 : this->wait(WNOHANG);
    return status < 0 ? std::nullopt : std::optional(status);
}

int child::wait()
{
    return this->pid <= 0 ? -1 : this->wait(0);
}

std::string reply::header(const std::string& name) const
{
    std::istringstream lines(this->head);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) continue;
        if (strcasecmp(line.substr(0, colon).c_str(), name.c_str()) != 0) continue;
        std::string value = line.substr(colon + 2);
        if (value.ends_with('\r')) value.pop_back();
        return value;
    }
    return {};
}

nlohmann::json reply::json() const
{
    return nlohmann::json::parse(this->body, nullptr, false);
}

kept_connection::kept_connection(std::uint16_t port) : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in target = loopback_address(port);
    if (::connect(this->socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        return;
    ::close(std::exchange(this->socket, -1));
}

kept_connection::~kept_connection()
{
    if (this->socket >= 0) ::close(this->socket);
}

kept_connection::kept_connection(kept_connection&& other) noexcept
    : received(std::move(other.received)), socket(std::exchange(other.socket, -1))
{
}

void kept_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

bool kept_connection::read_until(const std::function<bool(const std::string&)>& done,
                                 int timeout_ms)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    std::array<char, 65536> buffer{};
    while (!done(this->received)) {
        if (this->socket < 0) return false;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        if (left.count() <= 0) return false;
        pollfd ready{this->socket, POLLIN, 0};
        if (poll(&ready, 1, static_cast<int>(left.count())) <= 0) return false;
        const ssize_t length = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (length <= 0) return false;
        this->received.append(buffer.data(), static_cast<std::size_t>(length));
    }
    return true;
}

reply kept_connection::receive(int timeout_ms)
{
    this->read_until([](const std::string& bytes) { return parse_reply(bytes).complete; },
                     timeout_ms);
    return parse_reply(std::exchange(this->received, {}));
}

std::string send_raw(std::uint16_t port, std::string_view bytes, int timeout_ms)
{
    kept_connection connection(port);
    connection.send(bytes);
    connection.read_until([](const std::string&) { return false; }, timeout_ms);
    return connection.received;
}

reply parse_reply(const std::string& bytes)
{
    reply result;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos || !bytes.starts_with("HTTP/1.1 ")) return result;
    result.head = bytes.substr(0, end + 2);
    result.status = std::atoi(bytes.c_str() + 9);
    const std::string rest = bytes.substr(end + 4);
    if (result.header("Transfer-Encoding") == "chunked") {
        result.body = decode_chunks(rest, result.complete);
        return result;
    }
    const std::string length = result.header("Content-Length");
    result.body = rest;
    result.complete = !length.empty() && std::stoul(length) == rest.size();
    return result;
}

reply http(std::uint16_t port, const std::string& method, const std::string& path,
           const std::vector<worksshift::header>& headers, const std::string& body, int timeout_ms)
{
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n";
    for (const worksshift::header& item : headers)
        request += item.name + ": " + item.value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT") {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return parse_reply(send_raw(port, request + "\r\n" + body, timeout_ms));
}

std::uint16_t free_port()
{
    // Ports below the ephemeral range, so that no outgoing connection can take one before its use.
    static std::uint16_t next = static_cast<std::uint16_t>(10000 + (getpid() * 97) % 20000);
    for (;;) {
        ++next;
        const sockaddr_in target = loopback_address(next);
        const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        const bool free =
            bind(tcp, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
            bind(udp, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
        ::close(tcp);
        ::close(udp);
        if (free) return next;
    }
}

nlohmann::json chat_body(const std::string& text, std::uint32_t tokens, bool stream)
{
    return {{"model", "assist"},
            {"messages", {{{"role", "user"}, {"content", text}}}},
            {"max_tokens", tokens},
            {"stream", stream}};
}

std::string expected_stream(const std::string& text, std::uint32_t tokens)
{
    return fakes::stream_text(fakes::answer_key(chat_body(text, tokens, true)), tokens);
}

fleet::fleet(fleet_options settings) : options(std::move(settings))
{
    const auto data_centre = [this](std::size_t i) {
        return "dc-" + std::to_string(i % this->options.data_centres);
    };
    this->platform_port = free_port();
    for (std::size_t i = 0; i < this->options.routers; ++i) {
        router item;
        item.vm = "vm-" + std::to_string(i);
        item.data_centre = data_centre(i);
        item.link = free_port();
        item.front = free_port();
        item.admin = free_port();
        this->routers.push_back(std::move(item));
    }
    for (std::size_t i = 0; i < this->options.engines; ++i) {
        this->engines.push_back({{}, "engine-" + std::to_string(i), free_port()});
    }
    for (std::size_t i = 0; i < this->options.services; ++i) {
        this->services.push_back({{}, "desk-" + std::to_string(i), free_port()});
    }
}

fleet::~fleet() = default;

json fleet::first_config() const
{
    const auto row = [this](const endpoint& item, std::size_t i, std::uint32_t limit) {
        return json{{"id", item.id},
                    {"data_centre", "dc-" + std::to_string(i % this->options.data_centres)},
                    {"address", loopback},
                    {"port", item.port},
                    {"limit", limit}};
    };
    json engine_rows = json::array();
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        engine_rows.push_back(row(this->engines[i], i, this->options.engine_limit));
    }
    json service_rows = json::array();
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        service_rows.push_back(row(this->services[i], i, 100));
    }
    json accounts = json::array();
    for (std::size_t i = 0; i < this->options.accounts; ++i) {
        accounts.push_back({{"id", "acc-" + std::to_string(i)},
                            {"key_sha256", worksshift::sha256_hex("key-" + std::to_string(i))}});
    }
    return {{"services",
             {{{"id", "assist"},
               {"kind", "chat"},
               {"bound", this->options.bound},
               {"servers", engine_rows}},
              {{"id", "desk"},
               {"kind", "plain"},
               {"path_prefix", "/desk"},
               {"bound", 2.0},
               {"servers", service_rows}}}},
            {"accounts", accounts}};
}

void fleet::publish_vms() const
{
    json list = json::array();
    for (const router& item : this->routers) {
        list.push_back({{"vm", item.vm},
                        {"data_centre", item.data_centre},
                        {"address", loopback},
                        {"port", item.link}});
    }
    http(this->platform_port, "POST", "/control/vms", {}, list.dump());
}

void fleet::start_platform()
{
    this->platform =
        child(program("fake_platform"), {"--listen", address(this->platform_port)}, "platform");
}

void fleet::start_router(std::size_t index)
{
    router& item = this->routers[index];
    std::string peers;
    for (const router& other : this->routers) {
        if (other.vm != item.vm) peers += address(other.link) + ",";
    }
    std::vector<std::string> arguments{"--vm=" + item.vm,
                                       "--data-centre=" + item.data_centre,
                                       "--link=" + address(item.link),
                                       "--front=" + address(item.front),
                                       "--admin=" + address(item.admin),
                                       "--platform=" + address(this->platform_port),
                                       std::string("--fleet-key=") + fleet_key,
                                       "--admin-tokens=ops:operator:operator-token,"
                                       "eye:viewer:viewer-token",
                                       "--stop-linger-s=1"};
    if (!peers.empty()) arguments.push_back("--peers=" + peers);
    std::ranges::copy(this->options.router_arguments, std::back_inserter(arguments));
    item.process = child(program("worksshiftd"), arguments, item.vm);
}

void fleet::start_engine(std::size_t index)
{
    endpoint& item = this->engines[index];
    std::vector<std::string> arguments{"--listen", address(item.port), "--slots",
                                       std::to_string(this->options.engine_limit)};
    std::ranges::copy(this->options.engine_arguments, std::back_inserter(arguments));
    item.process = child(program("fake_engine"), arguments, item.id);
}

bool fleet::wait_for(const std::function<bool()>& condition, int timeout_ms)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return condition();
}

bool fleet::converged(std::size_t expected_routers) const
{
    for (const router& item : this->routers) {
        if (!item.process.running()) continue;
        const json status = http(item.admin, "GET", "/admin/status",
                                 {{"Authorization", "Bearer operator-token"}}, {}, 2000)
                                .json();
        if (!status.is_object() || status["revision"] == 0) return false;
        const auto alive = std::ranges::count_if(
            status["vms"], [](const json& vm) { return vm["state"] == "alive"; });
        if (static_cast<std::size_t>(alive) != expected_routers) return false;
        const bool admitting = std::ranges::all_of(status["servers"], [&](const json& server) {
            return server["gate"] != item.vm || server["share"] == 1.0;
        });
        if (!admitting) return false;
    }
    return true;
}

void fleet::start()
{
    this->start_platform();
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->start_engine(i);
    for (endpoint& item : this->services) {
        std::vector<std::string> arguments{"--listen", address(item.port)};
        std::ranges::copy(this->options.service_arguments, std::back_inserter(arguments));
        item.process = child(program("fake_service"), arguments, item.id);
    }
    const bool platform_up = wait_for(
        [this] { return http(this->platform_port, "GET", "/control/calls").status == 200; },
        start_timeout_ms);
    if (!platform_up) throw std::runtime_error("the fake platform does not answer");
    this->publish_vms();
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->start_router(i);
    const std::string config = this->first_config().dump();
    const bool accepted =
        wait_for([&] { return this->admin(0, "POST", "/admin/bootstrap", config).status == 200; },
                 start_timeout_ms);
    if (!accepted) throw std::runtime_error("the first configuration was not accepted");
    const bool ready =
        wait_for([this] { return this->converged(this->routers.size()); }, start_timeout_ms);
    if (!ready) throw std::runtime_error("the fleet did not settle");
}

reply fleet::chat(std::size_t router_index, const std::string& chat_id, const std::string& text,
                  std::uint32_t tokens, bool stream, std::vector<worksshift::header> headers) const
{
    headers.push_back({"Authorization", "Bearer key-0"});
    headers.push_back({"X-Chat-Id", chat_id});
    return http(this->routers[router_index].front, "POST", "/v1/chat/completions", headers,
                chat_body(text, tokens, stream).dump(), 60000);
}

reply fleet::admin(std::size_t router_index, const std::string& method, const std::string& path,
                   const std::string& body) const
{
    return http(this->routers[router_index].admin, method, path,
                {{"Authorization", "Bearer operator-token"}}, body, admin_timeout_ms);
}

reply fleet::change(std::size_t router_index, const nlohmann::json& intent) const
{
    const reply created = this->admin(router_index, "POST", "/admin/plans", intent.dump());
    if (created.status != 201) return created;
    const std::string id = created.json()["id"];
    return this->admin(router_index, "POST", "/admin/plans/" + id + "/confirm");
}

void fleet::set_faults(const nlohmann::json& faults) const
{
    http(this->platform_port, "POST", "/control/faults", {}, faults.dump());
}

nlohmann::json fleet::engine_stats(std::size_t index) const
{
    return http(this->engines[index].port, "GET", "/stats").json();
}

nlohmann::json fleet::service_stats(std::size_t index) const
{
    return http(this->services[index].port, "GET", "/stats").json();
}

double fleet::metric(std::size_t router_index, const std::string& name) const
{
    std::istringstream lines(http(this->routers[router_index].front, "GET", "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

std::string fleet::fronts() const
{
    std::string targets;
    for (const router& item : this->routers) {
        targets += (targets.empty() ? "" : ",") + address(item.front);
    }
    return targets;
}

child fleet::start_load(const std::vector<std::string>& arguments, const std::string& report) const
{
    std::vector<std::string> words = arguments;
    if (std::ranges::find(words, "--targets") == words.end()) {
        words.insert(words.end(), {"--targets", this->fronts()});
    }
    return {program("worksshift-load"), words, report};
}

nlohmann::json fleet::load(const std::vector<std::string>& arguments) const
{
    const std::string report = program("load-" + std::to_string(getpid()) + ".json");
    child process = this->start_load(arguments, report);
    process.wait();
    std::ifstream file(report);
    return json::parse(file, nullptr, false);
}

} // namespace support
