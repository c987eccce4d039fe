/** \file
 * A complete fleet as separate processes on loopback: the fakes, the routers, and operations on
 * them for tests. The destructor ends the processes by id.
 */
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "messages.h"

namespace support {

/** A child process; killed and reaped by the destructor. */
class child {
public:
    child() = default;
    child(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_name);
    ~child();
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    child(child&& other) noexcept;
    child& operator=(child&& other) noexcept;

    void signal(int number) const;
    /** Waits for the exit; returns the exit status, or 128 plus the signal that ended the process.
     */
    int wait();
    /** Whether the process has exited; if so, reaps it and clears its id. */
    bool ended();
    /** As `wait`; std::nullopt if the process is running or its end was seen before. */
    std::optional<int> exit_status();
    [[nodiscard]] bool running() const { return this->pid > 0; }
    [[nodiscard]] pid_t id() const { return this->pid; }

private:
    /** \p options: of `waitpid`. Returns -1 if the process is running. */
    int wait(int options);

    pid_t pid = -1;
};

struct reply {
    int status = 0; ///< 0: no response
    std::string head;
    std::string body;      ///< decoded if it was chunked
    bool complete = false; ///< complete according to its HTTP framing

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] nlohmann::json json() const;
};

/** One blocking HTTP request to a port of loopback. */
reply http(std::uint16_t port, const std::string& method, const std::string& path,
           const std::vector<worksshift::header>& headers = {}, const std::string& body = {},
           int timeout_ms = 10000);
/** A connection to a port of loopback that stays open for several requests. Calls block. */
class kept_connection {
public:
    /** Without a listener at the port, nothing is received. */
    explicit kept_connection(std::uint16_t port);
    ~kept_connection();
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
    kept_connection(kept_connection&& other) noexcept;
    kept_connection& operator=(kept_connection&&) = delete;

    void send(std::string_view bytes) const;
    /** Reads until \p done holds for the bytes received so far; false if the peer closes or the
     * timeout expires before. */
    bool read_until(const std::function<bool(const std::string&)>& done, int timeout_ms);
    /** The next response, or what was received of it when the peer closed or the timeout expired.
     */
    reply receive(int timeout_ms);

    std::string received; ///< since the last response

private:
    int socket = -1;
};

/** Sends bytes unchanged and reads until the peer closes or the timeout expires. */
std::string send_raw(std::uint16_t port, std::string_view bytes, int timeout_ms);
/** Splits raw bytes into a reply. */
reply parse_reply(const std::string& bytes);

/** A free TCP and UDP port of loopback. */
std::uint16_t free_port();

struct fleet_options {
    std::size_t routers = 3;
    std::size_t engines = 4;
    std::size_t services = 2;
    std::size_t data_centres = 2;
    std::uint32_t engine_limit = 32;
    std::size_t accounts = 10;
    double bound = 1.25;
    std::vector<std::string> router_arguments;
    std::vector<std::string> engine_arguments;
    std::vector<std::string> service_arguments;
};

struct router {
    child process;
    std::string vm;
    std::string data_centre;
    std::uint16_t link = 0;
    std::uint16_t front = 0;
    std::uint16_t admin = 0;
};

struct endpoint {
    child process;
    std::string id;
    std::uint16_t port = 0;
};

/** Accounts `acc-0`, `acc-1` and so on with keys `key-0`, `key-1`; model `assist`; plain service
 * `desk` under `/desk`; one operator `ops` with token `operator-token`. */
class fleet {
public:
    explicit fleet(fleet_options options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /** Starts everything and waits until the configuration is in force on every router and every
     * server has a gate that may admit. \throws std::runtime_error when that takes too long. */
    void start();
    void start_router(std::size_t index);
    void start_engine(std::size_t index);
    void start_platform();
    /** Waits for a condition, checked every 50 ms. */
    static bool wait_for(const std::function<bool()>& condition, int timeout_ms);
    [[nodiscard]] bool converged(std::size_t expected_routers) const;

    reply chat(std::size_t router_index, const std::string& chat_id, const std::string& text,
               std::uint32_t tokens, bool stream = true,
               std::vector<worksshift::header> headers = {}) const;
    reply admin(std::size_t router_index, const std::string& method, const std::string& path,
                const std::string& body = {}) const;
    /** Creates a plan and confirms it. Returns the response to the confirmation, or to the plan if
     * that failed. */
    reply change(std::size_t router_index, const nlohmann::json& intent) const;
    void set_faults(const nlohmann::json& faults) const;
    [[nodiscard]] nlohmann::json engine_stats(std::size_t index) const;
    [[nodiscard]] nlohmann::json service_stats(std::size_t index) const;
    /** A value from a router's /metrics; 0 if it is not there. */
    [[nodiscard]] double metric(std::size_t router_index, const std::string& name) const;
    /** Runs worksshift-load against the routers; returns its report. */
    nlohmann::json load(const std::vector<std::string>& arguments) const;
    /** Starts worksshift-load, which writes its report to a file when it ends. */
    child start_load(const std::vector<std::string>& arguments, const std::string& report) const;
    [[nodiscard]] std::string fronts() const;

    fleet_options options;
    std::vector<router> routers;
    std::vector<endpoint> engines;
    std::vector<endpoint> services;
    child platform;
    std::uint16_t platform_port = 0;

private:
    void publish_vms() const;
    [[nodiscard]] nlohmann::json first_config() const;
};

/** The bytes that the fake engine must give for a chat's request. */
std::string expected_stream(const std::string& text, std::uint32_t tokens);
nlohmann::json chat_body(const std::string& text, std::uint32_t tokens, bool stream);

} // namespace support
