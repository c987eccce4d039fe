/** \file
 * A VM gets its configuration from the store or from another VM, whichever has it, and never
 * replaces it by an older one.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "config_follower.h"
#include "fakes/fake_store.h"
#include "platform.h"
#include "support/fleet.h"
#include "support/path_rig.h"

namespace {

using namespace worksshift;
using fakes::store_fault;

/** The part of a router that receives the configuration. */
class vm {
public:
    vm(event_base* base, const std::string& address, std::uint16_t port, const link_address& store,
       const protocol& adapter)
        : caller(base), gossip(base, {address, port}, {"dc"}, seeds(port)),
          follower(base, caller, store, adapter, gossip), http(evhttp_new(base)),
          ticker(base, [this] { this->tick(); })
    {
        this->gossip.on_digest.connect(
            [this](const fleet_vm& from) { this->follower.handle_digest(from); });
        evhttp_set_gencb(
            this->http.get(),
            [](evhttp_request* request, void* self) { static_cast<vm*>(self)->serve(request); },
            this);
        if (evhttp_bind_socket(this->http.get(), address.c_str(), port) != 0) {
            throw std::runtime_error("cannot listen");
        }
        this->ticker.start_every(milliseconds(10));
        this->follower.start();
    }

    http_client caller;
    fleet_gossip gossip;
    config_follower follower;
    bool watching = true;
    bool serves_garbage = false;
    bool never_responds = false;

private:
    static std::vector<link_address> seeds(std::uint16_t port)
    {
        return {{"127.0.0.41", port}, {"127.0.0.42", port}};
    }

    void serve(evhttp_request* request)
    {
        if (this->never_responds) return;
        if (this->serves_garbage) {
            evbuffer_add(evhttp_request_get_output_buffer(request), "rubbish", 7);
            evhttp_send_reply(request, 200, nullptr, nullptr);
            return;
        }
        this->follower.serve(request);
    }

    void tick()
    {
        const instant now = std::chrono::steady_clock::now();
        this->caller.sweep();
        this->follower.tick(now,
                            this->watching ? std::optional(read_mode::linearizable) : std::nullopt);
        this->gossip.tick(now, false, [this] {
            local_state state;
            state.digest.config_version = this->follower.version();
            return state;
        });
    }

    event_ptr<evhttp> http;
    timer ticker;
};

class configuration_from_store_or_peer : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_from_store_or_peer);
    CPPUNIT_TEST(from_another_vm);
    CPPUNIT_TEST(older_versions_are_ignored);
    CPPUNIT_TEST(invalid_response_from_another_vm);
    CPPUNIT_TEST(other_vms_do_not_respond);
    CPPUNIT_TEST_SUITE_END();

    event_ptr<event_base> base;
    std::unique_ptr<fakes::fake_store> store;
    std::unique_ptr<vm> first;
    std::unique_ptr<vm> second;
    protocol adapter = platform_protocol();
    std::uint16_t port = 0;
    link_address store_address;

    bool run_until(const std::function<bool()>& done, duration limit = seconds(5))
    {
        const instant end = std::chrono::steady_clock::now() + limit;
        while (!done()) {
            if (std::chrono::steady_clock::now() > end) return false;
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return true;
    }

    bool reaches_version(const vm& receiver, std::uint64_t version)
    {
        return this->run_until([&] { return receiver.follower.version() == version; });
    }

    std::unique_ptr<vm> make_vm(const std::string& address, const link_address& store_at)
    {
        return std::make_unique<vm>(this->base.get(), address, this->port, store_at, this->adapter);
    }

public:
    void setUp() override
    {
        this->base = make_event_base();
        this->port = support::free_port();
        this->store_address = {"127.0.0.1", support::free_port()};
        this->store = std::make_unique<fakes::fake_store>(this->base.get(), this->store_address);
        this->store->put("config", "main", support::example_config(5));
        this->first = this->make_vm("127.0.0.41", this->store_address);
    }

    void tearDown() override
    {
        this->second.reset();
        this->first.reset();
        this->store.reset();
        this->base.reset();
    }

    /** Guards against a VM that cannot reach the store and does not get the configuration from
     * another VM. */
    void from_another_vm()
    {
        this->second = this->make_vm("127.0.0.42", {"127.0.0.1", support::free_port()});
        CPPUNIT_ASSERT(this->reaches_version(*this->second, 5));
        this->store->put("config", "main", support::example_config(8));
        CPPUNIT_ASSERT(this->reaches_version(*this->second, 8));
    }

    /** Guards against replacing a configuration by an older one. */
    void older_versions_are_ignored()
    {
        CPPUNIT_ASSERT(this->reaches_version(*this->first, 5));
        this->store->put("config", "main", support::example_config(3));
        CPPUNIT_ASSERT(!this->run_until([&] { return this->first->follower.version() != 5; },
                                        milliseconds(700)));
        this->store->put("config", "main", support::example_config(6));
        CPPUNIT_ASSERT(this->reaches_version(*this->first, 6));
    }

    /** Guards against accepting an invalid configuration from another VM. */
    void invalid_response_from_another_vm()
    {
        CPPUNIT_ASSERT(this->reaches_version(*this->first, 5));
        this->second = this->make_vm("127.0.0.42", this->store_address);
        CPPUNIT_ASSERT(this->reaches_version(*this->second, 5));
        this->second->watching = false;
        this->first->serves_garbage = true;
        this->store->put("config", "main", support::example_config(9));
        // The other VM's response is rejected, so the store is asked instead.
        CPPUNIT_ASSERT(this->reaches_version(*this->second, 9));
    }

    /** Guards against waiting for an unresponsive VM instead of querying the store. */
    void other_vms_do_not_respond()
    {
        CPPUNIT_ASSERT(this->reaches_version(*this->first, 5));
        this->second = this->make_vm("127.0.0.42", this->store_address);
        CPPUNIT_ASSERT(this->reaches_version(*this->second, 5));
        this->second->watching = false;
        this->first->never_responds = true;
        this->store->put("config", "main", support::example_config(9));
        CPPUNIT_ASSERT(
            this->run_until([&] { return this->second->follower.version() == 9; }, seconds(2)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_from_store_or_peer);

} // namespace
