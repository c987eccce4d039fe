/** \file
 * One HTTP/1.1 connection to a server, for one request at a time. Reads responses with
 * `http_reader`, so that what counts as a response is the same for all readers.
 *
 * Used for calls of gates (`server_calls`) and of other processes (`http_client`). The router's
 * connections to its servers have more to decide, see `server_connections.h`.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "event_loop.h"
#include "http_wire.h"
#include "link_address.h"

namespace worksshift {

/** How far an exchange of a request and its response got. */
enum class exchange_result : std::uint8_t {
    complete, ///< the response was read to its end
    not_sent, ///< no byte of the request was written
    broken,   ///< the request was written, in part at least, and no complete response came
};

/** End of an exchange. */
struct exchange_end {
    exchange_result result = exchange_result::broken;
    std::string_view step; ///< at which it ended, see http_wire.h
    std::string detail;    ///< empty if the response is complete
};

/** A request to be written. */
struct outgoing_request {
    std::string method;
    std::string target;
    std::vector<header> headers; ///< those with line ends in their values are left out
    std::string_view body;       ///< is copied
};

class client_connection {
public:
    /** Begins to connect. */
    client_connection(event_base* base, const link_address& to);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    client_connection(client_connection&&) = delete;
    client_connection& operator=(client_connection&&) = delete;
    ~client_connection() = default;

    /** Called with the head of the final response, with the pieces of its body, and at the end of
     * each exchange, also from `send` if there is no connection. Must not destroy the object. */
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(const exchange_end&)> on_end;

    /** Sends a request, once the connection is established. One exchange at a time. */
    void send(const outgoing_request& request);
    /** Stops and continues reading in the current exchange. Bytes that were already read are still
     * reported. */
    void set_reading(bool on);
    /** Ends exchanges in which no byte arrives for \p silence. */
    void set_idle_timeout(duration silence);

    /** Whether any byte of the current request was written. */
    [[nodiscard]] bool request_written() const { return this->written; }
    /** Whether another request may be sent: the last exchange is complete and the server keeps the
     * connection open. */
    [[nodiscard]] bool reusable() const;

private:
    void write();
    void read();
    void handle_event(short events);
    void finish();
    void fail(std::string_view step, std::string detail);
    void close();

    event_ptr<bufferevent> socket;
    http_reader reader;
    event_ptr<evbuffer> unsent; ///< a request to write once the connection is established
    bool connected = false;
    bool in_progress = false; ///< an exchange
    bool written = false;     ///< the request, in part at least
    bool keep_alive = false;  ///< the last response allows another request
    bool closed = false;
};

} // namespace worksshift
