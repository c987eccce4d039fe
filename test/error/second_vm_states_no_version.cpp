/** \file
 * A second VM, through which a VM that is cut off from the servers relays streams, runs an earlier
 * release that states no software version, or states another one. Guards against joining its events
 * to those of the version that began the stream.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"
#include "support/versioned_streams.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

constexpr std::uint32_t loopback_host = 0x7f000001;

class second_vm_states_no_version : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(second_vm_states_no_version);
    CPPUNIT_TEST(no_version);
    CPPUNIT_TEST(another_version);
    CPPUNIT_TEST(same_version);
    CPPUNIT_TEST_SUITE_END();

    /** Sends a stream that breaks off after its first event, and returns what the caller got once
     * it has ended. The second VM states the first version with the first event, and the second one
     * with the rest. */
    static std::string relay_stream(const std::string& first, const std::string& rest)
    {
        path_rig rig;
        rig.path->set_config(rig.adapter.decode_config(example_config(1)));
        rig.add_lost_servers("llm");
        const auto answer = [&](const std::string& request) {
            const bool is_new = header_in(request, "last-event-id").empty();
            scripted_response response = is_new
                                             ? send_events(request, "v1", 1, then::close)
                                             : send_events(request, "v1", last_event, then::keep);
            const std::string& version = is_new ? first : rest;
            std::string headers = "\r\nWorksshift-Relay-Server: a";
            if (!version.empty()) headers += "\r\nWorksshift-Relay-Version: " + version;
            response.bytes.insert(response.bytes.find("\r\n"), headers);
            return response;
        };
        scripted_server second_vm(rig.base.get(), answer);
        server_connections vm_links(rig.base.get(), rig.adapter);
        rig.path->enable_relay(vm_links, second_vm.address().port);
        rig.path->set_relay_vms({{loopback_host, true, {}}});
        raw_caller& caller = rig.add_caller();
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(rig.run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT_EQUAL(std::string::npos, caller.received.find("Worksshift"));
        return caller.received;
    }

    static void check_not_joined(const std::string& first, const std::string& rest)
    {
        const std::string received = relay_stream(first, rest);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: v1\n\n"), body_in(received));
        CPPUNIT_ASSERT(!received.ends_with("0\r\n\r\n"));
    }

public:
    static void no_version()
    {
        check_not_joined("", "");
        check_not_joined("5", "");
    }

    static void another_version()
    {
        check_not_joined("5", "6");
        check_not_joined("5", "five");
        check_not_joined("0", "0");
    }

    /** Guards against streams that end although the second VM can go on with them. */
    static void same_version()
    {
        const std::string received = relay_stream("5", "5");
        CPPUNIT_ASSERT_EQUAL(
            std::string("id: 1\ndata: v1\n\nid: 2\ndata: v1\n\nid: 3\ndata: v1\n\n"),
            body_in(received));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(second_vm_states_no_version);

} // namespace
