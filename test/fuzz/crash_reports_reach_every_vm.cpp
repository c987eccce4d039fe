/** \file
 * Guards against a request that goes on crashing servers because some VM does not know of it.
 * Every VM must block it in time at any request rate, with 7 to 480 VMs, while digests are lost and
 * VMs restart. Other requests in flight at these servers must not be blocked, and reports and
 * memory must stay bounded.
 */
#include <algorithm>
#include <array>
#include <random>
#include <span>

#include <cppunit/extensions/HelperMacros.h>

#include "crash_suspects.h"
#include "support/digest_fleet.h"

namespace {

using namespace worksshift;
using support::digest_fleet;

/** Time after the third crash in which the report may still be on its way to some VMs. */
constexpr duration max_propagation_time = seconds(3);
/** Upper bound on the sends of the request by all VMs together after that. */
constexpr std::size_t max_late_sends = 3;
constexpr content_key harmful{0xbad};

/** VMs with their crash suspects, and servers of which one crashes with each harmful request. */
class suspect_fleet {
public:
    suspect_fleet(std::size_t vms, std::size_t data_centres) : fleet(vms, data_centres, 1)
    {
        this->fleet.describe = [this](std::size_t vm, local_state& state) {
            crash_suspects& known = this->known[vm];
            known.expire(this->fleet.now);
            known.fill_digest(state.digest, this->fleet.now);
            state.remote_crash_reports = known.reports_to_remote_vms();
        };
        this->fleet.on_digest = [this](std::size_t vm, const fleet_vm& from) {
            fleet_rounds& rounds = this->fleet.vms.at(vm).rounds;
            const bool local = rounds.fleet().is_local(from);
            if (!this->known[vm].handle_digest(from.last, local, this->fleet.now)) return;
            if (this->fleet.now - this->last_early_round[vm] < milliseconds(500)) return;
            this->last_early_round[vm] = this->fleet.now;
            this->known[vm].take_urgent();
            rounds.send_early();
        };
        this->fleet.run(seconds(8));
    }

    /** A request arrives at a VM, which sends it unless it is blocked. Returns whether it was sent.
     * \p crashes: whether the request crashes the server, or only its response is lost. */
    bool ask(std::size_t vm, content_key content, bool crashes)
    {
        if (this->known[vm].blocked(content, this->fleet.now)) return false;
        ++this->sends;
        this->fail_server(vm, {&content, 1}, crashes);
        return true;
    }

    /** A server crashes, or only loses its responses, with these contents of a VM in flight. */
    void fail_server(std::size_t vm, std::span<const content_key> contents, bool crashes = true)
    {
        const server_incarnation server{++this->servers};
        for (const content_key content : contents)
            this->known[vm].on_attempt_broken(content, server, this->fleet.now);
        this->known[vm].on_checked(server, crashes, this->fleet.now);
    }

    /** Harmful requests arrive at random VMs at a mean rate of \p per_s for \p span. */
    void ask_harmful(double per_s, duration span)
    {
        const duration step = milliseconds(10);
        for (const instant end = this->fleet.now + span; this->fleet.now < end;) {
            this->fleet.run(step);
            const double expected = per_s * std::chrono::duration<double>(step).count();
            const int count = std::poisson_distribution<>(expected)(this->random);
            for (int i = 0; i < count; ++i) {
                const std::size_t vm = this->random() % this->fleet.vms.size();
                // Each is sent to a second server after the first one has crashed.
                if (this->ask(vm, harmful, true)) this->ask(vm, harmful, true);
            }
        }
    }

    /** Number of VMs that block the content. */
    [[nodiscard]] std::size_t blocked_at(content_key content)
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->fleet.vms, [&](auto& entry) {
            return this->known[entry.first].blocked(content, this->fleet.now).has_value();
        }));
    }

    digest_fleet fleet;
    std::map<std::size_t, crash_suspects> known;
    std::map<std::size_t, instant> last_early_round;
    std::size_t sends = 0;
    std::uint32_t servers = 0;
    std::mt19937 random;
};

constexpr content_key harmful_part{part_bit | 0xbad};
constexpr std::size_t common_parts = 20;

