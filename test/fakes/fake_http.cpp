#include "fakes/fake_http.h"

#include <csignal>
#include <stdexcept>

#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace fakes {

arguments::arguments(int count, char** words)
{
    for (int i = 1; i + 1 < count; i += 2) {
        const std::string name = words[i];
        if (!name.starts_with("--")) throw std::invalid_argument("expected --NAME, got " + name);
        this->values[name.substr(2)] = words[i + 1];
    }
}

std::string arguments::text(const std::string& name, const std::string& fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : found->second;
}

std::uint32_t arguments::number(const std::string& name, std::uint32_t fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback
                                       : static_cast<std::uint32_t>(std::stoul(found->second));
}

double arguments::real(const std::string& name, double fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : std::stod(found->second);
}

fake_http::fake_http(event_base* base, const worksshift::link_address& listen, handler handle)
    : handle(std::move(handle)), server(evhttp_new(base))
{
    const auto take = [](evhttp_request* request, void* self) {
        static_cast<fake_http*>(self)->handle(request);
    };
    evhttp_set_gencb(this->server.get(), take, this);
    evhttp_set_timeout(this->server.get(), 3600);
    if (evhttp_bind_socket(this->server.get(), listen.address.c_str(), listen.port) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(listen.port));
    }
}

void reply_json(evhttp_request* request, int status, const std::string& body)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    worksshift::event_ptr<evbuffer> text(evbuffer_new());
    evbuffer_add(text.get(), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, text.get());
}

void reply_raw(evhttp_request* request, const std::string& bytes)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    static_cast<void>(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    evhttp_connection_free(connection);
}

std::string body_of(evhttp_request* request)
{
    return worksshift::read_all(evhttp_request_get_input_buffer(request));
}

std::string header_of(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string query_of(evhttp_request* request, const char* name)
{
    evkeyvalq parameters{};
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* query = evhttp_uri_get_query(uri);
    if (query == nullptr) return {};
    evhttp_parse_query_str(query, &parameters);
    const char* value = evhttp_find_header(&parameters, name);
    std::string copied = value == nullptr ? "" : value;
    evhttp_clear_headers(&parameters);
    return copied;
}

std::string path_of(evhttp_request* request)
{
    const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return path == nullptr ? "" : path;
}

void run_until_stopped(event_base* base)
{
    std::signal(SIGPIPE, SIG_IGN);
    const worksshift::signal_handler stop(base, SIGTERM, [base] { event_base_loopbreak(base); });
    event_base_dispatch(base);
}

} // namespace fakes
