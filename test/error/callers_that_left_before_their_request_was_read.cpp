/** \file
 * A process that is not scheduled for a while reads a request only after its caller has closed the
 * connection. Such a request must not reach a server: nobody waits for its response, and one that
 * may not be repeated would run for a caller that has given it up.
 */
#include <array>

#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class callers_that_left_before_their_request_was_read : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(callers_that_left_before_their_request_was_read);
    CPPUNIT_TEST(requests_are_dropped);
    CPPUNIT_TEST(request_of_a_caller_that_waits_is_sent);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    scripted_server* server = nullptr;

    /** Sends a request while the loop does not run. Returns the open socket. */
    int send_unread(const std::string& target)
    {
        const sockaddr_in address = to_socket_address({"127.0.0.1", this->rig->front_port});
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        CPPUNIT_ASSERT_EQUAL(
            0, ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        const std::string text = request_text("POST", target, "1", "hello");
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                             ::write(socket, text.data(), text.size()));
        return socket;
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

    /** Guards against requests that are sent on after their caller has left (soak seeds 3423 and
     * 46042). */
    void requests_are_dropped()
    {
        for (const char* target : {"/unsafe/x", "/safe/x"})
            ::close(this->send_unread(target));
        this->rig->run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server->requests.size());
    }

    /** Guards against dropping requests whose callers are connected. */
    void request_of_a_caller_that_waits_is_sent()
    {
        const int socket = this->send_unread("/unsafe/x");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return this->server->requests.size() == 1; }));
        this->rig->run_for(milliseconds(100));
        std::array<char, 16> answer{};
        CPPUNIT_ASSERT(::read(socket, answer.data(), answer.size()) > 0);
        ::close(socket);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(callers_that_left_before_their_request_was_read);

} // namespace