/** Callers' requests with parts of prompts in common, of which one crashes servers. */
class part_fleet : public suspect_fleet {
public:
    using suspect_fleet::suspect_fleet;

    /** For \p span, sound requests arrive at each VM, and harmful ones at \p per_s in all. Each
     * harmful request shares a part with sound ones, and crashes its server beside a sound request
     * that the server has not begun to respond to. */
    void ask_parts(double per_s, duration span)
    {
        constexpr duration step = milliseconds(50);
        for (const instant end = this->fleet.now + span; this->fleet.now < end;) {
            this->fleet.run(step);
            for (auto& [vm, item] : this->fleet.vms) {
                this->known[vm].expire(this->fleet.now);
                this->ask_sound(vm);
            }
            const double expected = per_s * std::chrono::duration<double>(step).count();
            const int count = std::poisson_distribution<>(expected)(this->random);
            for (int i = 0; i < count; ++i) {
                const std::size_t vm = this->random() % this->fleet.vms.size();
                const std::array parts{first_part, this->any_part(), harmful_part,
                                       this->any_part()};
                if (this->known[vm].blocked_part(parts, this->fleet.now)) continue;
                ++this->sends;
                this->fail_server(
                    vm, std::array{first_part, this->any_part(), harmful_part, this->any_part()});
            }
        }
    }

    [[nodiscard]] content_key any_part()
    {
        return content_key{part_bit | (1 + this->random() % common_parts)};
    }

    static constexpr content_key first_part{part_bit | 0xf};
    std::size_t sound = 0;
    std::size_t sound_refused = 0;

private:
    void ask_sound(std::size_t vm)
    {
        const content_key part = this->any_part();
        ++this->sound;
        if (this->known[vm].blocked_part(std::array{first_part, part}, this->fleet.now)) {
            ++this->sound_refused;
            return;
        }
        this->known[vm].on_answered(first_part, this->fleet.now);
        this->known[vm].on_answered(part, this->fleet.now);
    }
};

class crash_reports_reach_every_vm : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_reports_reach_every_vm);
    CPPUNIT_TEST(all_fleet_sizes);
    CPPUNIT_TEST(lost_digests);
    CPPUNIT_TEST(rare_requests);
    CPPUNIT_TEST(vms_that_start);
    CPPUNIT_TEST(concurrent_contents_are_not_blocked);
    CPPUNIT_TEST(lost_responses_do_not_count);
    CPPUNIT_TEST(response_clears_a_content);
    CPPUNIT_TEST(one_vm_makes_trials);
    CPPUNIT_TEST(many_crashes_stay_bounded);
    CPPUNIT_TEST(part_is_blocked_by_every_vm);
    CPPUNIT_TEST(other_parts_are_served);
    CPPUNIT_TEST(crashes_of_many_servers_block_no_part);
    CPPUNIT_TEST(response_elsewhere_clears_a_part);
    CPPUNIT_TEST(random_digests);
    CPPUNIT_TEST_SUITE_END();

    /** Checks that the harmful request is hardly sent any more once the reports have arrived. */
    static void check_blocked_in_time(suspect_fleet& fleet, double per_s, duration span)
    {
        while (fleet.sends < crashes_until_blocked)
            fleet.ask_harmful(per_s, milliseconds(50));
        fleet.ask_harmful(per_s, max_propagation_time);
        const std::size_t before = fleet.sends;
        fleet.ask_harmful(per_s, span);
        CPPUNIT_ASSERT(fleet.sends <= before + max_late_sends);
    }

