/** \file
 * Socket options by which the system closes connections to hosts that became unreachable without a
 * reset. Guards against connections that stay open for long, with their requests: with
 * TCP_USER_TIMEOUT set, Linux ignores the number of keep-alive probes, so a long timeout for
 * unacknowledged bytes also delays the end of idle connections.
 *
 * Packets on the loopback interface cannot be dropped without privileges, so the options are read
 * back from open sockets, and the rule by which Linux applies them is computed.
 */
#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http_client.h"
#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

/** An idle connection to a host that became unreachable ends this long after the last byte. */
constexpr duration max_detection_time = seconds(2);

/** Options of one socket. */
struct lost_peer_options {
    bool keep_alive = false;
    seconds idle{};     ///< from the last byte to the first probe
    seconds interval{}; ///< between probes
    int probes = 0;
    milliseconds user_timeout{}; ///< zero: not set
};

int read_option(int socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    CPPUNIT_ASSERT_EQUAL(0, getsockopt(socket, level, name, &value, &size));
    return value;
}

lost_peer_options read_options(int socket)
{
    return {read_option(socket, SOL_SOCKET, SO_KEEPALIVE) != 0,
            seconds(read_option(socket, IPPROTO_TCP, TCP_KEEPIDLE)),
            seconds(read_option(socket, IPPROTO_TCP, TCP_KEEPINTVL)),
            read_option(socket, IPPROTO_TCP, TCP_KEEPCNT),
            milliseconds(read_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT))};
}

/** Time from the last byte received until Linux gives up an idle connection. The keep-alive timer
 * first runs after the idle time, and then after each interval. It gives up once the user timeout
 * has passed and a probe is unanswered; without a user timeout, once all probes are. */
duration keep_alive_end(const lost_peer_options& options)
{
    if (!options.keep_alive) return duration::max();
    duration elapsed = options.idle;
    for (int unanswered = 0;; ++unanswered) {
        const bool by_timeout = options.user_timeout > milliseconds{};
        const bool ended = by_timeout ? elapsed >= options.user_timeout && unanswered > 0
                                      : unanswered >= options.probes;
        if (ended) return elapsed;
        elapsed += options.interval;
    }
}

/** The socket of this process that is connected to \p peer; -1 if there is none. */
int find_socket(const link_address& peer)
{
    constexpr int max_descriptors = 1024;
    const sockaddr_in wanted = to_socket_address(peer);
    for (int socket = 3; socket < max_descriptors; ++socket) {
        sockaddr_in found{};
        socklen_t size = sizeof found;
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&found), &size) == 0 &&
            found.sin_port == wanted.sin_port)
            return socket;
    }
    return -1;
}

class lost_peers_are_detected_in_time : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lost_peers_are_detected_in_time);
    CPPUNIT_TEST(user_timeout_replaces_the_number_of_probes);
    CPPUNIT_TEST(connections_to_servers);
    CPPUNIT_TEST(calls_that_wait_for_long);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a wrong model of the system's rule. */
    static void user_timeout_replaces_the_number_of_probes()
    {
        const lost_peer_options plain{true, seconds(1), seconds(1), 3, {}};
        CPPUNIT_ASSERT(keep_alive_end(plain) == seconds(4));
        lost_peer_options timed = plain;
        timed.user_timeout = milliseconds(1500);
        CPPUNIT_ASSERT(keep_alive_end(timed) == seconds(2));
        timed.user_timeout = seconds(10);
        CPPUNIT_ASSERT(keep_alive_end(timed) == seconds(10));
        timed.probes = 1;
        CPPUNIT_ASSERT(keep_alive_end(timed) == seconds(10));
    }

    /** Guards against requests that wait for a server that became unreachable, whether or not it
     * has acknowledged them. */
    static void connections_to_servers()
    {
        path_rig rig;
        rig.path->set_config(rig.adapter.decode_config(example_config(1)));
        const scripted_server& server = rig.add_server("a", "desk", [](const std::string&) {
            return scripted_response{{}, then::stay_silent};
        });
        rig.add_caller().send(request_text("GET", "/safe/x", "1"));
        CPPUNIT_ASSERT(rig.run_until([&] { return !server.requests.empty(); }));
        const lost_peer_options options = read_options(find_socket(server.address()));
        CPPUNIT_ASSERT(keep_alive_end(options) <= max_detection_time);
        CPPUNIT_ASSERT(options.user_timeout > milliseconds{});
        CPPUNIT_ASSERT(options.user_timeout <= max_detection_time);
    }

    /** Guards against watches of the store that wait at a connection which carries nothing. */
    static void calls_that_wait_for_long()
    {
        const event_ptr<event_base> base = make_event_base();
        scripted_server server(base.get(), [](const std::string&) {
            return scripted_response{{}, then::stay_silent};
        });
        http_client client(base.get());
        client.call(server.address(), "GET", "/", {}, {}, {seconds(10), {}},
                    [](const http_response&) {});
        for (int i = 0; i < 1000 && server.requests.empty(); ++i)
            event_base_loop(base.get(), EVLOOP_ONCE);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
        CPPUNIT_ASSERT(keep_alive_end(read_options(find_socket(server.address()))) <=
                       max_detection_time);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_peers_are_detected_in_time);

} // namespace
