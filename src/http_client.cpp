#include "http_client.h"

#include <algorithm>

#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace worksshift {

std::string http_response::header_value(std::string_view name) const
{
    const std::string wanted(name);
    const auto found = std::ranges::find_if(this->headers, [&](const header& entry) {
        return strcasecmp(entry.name.c_str(), wanted.c_str()) == 0;
    });
    return found == this->headers.end() ? std::string() : found->value;
}

std::vector<header> copy_headers(const evkeyvalq* list)
{
    std::vector<header> copied;
    for (const evkeyval* entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        copied.push_back({entry->key, entry->value});
    }
    return copied;
}

void http_client::finish(pending_call& pending, evhttp_request* completed)
{
    if (pending.ended) return;
    pending.ended = true;
    pending.deadline->stop();
    http_response response;
    if (completed != nullptr && evhttp_request_get_response_code(completed) != 0) {
        response.status = evhttp_request_get_response_code(completed);
        response.headers = copy_headers(evhttp_request_get_input_headers(completed));
        response.body = read_all(evhttp_request_get_input_buffer(completed));
    }
    pending.handler(response);
}

std::uint64_t http_client::call(const link_address& to, evhttp_cmd_type method,
                                const std::string& path, const std::vector<header>& headers,
                                const std::string& body, const call_timeouts& limit,
                                http_handler handler)
{
    this->calls.push_back(std::make_unique<pending_call>());
    pending_call* pending = this->calls.back().get();
    pending->number = ++this->last_number;
    pending->handler = std::move(handler);
    pending->deadline =
        std::make_unique<timer>(this->base, [pending] { finish(*pending, nullptr); });
    pending->deadline->start_once(limit.total);
    pending->connection.reset(evhttp_connection_base_bufferevent_new(this->base, nullptr, nullptr,
                                                                     to.address.c_str(), to.port));
    if (limit.idle > duration::zero()) {
        const timeval silence = to_timeval(limit.idle);
        evhttp_connection_set_timeout_tv(pending->connection.get(), &silence);
    }
    const auto done = [](evhttp_request* completed, void* context) {
        finish(*static_cast<pending_call*>(context), completed);
    };
    evhttp_request* request = evhttp_request_new(done, pending);
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", to.address.c_str());
    evhttp_add_header(out, "Connection", "close");
    for (const header& entry : headers) {
        evhttp_add_header(out, entry.name.c_str(), entry.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    if (evhttp_make_request(pending->connection.get(), request, method, path.c_str()) != 0) {
        finish(*pending, nullptr);
        return pending->number;
    }
    // A call may wait for a long time; only keep-alive probes reveal a lost connection meanwhile.
    enable_keepalive(
        bufferevent_getfd(evhttp_connection_get_bufferevent(pending->connection.get())));
    return pending->number;
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
