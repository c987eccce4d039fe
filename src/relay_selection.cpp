#include "relay_selection.h"

#include <algorithm>
#include <ranges>

namespace worksshift {

namespace {

/** Share of the requests that go to a VM that is not known to serve, while fewer than
 * `relay_selection::spread` are. */
constexpr double exploring_share = 0.25;

bool is_allowed(const relay_vm& vm, std::span<const region_id> regions)
{
    if (regions.empty()) return true;
    return !vm.region.empty() && std::ranges::find(regions, vm.region) != regions.end();
}

} // namespace

std::string_view name_of(relay_result result)
{
    switch (result) {
    case relay_result::served:
        return "served";
    case relay_result::not_served:
        return "not_served";
    case relay_result::busy:
        return "busy";
    case relay_result::unreachable:
        return "unreachable";
    case relay_result::unknown:
        return "unknown";
    }
    return "";
}

void relay_selection::set_vms(std::vector<relay_vm> new_vms)
{
    if (this->vms == new_vms) return;
    this->vms = std::move(new_vms);
    std::erase_if(this->records, [this](const auto& entry) {
        return entry.second.in_progress == 0 &&
               std::ranges::find(this->vms, entry.first, &relay_vm::address) == this->vms.end();
    });
}

std::vector<relay_selection::candidate>
relay_selection::candidates(const service_id& service,
                            std::array<std::span<const region_id>, 2> allowed_regions, instant now)
{
    std::vector<candidate> found;
    for (const relay_vm& vm : this->vms) {
        const bool allowed =
            std::ranges::all_of(allowed_regions, [&vm](std::span<const region_id> regions) {
                return is_allowed(vm, regions);
            });
        if (!allowed) continue;
        const vm_record& record = this->records[vm.address];
        const auto known = record.services.find(service);
        if (known == record.services.end()) {
            found.push_back({&vm, record.in_progress, false});
        } else if (now >= known->second.paused_until) {
            found.push_back({&vm, record.in_progress, is_serving(known->second, now)});
        }
    }
    return found;
}

bool relay_selection::is_serving(const service_record& record, instant now)
{
    return (record.served_at != instant{} && now - record.served_at <= success_lifetime) ||
           (record.hinted_at != instant{} && now - record.hinted_at <= hint_lifetime);
}

void relay_selection::on_hint(std::uint32_t vm, const service_id& service, instant now)
{
    if (std::ranges::find(this->vms, vm, &relay_vm::address) == this->vms.end()) return;
    service_record& state = this->records[vm].services[service];
    // What the VM itself said last counts more.
    if (now >= state.paused_until) state.hinted_at = now;
}

std::optional<std::uint32_t> relay_selection::any_serving(const service_id& service, instant now)
{
    std::vector<std::uint32_t> serving;
    for (const auto& [vm, record] : this->records) {
        const auto known = record.services.find(service);
        if (known != record.services.end() && known->second.served_at != instant{} &&
            now - known->second.served_at <= success_lifetime)
            serving.push_back(vm);
    }
    if (serving.empty()) return std::nullopt;
    std::uniform_int_distribution<std::size_t> position(0, serving.size() - 1);
    return serving[position(this->random)];
}

/** Takes the less loaded of two random candidates, and counts the request there. Returns its
 * address. */
std::uint32_t relay_selection::assign(std::span<const candidate> from)
{
    std::uniform_int_distribution<std::size_t> position(0, from.size() - 1);
    const candidate& first = from[position(this->random)];
    const candidate& second = from[position(this->random)];
    const std::uint32_t vm = (second.in_progress < first.in_progress ? second : first).vm->address;
    ++this->records[vm].in_progress;
    return vm;
}

std::optional<std::uint32_t>
relay_selection::choose(const service_id& service,
                        std::array<std::span<const region_id>, 2> allowed_regions, bool refused,
                        instant now)
{
    const std::vector<candidate> all = this->candidates(service, allowed_regions, now);
    if (all.empty()) return std::nullopt;
    const auto select = [](std::span<const candidate> from, auto condition) {
        std::vector<candidate> selected;
        std::ranges::copy_if(from, std::back_inserter(selected), condition);
        return selected;
    };
    const auto serving = select(all, [](const candidate& item) { return item.serving; });
    const auto untried = select(all, [](const candidate& item) { return !item.serving; });
    const bool explore =
        serving.empty() ||
        (serving.size() < spread && !untried.empty() && !refused &&
         std::uniform_real_distribution<double>(0, 1)(this->random) < exploring_share);
    const std::vector<candidate>& pool = explore ? untried : serving;
    const std::vector<candidate> preferred = select(pool, [&](const candidate& item) {
        if (explore && refused) return !item.vm->local;
        return item.vm->local && item.in_progress < max_local_requests;
    });
    return this->assign(preferred.empty() ? pool : preferred);
}

std::optional<std::uint32_t>
relay_selection::choose_from(std::span<const std::uint32_t> addresses, const service_id& service,
                             std::array<std::span<const region_id>, 2> allowed_regions, instant now)
{
    if (addresses.empty()) return std::nullopt;
    std::vector<candidate> pool = this->candidates(service, allowed_regions, now);
    std::erase_if(pool, [addresses](const candidate& item) {
        return std::ranges::find(addresses, item.vm->address) == addresses.end();
    });
    if (pool.empty()) return std::nullopt;
    return this->assign(pool);
}

void relay_selection::pause(service_record& record, instant now)
{
    record.served_at = {};
    record.hinted_at = {};
    record.paused_until = now + record.next_pause;
    record.next_pause = std::min(record.next_pause * 2, max_pause);
}

void relay_selection::on_ended(std::uint32_t vm, const service_id& service, relay_result result,
                               instant now)
{
    vm_record& record = this->records[vm];
    if (record.in_progress > 0) --record.in_progress;
    service_record& state = record.services[service];
    switch (result) {
    case relay_result::served:
        state.served_at = now;
        state.next_pause = initial_pause;
        break;
    case relay_result::not_served:
        pause(state, now);
        break;
    case relay_result::unreachable:
        // The VM is unreachable for requests of all services.
        for (auto& [other, item] : record.services)
            pause(item, now);
        break;
    case relay_result::busy:
    case relay_result::unknown:
        break;
    }
}

} // namespace worksshift
