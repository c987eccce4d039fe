#include "evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace worksshift {

void evacuation_state::apply_list(std::span<const stored_object> all, std::uint64_t revision)
{
    std::set<std::uint32_t> places;
    for (const stored_object& item : all) {
        if (!item.removed) places.insert(this->data_centre_hash(item));
    }
    this->replace(std::move(places), revision);
}

void evacuation_state::apply_changes(std::span<const stored_object> changed, std::uint64_t revision)
{
    std::set<std::uint32_t> places = this->current;
    for (const stored_object& item : changed) {
        if (item.removed) {
            places.erase(this->data_centre_hash(item));
        } else {
            places.insert(this->data_centre_hash(item));
        }
    }
    this->replace(std::move(places), revision);
}

void evacuation_state::handle_digest(const fleet_digest& digest)
{
    this->replace({digest.evacuated.begin(), digest.evacuated.end()}, digest.evacuations_revision);
}

void evacuation_state::replace(std::set<std::uint32_t> places, std::uint64_t revision)
{
    if (revision <= this->newest) return;
    this->newest = revision;
    if (std::exchange(this->current, std::move(places)) != this->current) this->on_change.emit();
}

void evacuation_state::describe(fleet_digest& digest, const std::set<std::uint32_t>& known) const
{
    digest.evacuated.clear();
    digest.evacuations_revision = 0;
    if (this->current.size() <= max_evacuated_data_centres) {
        digest.evacuated.assign(this->current.begin(), this->current.end());
    } else {
        if (known.empty()) return;
        std::ranges::set_intersection(this->current, known, std::back_inserter(digest.evacuated));
        if (digest.evacuated.size() > max_evacuated_data_centres) return;
    }
    digest.evacuations_revision = this->newest;
}

} // namespace worksshift
