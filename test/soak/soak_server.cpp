#include "soak_server.h"

#include <chrono>

#include "support/path_rig.h"

namespace soak {

using namespace worksshift;

struct soak_server::connection {
    soak_server* owner = nullptr;
    event_ptr<bufferevent> socket;
    std::string bytes;
    std::string request; ///< that is being answered; empty: none
    response_plan plan;
    std::size_t next_piece = 0; ///< index in the plan's pieces
    instant since{};
    bool closed = false;
};

soak_server::soak_server(event_base* base, script answer, listener ended)
    : base(base), answer(std::move(answer)), ended(std::move(ended)),
      acceptor(base, [this](evutil_socket_t socket) { this->accept(socket); })
{
}

soak_server::~soak_server() = default;

void soak_server::accept(evutil_socket_t socket)
{
    this->connections.push_back(std::make_unique<connection>());
    connection* open_connection = this->connections.back().get();
    open_connection->owner = this;
    open_connection->socket.reset(
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        open_connection->socket.get(),
        [](bufferevent*, void* context) {
            auto* self = static_cast<connection*>(context);
            self->owner->read(*self);
        },
        nullptr,
        [](bufferevent*, short events, void* context) {
            auto* self = static_cast<connection*>(context);
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || self->closed) return;
            self->closed = true;
            if (!self->request.empty()) self->owner->ended(self->request);
        },
        open_connection);
    bufferevent_enable(open_connection->socket.get(), EV_READ | EV_WRITE);
}

void soak_server::read(connection& open_connection)
{
    evbuffer* input = bufferevent_get_input(open_connection.socket.get());
    open_connection.bytes += read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!open_connection.request.empty()) return;
    const std::size_t size = support::request_size(open_connection.bytes);
    if (size == 0) return;
    open_connection.request = open_connection.bytes.substr(0, size);
    open_connection.bytes.erase(0, size);
    open_connection.plan = this->answer(open_connection.request);
    open_connection.next_piece = 0;
    open_connection.since = std::chrono::steady_clock::now();
}

void soak_server::finish(connection& open_connection)
{
    if (open_connection.plan.end == response_end::send_nothing) return;
    this->ended(std::exchange(open_connection.request, {}));
    if (open_connection.plan.end == response_end::keep) {
        this->read(open_connection);
        return;
    }
    open_connection.closed = true;
    if (open_connection.plan.end == response_end::reset) {
        support::close_by_reset(bufferevent_getfd(open_connection.socket.get()));
    }
}

void soak_server::tick(instant now)
{
    for (const auto& open_connection : this->connections) {
        if (open_connection->closed || open_connection->request.empty()) continue;
        const std::vector<response_chunk>& pieces = open_connection->plan.pieces;
        while (open_connection->next_piece < pieces.size() &&
               now - open_connection->since >= pieces[open_connection->next_piece].after) {
            const std::string& bytes = pieces[open_connection->next_piece++].bytes;
            bufferevent_write(open_connection->socket.get(), bytes.data(), bytes.size());
        }
        if (open_connection->next_piece == pieces.size()) this->finish(*open_connection);
    }
    std::erase_if(this->connections, [](const auto& open_connection) {
        return open_connection->closed &&
               evbuffer_get_length(bufferevent_get_output(open_connection->socket.get())) == 0;
    });
}

} // namespace soak
