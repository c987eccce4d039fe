#include "http_client.h"

#include <algorithm>

#include "log.h"

namespace worksshift {

std::string http_response::header_value(std::string_view name) const
{
    const auto found = std::ranges::find_if(this->headers, [name](const header& entry) {
        return header_names_equal(entry.name, name);
    });
    return found == this->headers.end() ? std::string() : found->value;
}

void http_client::finish(pending_call& pending, const http_response& response)
{
    if (pending.ended) return;
    pending.ended = true;
    pending.deadline->stop();
    pending.handler(response);
}

void http_client::set_callbacks(pending_call& pending, const link_address& to)
{
    pending_call* target = &pending;
    pending.connection->on_head = [target](const http_head& head) {
        target->response.status = head.status;
        target->response.headers = head.headers;
    };
    pending.connection->on_body = [target](std::string_view bytes) {
        target->response.body.append(bytes);
    };
    pending.connection->on_end = [this, target, to](const exchange_end& end) {
        if (end.step == parse_step) {
            ++this->malformed;
            log_event(log_level::info, "malformed_response",
                      {{"peer", to_string(to)}, {"path", target->path}, {"reason", end.detail}});
        }
        const bool complete = end.result == exchange_result::complete;
        finish(*target, complete ? target->response : http_response());
    };
}

std::uint64_t http_client::call(const link_address& to, std::string_view method,
                                const std::string& path, const std::vector<header>& headers,
                                const std::string& body, const call_timeouts& limit,
                                http_handler handler)
{
    this->calls.push_back(std::make_unique<pending_call>());
    pending_call* pending = this->calls.back().get();
    pending->number = ++this->last_number;
    pending->path = path;
    pending->handler = std::move(handler);
    pending->deadline =
        std::make_unique<timer>(this->base, [pending] { finish(*pending, http_response()); });
    pending->deadline->start_once(limit.total);
    pending->connection = std::make_unique<client_connection>(this->base, to);
    if (limit.idle > duration::zero()) pending->connection->set_idle_timeout(limit.idle);
    this->set_callbacks(*pending, to);
    outgoing_request request{std::string(method), path, {}, body};
    request.headers = {{"Host", to.address}, {"Connection", "close"}};
    std::ranges::copy(headers, std::back_inserter(request.headers));
    // The handler may start further calls.
    const std::uint64_t number = pending->number;
    pending->connection->send(request);
    return number;
}

void http_client::cancel(std::uint64_t call)
{
    const auto found = std::ranges::find(this->calls, call, &pending_call::number);
    if (found == this->calls.end() || (*found)->ended) return;
    (*found)->ended = true;
    (*found)->deadline->stop();
}

void http_client::sweep()
{
    std::erase_if(this->calls, [](const auto& pending) { return pending->ended; });
}

} // namespace worksshift
