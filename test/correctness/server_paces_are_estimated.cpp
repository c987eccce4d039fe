/** \file
 * Estimate of a server's pace from figures that change ten times a second around a mean that
 * changes slowly, as VMs hear them in response heads. Guards against requests that follow noise:
 * acting on the latest figure costs more time than ignoring all of them.
 *
 * The fleet is the one of 84 VMs in four data centres and 90 engines with 500 requests/s, so one VM
 * hears of one engine every 15 s, and the VMs of its data centre together 1.4 times a second. Each
 * request has two engines to choose from, as its prompt allows, and takes as long as the pace of
 * the selected one when it arrives.
 */
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "server_pace.h"

namespace {

using namespace worksshift;

constexpr std::size_t vm_count = 84;
constexpr std::size_t data_centre_count = 4;
constexpr std::size_t engine_count = 90;
constexpr int requests_per_s = 500;
constexpr int run_s = 120;
/** The slow mean is drawn again at these intervals, the fast part at a tenth of a second. */
constexpr int mean_interval_s = 30;
constexpr double mean_spread = 0.5; ///< standard deviations of the logarithms
constexpr double fast_spread = 0.5;
constexpr duration response_time = milliseconds(200);
constexpr duration digest_delay = milliseconds(700);

enum class method : std::uint8_t { none, last_word, mean, mean_with_digests };

struct hearing {
    instant stated_at;
    instant arrives_at;
    std::size_t engine;
    double figure;
    std::size_t vm; ///< that received the response
};

class fleet {
public:
    explicit fleet(unsigned seed) : random(seed) {}

    /** Mean time of the requests, in units of their usual time. */
    double run(method used)
    {
        instant now(seconds(1000));
        double total = 0;
        std::uniform_int_distribution<std::size_t> any_vm(0, vm_count - 1);
        std::uniform_int_distribution<std::size_t> any_engine(0, engine_count - 1);
        for (int i = 0; i < run_s * requests_per_s; ++i) {
            if (i % (mean_interval_s * requests_per_s) == 0) this->draw(this->means, mean_spread);
            if (i % (requests_per_s / 10) == 0) this->draw(this->fast, fast_spread);
            now += duration(seconds(1)) / requests_per_s;
            this->hear(used, now);
            const std::size_t vm = any_vm(this->random);
            const std::size_t first = any_engine(this->random);
            const std::size_t second = any_engine(this->random);
            const bool faster =
                this->estimate(used, vm, second, now) < this->estimate(used, vm, first, now);
            const std::size_t chosen = faster ? second : first;
            const double pace = this->means[chosen] * this->fast[chosen];
            total += pace;
            const instant at = now + response_time;
            this->responses.push_back({at, at, chosen, pace, vm});
        }
        return total / (run_s * requests_per_s);
    }

private:
    using figures = std::array<double, engine_count>;

    /** Log-normal values with a mean of 1. */
    void draw(figures& values, double spread)
    {
        std::lognormal_distribution<double> distribution(-spread * spread / 2, spread);
        for (double& value : values)
            value = distribution(this->random);
    }

    /** Responses that arrive, and digests of other VMs of the data centre. */
    void hear(method used, instant now)
    {
        for (; !this->responses.empty() && this->responses.front().arrives_at <= now;
             this->responses.pop_front()) {
            hearing item = this->responses.front();
            // The head states the pace at the time of the response.
            item.figure = this->means[item.engine] * this->fast[item.engine];
            this->paces[item.vm][item.engine].add(item.figure, item.stated_at);
            item.arrives_at = now + digest_delay;
            if (used == method::mean_with_digests) this->digests.push_back(item);
        }
        for (; !this->digests.empty() && this->digests.front().arrives_at <= now;
             this->digests.pop_front()) {
            const hearing& item = this->digests.front();
            for (std::size_t vm = item.vm % data_centre_count; vm < vm_count;
                 vm += data_centre_count) {
                if (vm == item.vm) continue;
                const auto code = encode_pace(item.figure);
                this->paces[vm][item.engine].add(*decode_pace(code), item.stated_at);
            }
        }
    }

    [[nodiscard]] double estimate(method used, std::size_t vm, std::size_t engine,
                                  instant now) const
    {
        const server_pace& pace = this->paces[vm][engine];
        if (used == method::none) return 1;
        if (used == method::last_word) return pace.known() ? pace.last() : 1;
        return pace.expected(now);
    }

    std::mt19937 random;
    figures means{};
    figures fast{};
    std::vector<std::array<server_pace, engine_count>> paces{vm_count};
    std::deque<hearing> responses;
    std::deque<hearing> digests;
};

class server_paces_are_estimated : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_paces_are_estimated);
    CPPUNIT_TEST(mean_with_digests_gives_the_shortest_time);
    CPPUNIT_TEST(old_figures_lose_their_weight);
    CPPUNIT_TEST(figures_may_arrive_out_of_order);
    CPPUNIT_TEST(simultaneous_figures_count_once);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a change of the weights that makes the estimate worse than the alternatives
     * compared in the design note. */
    static void mean_with_digests_gives_the_shortest_time()
    {
        const double none = fleet(1).run(method::none);
        const double last = fleet(1).run(method::last_word);
        const double mean = fleet(1).run(method::mean);
        const double shared = fleet(1).run(method::mean_with_digests);
        const std::string text = "none " + std::to_string(none) + ", last word " +
                                 std::to_string(last) + ", mean " + std::to_string(mean) +
                                 ", mean with digests " + std::to_string(shared);
        CPPUNIT_ASSERT_MESSAGE(text, shared < 0.9 * none);
        CPPUNIT_ASSERT_MESSAGE(text, shared < 0.95 * last);
        CPPUNIT_ASSERT_MESSAGE(text, shared < 0.95 * mean);
    }

    /** Guards against a server that is avoided for good because it gets no more requests and so
     * states no newer figure. */
    static void old_figures_lose_their_weight()
    {
        instant now(seconds(100));
        server_pace pace;
        CPPUNIT_ASSERT_EQUAL(1.0, pace.expected(now));
        for (int i = 0; i < 20; ++i)
            pace.add(4, now += seconds(1));
        const double fresh = pace.expected(now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fresh), fresh > 2.5 && fresh < 4);
        const double old = pace.expected(now + seconds(60));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(old), old < 1.1);
    }

    /** Digests arrive later than the responses of this VM. */
    static void figures_may_arrive_out_of_order()
    {
        const instant now(seconds(100));
        server_pace in_order;
        in_order.add(2, now - seconds(1));
        in_order.add(4, now);
        server_pace reversed;
        reversed.add(4, now);
        reversed.add(2, now - seconds(1));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(in_order.expected(now), reversed.expected(now), 1e-9);
        CPPUNIT_ASSERT_EQUAL(4.0, reversed.last());
        CPPUNIT_ASSERT(reversed.last_stated_at() == now);
    }

    /** A hundred responses at one moment state one figure, not a hundred independent ones. */
    static void simultaneous_figures_count_once()
    {
        const instant now(seconds(100));
        server_pace pace;
        for (int i = 0; i < 100; ++i)
            pace.add(8, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pace.weight(now), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_paces_are_estimated);

} // namespace
