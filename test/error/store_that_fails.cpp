/** \file
 * A watch of the store continues after every kind of failure of the store, and notices its return
 * soon.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "fakes/fake_store.h"
#include "platform.h"
#include "store_watch_client.h"
#include "support/fleet.h"

namespace {

using namespace worksshift;
using fakes::store_fault;

class store_that_fails : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_that_fails);
    CPPUNIT_TEST(list_of_several_pages);
    CPPUNIT_TEST(changes_are_received);
    CPPUNIT_TEST(compacted_history_causes_a_new_list);
    CPPUNIT_TEST(refused_then_served);
    CPPUNIT_TEST(return_after_silence_is_noticed_soon);
    CPPUNIT_TEST(stopped_watch_makes_no_calls);
    CPPUNIT_TEST(continues_after_changes_received_from_another_vm);
    CPPUNIT_TEST_SUITE_END();

    event_ptr<event_base> base;
    link_address address;
    std::unique_ptr<fakes::fake_store> store;
    std::unique_ptr<http_client> caller;
    protocol adapter = platform_protocol();
    std::unique_ptr<store_watch> state;
    std::unique_ptr<store_watch_client> client;
    std::vector<stored_object> listed;
    std::vector<stored_object> changed;
    std::vector<stored_object> partial;
    std::size_t lists = 0;

    bool run_until(const std::function<bool()>& done, duration limit = seconds(8))
    {
        const instant end = std::chrono::steady_clock::now() + limit;
        while (!done()) {
            if (std::chrono::steady_clock::now() > end) return false;
            event_base_loop(this->base.get(), EVLOOP_ONCE);
            this->caller->sweep();
        }
        return true;
    }

    void set_mode(std::optional<read_mode> mode)
    {
        this->state->set_mode(mode, std::chrono::steady_clock::now());
        this->client->proceed();
    }

    void start()
    {
        this->state->on_list.connect([this](const std::vector<stored_object>& all) {
            this->listed = all;
            ++this->lists;
        });
        this->state->on_partial_list.connect([this](const std::vector<stored_object>& part) {
            this->partial.insert(this->partial.end(), part.begin(), part.end());
        });
        this->state->on_changes.connect([this](const std::vector<stored_object>& objects) {
            this->changed.insert(this->changed.end(), objects.begin(), objects.end());
        });
        this->set_mode(read_mode::linearizable);
    }

public:
    void setUp() override
    {
        this->base = make_event_base();
        this->address = {"127.0.0.1", support::free_port()};
        this->store = std::make_unique<fakes::fake_store>(this->base.get(), this->address);
        this->caller = std::make_unique<http_client>(this->base.get());
        this->state = std::make_unique<store_watch>(object_kind::servers);
        this->client = std::make_unique<store_watch_client>(
            this->base.get(), *this->caller, this->address, this->adapter, *this->state);
        this->listed.clear();
        this->changed.clear();
        this->partial.clear();
        this->lists = 0;
    }

    void tearDown() override
    {
        this->client.reset();
        this->caller.reset();
        this->store.reset();
        this->base.reset();
    }

    /** Guards against pages that are lost or mixed up, and against passing on pages of a later list
     * before it is complete. */
    void list_of_several_pages()
    {
        this->store->page_size = 2;
        for (const std::string name : {"a", "b", "c", "d", "e"})
            this->store->put("servers", name, "{}");
        this->store->put("config", "main", "{}");
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->lists == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, this->listed.size());
        // Pages before the last one are passed on early only for the first list, not for a later
        // one.
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->partial.size());
        this->store->put("servers", "f", "{}");
        this->store->forget_history();
        CPPUNIT_ASSERT(this->run_until([this] { return this->lists == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->partial.size());
    }

    /** Guards against additions and removals that a watch does not report. */
    void changes_are_received()
    {
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->store->watches == 1; }));
        this->store->put("servers", "a", R"({"x":1})");
        CPPUNIT_ASSERT(this->run_until([this] { return this->changed.size() == 1; }));
        this->store->remove("servers", "a");
        CPPUNIT_ASSERT(this->run_until([this] { return this->changed.size() == 2; }));
        CPPUNIT_ASSERT(!this->changed[0].removed && this->changed[1].removed);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"x":1})"), this->changed[0].document);
    }

    /** Guards against changes that are lost when the store has compacted the history that the watch
     * would continue from: it must list the objects again. */
    void compacted_history_causes_a_new_list()
    {
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->store->watches == 1; }));
        this->store->lose_waiting();
        this->store->put("servers", "a", "{}");
        this->store->forget_history();
        CPPUNIT_ASSERT(this->run_until([this] { return this->lists == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->listed.size());
    }

    /** Guards against a store that still counts as unreachable after it has stopped refusing calls.
     */
    void refused_then_served()
    {
        for (const store_fault fault : {store_fault::busy, store_fault::many}) {
            this->store->fault = fault;
            if (this->lists == 0) this->start();
            const std::size_t before = this->store->lists + this->store->watches;
            CPPUNIT_ASSERT(this->run_until([&] {
                return this->store->lists + this->store->watches > before + 1 ||
                       this->state->reachable();
            }));
            this->store->fault = store_fault::none;
            CPPUNIT_ASSERT(this->run_until([this] { return this->state->reachable(); }));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->lists);
    }

    /** Guards against noticing the return of an unresponsive store only when a long watch ends. */
    void return_after_silence_is_noticed_soon()
    {
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->store->watches == 1; }));
        this->store->fault = store_fault::silent;
        this->store->lose_waiting();
        CPPUNIT_ASSERT(this->run_until([this] { return !this->state->reachable(); }));
        // Waits until the watch calls the unresponsive store again, so that the call that could
        // notice the store's return is pending.
        const std::size_t before = this->store->watches;
        CPPUNIT_ASSERT(this->run_until([&] { return this->store->watches > before; }));
        this->store->fault = store_fault::none;
        const duration longest =
            store_watch::probe_timeout + store_watch::linearizable_timing.max_pause;
        CPPUNIT_ASSERT(longest < store_watch::linearizable_timing.wait);
        // The return is noticed although no change completes a pending watch.
        CPPUNIT_ASSERT(
            this->run_until([this] { return this->state->reachable(); }, longest + seconds(1)));
        this->store->put("servers", "a", "{}");
        CPPUNIT_ASSERT(this->run_until([this] { return this->changed.size() == 1; }, seconds(2)));
    }

    /** Guards against calls to the store by a stopped watch, and against losing the changes of that
     * time when it is started again. */
    void stopped_watch_makes_no_calls()
    {
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->store->watches == 1; }));
        this->set_mode(std::nullopt);
        this->store->put("servers", "a", "{}");
        this->run_until([] { return false; }, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->store->watches);
        CPPUNIT_ASSERT(this->changed.empty());
        this->set_mode(read_mode::linearizable);
        CPPUNIT_ASSERT(this->run_until([this] { return this->changed.size() == 1; }));
    }

    /** Guards against requesting changes again that were received from another VM while the watch
     * was stopped. */
    void continues_after_changes_received_from_another_vm()
    {
        this->start();
        CPPUNIT_ASSERT(this->run_until([this] { return this->store->watches == 1; }));
        this->set_mode(std::nullopt);
        this->store->put("servers", "a", "{}");
        this->state->advance(1);
        this->store->put("servers", "b", "{}");
        this->set_mode(read_mode::linearizable);
        CPPUNIT_ASSERT(this->run_until([this] { return !this->changed.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), this->changed.front().name);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_that_fails);

} // namespace
