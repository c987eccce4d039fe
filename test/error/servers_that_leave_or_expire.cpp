/** \file
 * A server that leaves gets no new work soon after, also right after the store returned from an
 * outage. Servers whose entries expired together in the outage stay in use until the entries are
 * written again. Other VMs receive the same state through a `registry_feed`.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "errors.h"
#include "platform.h"
#include "registry_feed.h"
#include "server_registry.h"

namespace {

using namespace worksshift;

constexpr store_origin from_watch{true};

class servers_that_leave_or_expire : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(servers_that_leave_or_expire);
    CPPUNIT_TEST(leaves_without_faults);
    CPPUNIT_TEST(leaves_after_a_store_outage);
    CPPUNIT_TEST(expired_together_are_retained);
    CPPUNIT_TEST(expired_and_not_rewritten_are_removed);
    CPPUNIT_TEST(expired_in_an_unnoticed_outage_are_retained_briefly);
    CPPUNIT_TEST(draining_server_gets_no_new_work);
    CPPUNIT_TEST(drained_servers_do_not_count_as_expired);
    CPPUNIT_TEST(retained_for_as_long_as_by_the_sending_vm);
    CPPUNIT_TEST(servers_that_the_sending_vm_does_not_use_have_left);
    CPPUNIT_TEST(sending_vm_that_never_knew_a_server_does_not_remove_it);
    CPPUNIT_TEST(feed_forwards_changes);
    CPPUNIT_TEST(feed_forwards_removals_of_unknown_servers);
    CPPUNIT_TEST(feed_forwards_retained_servers);
    CPPUNIT_TEST(feed_sends_the_complete_registry);
    CPPUNIT_TEST(feed_ignores_older_entries);
    CPPUNIT_TEST(feed_rejects_invalid_bytes);
    CPPUNIT_TEST_SUITE_END();

    /** The users' bound: time from the store's response to the removal until the last new work. */
    static constexpr duration leaving_bound = milliseconds(2000);

    protocol adapter = platform_protocol();
    std::unique_ptr<server_table> table;
    std::unique_ptr<server_registry> registry;
    instant start = instant(seconds(1000));

    static stored_object entry(const std::string& name, const std::string& state = "ready",
                               std::uint64_t revision = 1)
    {
        stored_object object;
        object.name = name;
        object.revision = revision;
        object.document = R"({"service":"desk","address":"127.0.0.1:1","zone":"dc","version":"v1",)"
                          R"("slots":4,"coldRemainingMs":0,"sequence":1,"state":")" +
                          state + R"("})";
        return object;
    }

    static stored_object removal(const std::string& name, std::uint64_t revision = 1)
    {
        stored_object object = entry(name, "ready", revision);
        object.removed = true;
        return object;
    }

    std::size_t usable() const
    {
        const auto& rows = this->table->rows();
        return static_cast<std::size_t>(std::ranges::count_if(
            rows, [](const auto& row) { return row.second.accepts_requests(); }));
    }

