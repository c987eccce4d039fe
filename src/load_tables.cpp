#include "load_tables.h"

#include <algorithm>

namespace worksshift {

void normalize(load_table& table)
{
    std::ranges::sort(table, {}, &load_entry::server);
    load_table merged;
    for (const load_entry& entry : table) {
        if (merged.empty() || merged.back().server != entry.server) {
            merged.push_back(entry);
        } else {
            merged.back().requests =
                static_cast<std::uint16_t>(merged.back().requests + entry.requests);
        }
    }
    table = std::move(merged);
}

std::uint32_t load_at(std::span<const load_entry> table, std::uint32_t server)
{
    const auto found = std::ranges::lower_bound(table, server, {}, &load_entry::server);
    return found == table.end() || found->server != server ? 0 : found->requests;
}

load_part load_publisher::next(std::span<const load_entry> table,
                               std::span<const std::uint32_t> busy)
{
    load_part message;
    const std::size_t needed = (table.size() + entries_per_part - 1) / entries_per_part;
    const std::size_t parts = std::clamp<std::size_t>(needed, 1, max_parts);
    message.parts = static_cast<std::uint8_t>(parts);
    message.part = static_cast<std::uint8_t>(this->round++ % parts);
    for (const load_entry& entry : table) {
        if (message.entries.size() == max_load_entries) {
            // The part does not fit, so servers without an entry must not count as idle.
            message.parts = 0;
            break;
        }
        const bool in_part = message.covers(entry.server);
        if (in_part || std::ranges::binary_search(busy, entry.server))
            message.entries.push_back(entry);
    }
    return message;
}

void load_replica::apply(const load_part& part, instant now)
{
    if (part.empty()) return;
    this->last_update = now;
    std::erase_if(this->table, [&](const load_entry& entry) {
        const auto listed = std::ranges::find(part.entries, entry.server, &load_entry::server);
        return part.covers(entry.server) || listed != part.entries.end();
    });
    std::ranges::copy_if(part.entries, std::back_inserter(this->table),
                         [](const load_entry& entry) { return entry.requests > 0; });
    std::ranges::sort(this->table, {}, &load_entry::server);
}

} // namespace worksshift
