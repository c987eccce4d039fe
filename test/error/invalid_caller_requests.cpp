/** \file
 * Malformed, oversized, slow and unauthorized requests must be rejected before they reach a server,
 * and callers must not be able to set headers that are reserved for the router.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class invalid_caller_requests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_caller_requests);
    CPPUNIT_TEST(malformed);
    CPPUNIT_TEST(too_large);
    CPPUNIT_TEST(too_slow);
    CPPUNIT_TEST(unknown_route_or_key);
    CPPUNIT_TEST(requests_fail_without_configuration);
    CPPUNIT_TEST(requests_wait_for_configuration);
    CPPUNIT_TEST(reserved_headers);
    CPPUNIT_TEST(pipelined_responses_stay_in_order);
    CPPUNIT_TEST(chunked_body);
    CPPUNIT_TEST(nested_routes);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    scripted_server* server = nullptr;

    int status_of(const std::string& text)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(text);
        CPPUNIT_ASSERT(this->rig->run_until([&] { return caller.received.size() > 12; }));
        return std::stoi(caller.received.substr(9, 3));
    }

    static std::string with_header(const std::string& line)
    {
        std::string text = request_text("POST", "/safe/x", "1", "hello");
        return text.insert(text.find("X-Api-Key"), line + "\r\n");
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        this->server = &this->rig->add_server("a", "desk", [](const std::string& request) {
            return scripted_response{
                response_text(200, request, header_in(request, "x-request-id")), then::keep};
        });
    }

    /** Guards against forwarding malformed requests and requests with ambiguous framing. */
    void malformed()
    {
        for (const std::string& text :
             {std::string("nothing like a request\r\n\r\n"), with_header("Content-Length: 3"),
              with_header("Transfer-Encoding: chunked"), with_header("Bad Header : x")}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 400, this->status_of(text));
        }
        CPPUNIT_ASSERT(this->server->requests.empty());
    }

    /** Guards against unbounded memory use by one request. */
    void too_large()
    {
        CPPUNIT_ASSERT_EQUAL(431, this->status_of(with_header("X: " + std::string(3000, 'x'))));
        const std::string large = request_text("POST", "/safe/x", "1", std::string(5000, 'x'));
        CPPUNIT_ASSERT_EQUAL(413, this->status_of(large));
        CPPUNIT_ASSERT(this->server->requests.empty());
    }

    /** Guards against connections held open by callers that never complete a head. */
    void too_slow()
    {
        CPPUNIT_ASSERT_EQUAL(408, this->status_of("GET /safe/x HTTP/1.1\r\nHost: h\r\n"));
    }

    /** Guards against forwarding without a route or a valid key; public routes need no key. */
    void unknown_route_or_key()
    {
        CPPUNIT_ASSERT_EQUAL(404, this->status_of(request_text("GET", "/else/x", "1")));
        std::string text = request_text("GET", "/safe/x", "1");
        text.replace(text.find("k1"), 2, "k2");
        CPPUNIT_ASSERT_EQUAL(401, this->status_of(text));
        std::string open = request_text("GET", "/open/x", "1");
        open.erase(open.find("X-Api-Key"), open.find("X-Deadline") - open.find("X-Api-Key"));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of(open));
    }

    /** Guards against requests that wait forever when no configuration arrives. */
    void requests_fail_without_configuration()
    {
        this->rig = std::make_unique<path_rig>();
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text("GET", "/safe/x", "1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !caller.received.empty(); }));
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(!header_in(caller.received, "retry-after").empty());
    }

    /** Guards against rejecting requests shortly before the configuration arrives, and against
     * failures when a waiting caller disconnects. */
    void requests_wait_for_configuration()
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->add_server("a", "desk", [](const std::string& request) {
            return scripted_response{response_text(200, request, "served"), then::keep};
        });
        raw_caller& caller = this->rig->add_caller();
        raw_caller& leaving_caller = this->rig->add_caller();
        caller.send(request_text("GET", "/safe/x", "1"));
        leaving_caller.send(request_text("GET", "/safe/x", "2"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return this->rig->path->active() == 2; }));
        leaving_caller.leave();
        this->rig->run_for(milliseconds(20));
        CPPUNIT_ASSERT(caller.received.empty());
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return caller.received.ends_with("served"); }));
    }

    /** Guards against matching a shorter prefix when a route with a longer one matches too. */
    void nested_routes()
    {
        const router_config_ptr config = this->rig->adapter.decode_config(example_config(1));
        CPPUNIT_ASSERT_EQUAL(std::string("safe"), config->find("h", "/safe/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("safe"), config->find("h", "/safe/nest")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("safe/nested"),
                             config->find("h:80", "/safe/nested/x?a=/b")->name);
        CPPUNIT_ASSERT(config->find("h", "/saf") == nullptr);
        CPPUNIT_ASSERT(config->find("other", "/safe/x") == nullptr);
    }

    /** Guards against callers that set reserved headers, and against forwarding API keys. */
    void reserved_headers()
    {
        CPPUNIT_ASSERT_EQUAL(
            200, this->status_of(with_header("X-Tenant: somebody-else\r\nX-Expect-Instance: z\r\n"
                                             "X-Request-Priority: 0\r\nX-Custom: kept")));
        const std::string& seen = this->server->requests.front();
        CPPUNIT_ASSERT_EQUAL(std::string("one"), header_in(seen, "x-tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), header_in(seen, "x-expect-instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), header_in(seen, "x-custom"));
        CPPUNIT_ASSERT(header_in(seen, "x-api-key").empty());
        CPPUNIT_ASSERT(std::stoi(header_in(seen, "x-deadline-ms")) <= 1500);
    }

    /** Guards against responses to pipelined requests being sent out of order. */
    void pipelined_responses_stay_in_order()
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(request_text("GET", "/safe/x", "71") + request_text("GET", "/safe/x", "72") +
                    request_text("GET", "/else/x", "73"));
        CPPUNIT_ASSERT(this->rig->run_until(
            [&] { return caller.received.find(" 404 ") != std::string::npos; }));
        const std::size_t first = caller.received.find("\r\n\r\n71");
        const std::size_t second = caller.received.find("\r\n\r\n72");
        CPPUNIT_ASSERT(first != std::string::npos && second != std::string::npos);
        CPPUNIT_ASSERT(first < second && second < caller.received.find(" 404 "));
    }

    /** Guards against bodies that are lost or forwarded with chunk framing. */
    void chunked_body()
    {
        std::string text = request_text("POST", "/safe/x", "81");
        text.insert(text.find("X-Api-Key"), "Transfer-Encoding: chunked\r\n");
        CPPUNIT_ASSERT_EQUAL(200, this->status_of(text + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(this->server->requests.front().ends_with("\r\n\r\nabcde"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_caller_requests);

} // namespace
