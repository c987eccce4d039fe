/** \file
 * Frames and datagrams with a wrong key, version or sequence number, too long or malformed, are
 * refused; the codec never accepts a modified byte.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "codec.h"
#include "errors.h"
#include "support/fleet.h"

namespace {

using namespace worksshift;

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

class bad_peers_are_refused : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bad_peers_are_refused);
    CPPUNIT_TEST(modified_frames);
    CPPUNIT_TEST(replayed_and_dropped_frames);
    CPPUNIT_TEST(wrong_key);
    CPPUNIT_TEST(invalid_data_on_the_link_port);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a modified frame that is accepted, and a length over the maximum. */
    void modified_frames()
    {
        authenticator auth("0123456789abcdef");
        attempt_data message;
        message.bytes = "data: token\n\n";
        const std::string frame = frame_writer(auth).write(message);
        for (std::size_t i = 4; i < frame.size(); ++i) {
            std::string changed = frame;
            changed[i] = static_cast<char>(changed[i] ^ 1);
            CPPUNIT_ASSERT_THROW(frame_reader(auth).read(bytes_of(changed)), peer_error);
        }
        CPPUNIT_ASSERT(frame_reader(auth).read(bytes_of(frame)).index() ==
                       link_message(message).index());
        const std::string long_head = "\xff\xff\xff\xff";
        CPPUNIT_ASSERT_THROW(frame_reader::frame_length(bytes_of(long_head)), peer_error);
    }

    /** Guards against a replayed frame, and against one that follows a dropped frame. */
    void replayed_and_dropped_frames()
    {
        authenticator auth("0123456789abcdef");
        frame_writer writer(auth);
        frame_reader reader(auth);
        const std::string first = writer.write(cancel_attempt{{1, 1}});
        const std::string second = writer.write(cancel_attempt{{1, 2}});
        reader.read(bytes_of(first));
        CPPUNIT_ASSERT_THROW(reader.read(bytes_of(first)), peer_error);
        frame_reader after_drop(auth);
        CPPUNIT_ASSERT_THROW(after_drop.read(bytes_of(second)), peer_error);
    }

    /** Guards against datagrams authenticated by another key, truncated or over the maximum length.
     */
    void wrong_key()
    {
        authenticator auth("0123456789abcdef");
        authenticator other_auth("fedcba9876543210");
        const auto datagram = write_datagram(auth, gossip_message{});
        const std::string bytes = datagram.value_or("");
        CPPUNIT_ASSERT(!bytes.empty());
        CPPUNIT_ASSERT_THROW(read_datagram(other_auth, bytes_of(bytes)), peer_error);
        CPPUNIT_ASSERT_THROW(read_datagram(auth, bytes_of("short")), peer_error);
        gossip_message large;
        large.updates.resize(100);
        CPPUNIT_ASSERT(!write_datagram(auth, large).has_value());
    }

    /** Guards against a VM that accepts, or is disturbed by, invalid data on its link port. */
    void invalid_data_on_the_link_port()
    {
        support::fleet_options options;
        options.routers = 2;
        options.engines = 1;
        options.services = 1;
        options.data_centres = 1;
        support::fleet fleet(options);
        fleet.start();
        const std::uint16_t port = fleet.routers[0].link;
        authenticator wrong_auth("another-key-0123456789");
        hello greeting;
        greeting.vm.text = "intruder";
        support::send_raw(port, frame_writer(wrong_auth).write(greeting), 500);
        authenticator fleet_auth("a-fleet-key-for-tests-only");
        greeting.version = protocol_version + 1;
        support::send_raw(port, frame_writer(fleet_auth).write(greeting), 500);
        support::send_raw(port, std::string(64, '\xff'), 500);
        support::send_raw(port, "GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n", 500);
        const bool all_refused = support::fleet::wait_for(
            [&] { return fleet.metric(0, "worksshift_link_refused_total") >= 4; }, 5000);
        CPPUNIT_ASSERT(all_refused);
        const support::reply response = fleet.chat(0, "a", "after noise", 5);
        CPPUNIT_ASSERT_EQUAL(support::expected_stream("after noise", 5), response.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_peers_are_refused);

} // namespace
