/** \file
 * The answer relay under frames that are lost, duplicated, reordered or of abandoned attempts.
 * Guards against bytes passed to the caller that are not a prefix of the response, and against
 * `done` before the complete response was passed.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "response_relay.h"

namespace {

using namespace worksshift;

using frame = std::variant<attempt_head, attempt_data, attempt_ended>;

std::string token(std::uint32_t index)
{
    return "data: " + std::to_string(index) + "\n\n";
}

/** All frames of an attempt whose response starts at token \p first. */
std::vector<frame> make_frames(const attempt_id& id, std::uint32_t first, std::uint32_t tokens)
{
    std::vector<frame> frames{attempt_head{id, {"e"}, 200, {}, {}}};
    for (std::uint32_t i = first; i < tokens; ++i) {
        frames.emplace_back(attempt_data{id, i - first, token(i)});
    }
    attempt_ended end;
    end.id = id;
    end.sequence = tokens - first;
    end.result = outcome::done;
    frames.emplace_back(end);
    return frames;
}

/** Drops, duplicates and swaps some frames. */
std::vector<frame> inject_faults(std::vector<frame> frames)
{
    const int faults = *rc::gen::inRange(0, 3);
    for (int i = 0; i < faults && !frames.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, frames.size());
        const int kind = *rc::gen::inRange(0, 3);
        const auto position = frames.begin() + static_cast<std::ptrdiff_t>(at);
        if (kind == 0) frames.erase(position);
        if (kind == 1) frames.insert(position, frame(frames[at]));
        if (kind == 2) std::swap(frames[at], frames[frames.size() / 2]);
    }
    return frames;
}

class relay_forwards_frames_in_order : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_forwards_frames_in_order);
    CPPUNIT_TEST(with_random_frame_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    void with_random_frame_faults()
    {
        const bool property_holds = rc::check("only a beginning is passed", [] {
            const auto tokens = *rc::gen::inRange<std::uint32_t>(1, 12);
            std::string complete;
            for (std::uint32_t i = 0; i < tokens; ++i)
                complete += token(i);
            response_relay relay;
            std::string forwarded;
            relay.on_data.connect(
                [&](std::uint64_t, std::string_view bytes) { forwarded += bytes; });
            std::vector<frame> abandoned_frames;
            std::uint32_t resume_from = 0;
            for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
                const attempt_id id{1, attempt};
                relay.bind(1, id, {"vm"}, true);
                std::vector<frame> frames = inject_faults(make_frames(id, resume_from, tokens));
                // Frames of abandoned attempts arrive among those of the current one.
                for (const frame& received : abandoned_frames) {
                    const auto at = *rc::gen::inRange<std::size_t>(0, frames.size() + 1);
                    frames.insert(frames.begin() + static_cast<std::ptrdiff_t>(at), received);
                }
                std::optional<attempt_result> result;
                for (const frame& received : frames) {
                    const auto ended = std::visit(
                        [&](const auto& body) { return relay.handle_frame(body); }, received);
                    if (ended) {
                        RC_ASSERT(!result);
                        result = ended;
                    }
                    RC_ASSERT(complete.starts_with(forwarded));
                }
                if (result && result->end.result == outcome::done) {
                    RC_ASSERT(forwarded == complete);
                    return;
                }
                // The end frame was lost; in a node, the deadline would end the request.
                if (!result) return;
                RC_ASSERT(result->tokens_forwarded == count_tokens(forwarded));
                resume_from = result->tokens_forwarded;
                abandoned_frames = make_frames(id, 0, tokens);
            }
        });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_forwards_frames_in_order);

} // namespace
