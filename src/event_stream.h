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
    /** Adds bytes of the response body. Returns the complete events that are new; the view is
     * valid until the next call. */
    std::string_view filter(std::string_view bytes);
    /** Prepares for a new response that continues after the last event. Discards a partial event.
     */
    void resume() { this->partial.clear(); }

    /** Whether bytes of an incomplete event are buffered. */
    [[nodiscard]] bool has_partial_event() const { return !this->partial.empty(); }
    /** Id of the last forwarded event, or the one set by `set_last_event_id`; std::nullopt if there
     * is none.
     */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return this->last_event_id; }
    /** Number of forwarded events. */
    [[nodiscard]] std::uint64_t events() const { return this->event_count; }
    /** Number of forwarded events that have data. The others are comments or empty. */
    [[nodiscard]] std::uint64_t data_events() const { return this->data_event_count; }
    /** Sets the id after which the caller asked to resume. */
    void set_last_event_id(std::optional<std::uint64_t> id) { this->last_event_id = id; }

private:
    bool is_new(std::string_view event);

    std::string partial;
    std::string new_events;
    std::optional<std::uint64_t> last_event_id;
    std::uint64_t event_count = 0;
    std::uint64_t data_event_count = 0;
};

} // namespace worksshift
