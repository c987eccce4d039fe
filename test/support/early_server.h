/** \file
 * A server that responds before it has read the request, and then breaks off the connection.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/socket.h>

#include "support/path_rig.h"

namespace support {

/** How the connection ends after the part of the response. */
enum class ending : std::uint8_t { reset, end_of_input_then_reset };

/** A server that answers as soon as it has read a head, without reading further, and then ends the
 * connection. Requests that have no body it answers in full, and keeps their connection. */
class early_server {
public:
    /** Gives the bytes to send for the head of a request. */
    using script = std::function<std::string(const std::string& head)>;

    early_server(event_base* base, script answer, ending how, worksshift::duration pause)
        : base(base), answer(std::move(answer)), how(how), pause(pause),
          listener(base, [this](evutil_socket_t socket) { this->accept(socket); })
    {
        // The rest of an upload has no room, so that it is still being written.
        constexpr int unread_bytes = 4096;
        this->listener.limit_unread_bytes(unread_bytes);
    }

    [[nodiscard]] worksshift::link_address address() const { return this->listener.address(); }

    std::size_t answered = 0;
    bool answered_on_kept_connection = false; ///< the last one

private:
    struct connection {
        early_server* owner = nullptr;
        worksshift::event_ptr<bufferevent> socket;
        std::string received;
        bool kept = false; ///< a response was sent in full
        std::unique_ptr<worksshift::timer> reset_timer;
    };

    void accept(evutil_socket_t socket)
    {
        this->open.push_back(std::make_unique<connection>());
        connection* item = this->open.back().get();
        item->owner = this;
        item->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(
            item->socket.get(),
            [](bufferevent*, void* context) {
                auto* found = static_cast<connection*>(context);
                found->owner->read(*found);
            },
            nullptr, nullptr, item);
        bufferevent_enable(item->socket.get(), EV_READ);
    }

    void read(connection& item)
    {
        evbuffer* input = bufferevent_get_input(item.socket.get());
        item.received += worksshift::read_all(input);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (item.reset_timer != nullptr || item.received.find("\r\n\r\n") == std::string::npos)
            return;
        if (header_in(item.received, "content-length").empty()) {
            const std::string whole =
                response_text(200, std::exchange(item.received, std::string()), "whole");
            bufferevent_write(item.socket.get(), whole.data(), whole.size());
            item.kept = true;
            return;
        }
        bufferevent_disable(item.socket.get(), EV_READ);
        const evutil_socket_t socket = bufferevent_getfd(item.socket.get());
        const std::string bytes = this->answer(item.received);
        static_cast<void>(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        ++this->answered;
        this->answered_on_kept_connection = item.kept;
        if (this->how == ending::end_of_input_then_reset) ::shutdown(socket, SHUT_WR);
        item.reset_timer = std::make_unique<worksshift::timer>(this->base, [&item] {
            close_by_reset(bufferevent_getfd(item.socket.get()));
            item.socket.reset();
        });
        if (this->pause > worksshift::duration::zero()) {
            item.reset_timer->start_once(this->pause);
        } else {
            close_by_reset(socket);
            item.socket.reset();
        }
    }

    event_base* base;
    script answer;
    ending how;
    worksshift::duration pause;
    loopback_listener listener;
    std::vector<std::unique_ptr<connection>> open;
};

} // namespace support