public:
    void setUp() override
    {
        this->table = std::make_unique<server_table>(data_centre_id{"dc"});
        this->registry = std::make_unique<server_registry>(*this->table, this->adapter);
        const std::vector<stored_object> all{entry("a"), entry("b"), entry("c"), entry("d")};
        this->registry->apply_list(all, store_origin{}, this->start);
    }

    /** Guards against keeping a single removed server when the store was available. */
    void leaves_without_faults()
    {
        this->registry->apply_change(removal("a"), from_watch, this->start + seconds(60));
        this->registry->sweep(this->start + seconds(60), this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->usable());
    }

    /** Guards against keeping a leaving server for as long as expired ones after an outage. */
    void leaves_after_a_store_outage()
    {
        const instant recovered_at = this->start + seconds(60);
        this->registry->apply_change(removal("a"), from_watch, recovered_at);
        this->registry->sweep(recovered_at + milliseconds(100), recovered_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
        this->registry->sweep(recovered_at + leaving_bound - milliseconds(200), recovered_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->usable());
    }

    /** Guards against dropping a service whose servers could not write during an outage. */
    void expired_together_are_retained()
    {
        const instant recovered_at = this->start + seconds(60);
        this->registry->apply_list({}, store_origin{}, recovered_at);
        this->registry->sweep(recovered_at + milliseconds(2100), recovered_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
        for (const std::string name : {"a", "b", "c", "d"}) {
            this->registry->apply_change(entry(name), from_watch,
                                         recovered_at + milliseconds(2000));
        }
        this->registry->sweep(recovered_at + seconds(10), recovered_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
    }

    /** Guards against keeping servers whose entries are not written again after an outage. */
    void expired_and_not_rewritten_are_removed()
    {
        const instant recovered_at = this->start + seconds(60);
        this->registry->apply_list({}, store_origin{}, recovered_at);
        this->registry->apply_change(entry("b"), from_watch, recovered_at + milliseconds(1000));
        this->registry->sweep(recovered_at + milliseconds(2500), recovered_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->usable());
    }

    /** Guards against dropping a service after an outage that is shorter than a watch's wait, which
     * shows only by its expired entries. */
    void expired_in_an_unnoticed_outage_are_retained_briefly()
    {
        const instant now = this->start + seconds(60);
        for (const std::string name : {"a", "b", "c", "d"})
            this->registry->apply_change(removal(name), from_watch, now);
        this->registry->sweep(now + milliseconds(100), this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
        this->registry->apply_change(entry("a"), from_watch, now + milliseconds(1000));
        this->registry->sweep(now + leaving_bound - milliseconds(200), this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->usable());
    }

    /** Guards against giving new work to a server that announced that it drains. */
    void draining_server_gets_no_new_work()
    {
        std::vector<server_id> reported;
        this->registry->on_leaving.connect([&](const server_id& id) { reported.push_back(id); });
        this->registry->apply_change(entry("a", "draining"), from_watch, this->start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->usable());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported.size());
    }

    /** Guards against servers that drained and then left counting as expired entries, which would
     * keep another server of their service in use. */
    void drained_servers_do_not_count_as_expired()
    {
        const instant now = this->start + seconds(60);
        this->registry->apply_change(entry("a", "draining"), from_watch, now);
        this->registry->apply_change(entry("b", "draining"), from_watch, now);
        for (const std::string name : {"a", "b", "c"})
            this->registry->apply_change(removal(name), from_watch, now + seconds(3));
        this->registry->sweep(now + seconds(3), this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->usable());
    }

    /** Guards against each VM restarting the retention period when it learns of a missing entry. */
    void retained_for_as_long_as_by_the_sending_vm()
    {
        const instant requested_at = this->start + seconds(60);
        const std::vector<retained_server> retained{{"a", 1000}, {"b", 1000}, {"c", 1000}};
        for (const std::string name : {"a", "b", "c"}) {
            this->registry->apply_change(removal(name), peer_origin{retained, requested_at},
                                         requested_at);
        }
        const instant retention_end =
            requested_at - milliseconds(1000) + server_registry::removed_retention;
        this->registry->sweep(retention_end - milliseconds(1), this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
        this->registry->sweep(retention_end, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->usable());
    }

    /** Guards against keeping servers that the VM which sent the update no longer uses. */
    void servers_that_the_sending_vm_does_not_use_have_left()
    {
        const instant now = this->start + seconds(60);
        const std::vector<stored_object> all{entry("a")};
        registry_update update{20, true, all};
        update.oldest_known_revision = 10;
        this->registry->apply_list(all, origin_of(update, 10, now), now);
        this->registry->sweep(now, now - milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->usable());
    }

    /** Guards against the response of a VM that started during an outage, and so knows no servers,
     * removing a whole service. */
    void sending_vm_that_never_knew_a_server_does_not_remove_it()
    {
        const instant now = this->start + seconds(60);
        registry_update update{20, true, {}};
        update.oldest_known_revision = 20;
        this->registry->apply_list({}, origin_of(update, 10, now), now);
        this->registry->sweep(now, now - milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->usable());
    }

    /** Guards against losing a removal: one VM receives the addition and the removal of a server in
     * one update, another VM receives only the addition and then asks the first VM for changes. */
    static void feed_forwards_removals_of_unknown_servers()
    {
        registry_feed source;
        registry_feed copy;
        const std::vector<stored_object> all{entry("a")};
        source.apply({10, true, all});
        copy.apply({10, true, all});
        copy.apply({12, false, {entry("b", "ready", 12)}});
        source.apply({14, false, {removal("b", 13), entry("a", "draining", 14)}});
        const registry_update changes = copy.apply(source.since(12)).value_or(registry_update{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copy.since(0).objects.size());
    }

    /** Guards against sending the complete registry, or too little, where changes suffice. */
    static void feed_forwards_changes()
    {
        registry_feed source;
        registry_feed copy;
        const std::vector<stored_object> all{entry("a"), entry("b")};
        source.apply({10, true, all});
        copy.apply(decode_registry_update(encode(source.since(0)), "peer"));
        source.apply({11, false, {removal("a", 11)}});
        source.apply({12, false, {entry("c", "ready", 12)}});
        const registry_update update =
            decode_registry_update(encode(source.since(copy.revision())), "peer");
        CPPUNIT_ASSERT(!update.complete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, update.oldest_known_revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, update.objects.size());
        copy.apply(update);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, copy.revision());
        CPPUNIT_ASSERT(copy.since(12).objects.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, copy.since(0).objects.size());
    }

    /** Guards against losing the missing servers that are still in use when an update is encoded.
     */
    static void feed_forwards_retained_servers()
    {
        registry_update update{10, true, {}};
        update.retained = {{"a", 700}};
        const registry_update reported = decode_registry_update(encode(update), "peer");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported.retained.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), reported.retained.front().name);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{700}, reported.retained.front().missing_ms);
    }

    /** Guards against a partial response to a VM that lacks more changes than the feed holds. */
    static void feed_sends_the_complete_registry()
    {
        registry_feed source;
        source.apply({10, true, {}});
        for (std::uint64_t i = 0; i < registry_feed::min_retained_changes + 5; ++i)
            source.apply({11 + i, false, {entry("s" + std::to_string(i % 7), "ready", 11 + i)}});
        const registry_update update = source.since(11);
        CPPUNIT_ASSERT(update.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, update.objects.size());
        CPPUNIT_ASSERT(!source.since(source.revision() - 1).complete);
    }

    /** Guards against stale responses of the store, which arrive between newer updates from other
     * VMs, overwriting newer entries. */
    static void feed_ignores_older_entries()
    {
        registry_feed feed;
        const auto changes_of = [&feed](const registry_update& update) {
            return feed.apply(update).value_or(registry_update{}).objects;
        };
        feed.apply({10, true, {entry("a", "ready", 5)}});
        feed.apply({20, false, {entry("a", "draining", 15), entry("b", "ready", 18)}});
        CPPUNIT_ASSERT(!feed.apply({12, false, {entry("a", "ready", 12)}}));
        CPPUNIT_ASSERT(!feed.apply({10, true, {entry("a", "ready", 5)}}));
        // The update is newer than the feed, but its entry for `a` is not.
        const auto changes =
            changes_of({21, false, {entry("a", "ready", 12), entry("c", "ready", 21)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), changes.front().name);
        // The removal precedes the newest write of the entry.
        CPPUNIT_ASSERT(changes_of({22, false, {removal("b", 17)}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes_of({23, false, {removal("b", 23)}}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, feed.since(0).objects.size());
    }

    /** Guards against accepting bytes that are not an update. */
    static void feed_rejects_invalid_bytes()
    {
        CPPUNIT_ASSERT_THROW(decode_registry_update("\x01\xff\xff\xff", "peer"), peer_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(servers_that_leave_or_expire);

} // namespace
