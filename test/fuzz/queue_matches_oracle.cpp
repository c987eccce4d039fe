/** \file
 * The fair queue against a simple oracle, under random pushes, pops, expiry and erasure. Guards
 * against requests that leave the queue twice or never, a queue longer than its capacity, and batch
 * requests that precede interactive ones.
 */
#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "fair_queue.h"

namespace {

using namespace worksshift;

constexpr std::size_t capacity = 8;

class queue_matches_oracle : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(queue_matches_oracle);
    CPPUNIT_TEST(each_request_leaves_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_request_leaves_once()
    {
        const bool property_holds = rc::check("each request leaves once", [] {
            fair_queue queue(capacity);
            std::map<std::uint64_t, priority> queued;
            std::uint64_t next = 0;
            const auto remove_once = [&](const waiting_attempt& request) {
                RC_ASSERT(queued.erase(request.id.sequence) == 1);
            };
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
            for (const int step : steps) {
                if (step < 6) {
                    waiting_attempt request;
                    request.id = {1, next++};
                    request.account.text =
                        std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
                    request.cost = *rc::gen::inRange(1U, 500U);
                    request.weight = *rc::gen::inRange(1, 4);
                    request.request_priority =
                        *rc::gen::element(priority::interactive, priority::batch);
                    request.deadline = instant{} + seconds(*rc::gen::inRange(0, 10));
                    queued[request.id.sequence] = request.request_priority;
                    if (const auto shed = queue.push(request)) remove_once(*shed);
                } else if (step < 8) {
                    const auto request = queue.pop(instant{} + seconds(20));
                    RC_ASSERT(request.has_value() == !queued.empty());
                    if (!request) continue;
                    remove_once(*request);
                    queue.charge(request->account, request->weight, request->cost,
                                 instant{} + seconds(20));
                    const bool overtaken = std::ranges::any_of(queued, [&](const auto& entry) {
                        return entry.second < request->request_priority;
                    });
                    RC_ASSERT(!overtaken);
                } else if (step == 8) {
                    for (const auto& request : queue.take_expired(instant{} + seconds(5))) {
                        RC_ASSERT(request.deadline <= instant{} + seconds(5));
                        remove_once(request);
                    }
                } else if (!queued.empty()) {
                    RC_ASSERT(queue.erase({1, queued.begin()->first}));
                    queued.erase(queued.begin());
                }
                RC_ASSERT(queue.size() == queued.size());
                RC_ASSERT(queue.size() <= capacity);
            }
        });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_matches_oracle);

} // namespace
