#include "evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace worksshift {

void evacuation_state::apply_list(std::span<const stored_object> all, std::uint64_t revision)
{
    std::set<std::uint32_t> data_centres;
    for (const stored_object& object : all) {
        if (!object.removed) data_centres.insert(this->data_centre_hash(object));
    }
    this->replace(std::move(data_centres), revision);
}

void evacuation_state::apply_changes(std::span<const stored_object> changed, std::uint64_t revision)
{
    std::set<std::uint32_t> data_centres = this->current;
    for (const stored_object& object : changed) {
        if (object.removed) {
            data_centres.erase(this->data_centre_hash(object));
        } else {
            data_centres.insert(this->data_centre_hash(object));
        }
    }
    this->replace(std::move(data_centres), revision);
}

void evacuation_state::handle_digest(const fleet_digest& digest)
{
    this->replace({digest.evacuated.begin(), digest.evacuated.end()}, digest.evacuations_revision);
}

void evacuation_state::replace(std::set<std::uint32_t> data_centres, std::uint64_t revision)
{
    if (revision <= this->newest) return;
    this->newest = revision;
    if (std::exchange(this->current, std::move(data_centres)) != this->current)
        this->on_change.emit();
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
