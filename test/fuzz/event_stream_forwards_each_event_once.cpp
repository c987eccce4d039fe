/** \file
 * Property test of event stream resumption. Guards against lost, repeated, reordered or partial
 * events, for random read sizes and breaks and for servers that resume too early.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "event_stream.h"

namespace {

using namespace worksshift;

class event_stream_forwards_each_event_once : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_stream_forwards_each_event_once);
    CPPUNIT_TEST(matches_the_unbroken_stream);
    CPPUNIT_TEST_SUITE_END();

    static std::string event(std::uint64_t id)
    {
        return "id: " + std::to_string(id) + "\ndata: " + std::string(id % 7, 'x') + "\n\n";
    }

    /** Random size from 1 to \p max_size. Always generated at RapidCheck's full size: at a small
     * size all sizes would be small, and the stream would never reach its end. */
    static std::size_t random_size(std::size_t max_size)
    {
        constexpr int full_size = 100;
        return *rc::gen::resize(full_size, rc::gen::inRange<std::size_t>(1, max_size + 1));
    }

public:
    /** Guards against any difference from the events of an unbroken stream. */
    static void matches_the_unbroken_stream()
    {
        const bool passed = rc::check("each event comes once, in order and whole", [] {
            const auto count = *rc::gen::inRange<std::uint64_t>(1, 30);
            event_stream stream;
            std::string forwarded;
            while (stream.last_id().value_or(0) < count) {
                // The next server resumes after the last event, or up to three events too early.
                const std::uint64_t last = stream.last_id().value_or(0);
                const auto early = *rc::gen::inRange<std::uint64_t>(0, 4);
                std::string text;
                for (std::uint64_t id = last - std::min(last, early) + 1; id <= count; ++id)
                    text += event(id);
                const std::size_t broken_at = random_size(text.size());
                std::string_view rest = std::string_view(text).substr(0, broken_at);
                while (!rest.empty()) {
                    const std::size_t size = random_size(rest.size());
                    forwarded += stream.filter(rest.substr(0, size));
                    rest.remove_prefix(size);
                }
                stream.resume();
            }
            std::string expected;
            for (std::uint64_t id = 1; id <= count; ++id)
                expected += event(id);
            RC_ASSERT(forwarded == expected);
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_forwards_each_event_once);

} // namespace
