/** \file
 * Guards against a ranking that moves keys between existing candidates when one joins: the new
 * candidate may take only the keys for which it now ranks highest.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "rendezvous.h"

namespace {

using namespace worksshift;

class rendezvous_join_moves_few_keys : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rendezvous_join_moves_few_keys);
    CPPUNIT_TEST(new_candidate_takes_one_share);
    CPPUNIT_TEST_SUITE_END();

public:
    void new_candidate_takes_one_share()
    {
        std::vector<std::uint64_t> before;
        before.reserve(20);
        for (int i = 0; i < 20; ++i)
            before.push_back(hash_of("server-" + std::to_string(i)));
        std::vector<std::uint64_t> after = before;
        after.push_back(hash_of("server-new"));
        std::size_t moved = 0;
        constexpr std::uint64_t keys = 20'000;
        for (std::uint64_t key = 0; key < keys; ++key) {
            const std::size_t old_first = rendezvous_first(key, before);
            const std::size_t new_first = rendezvous_first(key, after);
            if (old_first == new_first) continue;
            CPPUNIT_ASSERT_EQUAL(before.size(), new_first);
            ++moved;
        }
        CPPUNIT_ASSERT(moved > keys / 21 * 8 / 10);
        CPPUNIT_ASSERT(moved < keys / 21 * 12 / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rendezvous_join_moves_few_keys);

} // namespace
