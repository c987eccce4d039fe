/** \file
 * A crowd of clients that send what the limits forbid, or do not end what they begin, and figures
 * of the process that has to bear them.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "event_loop.h"
#include "link_address.h"

namespace support {

/** What each client of a crowd sends, in this order. */
struct crowd_script {
    std::string opening; ///< such as a head
    std::string piece;   ///< sent `pieces` times
    std::size_t pieces = 0;
    std::string ending;             ///< sent after the pieces
    worksshift::duration trickle{}; ///< interval of further single bytes; zero: none
    bool asks_again = false;        ///< sends everything again after each response
    bool reconnects = false;        ///< opens a new connection when the peer closes one
    bool reads = true;              ///< otherwise it leaves the responses unread
    int receive_buffer = 0;         ///< of the system, in bytes; 0: the system's choice
    std::string source;             ///< local address; empty: the system's choice
};

/** Size of the pieces in which the bodies below are sent, in bytes. */
constexpr std::size_t piece_size = std::size_t{64} * 1024;
/** A body with the announced length \p size, of which the last \p missing bytes, one piece at most,
 * are not sent. \p head: of the request. */
crowd_script announced_body(std::string head, std::size_t size, std::size_t missing);
/** \p size bytes of a body in chunks of \p chunk_size, whose end does not come. */
crowd_script chunked_body(std::string head, std::size_t size, std::size_t chunk_size = piece_size);

/** Clients on loopback in the test's event loop. All are closed by the destructor. */
class crowd {
public:
    crowd(event_base* base, const worksshift::link_address& to, crowd_script script,
          std::size_t clients);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;

    /** Clients that have sent everything, or whose connection the peer has closed. */
    [[nodiscard]] std::size_t done() const;
    [[nodiscard]] std::size_t size() const { return this->clients.size(); }
    /** Closes the connections of every other client by a reset. */
    void reset_half();

private:
    struct client;
    void connect(client& item);
    void fill(client& item);
    void read(client& item);

    event_base* base;
    worksshift::link_address to;
    crowd_script script;
    std::vector<std::unique_ptr<client>> clients;
    worksshift::timer trickle;
};

/** Whether the size of a process tells what it holds: sanitizers keep freed memory. */
#if defined(__SANITIZE_ADDRESS__)
constexpr bool memory_is_measured = false;
#else
constexpr bool memory_is_measured = true;
#endif
/** Peak of a process's resident memory, in bytes; 0 if it has ended. */
std::size_t peak_memory(pid_t process);
/** Bytes that have been received and not read by the sockets at this local address, accepted or
 * not, and by all other sockets of \p process, if one is given. */
std::size_t unread_bytes(const std::string& address, std::optional<pid_t> process = std::nullopt);
/** Open descriptors of a process. */
std::size_t open_descriptors(pid_t process);
/** Sets the limit of open descriptors of a process. */
void limit_descriptors(pid_t process, std::size_t count);

/** Sets an environment variable for the processes that are started during its lifetime. */
class environment_variable {
public:
    environment_variable(std::string name, const std::string& value);
    ~environment_variable();
    environment_variable(const environment_variable&) = delete;
    environment_variable& operator=(const environment_variable&) = delete;
    environment_variable(environment_variable&&) = delete;
    environment_variable& operator=(environment_variable&&) = delete;

private:
    std::string name;
};

} // namespace support
