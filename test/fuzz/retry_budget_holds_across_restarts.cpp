/** \file
 * Guards against more retries in a window, summed over all VMs, than the fleet's budget allows
 * while VMs restart, lose each other, are suspended or join. Every VM retries as often as its
 * budget lets it; the bound is that of the platform, not the one that a VM keeps for itself.
 */
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "fleet_retry_budget.h"
#include "support/digest_fleet.h"

namespace {

using namespace worksshift;
using support::digest_fleet;

constexpr duration step_span = milliseconds(25);

struct retry_fleet_options {
    std::size_t vms = 7;
    std::size_t data_centres = 3;
    double requests_per_s = 33; ///< callers' requests to one service, at each VM
    fleet_retry_settings budget{0.2, seconds(10), 56};
    std::uint64_t seed = 1;
    /** Share of what is allowed that must be used without any disturbance. Half of the fixed number
     * is not divided among the VMs, so less of it can be used where it is most of the allowance. */
    double min_use = 0.5;
};

/** VMs that exchange digests and retry the requests to one service. */
class retry_fleet {
public:
    explicit retry_fleet(const retry_fleet_options& options)
        : options(options), random(options.seed),
          fleet(options.vms, options.data_centres, options.seed)
    {
        this->fleet.on_tick = [this](std::size_t vm) { this->tick(vm); };
    }

    void run(duration span)
    {
        for (const instant end = this->fleet.now + span; this->fleet.now < end;) {
            this->requests.push_back(0);
            this->retries.push_back(0);
            this->fleet.run(step_span);
            this->start_due();
        }
    }

    /** The VM's process ends; it starts again after \p down. */
    void restart(std::size_t vm, duration down)
    {
        this->stop(vm);
        this->starts.emplace(this->fleet.now + down, vm);
    }
    void restart_all(duration down)
    {
        const std::size_t count = this->options.vms;
        for (std::size_t vm = 0; vm < count; ++vm)
            this->restart(vm, down);
    }
    void stop(std::size_t vm)
    {
        this->fleet.kill(vm);
        this->budgets.erase(vm);
    }
    void start(std::size_t vm) { this->fleet.start(vm); }
    /** No digest passes between VMs of different groups. */
    void cut_into_groups(std::size_t groups)
    {
        for (std::size_t a = 0; a < this->options.vms; ++a) {
            for (std::size_t b = a + 1; b < this->options.vms; ++b) {
                if (a % groups != b % groups) this->fleet.cut.emplace(a, b);
            }
        }
    }
    /** The VM does nothing, but its clock goes on. */
    void suspend(std::size_t vm) { this->suspended.insert(vm); }
    void resume(std::size_t vm) { this->suspended.erase(vm); }

    /** The largest share of what is allowed that was used in a window. */
    [[nodiscard]] double max_use() const
    {
        const auto window = static_cast<std::size_t>(this->options.budget.window / step_span);
        double most = 0;
        for (std::size_t end = 1; end <= this->retries.size(); ++end) {
            const double allowed =
                this->options.budget.slack +
                this->options.budget.ratio *
                    std::max({sum(this->requests, end, window),
                              sum(this->requests, shifted(end, window / 2), window),
                              sum(this->requests, shifted(end, window), window)});
            most = std::max(most, sum(this->retries, end, window) / allowed);
        }
        return most;
    }
    bool failing = false; ///< all servers fail: each VM retries whenever it may
    digest_fleet& digests() { return this->fleet; }

private:
    static std::size_t shifted(std::size_t end, std::size_t by) { return end > by ? end - by : 0; }
    static double sum(const std::vector<std::size_t>& counts, std::size_t end, std::size_t window)
    {
        const std::size_t first = shifted(end, window);
        std::size_t total = 0;
        for (std::size_t i = first; i < end; ++i)
            total += counts[i];
        return static_cast<double>(total);
    }

    void start_due()
    {
        while (!this->starts.empty() && this->starts.begin()->first <= this->fleet.now) {
            this->fleet.start(this->starts.begin()->second);
            this->starts.erase(this->starts.begin());
        }
    }

    void tick(std::size_t vm)
    {
        if (this->suspended.contains(vm)) return;
        const instant now = this->fleet.now;
        fleet_retry_budget& budget = this->budgets[vm];
        const fleet_size size = this->fleet.vms.at(vm).rounds.fleet().size(now);
        // Callers of VMs that are away come to the others.
        const double expected =
            this->options.requests_per_s * std::chrono::duration<double>(step_span).count() *
            static_cast<double>(this->options.vms) / static_cast<double>(this->fleet.vms.size());
        const int arrivals = std::poisson_distribution<>(expected)(this->random);
        for (int i = 0; i < arrivals; ++i) {
            budget.on_request(now, this->options.budget);
            ++this->requests.back();
        }
        while (this->failing && budget.withdraw(now, this->options.budget, size))
            ++this->retries.back();
    }

