/** \file
 * Invalid input from callers. Guards against invalid requests that are executed or get an unclear
 * error, and against broken or idle connections that disturb valid requests.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/fleet.h"

namespace {

using support::reply;

class bad_requests_are_refused : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bad_requests_are_refused);
    CPPUNIT_TEST(each_has_its_error_code);
    CPPUNIT_TEST(engine_headers_of_callers_are_dropped);
    CPPUNIT_TEST(broken_and_idle_connections);
    CPPUNIT_TEST_SUITE_END();

public:
    static support::fleet_options small_fleet()
    {
        support::fleet_options options;
        options.routers = 1;
        options.engines = 2;
        options.services = 1;
        options.data_centres = 1;
        options.router_arguments = {"--body-max-kb=64", "--idle-timeout-s=2"};
        return options;
    }

    static void check_served(const support::fleet& fleet, const std::string& text)
    {
        const reply response = fleet.chat(0, text, text, 5);
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(support::expected_stream(text, 5), response.body);
    }

    void each_has_its_error_code()
    {
        support::fleet fleet(small_fleet());
        fleet.start();
        const std::uint16_t port = fleet.routers[0].front;
        const std::string path = "/v1/chat/completions";
        const std::string valid_body = support::chat_body("hello", 5, true).dump();
        const worksshift::header authorization{"Authorization", "Bearer key-0"};
        struct bad_case {
            std::string method;
            std::string path;
            std::vector<worksshift::header> headers;
            std::string body;
            int status;
            std::string code;
        };
        const std::array cases{
            bad_case{"POST", path, {}, valid_body, 401, "no_key"},
            bad_case{
                "POST", path, {{"Authorization", "Bearer nobody"}}, valid_body, 401, "unknown_key"},
            bad_case{"GET", path, {authorization}, "", 405, "wrong_method"},
            bad_case{"POST", path, {authorization}, "{\"model\":", 400, "invalid_json"},
            bad_case{"POST", path, {authorization}, "[1,2]", 400, "invalid_body"},
            bad_case{"POST",
                     path,
                     {authorization},
                     R"({"model":"assist","messages":[]})",
                     400,
                     "invalid_body"},
            bad_case{"POST",
                     path,
                     {authorization},
                     R"({"model":"assist","messages":[5]})",
                     400,
                     "invalid_body"},
            bad_case{"POST",
                     path,
                     {authorization},
                     R"({"model":"none","messages":[{"role":"user","content":"x"}]})",
                     404,
                     "unknown_model"},
            bad_case{"POST",
                     path,
                     {authorization},
                     R"({"model":"assist","max_tokens":-1,"messages":[{"role":"user"}]})",
                     400,
                     "invalid_body"},
            bad_case{"POST",
                     path,
                     {authorization, {"X-Deadline-Ms", "soon"}},
                     valid_body,
                     400,
                     "invalid_header"},
            bad_case{"POST",
                     path,
                     {authorization, {"X-Priority", "first"}},
                     valid_body,
                     400,
                     "invalid_header"},
            bad_case{"GET", "/nowhere", {authorization}, "", 404, "unknown_path"},
            bad_case{"POST",
                     path,
                     {authorization},
                     std::string(std::size_t{80} * 1024, 'x'),
                     413,
                     "body_too_large"},
        };
        for (const bad_case& invalid : cases) {
            const reply response =
                support::http(port, invalid.method, invalid.path, invalid.headers, invalid.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid.code, invalid.status, response.status);
            const nlohmann::json error = response.json()["error"];
            CPPUNIT_ASSERT_EQUAL(invalid.code, error["code"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string("parse"), error["step"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string("not_run"), response.header("X-Worksshift-Outcome"));
        }
        check_served(fleet, "after bad requests");
        const reply models = support::http(port, "GET", "/v1/models");
        CPPUNIT_ASSERT_EQUAL(std::string("assist"),
                             models.json()["data"][0]["id"].get<std::string>());
        std::size_t executed = 0;
        for (std::size_t i = 0; i < 2; ++i)
            executed += fleet.engine_stats(i)["requests"].get<std::size_t>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executed);
    }

    /** Guards against forwarding the headers that instruct engines: a caller that set them would
     * get a part of a response that looks complete. */
    void engine_headers_of_callers_are_dropped()
    {
        support::fleet fleet(small_fleet());
        fleet.start();
        const reply response = fleet.chat(
            0, "a", "from the middle", 5, true,
            {{"X-Resume-From", "3"}, {"X-Model-Version", "none"}, {"X-Request-Id", "another"}});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(support::expected_stream("from the middle", 5), response.body);
    }

    void broken_and_idle_connections()
    {
        support::fleet fleet(small_fleet());
        fleet.start();
        const std::uint16_t port = fleet.routers[0].front;
        // A header without an end, one over the limit, a truncated body, invalid bytes, and
        // HTTP/1.0.
        support::send_raw(port, "POST /v1/chat/completions HTTP/1.1\r\nX: y", 100);
        support::send_raw(port, "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'a') + "\r\n\r\n",
                          300);
        support::send_raw(
            port, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\n{", 100);
        support::send_raw(port, std::string("\x00\x01\xff garbage \r\n\r\n", 16), 100);
        support::send_raw(port, "GET /healthz HTTP/1.0\r\n\r\n", 200);
        const reply unauthorized = support::parse_reply(support::send_raw(
            port,
            "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            1000));
        CPPUNIT_ASSERT_EQUAL(401, unauthorized.status);
        // Many idle connections, each of which is closed after the idle timeout.
        std::vector<int> sockets;
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int i = 0; i < 800; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            const int connected =
                ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
            CPPUNIT_ASSERT_EQUAL(0, connected);
            sockets.push_back(socket);
        }
        check_served(fleet, "beside idle connections");
        char byte = 0;
        for (const int socket : sockets) {
            CPPUNIT_ASSERT_EQUAL(ssize_t{0}, ::recv(socket, &byte, 1, 0));
            ::close(socket);
        }
        check_served(fleet, "after idle connections");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_requests_are_refused);

} // namespace
