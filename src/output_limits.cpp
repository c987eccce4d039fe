#include "output_limits.h"

#include <algorithm>
#include <numeric>

namespace worksshift {

std::size_t output_limits::client_bound(const output_total& total) const
{
    const std::size_t part = this->bounds.total / 2 / std::max<std::size_t>(total.clients, 1);
    return std::clamp(part, this->bounds.min_per_client, this->bounds.per_client);
}

duration output_limits::unread_timeout(const client_output& client) const
{
    if (client.complete) return this->bounds.complete_unread_timeout;
    return client.from_vm ? this->bounds.vm_unread_timeout : this->bounds.unread_timeout;
}

output_action output_limits::decide(const client_output& client, const output_total& total,
                                    instant now) const
{
    if (!client.paused) {
        // The server of a complete response is not waiting, and nothing more is buffered of one
        // that has not reached its bound.
        if (client.complete) {
            const bool unread =
                client.buffered > 0 && now - client.read_at > unread_timeout(client);
            return unread ? output_action::close : output_action::none;
        }
        return client.buffered > this->client_bound(total) ? output_action::pause
                                                           : output_action::none;
    }
    if (client.buffered <= this->client_bound(total) / 2) return output_action::resume;
    // The client may have stopped reading long before enough was buffered to pause.
    const instant idle_since = std::max(client.read_at, client.paused_since);
    if (now - idle_since > this->unread_timeout(client)) return output_action::close;
    const bool reading = client.read_at > client.paused_since &&
                         client.buffered <= this->bounds.per_client && !this->exceeded(total);
    if (reading && now - client.paused_since >= this->bounds.max_pause)
        return output_action::resume;
    return output_action::none;
}

std::vector<std::size_t> output_limits::choose_to_close(std::span<const client_output> clients,
                                                        const output_total& total) const
{
    if (!this->exceeded(total)) return {};
    const std::size_t target = this->bounds.total - this->bounds.total / 8;
    std::vector<std::size_t> order(clients.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::erase_if(order, [&](std::size_t index) { return clients[index].buffered == 0; });
    std::ranges::stable_sort(order, {}, [&](std::size_t index) { return clients[index].read_at; });
    std::size_t left = total.bytes;
    const auto end = std::ranges::find_if(order, [&](std::size_t index) {
        if (left <= target) return true;
        left -= std::min(left, clients[index].buffered);
        return false;
    });
    order.erase(end, order.end());
    return order;
}

void response_progress::add(std::size_t count, instant now)
{
    if (this->bytes == 0) this->since = now;
    this->bytes += count;
}

std::optional<std::string_view> endless_reason(const response_progress& progress,
                                               std::size_t max_bytes,
                                               std::optional<duration> timeout, instant now)
{
    if (progress.bytes > max_bytes) return "size";
    if (timeout && progress.bytes > 0 && now - progress.since > *timeout) return "time";
    return std::nullopt;
}

} // namespace worksshift
