/** \file
 * Server-sent events on their way through: passes on whole events only, so that a stream that
 * breaks can go on at the next event from another server, and never repeats one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace worksshift {

class event_stream {
public:
    /** Takes bytes of the answer. Returns those of whole events that are new; valid until the next
     * call. */
    std::string_view take(std::string_view bytes);
    /** A new server goes on behind the last event. What was read of the next one is dropped. */
    void resume() { this->partial.clear(); }

    /** Bytes of an event that is not whole yet. */
    [[nodiscard]] bool inside_event() const { return !this->partial.empty(); }
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return this->last; }
    [[nodiscard]] std::uint64_t events() const { return this->count; }
    /** Sets the id behind which the caller asked to go on. */
    void start_after(std::optional<std::uint64_t> id) { this->last = id; }

private:
    bool is_new(std::string_view event);

    std::string partial;
    std::string whole;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace worksshift
