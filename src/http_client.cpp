#include "http_client.h"

#include <algorithm>

#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace worksshift {

std::string http_response::find(std::string_view name) const
{
    const std::string wanted(name);
    const auto found = std::ranges::find_if(this->headers, [&](const header& item) {
        return strcasecmp(item.name.c_str(), wanted.c_str()) == 0;
    });
    return found == this->headers.end() ? std::string() : found->value;
}

std::vector<header> copy_headers(const evkeyvalq* list)
{
    std::vector<header> copied;
    for (const evkeyval* item = list->tqh_first; item != nullptr; item = item->next.tqe_next) {
        copied.push_back({item->key, item->value});
    }
    return copied;
}

void http_client::finish(pending& item, evhttp_request* answer)
{
    if (item.over) return;
    item.over = true;
    item.deadline->stop();
    http_response response;
    if (answer != nullptr && evhttp_request_get_response_code(answer) != 0) {
        response.status = evhttp_request_get_response_code(answer);
        response.headers = copy_headers(evhttp_request_get_input_headers(answer));
        response.body = read_all(evhttp_request_get_input_buffer(answer));
    }
    item.handler(response);
}

std::uint64_t http_client::call(const link_address& to, evhttp_cmd_type method,
                                const std::string& path, const std::vector<header>& headers,
                                const std::string& body, const call_limit& limit,
                                http_handler handler)
{
    this->calls.push_back(std::make_unique<pending>());
    pending* item = this->calls.back().get();
    item->number = ++this->last_number;
    item->handler = std::move(handler);
    item->deadline = std::make_unique<timer>(this->base, [item] { finish(*item, nullptr); });
    item->deadline->start_once(limit.whole);
    item->connection.reset(evhttp_connection_base_bufferevent_new(this->base, nullptr, nullptr,
                                                                  to.address.c_str(), to.port));
    if (limit.silence > duration::zero()) {
        const timeval silence = to_timeval(limit.silence);
        evhttp_connection_set_timeout_tv(item->connection.get(), &silence);
    }
    const auto done = [](evhttp_request* answer, void* context) {
        finish(*static_cast<pending*>(context), answer);
    };
    evhttp_request* request = evhttp_request_new(done, item);
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", to.address.c_str());
    evhttp_add_header(out, "Connection", "close");
    for (const header& extra : headers) {
        evhttp_add_header(out, extra.name.c_str(), extra.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    if (evhttp_make_request(item->connection.get(), request, method, path.c_str()) != 0) {
        finish(*item, nullptr);
        return item->number;
    }
    // A call may wait for a long time; only keep-alive probes reveal a lost connection meanwhile.
    enable_keepalive(bufferevent_getfd(evhttp_connection_get_bufferevent(item->connection.get())));
    return item->number;
}

void http_client::cancel(std::uint64_t call)
{
    const auto found = std::ranges::find(this->calls, call, &pending::number);
    if (found == this->calls.end() || (*found)->over) return;
    (*found)->over = true;
    (*found)->deadline->stop();
}

void http_client::sweep()
{
    std::erase_if(this->calls, [](const auto& item) { return item->over; });
}

} // namespace worksshift
