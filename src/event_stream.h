/** \file
 * Filter for a forwarded server-sent event stream. It forwards complete events only, each once, so
 * that a broken stream can be resumed from another server at the next event.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace worksshift {

class event_stream {
public:
    /** Takes bytes of the response body. Returns the complete events that are new; the view is
     * valid until the next call. */
    std::string_view take(std::string_view bytes);
    /** Prepares for a new response that continues after the last event. Discards a partial event.
     */
    void resume() { this->partial.clear(); }

    /** Whether bytes of an incomplete event are buffered. */
    [[nodiscard]] bool has_partial_event() const { return !this->partial.empty(); }
    /** Id of the last forwarded event, or the one set by `set_last_event_id`; std::nullopt if there
     * is none.
     */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return this->last; }
    /** Number of forwarded events. */
    [[nodiscard]] std::uint64_t events() const { return this->count; }
    /** Sets the id after which the caller asked to resume. */
    void set_last_event_id(std::optional<std::uint64_t> id) { this->last = id; }

private:
    bool is_new(std::string_view event);

    std::string partial;
    std::string whole;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace worksshift
