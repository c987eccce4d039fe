/** \file
 * A second VM, through which a VM that is cut off from the servers relays requests, breaks off or
 * stops at each byte of its response. Guards against "not run" for a request that may have run,
 * against a second execution of one that may run once, and against partial responses that look
 * complete.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

constexpr std::uint32_t loopback_host = 0x7f000001;

class second_vm_breaks_off : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(second_vm_breaks_off);
    CPPUNIT_TEST(connection_ends);
    CPPUNIT_TEST(second_vm_is_paused);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;
    std::unique_ptr<server_connections> vm_links;
    std::unique_ptr<scripted_server> second_vm;
    std::size_t sent_bytes = 0; ///< of its response
    then after = then::keep;

    static std::string full_response(const std::string& request)
    {
        return response_text(200, request, "whole", "Worksshift-Relay-Server: a\r\n");
    }

    void forget_failures()
    {
        this->rig->path->set_relay_vms({});
        this->rig->path->set_relay_vms({{loopback_host, true, {}}});
    }

    raw_caller& send(const std::string& method, const std::string& target)
    {
        raw_caller& caller = this->rig->add_caller();
        const std::string body = method == "POST" ? "x" : "";
        caller.send(request_text(method, target, "1", body));
        return caller;
    }

    [[nodiscard]] std::size_t response_size() const
    {
        return full_response(request_text("GET", "/", "1")).size();
    }

    /** Whether the caller learned truthfully how a request ended that the second VM received, and
     * whose response broke off after `sent_bytes`. */
    void check(const raw_caller& caller, std::size_t bytes) const
    {
        const int status = status_in(caller.received);
        const std::string at = "after " + std::to_string(bytes) + " bytes: " + caller.received;
        if (bytes >= this->response_size()) {
            CPPUNIT_ASSERT_MESSAGE(at, status == 200);
            CPPUNIT_ASSERT_MESSAGE(at, body_in(caller.received) == "whole");
        } else {
            CPPUNIT_ASSERT_MESSAGE(at, status == 502 || status == 504);
        }
    }

public:
    /** The VM knows two servers that it has lost, and that answered others since. */
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        this->rig->add_lost_servers("desk");
        this->vm_links =
            std::make_unique<server_connections>(this->rig->base.get(), this->rig->adapter);
        this->second_vm = std::make_unique<scripted_server>(
            this->rig->base.get(), [this](const std::string& request) {
                return scripted_response{full_response(request).substr(0, this->sent_bytes),
                                         this->after};
            });
        this->rig->path->enable_relay(*this->vm_links, this->second_vm->address().port);
        this->forget_failures();
    }

    void tearDown() override
    {
        this->second_vm.reset();
        this->vm_links.reset();
        this->rig.reset();
    }

    /** Guards against wrong statements when the second VM's process ends, or its connection is
     * reset. */
    void connection_ends()
    {
        for (const then how : {then::close, then::reset}) {
            this->after = how;
            // A reset may discard bytes that were sent, so the last ones are not tried.
            const std::size_t end = this->response_size() + (how == then::close ? 1 : 0);
            for (this->sent_bytes = 0; this->sent_bytes < end; ++this->sent_bytes) {
                for (const auto& [method, target] :
                     {std::pair{"POST", "/unsafe/x"}, std::pair{"GET", "/safe/x"}}) {
                    this->forget_failures();
                    const std::size_t before = this->second_vm->requests.size();
                    const raw_caller& caller = this->send(method, target);
                    CPPUNIT_ASSERT(this->rig->run_until(
                        [&] { return is_complete_response(caller.received); }));
                    // Only the idempotent request may be sent again.
                    const std::size_t attempts = method == std::string_view("GET") ? 2 : 1;
                    CPPUNIT_ASSERT(this->second_vm->requests.size() > before);
                    CPPUNIT_ASSERT(this->second_vm->requests.size() <= before + attempts);
                    this->check(caller, this->sent_bytes);
                }
            }
        }
    }

    /** Guards against wrong statements, and against callers that wait beyond their deadline, when
     * the second VM stops without closing its connections. */
    void second_vm_is_paused()
    {
        this->after = then::stay_silent;
        std::vector<std::pair<std::size_t, const raw_caller*>> callers;
        for (this->sent_bytes = 0; this->sent_bytes < this->response_size(); ++this->sent_bytes) {
            callers.emplace_back(this->sent_bytes, &this->send("POST", "/unsafe/x"));
            const std::size_t expected = callers.size();
            CPPUNIT_ASSERT(
                this->rig->run_until([&] { return this->second_vm->requests.size() == expected; }));
        }
        CPPUNIT_ASSERT(this->rig->run_until([&] {
            return std::ranges::all_of(callers, [](const auto& item) {
                return is_complete_response(item.second->received);
            });
        }));
        CPPUNIT_ASSERT_EQUAL(callers.size(), this->second_vm->requests.size());
        for (const auto& [bytes, caller] : callers)
            this->check(*caller, bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(second_vm_breaks_off);

} // namespace
