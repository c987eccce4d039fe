#include "fleet_rounds.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace worksshift {

fleet_rounds::fleet_rounds(const fleet_table::identity& self,
                           std::span<const std::uint32_t> new_seeds, instant now)
    : seeds(new_seeds.begin(), new_seeds.end()), table(self, new_seeds, now), loads(this->table)
{
}

void fleet_rounds::add_seeds(std::span<const std::uint32_t> new_seeds, instant now)
{
    for (const std::uint32_t seed : new_seeds) {
        if (std::ranges::find(this->seeds, seed) == this->seeds.end()) this->seeds.push_back(seed);
    }
    this->table.add_seeds(new_seeds, now);
}

void fleet_rounds::send_early()
{
    this->next_round = std::min(this->next_round, this->last_round + min_early_digest_period);
}

std::vector<outgoing_digest> fleet_rounds::next(local_state state, instant now)
{
    this->table.remove_dead_vms(now);
    this->delegates = this->table.delegates(now);
    this->loads.set_own(std::move(state.loads), state.servers, std::move(state.busy));
    this->loads.begin_round(now);
    fleet_digest& digest = state.digest;
    digest.incarnation = this->table.self().incarnation;
    digest.data_centre = this->table.self().data_centre;
    digest.period_ms = static_cast<std::uint16_t>(this->round_period / milliseconds(1));
    digest.joining = this->table.is_joining(now);
    digest.store_readers = this->table.store_reader_reports(state.reads_store, now);
    this->table.update_share(now);
    digest.local_members = this->table.local_members_hash();
    this->table.count_vms(now);
    digest.fleet_vms = static_cast<std::uint16_t>(std::min<std::size_t>(
        this->table.counted_vms(), std::numeric_limits<std::uint16_t>::max()));
    std::vector<outgoing_digest> messages;
    messages.push_back(this->make_local_digest(digest, now));
    digest.crash_reports = std::move(state.remote_crash_reports);
    this->add_remote_digests(messages, digest, now);
    if (digest.watches_store) this->add_digest_to_readers(messages, digest, now);
    messages.push_back(this->make_member_list(digest, now));
    messages.push_back(this->make_joining_digest(digest, now));
    ++this->rounds;
    this->update_period(messages);
    this->last_round = now;
    this->next_round = now + this->round_period;
    return messages;
}

/** Sets the interval so that rounds of this size stay within the byte budget. */
void fleet_rounds::update_period(std::span<const outgoing_digest> sent)
{
    const auto bytes = std::accumulate(sent.begin(), sent.end(), std::size_t{0},
                                       [](std::size_t sum, const outgoing_digest& message) {
                                           return sum + message.bytes.size() * message.to.size();
                                       });
    const std::chrono::duration<double> required_period(static_cast<double>(bytes) /
                                                        digest_bytes_per_s);
    this->round_period = std::clamp(std::chrono::duration_cast<duration>(required_period),
                                    duration(min_digest_period), duration(max_digest_period));
    this->loads.set_period(this->round_period);
    this->table.set_period(this->round_period);
}

outgoing_digest fleet_rounds::make_local_digest(fleet_digest digest, instant now)
{
    digest.sequence = ++this->sequence;
    digest.vms = this->table.liveness_reports(liveness_reports_per_digest, this->delegates, now);
    this->loads.describe(digest);
    outgoing_digest message{encode(digest), {}};
    const bool retry_silent = this->rounds % silent_vm_retry_rounds == 0;
    for (const auto& [address, vm] : this->table.vms()) {
        if (!this->table.is_local(vm)) continue;
        const bool is_new = now - vm.known_since < new_vm_contact_period;
        if (retry_silent || is_new || fleet_table::is_responsive(vm, now))
            message.to.push_back(address);
    }
    return message;
}

void fleet_rounds::add_remote_digests(std::vector<outgoing_digest>& messages, fleet_digest digest,
                                      instant now)
{
    digest.sequence = ++this->sequence;
    for (remote_message& sums : this->loads.make_remote_messages()) {
        digest.vms =
            this->table.liveness_reports(liveness_reports_per_digest, this->delegates, now);
        digest.centre_loads = std::move(sums.centre_loads);
        messages.push_back({encode(digest), {sums.address}});
    }
}

/** VMs that watch the store contact those of other data centres that read it linearizably, which
 * send them notices in turn. */
void fleet_rounds::add_digest_to_readers(std::vector<outgoing_digest>& messages,
                                         fleet_digest digest, instant now)
{
    std::vector<std::uint32_t> readers = this->table.store_readers(now);
    std::erase_if(readers, [&](std::uint32_t address) {
        return this->table.is_local(this->table.vms().at(address)) ||
               std::ranges::any_of(messages, [address](const outgoing_digest& message) {
                   return std::ranges::find(message.to, address) != message.to.end();
               });
    });
    if (readers.empty()) return;
    digest.sequence = ++this->sequence;
    digest.vms = this->table.liveness_reports(liveness_reports_per_digest, this->delegates, now);
    messages.push_back({encode(digest), std::move(readers)});
}

std::optional<outgoing_digest> fleet_rounds::next_notice(bool reads_store, instant now)
{
    const bool changed = std::exchange(this->noticed_reading, reads_store) != reads_store;
    if (changed && !reads_store) this->stop_notices_left = store_reader_stop_notices;
    if (!reads_store && this->stop_notices_left == 0) return std::nullopt;
    if (!changed && now - this->notice_sent_at < store_reader_notice_period) return std::nullopt;
    if (!reads_store) --this->stop_notices_left;
    this->notice_sent_at = now;
    outgoing_digest notice{encode(store_reader_notice{.reads_store = reads_store}), {}};
    for (const auto& [address, vm] : this->table.vms()) {
        if (vm.last.watches_store && fleet_table::is_responsive(vm, now))
            notice.to.push_back(address);
    }
    return notice;
}

/** Digest with all members of the data centre, for some VMs that are joining and count others. */
outgoing_digest fleet_rounds::make_member_list(fleet_digest digest, instant now)
{
    outgoing_digest message;
    // While a whole fleet starts, no VM knows all members yet, and the lists would only take bytes.
    if (digest.joining) return message;
    for (auto& [address, vm] : this->table.vms()) {
        if (message.to.size() >= max_full_replies) break;
        const bool same_centre = vm.data_centre == this->table.self().data_centre;
        if (!vm.answer_pending || !same_centre || vm.last.local_members == digest.local_members)
            continue;
        vm.answer_pending = false;
        message.to.push_back(address);
    }
    if (message.to.empty()) return message;
    digest.sequence = ++this->sequence;
    digest.vms = this->table.local_member_reports(now);
    message.bytes = encode(digest);
    return message;
}

/** Digest with more liveness reports: replies to VMs that are joining, and goes to the seeds while
 * this VM is joining. */
outgoing_digest fleet_rounds::make_joining_digest(fleet_digest digest, instant now)
{
    outgoing_digest message;
    for (auto& [address, vm] : this->table.vms()) {
        const bool contact_seed =
            digest.joining && std::ranges::find(this->seeds, address) != this->seeds.end();
        if (std::exchange(vm.answer_pending, false) || contact_seed) message.to.push_back(address);
    }
    if (message.to.empty()) return message;
    digest.sequence = ++this->sequence;
    digest.vms = this->table.liveness_reports(liveness_reports_to_joining, this->delegates, now);
    message.bytes = encode(digest);
    return message;
}

} // namespace worksshift