public:
    static void all_fleet_sizes()
    {
        for (const std::size_t vms : {7, 65, 480}) {
            suspect_fleet fleet(vms, vms < 12 ? 3 : 6);
            check_blocked_in_time(fleet, 5, seconds(3));
            CPPUNIT_ASSERT_EQUAL(fleet.fleet.vms.size(), fleet.blocked_at(harmful));
        }
    }

    static void lost_digests()
    {
        for (const std::size_t vms : {7, 65}) {
            suspect_fleet fleet(vms, vms < 12 ? 3 : 4);
            fleet.fleet.loss = 0.1;
            check_blocked_in_time(fleet, 5, seconds(20));
        }
    }

    static void rare_requests()
    {
        suspect_fleet fleet(65, 4);
        check_blocked_in_time(fleet, 0.2, seconds(60));
    }

    /** VMs that start learn the blocked contents from the first digests that they receive. */
    static void vms_that_start()
    {
        suspect_fleet fleet(65, 4);
        fleet.ask_harmful(10, seconds(5));
        for (const std::size_t vm : {5, 6, 7, 8, 9}) {
            fleet.fleet.kill(vm);
            fleet.known.erase(vm);
        }
        fleet.fleet.run(seconds(3));
        for (const std::size_t vm : {5, 6, 7, 8, 9})
            fleet.fleet.start(vm);
        fleet.fleet.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{65}, fleet.blocked_at(harmful));
    }

    /** Other requests in flight at the crashed servers are not blocked, even those that were at two
     * of the three because they were resent from one crashed server to the next. */
    static void concurrent_contents_are_not_blocked()
    {
        suspect_fleet fleet(7, 3);
        constexpr content_key followed{1};
        constexpr std::array often{harmful, followed, content_key{2}};
        constexpr std::array last{harmful, content_key{3}};
        for (std::size_t i = 0; i < 3; ++i) {
            if (i < 2) {
                fleet.fail_server(i, often);
            } else {
                fleet.fail_server(i, last);
            }
            fleet.fleet.run(milliseconds(300));
        }
        fleet.fleet.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fleet.blocked_at(harmful));
        // A later crash without the harmful request must not add to the crashes already explained.
        fleet.fail_server(4, {&followed, 1});
        fleet.fleet.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blocked_at(followed));
    }

    /** Broken attempts at servers that still run do not count. */
    static void lost_responses_do_not_count()
    {
        suspect_fleet fleet(7, 3);
        for (std::size_t i = 0; i < 20; ++i) {
            fleet.ask(i % 7, content_key{5}, false);
            fleet.fleet.run(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blocked_at(content_key{5}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, fleet.sends);
    }

    /** A content in flight at crashed servers that got a response since is not blocked. */
    static void response_clears_a_content()
    {
        suspect_fleet fleet(7, 3);
        constexpr content_key content{6};
        for (std::size_t i = 0; i < 6; ++i) {
            fleet.fail_server(i, {&content, 1});
            fleet.fleet.run(milliseconds(400));
            fleet.known[(i + 1) % 7].on_answered(content, fleet.fleet.now);
            fleet.fleet.run(milliseconds(400));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blocked_at(content));
    }

    /** A blocked content is retried by one VM, at growing intervals, until a server responds. */
    static void one_vm_makes_trials()
    {
        suspect_fleet fleet(7, 3);
        const auto trial_due = [&fleet](std::size_t vm) {
            const std::optional<block_state> found =
                fleet.known[vm].blocked(harmful, fleet.fleet.now);
            CPPUNIT_ASSERT(found);
            CPPUNIT_ASSERT(found->until_trial > duration::zero());
            return found->trial_due;
        };
        fleet.ask_harmful(10, seconds(2));
        CPPUNIT_ASSERT(!trial_due(2));
        fleet.fleet.run(initial_trial_delay);
        CPPUNIT_ASSERT(trial_due(2));
        // Only once, and not by another VM that has learnt of the trial.
        fleet.known[2].begin_trial(harmful, fleet.fleet.now);
        CPPUNIT_ASSERT(!trial_due(2));
        fleet.fleet.run(seconds(1));
        CPPUNIT_ASSERT(!trial_due(3));
        // The pause doubles with each unsuccessful trial.
        fleet.fleet.run(initial_trial_delay);
        CPPUNIT_ASSERT(!trial_due(3));
        fleet.fleet.run(initial_trial_delay);
        CPPUNIT_ASSERT(trial_due(3));
        fleet.known[3].begin_trial(harmful, fleet.fleet.now);
        fleet.known[3].on_answered(harmful, fleet.fleet.now);
        fleet.fleet.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blocked_at(harmful));
    }

    /** Many crashes with many contents in flight neither exceed the memory bound nor hide the
     * harmful request. */
    static void many_crashes_stay_bounded()
    {
        suspect_fleet fleet(7, 3);
        std::uint64_t contents = 1000;
        for (std::size_t i = 0; i < 400; ++i) {
            std::vector<content_key> in_flight;
            constexpr int slots = 64;
            in_flight.reserve(slots);
            for (int k = 0; k < slots; ++k)
                in_flight.push_back(content_key{++contents});
            fleet.fail_server(i % 7, in_flight);
            fleet.fleet.run(milliseconds(10));
        }
        for (const auto& [vm, known] : fleet.known)
            CPPUNIT_ASSERT(known.suspect_count() <= max_suspects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.known[0].blocked_contents());
        // The harmful request is still detected.
        fleet.ask_harmful(10, max_propagation_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fleet.blocked_at(harmful));
    }

    /** Requests that share only one part are refused by every VM, and hardly any is sent after the
     * reports have arrived, for as long as they come. */
    static void part_is_blocked_by_every_vm()
    {
        for (const std::size_t vms : {7, 65}) {
            part_fleet fleet(vms, vms < 12 ? 3 : 6);
            while (fleet.sends < 5)
                fleet.ask_parts(3, milliseconds(100));
            fleet.ask_parts(3, max_propagation_time);
            const std::size_t before = fleet.sends;
            fleet.ask_parts(3, seconds(vms < 12 ? 120 : 10));
            CPPUNIT_ASSERT(fleet.sends <= before + max_late_sends);
            CPPUNIT_ASSERT_EQUAL(vms, fleet.blocked_at(harmful_part));
        }
    }

    /** Guards against refusing requests that share the other parts of the harmful ones. */
    static void other_parts_are_served()
    {
        for (const std::size_t vms : {7, 65}) {
            part_fleet fleet(vms, vms < 12 ? 3 : 6);
            fleet.ask_parts(4, seconds(10));
            CPPUNIT_ASSERT(fleet.sound_refused * 50 <= fleet.sound);
            fleet.sound_refused = 0;
            fleet.ask_parts(4, seconds(5));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.sound_refused);
        }
    }

    /** Servers that crash for other reasons, many at once and one after the other, block no part.
     */
    static void crashes_of_many_servers_block_no_part()
    {
        part_fleet fleet(7, 3);
        fleet.ask_parts(0, seconds(3));
        for (int round = 0; round < 10; ++round) {
            for (std::size_t server = 0; server < 6; ++server) {
                const std::array parts{part_fleet::first_part, fleet.any_part()};
                fleet.fail_server(server % 7, parts);
            }
            fleet.ask_parts(0, milliseconds(500));
        }
        fleet.ask_parts(0, seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.known[0].blocked_contents());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.sound_refused);
    }

    /** Guards against a block by VMs that do not see the responses which another VM receives. */
    static void response_elsewhere_clears_a_part()
    {
        part_fleet fleet(7, 3);
        constexpr content_key rare{part_bit | 0x77};
        for (std::size_t i = 0; i < 8; ++i) {
            fleet.fail_server(i % 3, {&rare, 1});
            fleet.fleet.run(milliseconds(200));
            fleet.known[6].on_answered(rare, fleet.fleet.now);
        }
        fleet.fleet.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blocked_at(rare));
    }

    /** Digests with random contents neither exceed the bounds nor block an unrelated content. */
    static void random_digests()
    {
        crash_suspects known;
        fleet_digest digest;
        std::mt19937_64 random(7);
        const instant now{seconds(5000)};
        for (int i = 0; i < 20000; ++i) {
            digest.crash_reports = {{random(), static_cast<std::uint32_t>(random())}};
            digest.blocked = {{random(), static_cast<std::uint8_t>(random()), random() % 2 == 0,
                               static_cast<std::uint16_t>(random())}};
            known.handle_digest(digest, random() % 2 == 0, now);
        }
        CPPUNIT_ASSERT(known.suspect_count() <= max_suspects);
        fleet_digest own;
        known.fill_digest(own, now);
        CPPUNIT_ASSERT(own.blocked.size() <= max_blocked_contents);
        CPPUNIT_ASSERT(own.crash_reports.size() <= max_crash_reports);
        CPPUNIT_ASSERT(!known.blocked(harmful, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_reports_reach_every_vm);

} // namespace
