/** \file
 * HTTP server, request accessors and command-line options that the fakes share.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "event_loop.h"
#include "http_client.h"

namespace fakes {

/** Command-line options of a fake, of the form `--name value`. */
class arguments {
public:
    arguments(int count, char** values);
    [[nodiscard]] std::string text(const std::string& name, const std::string& fallback) const;
    [[nodiscard]] std::uint32_t number(const std::string& name, std::uint32_t fallback) const;
    [[nodiscard]] double real(const std::string& name, double fallback) const;

private:
    std::map<std::string, std::string> values;
};

/** An evhttp server on a loopback address that passes every request to one function. */
class fake_http {
public:
    using handler = std::function<void(evhttp_request*)>;
    fake_http(event_base* base, const worksshift::link_address& listen, handler handle);

private:
    handler handle;
    worksshift::event_ptr<evhttp> server;
};

void reply_json(evhttp_request* request, int status, const std::string& body);
std::string body_of(evhttp_request* request);
std::string header_of(evhttp_request* request, const char* name);
/** The value of a query parameter; empty if there is none. */
std::string query_of(evhttp_request* request, const char* name);
std::string path_of(evhttp_request* request);

/** Sends bytes in place of a response and closes the connection. */
void reply_raw(evhttp_request* request, const std::string& bytes);

/** Runs until SIGTERM. */
void run_until_stopped(event_base* base);

} // namespace fakes
