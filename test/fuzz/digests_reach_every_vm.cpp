/** \file
 * Simulated fleets of random size: digests propagate the loads of all VMs to every VM despite lost
 * datagrams and killed VMs, and only a few VMs watch the store.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "errors.h"
#include "support/digest_fleet.h"

namespace {

using namespace worksshift;
using support::digest_fleet;

/** Random loads at some of the servers, sorted. */
load_table draw_loads(std::size_t servers)
{
    const auto count = *rc::gen::inRange<std::size_t>(0, servers + 1);
    load_table loads;
    for (std::size_t i = 0; i < count; ++i) {
        loads.push_back({*rc::gen::inRange<std::uint32_t>(1, servers + 1),
                         *rc::gen::inRange<std::uint16_t>(1, 9)});
    }
    normalize(loads);
    return loads;
}

/** Whether every VM has the true load sums of all other VMs. */
bool all_have_true_loads(const digest_fleet& fleet)
{
    return std::ranges::all_of(fleet.vms, [&](const auto& entry) {
        return entry.second.rounds.loads_of_others(fleet.now) ==
               fleet.total_loads_without(entry.first);
    });
}

std::size_t count_standby_watchers(const digest_fleet& fleet)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.vms, [](const auto& entry) { return entry.second.watch_role.stands_by(); }));
}

std::size_t count_linearizable_watchers(const digest_fleet& fleet)
{
    return static_cast<std::size_t>(std::ranges::count_if(fleet.vms, [](const auto& entry) {
        return entry.second.watch_role.mode() == read_mode::linearizable;
    }));
}