    retry_fleet_options options;
    std::mt19937_64 random;
    digest_fleet fleet;
    std::map<std::size_t, fleet_retry_budget> budgets;
    std::multimap<instant, std::size_t> starts;
    std::set<std::size_t> suspended;
    std::vector<std::size_t> requests; ///< in each step
    std::vector<std::size_t> retries;  ///< in each step
};

/** Services with many and with few requests, in fleets of 7 and of 65 VMs. */
std::vector<retry_fleet_options> all_fleets()
{
    const fleet_retry_settings small{0.2, seconds(10), 56};
    const fleet_retry_settings grown{0.2, seconds(10), 170};
    return {{7, 4, 33, small, 1, 0.85},  {7, 4, 1, small, 2, 0.5},  {7, 4, 0.1, small, 3, 0.35},
            {65, 4, 11, grown, 4, 0.85}, {65, 4, 1, grown, 5, 0.5}, {65, 4, 0.1, grown, 6, 0.35}};
}

class retry_budget_holds_across_restarts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_budget_holds_across_restarts);
    CPPUNIT_TEST(no_restart);
    CPPUNIT_TEST(restarts_in_series);
    CPPUNIT_TEST(all_restart_at_once);
    CPPUNIT_TEST(all_restart_at_once_in_a_large_fleet);
    CPPUNIT_TEST(restarted_while_cut_off_from_each_other);
    CPPUNIT_TEST(started_while_cut_off_into_two_groups);
    CPPUNIT_TEST(suspended);
    CPPUNIT_TEST(fleet_doubles);
    CPPUNIT_TEST(requests_move_to_the_vms_that_are_left);
    CPPUNIT_TEST(random_disturbances);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a budget that does not hold, or is hardly used, without any disturbance. */
    static void no_restart()
    {
        for (const retry_fleet_options& options : all_fleets()) {
            const double used =
                check_one(options, [](retry_fleet& fleet, const auto&) { fleet.run(seconds(15)); });
            CPPUNIT_ASSERT_MESSAGE(describe(options, used), used >= options.min_use);
        }
    }

    /** Guards against VMs that restart in turn and forget what they used. */
    static void restarts_in_series()
    {
        check([](retry_fleet& fleet, const retry_fleet_options& options) {
            for (std::size_t round = 0; round < 3; ++round) {
                for (std::size_t vm = 0; vm < options.vms; ++vm) {
                    fleet.restart(vm, milliseconds(500));
                    fleet.run(milliseconds(5600) / options.vms);
                }
            }
        });
    }

    /** Guards against VMs that take the whole fixed number because they know no other VM yet. */
    static void all_restart_at_once()
    {
        check([](retry_fleet& fleet, const retry_fleet_options&) { restart_all_thrice(fleet); });
    }

    /** As above with 480 VMs, which take longer to discover each other. */
    static void all_restart_at_once_in_a_large_fleet()
    {
        const retry_fleet_options options{480, 13, 0.5, {0.2, seconds(3), 1000}, 7};
        check_one(options, [](retry_fleet& fleet, const retry_fleet_options&) {
            fleet.run(milliseconds(500));
            fleet.restart_all(milliseconds(250));
            fleet.run(milliseconds(2500));
        });
    }

    /** Guards against VMs that take the part of those which they cannot see. */
    static void restarted_while_cut_off_from_each_other()
    {
        for (const std::size_t groups : {2, 65}) {
            check([&](retry_fleet& fleet, const retry_fleet_options&) {
                fleet.cut_into_groups(groups);
                fleet.run(seconds(1));
                restart_all_thrice(fleet);
            });
        }
    }

    /** Guards against groups of VMs that save up parts of their own while they do not know that
     * there are others. */
    static void started_while_cut_off_into_two_groups()
    {
        for (const retry_fleet_options& options : all_fleets()) {
            retry_fleet fleet(options);
            fleet.run(seconds(5));
            fleet.cut_into_groups(2);
            fleet.restart_all(milliseconds(500));
            fleet.run(seconds(15));
            fleet.failing = true;
            fleet.run(seconds(12));
            CPPUNIT_ASSERT_MESSAGE(describe(options, fleet.max_use()), fleet.max_use() <= 1);
        }
    }

    /** Guards against retries saved up while a VM is suspended. */
    static void suspended()
    {
        check([](retry_fleet& fleet, const retry_fleet_options& options) {
            for (std::size_t vm = 0; vm < options.vms; vm += 2)
                fleet.suspend(vm);
            fleet.run(seconds(6));
            for (std::size_t vm = 0; vm < options.vms; vm += 2)
                fleet.resume(vm);
            fleet.run(seconds(8));
        });
    }

    /** Guards against parts that are too large while VMs do not know the new ones. */
    static void fleet_doubles()
    {
        check([](retry_fleet& fleet, const retry_fleet_options& options) {
            fleet.run(seconds(1));
            for (std::size_t vm = 0; vm < options.vms; ++vm)
                fleet.start(options.vms + vm);
            fleet.run(seconds(12));
        });
    }

    /** Guards against retries that are allowed for requests of a VM that is gone, and again for
     * those of the VMs that took over. */
    static void requests_move_to_the_vms_that_are_left()
    {
        check([](retry_fleet& fleet, const retry_fleet_options& options) {
            fleet.run(milliseconds(50));
            for (std::size_t vm = 0; vm < options.vms * 2 / 3; ++vm)
                fleet.stop(vm);
            fleet.run(seconds(12));
        });
    }

    /** Guards against any combination of these. */
    static void random_disturbances()
    {
        const bool held = rc::check("retries of all VMs stay within the fleet's budget", [] {
            retry_fleet_options options;
            options.vms = *rc::gen::inRange<std::size_t>(2, 20);
            options.data_centres = *rc::gen::inRange<std::size_t>(1, 5);
            options.requests_per_s = *rc::gen::element(0.1, 1.0, 10.0, 40.0);
            options.seed = *rc::gen::arbitrary<std::uint64_t>();
            retry_fleet fleet(options);
            fleet.digests().loss = *rc::gen::element(0.0, 0.1);
            fleet.run(seconds(*rc::gen::inRange(0, 15)));
            fleet.failing = *rc::gen::arbitrary<bool>();
            const auto steps = *rc::gen::inRange(1, 30);
            for (int i = 0; i < steps; ++i) {
                const auto vm = *rc::gen::inRange<std::size_t>(0, options.vms);
                switch (*rc::gen::inRange(0, 8)) {
                case 0:
                    fleet.restart_all(milliseconds(*rc::gen::inRange(0, 1000)));
                    break;
                case 1:
                    fleet.suspend(vm);
                    break;
                case 2:
                    fleet.resume(vm);
                    break;
                case 3:
                    fleet.cut_into_groups(2);
                    break;
                case 4:
                    fleet.digests().cut.clear();
                    break;
                default:
                    fleet.restart(vm, milliseconds(*rc::gen::inRange(0, 1000)));
                    break;
                }
                fleet.run(milliseconds(*rc::gen::inRange(25, 2000)));
                fleet.failing = fleet.failing || *rc::gen::inRange(0, 4) == 0;
            }
            RC_ASSERT(fleet.max_use() <= 1);
        });
        CPPUNIT_ASSERT(held);
    }

private:
    using disturbance = std::function<void(retry_fleet&, const retry_fleet_options&)>;

    static void restart_all_thrice(retry_fleet& fleet)
    {
        for (int i = 0; i < 3; ++i) {
            fleet.run(milliseconds(500));
            fleet.restart_all(milliseconds(500));
            fleet.run(milliseconds(2500));
        }
        fleet.run(seconds(5));
    }

    static std::string describe(const retry_fleet_options& options, double used)
    {
        return std::to_string(options.vms) + " VMs, " + std::to_string(options.requests_per_s) +
               " requests a second each: used " + std::to_string(used);
    }

    /** All servers fail from the time when all budgets are full on. Returns the largest share of
     * what is allowed that was used in a window. */
    static double check_one(const retry_fleet_options& options, const disturbance& disturb)
    {
        retry_fleet fleet(options);
        fleet.run(options.budget.window + seconds(3));
        fleet.failing = true;
        disturb(fleet, options);
        const double used = fleet.max_use();
        CPPUNIT_ASSERT_MESSAGE(describe(options, used), used <= 1);
        return used;
    }

    static void check(const disturbance& disturb)
    {
        for (const retry_fleet_options& options : all_fleets())
            check_one(options, disturb);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_holds_across_restarts);

} // namespace
