#include "memory_account.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "output_limits.h"

namespace worksshift {

namespace {

/** Shares of the machine's memory. The rest is for the process itself, the fleet's tables and what
 * the allocator cannot use. */
constexpr double account_share = 0.4;
constexpr double unread_share = 0.25;
constexpr double output_share = 0.1;
/** Shares of the sockets. */
constexpr double connections_share = 0.4;
constexpr double idle_servers_share = 0.1;
/** Share of the account that requests with large bodies may take. */
constexpr double large_share = 0.75;
/** Descriptors that are kept for files, and for the store, other VMs and the other ports; no more
 * than these shares of a small number. */
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t internal_descriptors = 256;

std::size_t share_of(std::size_t whole, double share)
{
    return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

} // namespace

caller_bounds bounds_of(const machine_limits& machine)
{
    caller_bounds bounds;
    bounds.memory = share_of(machine.memory_bytes, account_share);
    bounds.large_memory = share_of(bounds.memory, large_share);
    bounds.output = std::min(output_bounds{}.total, share_of(machine.memory_bytes, output_share));
    bounds.internal_connections = std::min(internal_descriptors, machine.descriptors / 8);
    bounds.sockets = machine.descriptors - std::min(file_descriptors, machine.descriptors / 4) -
                     bounds.internal_connections;
    // Each request in progress takes a connection to a server, too, and some of these are idle.
    bounds.connections = std::min(share_of(machine.memory_bytes, unread_share) /
                                      static_cast<std::size_t>(2 * receive_buffer_bytes),
                                  share_of(bounds.sockets, connections_share));
    bounds.idle_server_connections = share_of(bounds.sockets, idle_servers_share);
    return bounds;
}

std::string_view name_of(memory_use use)
{
    switch (use) {
    case memory_use::connection:
        return "connection";
    case memory_use::incoming:
        return "incoming";
    case memory_use::request:
        return "request";
    case memory_use::response:
        return "response";
    }
    return "";
}

void input_progress::add(std::size_t bytes, instant now)
{
    this->received += bytes;
    if (this->received - this->counted < progress_bytes) return;
    this->counted = this->received;
    this->at = now;
}

instant input_progress::unchanged_since(instant now) const
{
    const duration age = now - this->begun;
    const double due =
        static_cast<double>(this->announced) * (std::chrono::duration<double>(age) / receive_time);
    const bool late = age > receive_time || static_cast<double>(this->received) < due;
    return late ? this->begun : this->at;
}

std::size_t memory_account::missing(std::size_t bytes, bool large) const
{
    const std::size_t bound = large ? this->limits.large_memory : this->limits.memory;
    const std::size_t wanted = this->held() + bytes;
    return wanted > bound ? wanted - bound : 0;
}

bool memory_account::has_room(std::size_t bytes, bool large) const
{
    return this->missing(bytes, large) == 0;
}

void memory_counters::change(memory_use use, std::size_t before, std::size_t after)
{
    this->total = this->total - before + after;
    std::size_t& held_for_use = this->by_use[static_cast<std::size_t>(use)];
    held_for_use = held_for_use - before + after;
}

std::vector<std::size_t> memory_account::choose_to_refuse(std::span<const memory_holder> holders,
                                                          std::size_t needed, bool only_stalled,
                                                          instant now)
{
    std::vector<std::size_t> order(holders.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::erase_if(order, [&](std::size_t index) {
        const memory_holder& item = holders[index];
        return item.bytes == 0 || (only_stalled && now - item.progress_at < stalled_after);
    });
    const auto byte_seconds = [&](std::size_t index) {
        const std::chrono::duration<double> age = now - holders[index].progress_at;
        return static_cast<double>(holders[index].bytes) * age.count();
    };
    std::ranges::stable_sort(order, std::greater<>{}, byte_seconds);
    std::size_t freed = 0;
    const auto enough = std::ranges::find_if(order, [&](std::size_t index) {
        if (freed >= needed) return true;
        freed += holders[index].bytes;
        return false;
    });
    order.erase(enough, order.end());
    return order;
}

void memory_account::write_metrics(std::ostream& out) const
{
    for (const memory_use use : memory_uses) {
        out << "worksshift_caller_memory_bytes{use=\"" << name_of(use) << "\"} " << this->held(use)
            << '\n';
    }
    out << "worksshift_caller_memory_bound_bytes " << this->limits.memory << '\n';
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : counters(std::move(other.counters)), use(other.use), bytes(std::exchange(other.bytes, 0))
{
}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    std::swap(this->counters, other.counters);
    std::swap(this->use, other.use);
    std::swap(this->bytes, other.bytes);
    return *this;
}

void memory_charge::set(std::size_t new_bytes)
{
    if (this->counters == nullptr) return;
    this->counters->change(this->use, this->bytes, new_bytes);
    this->bytes = new_bytes;
}

void memory_charge::set_use(memory_use new_use)
{
    const std::size_t held = this->bytes;
    this->set(0);
    this->use = new_use;
    this->set(held);
}

} // namespace worksshift
