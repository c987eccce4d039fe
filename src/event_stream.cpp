#include "event_stream.h"

#include <charconv>

namespace worksshift {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

/** The event's numeric id; std::nullopt if it has none or it is not a number. */
std::optional<std::uint64_t> id_of(std::string_view event)
{
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.starts_with(id_field)) continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' ')) line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc{} ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

/** Whether a line of the event has data that is not blank. */
bool has_data(std::string_view event)
{
    constexpr std::string_view data_field = "data:";
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.starts_with(data_field)) continue;
        line.remove_prefix(data_field.size());
        if (line.find_first_not_of(" \t\r") != std::string_view::npos) return true;
    }
    return false;
}

} // namespace

bool event_stream::is_new(std::string_view event)
{
    const auto id = id_of(event);
    if (id && this->last_event_id && *id <= *this->last_event_id) return false;
    if (id) this->last_event_id = id;
    ++this->event_count;
    if (has_data(event)) ++this->data_event_count;
    return true;
}

std::string_view event_stream::filter(std::string_view bytes)
{
    this->new_events.clear();
    // The end of an event may begin with the last byte before. Earlier ones are not searched again,
    // so that the cost of a long event does not grow with the square of its length.
    const std::size_t searched = this->partial.empty() ? 0 : this->partial.size() - 1;
    this->partial.append(bytes);
    std::string_view rest = this->partial;
    for (std::size_t end = rest.find(event_end, searched); end != std::string_view::npos;
         end = rest.find(event_end)) {
        const std::string_view event = rest.substr(0, end + event_end.size());
        if (this->is_new(event)) this->new_events.append(event);
        rest.remove_prefix(event.size());
    }
    this->partial.erase(0, this->partial.size() - rest.size());
    return this->new_events;
}

} // namespace worksshift
