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
    std::size_t next = 0; ///< index of the next part of the plan
    instant since{};
    bool over = false;
};

soak_server::soak_server(event_base* base, script answer, listener ended)
    : base(base), answer(std::move(answer)), ended(std::move(ended)),
      acceptor(base, [this](evutil_socket_t socket) { this->accept(socket); })
{
}

soak_server::~soak_server() = default;

void soak_server::accept(evutil_socket_t socket)
{
    this->open.push_back(std::make_unique<connection>());
    connection* item = this->open.back().get();
    item->owner = this;
    item->socket.reset(bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        item->socket.get(),
        [](bufferevent*, void* given) {
            auto* found = static_cast<connection*>(given);
            found->owner->read(*found);
        },
        nullptr,
        [](bufferevent*, short what, void* given) {
            auto* found = static_cast<connection*>(given);
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || found->over) return;
            found->over = true;
            if (!found->request.empty()) found->owner->ended(found->request);
        },
        item);
    bufferevent_enable(item->socket.get(), EV_READ | EV_WRITE);
}

void soak_server::read(connection& item)
{
    evbuffer* input = bufferevent_get_input(item.socket.get());
    item.bytes += read_all(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!item.request.empty()) return;
    const std::size_t size = support::request_size(item.bytes);
    if (size == 0) return;
    item.request = item.bytes.substr(0, size);
    item.bytes.erase(0, size);
    item.plan = this->answer(item.request);
    item.next = 0;
    item.since = std::chrono::steady_clock::now();
}

void soak_server::finish(connection& item)
{
    if (item.plan.end == response_end::send_nothing) return;
    this->ended(std::exchange(item.request, {}));
    if (item.plan.end == response_end::keep) {
        this->read(item);
        return;
    }
    item.over = true;
    if (item.plan.end == response_end::reset) {
        support::close_by_reset(bufferevent_getfd(item.socket.get()));
    }
}

void soak_server::tick(instant now)
{
    for (const auto& item : this->open) {
        if (item->over || item->request.empty()) continue;
        const std::vector<response_chunk>& pieces = item->plan.pieces;
        while (item->next < pieces.size() && now - item->since >= pieces[item->next].after) {
            const std::string& bytes = pieces[item->next++].bytes;
            bufferevent_write(item->socket.get(), bytes.data(), bytes.size());
        }
        if (item->next == pieces.size()) this->finish(*item);
    }
    std::erase_if(this->open, [](const auto& item) {
        return item->over && evbuffer_get_length(bufferevent_get_output(item->socket.get())) == 0;
    });
}

} // namespace soak