class digests_reach_every_vm : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(digests_reach_every_vm);
    CPPUNIT_TEST(loads);
    CPPUNIT_TEST(loads_after_kills);
    CPPUNIT_TEST(loads_in_a_fleet_that_becomes_small);
    CPPUNIT_TEST(few_vms_watch_the_store);
    CPPUNIT_TEST(few_vms_take_over_from_watchers_that_leave);
    CPPUNIT_TEST(other_vms_watch_when_the_store_refuses_watchers);
    CPPUNIT_TEST(seeds_can_be_added);
    CPPUNIT_TEST(new_incarnation_starts_without_loads);
    CPPUNIT_TEST(sums_of_former_aggregators_are_forgotten);
    CPPUNIT_TEST(digest_is_unchanged_by_encoding);
    CPPUNIT_TEST(notices_are_told_apart_from_digests);
    CPPUNIT_TEST(store_readers_that_stop_are_not_reported_again);
    CPPUNIT_TEST(rejections_are_optional);
    CPPUNIT_TEST(fleet_size_is_optional);
    CPPUNIT_TEST(fleet_size);
    CPPUNIT_TEST(fleet_size_is_kept_while_vms_cannot_see_each_other);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against loads that are lost, stale or counted twice on the way between VMs. */
    static void loads()
    {
        const bool held = rc::check("all VMs come to know all loads", [] {
            const auto vms = *rc::gen::inRange<std::size_t>(1, 40);
            const auto centres = *rc::gen::inRange<std::size_t>(1, 5);
            digest_fleet fleet(vms, centres, *rc::gen::arbitrary<std::uint64_t>());
            fleet.servers = *rc::gen::inRange<std::size_t>(1, 120);
            fleet.loss = *rc::gen::element(0.0, 0.02, 0.1);
            for (auto& [vm, item] : fleet.vms)
                item.loads = draw_loads(fleet.servers);
            const duration elapsed =
                fleet.run_until([&] { return all_have_true_loads(fleet); }, seconds(30));
            RC_ASSERT(elapsed < seconds(30));
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against loads of a killed VM that stay in the sums. */
    static void loads_after_kills()
    {
        const bool held = rc::check("loads of killed VMs are forgotten, those of others kept", [] {
            const auto vms = *rc::gen::inRange<std::size_t>(4, 40);
            digest_fleet fleet(vms, *rc::gen::inRange<std::size_t>(1, 5),
                               *rc::gen::arbitrary<std::uint64_t>());
            fleet.servers = *rc::gen::inRange<std::size_t>(1, 60);
            for (auto& [vm, item] : fleet.vms)
                item.loads = draw_loads(fleet.servers);
            fleet.run(seconds(8));
            const auto killed = *rc::gen::inRange<std::size_t>(1, vms);
            for (std::size_t i = 0; i < killed; ++i)
                fleet.kill(*rc::gen::inRange<std::size_t>(0, vms));
            if (*rc::gen::arbitrary<bool>()) fleet.start(0);
            const duration elapsed =
                fleet.run_until([&] { return all_have_true_loads(fleet); }, seconds(30));
            RC_ASSERT(elapsed < seconds(30));
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against loads that count twice: from aggregators, and from the VMs themselves, which
     * all report to each other once the fleet is small. */
    static void loads_in_a_fleet_that_becomes_small()
    {
        constexpr std::size_t killed = 2;
        digest_fleet fleet(max_small_fleet_vms + killed, 2, 1);
        for (auto& [vm, item] : fleet.vms)
            item.loads = {{1, 2}, {static_cast<std::uint32_t>(2 + vm), 1}};
        fleet.run(seconds(8));
        for (std::size_t vm = 0; vm < killed; ++vm)
            fleet.kill(vm);
        fleet.run(dead_vm_retention + seconds(10));
        CPPUNIT_ASSERT(all_have_true_loads(fleet));
    }

    /** Guards against too many VMs that watch the store, or none. */
    static void few_vms_watch_the_store()
    {
        const bool held = rc::check("few VMs watch the store", [] {
            const auto vms = *rc::gen::inRange<std::size_t>(1, 60);
            const auto centres = *rc::gen::inRange<std::size_t>(1, 5);
            digest_fleet fleet(vms, centres, *rc::gen::arbitrary<std::uint64_t>());
            fleet.run(seconds(10));
            const std::size_t allowed =
                vms <= max_small_fleet_vms || centres == 1
                    ? watcher_selection::standby_watchers_per_fleet
                    : watcher_selection::standby_watchers_per_data_centre * centres;
            RC_ASSERT(count_standby_watchers(fleet) <= allowed);
            RC_ASSERT(count_standby_watchers(fleet) >= 1U);
            RC_ASSERT(count_linearizable_watchers(fleet) == std::min(vms, delegates_per_fleet));
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against most VMs starting to watch when watchers stop one by one, as in an upgrade.
     */
    static void few_vms_take_over_from_watchers_that_leave()
    {
        digest_fleet fleet(80, 4, 3);
        fleet.run(seconds(10));
        for (auto& [vm, item] : fleet.vms)
            item.watch_starts = 0;
        std::size_t left = 0;
        for (std::size_t centre = 0; centre < 4; ++centre) {
            for (auto& [vm, item] : fleet.vms) {
                if (fleet.data_centre_of(vm) != centre || !item.watch_role.stands_by()) continue;
                item.leaving = true;
                item.rounds.send_early();
                ++left;
                fleet.run(seconds(2));
                break;
            }
        }
        fleet.run(seconds(4));
        std::size_t watch_starts_total = 0;
        for (const auto& [vm, item] : fleet.vms)
            watch_starts_total += item.watch_starts;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, left);
        CPPUNIT_ASSERT(watch_starts_total >= left);
        CPPUNIT_ASSERT(watch_starts_total <= 3 * left);
    }

    /** Guards against a data centre without a working watch when the store refuses all watchers. */
    static void other_vms_watch_when_the_store_refuses_watchers()
    {
        digest_fleet fleet(40, 4, 1);
        fleet.run(seconds(10));
        for (auto& [vm, item] : fleet.vms) {
            if (item.watch_role.watching()) item.store_answers = false;
        }
        // A leaving server must get no new requests 2 s later, so other VMs must take over sooner.
        const duration elapsed = fleet.run_until(
            [&] {
                return std::ranges::all_of(fleet.vms, [&](const auto& entry) {
                    const auto local_vms = entry.second.rounds.fleet().local_vms(fleet.now);
                    const bool is_reported =
                        std::ranges::any_of(local_vms, [&](const fleet_vm* item) {
                            return item->last.watches_store &&
                                   fleet.vms.at(digest_fleet::vm_at(item->address)).store_answers;
                        });
                    return is_reported ||
                           (entry.second.watch_role.watching() && entry.second.store_answers);
                });
            },
            seconds(10));
        CPPUNIT_ASSERT(elapsed <= seconds(1));
    }

    /** Guards against added seeds that are not contacted, as when reloaded settings replace all
     * former seeds. */
    static void seeds_can_be_added()
    {
        const instant now(seconds(100));
        fleet_rounds rounds({1, 7, 1}, {}, now);
        const auto recipients = [](const std::vector<outgoing_digest>& round) {
            std::vector<std::uint32_t> all;
            for (const outgoing_digest& item : round)
                all.insert(all.end(), item.to.begin(), item.to.end());
            return all;
        };
        CPPUNIT_ASSERT(recipients(rounds.next({}, now)).empty());
        const std::vector<std::uint32_t> seeds{2, 3};
        rounds.add_seeds(seeds, now);
        rounds.add_seeds(seeds, now);
        const auto contacted = recipients(rounds.next({}, now + seconds(1)));
        CPPUNIT_ASSERT(std::ranges::find(contacted, 2U) != contacted.end());
        CPPUNIT_ASSERT(std::ranges::find(contacted, 3U) != contacted.end());
    }

    /** Guards against loads of a VM's previous incarnation that are kept after its restart. */
    static void new_incarnation_starts_without_loads()
    {
        const instant now(seconds(100));
        fleet_table table({1, 7, 1}, {}, now);
        fleet_digest digest;
        digest.incarnation = 5;
        digest.sequence = 9;
        digest.data_centre = 7;
        digest.own_loads = {0, 1, {{11, 3}, {12, 4}}};
        table.apply_digest(2, digest, now);
        digest.sequence = 8;
        digest.own_loads = {0, 1, {{11, 1}}};
        CPPUNIT_ASSERT(table.apply_digest(2, digest, now) == nullptr);
        CPPUNIT_ASSERT_EQUAL(4U, load_at(table.vms().at(2).own_loads.entries(), 12));
        digest.incarnation = 6;
        digest.sequence = 1;
        // This digest has only part of the table: the rest must not come from the old incarnation.
        digest.own_loads = {1, 2, {{11, 1}}};
        CPPUNIT_ASSERT(table.apply_digest(2, digest, now) != nullptr);
        CPPUNIT_ASSERT_EQUAL(0U, load_at(table.vms().at(2).own_loads.entries(), 12));
        CPPUNIT_ASSERT_EQUAL(1U, load_at(table.vms().at(2).own_loads.entries(), 11));
    }

    /** Guards against sums that a VM reported while it aggregated, and that stay in the loads as
     * long as it sends digests of other content. */
    static void sums_of_former_aggregators_are_forgotten()
    {
        instant now(seconds(100));
        constexpr std::uint32_t own_centre = 7;
        fleet_table table({1, own_centre, 1}, {}, now);
        load_exchange exchange(table);
        const auto receive = [&](std::uint32_t vm, std::uint32_t centre, bool aggregates) {
            fleet_digest digest;
            digest.incarnation = 5;
            digest.sequence = static_cast<std::uint32_t>((now - instant{}) / milliseconds(1));
            digest.data_centre = centre;
            load_part& sums = centre == own_centre ? digest.remote_loads : digest.centre_loads;
            if (aggregates) sums = {0, 1, {{10 + vm, 4}}};
            CPPUNIT_ASSERT(table.apply_digest(vm, std::move(digest), now) != nullptr);
        };
        constexpr std::uint32_t local_vm = 2;
        constexpr std::uint32_t remote_vm = 3;
        // In a small fleet, all VMs send each other their own loads.
        for (std::uint32_t vm = remote_vm + 1; vm <= remote_vm + max_small_fleet_vms; ++vm)
            receive(vm, own_centre + 1, false);
        receive(local_vm, own_centre, true);
        receive(remote_vm, own_centre + 1, true);
        CPPUNIT_ASSERT_EQUAL(4U, load_at(exchange.loads_of_others(now), 10 + local_vm));
        CPPUNIT_ASSERT_EQUAL(4U, load_at(exchange.loads_of_others(now), 10 + remote_vm));
        const instant end = now + remote_sums_timeout + seconds(1);
        while (now < end) {
            now += milliseconds(150);
            receive(local_vm, own_centre, false);
            receive(remote_vm, own_centre + 1, false);
        }
        CPPUNIT_ASSERT(exchange.loads_of_others(now).empty());
    }

    /** Guards against fields lost in encoding, and against truncated digests that are accepted. */
    static void digest_is_unchanged_by_encoding()
    {
        const bool held = rc::check("decoding gives what was encoded", [] {
            fleet_digest original;
            original.incarnation = *rc::gen::arbitrary<std::uint32_t>();
            original.config_version = *rc::gen::arbitrary<std::uint64_t>();
            original.watches_store = *rc::gen::arbitrary<bool>();
            original.own_loads = {3, 8, draw_loads(90)};
            original.remote_loads = {0, 1, draw_loads(20)};
            original.vms.push_back({*rc::gen::arbitrary<std::uint32_t>(), 7, 3});
            original.store_readers.push_back({*rc::gen::arbitrary<std::uint32_t>(), 5});
            const fleet_digest decoded = decode_digest(encode(original), "vm");
            RC_ASSERT(decoded.incarnation == original.incarnation);
            RC_ASSERT(decoded.config_version == original.config_version);
            RC_ASSERT(decoded.watches_store == original.watches_store);
            RC_ASSERT(decoded.own_loads.part == 3 && decoded.own_loads.parts == 8);
            RC_ASSERT(decoded.own_loads.entries == original.own_loads.entries);
            RC_ASSERT(decoded.remote_loads.entries == original.remote_loads.entries);
            RC_ASSERT(decoded.vms.at(0).address == original.vms.at(0).address);
            RC_ASSERT(decoded.store_readers == original.store_readers);
            std::string bytes = encode(original);
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
            RC_ASSERT_THROWS_AS(decode_digest(bytes, "vm"), peer_error);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against a notice that is taken for a digest, or the reverse, and against bytes that
     * are neither. */
    static void notices_are_told_apart_from_digests()
    {
        for (const bool reads_store : {false, true}) {
            const store_reader_notice notice{.reads_store = reads_store};
            const gossip_datagram decoded = decode_datagram(encode(notice), "vm");
            CPPUNIT_ASSERT_EQUAL(reads_store, std::get<store_reader_notice>(decoded).reads_store);
            std::string bytes = encode(notice);
            bytes.pop_back();
            CPPUNIT_ASSERT_THROW(decode_datagram(bytes, "vm"), peer_error);
        }
        const gossip_datagram decoded = decode_datagram(encode(fleet_digest{}), "vm");
        CPPUNIT_ASSERT(std::holds_alternative<fleet_digest>(decoded));
    }

    /** Guards against a VM that said that it no longer reads the store being taken for a reader
     * again because of another VM's older report. */
    static void store_readers_that_stop_are_not_reported_again()
    {
        const instant now(seconds(100));
        fleet_table table({1, 7, 1}, {}, now);
        fleet_digest digest;
        digest.incarnation = 5;
        digest.sequence = 1;
        digest.store_readers = {{3, 1}};
        table.apply_digest(2, digest, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.store_readers(now).size());
        table.apply_notice(3, {.reads_store = false}, now + milliseconds(20));
        CPPUNIT_ASSERT(table.store_readers(now + milliseconds(20)).empty());
        digest.sequence = 2;
        table.apply_digest(2, digest, now + milliseconds(40));
        CPPUNIT_ASSERT(table.store_readers(now + milliseconds(40)).empty());
        digest.sequence = 3;
        table.apply_digest(2, digest, now + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.store_readers(now + seconds(1)).size());
        // A host that is not a VM.
        table.apply_notice(9, {.reads_store = true}, now + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.store_readers(now + seconds(1)).size());
    }

    /** Guards against digests that VMs which do not know rejections cannot decode, although there
     * are none, and against truncated ones that are accepted. */
    static void rejections_are_optional()
    {
        fleet_digest digest;
        const std::string without = encode(digest);
        CPPUNIT_ASSERT(decode_digest(without, "vm").rejections.empty());
        digest.rejections = {{11, 3, 5}, {12, 255, 65535}};
        const std::string with = encode(digest);
        CPPUNIT_ASSERT(with.starts_with(without));
        const fleet_digest decoded = decode_digest(with, "vm");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.rejections.size());
        CPPUNIT_ASSERT_EQUAL(12U, decoded.rejections.back().server);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{255}, decoded.rejections.back().count);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{65535}, decoded.rejections.back().limit);
        for (std::size_t size = without.size() + 1; size < with.size(); ++size)
            CPPUNIT_ASSERT_THROW(decode_digest(with.substr(0, size), "vm"), peer_error);
    }

    /** Guards against a fleet size that VMs which do not know the field cannot skip, or that is
     * taken from a truncated digest. */
    static void fleet_size_is_optional()
    {
        fleet_digest digest;
        digest.rejections = {{11, 3, 5}};
        const std::string without = encode(digest);
        digest.fleet_vms = 480;
        const std::string with = encode(digest);
        CPPUNIT_ASSERT(with.starts_with(without));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{480}, decode_digest(with, "vm").fleet_vms);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, decode_digest(without, "vm").fleet_vms);
        CPPUNIT_ASSERT_THROW(decode_digest(with.substr(0, with.size() - 1), "vm"), peer_error);
        digest.rejections.clear();
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{480}, decode_digest(encode(digest), "vm").fleet_vms);
    }

    /** Guards against limits of the fleet that are divided by too few VMs after all have started,
     * or by a VM that has not heard of any other. */
    static void fleet_size()
    {
        digest_fleet fleet(65, 4, 1);
        const auto size = [&](std::size_t vm) {
            return fleet.vms.at(vm).rounds.fleet().size(fleet.now);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, size(40).vms);
        fleet.run(seconds(3));
        for (const auto& [vm, item] : fleet.vms)
            CPPUNIT_ASSERT_EQUAL(std::size_t{65}, size(vm).vms);
        for (std::size_t other = 0; other < 65; ++other)
            fleet.cut.insert(std::minmax<std::size_t>(40, other));
        fleet.kill(40);
        // Datagrams that were sent before the cut do not reach the new process.
        fleet.run(milliseconds(100));
        fleet.start(40);
        fleet.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, size(40).vms);
    }

    /** Guards against VMs that take the parts of those which they cannot see for a while. */
    static void fleet_size_is_kept_while_vms_cannot_see_each_other()
    {
        digest_fleet fleet(8, 2, 1);
        fleet.run(seconds(4));
        for (std::size_t vm = 0; vm < 8; ++vm) {
            for (std::size_t other = vm + 1; other < 8; ++other) {
                if (vm % 2 != other % 2) fleet.cut.emplace(vm, other);
            }
        }
        fleet.run(seconds(90));
        fleet.kill(3);
        fleet.start(3);
        fleet.run(seconds(3));
        for (const auto& [vm, item] : fleet.vms)
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, item.rounds.fleet().size(fleet.now).vms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(digests_reach_every_vm);

} // namespace
