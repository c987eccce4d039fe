#include "membership.h"

#include <algorithm>
#include <bit>

namespace worksshift {

namespace {

/** Each update is sent this many times per doubling of the fleet, which reaches every member with
 * high probability (the bound of epidemic broadcast). */
constexpr std::size_t sends_per_doubling = 3;
constexpr std::size_t max_queued_datagrams = 4096;

/** Whether \p next overrides \p current: by incarnation, then by state. */
bool overrides(const member_update& next, const member_update& current)
{
    if (next.incarnation != current.incarnation) return next.incarnation > current.incarnation;
    return next.state > current.state;
}

} // namespace

membership::membership(member_update self, membership_settings settings, std::uint64_t seed)
    : self_info(std::move(self)), settings(settings), random(seed)
{
}

const member* membership::find(const vm_id& vm) const
{
    const auto found = this->table.find(vm);
    return found == this->table.end() ? nullptr : &found->second;
}

void membership::receive(const gossip_message& message, instant now)
{
    if (message.sender.vm == this->self_info.vm) return;
    this->apply(message.sender, now);
    const auto row = this->table.find(message.sender.vm);
    if (row != this->table.end()) row->second.config_revision = message.config_revision;
    for (const member_update& update : message.updates)
        this->apply(update, now);
    std::visit([&](const auto& body) { this->handle(body, message.sender, now); }, message.body);
}

void membership::apply(const member_update& update, instant now)
{
    if (update.vm == this->self_info.vm) {
        this->refute(update);
        return;
    }
    const auto found = this->table.find(update.vm);
    if (found == this->table.end()) {
        if (update.state == member_state::dead) return;
        this->add(update, now);
        this->queue_update(update);
        return;
    }
    member& row = found->second;
    if (!overrides(update, row.info)) return;
    const bool reports_failure =
        update.state == member_state::suspect || update.state == member_state::dead;
    if (reports_failure && this->seems_live(row, now)) return;
    const bool changed = update.state != row.info.state;
    row.info = update;
    if (changed) {
        row.changed_at = now;
        ++this->view_version;
    }
    this->queue_update(update);
}

void membership::add(const member_update& update, instant now)
{
    this->table[update.vm] = member{.info = update, .changed_at = now};
    this->probe_order.push_back(update.vm);
    ++this->view_version;
}

void membership::refute(const member_update& update)
{
    if (update.incarnation < this->self_info.incarnation) return;
    if (update.incarnation == this->self_info.incarnation && update.state <= this->self_info.state)
        return;
    this->self_info.incarnation = update.incarnation + 1;
    this->queue_update(this->self_info);
}

void membership::set_state(member& row, member_state state, instant now)
{
    row.info.state = state;
    row.changed_at = now;
    ++this->view_version;
    this->queue_update(row.info);
}

void membership::queue_update(const member_update& update)
{
    const std::size_t sends =
        sends_per_doubling * static_cast<std::size_t>(std::bit_width(this->table.size() + 1));
    const auto queued =
        std::ranges::find(this->pending_updates, update.vm,
                          [](const pending_update& pending) { return pending.update.vm; });
    if (queued != this->pending_updates.end()) {
        *queued = {update, sends};
        return;
    }
    this->pending_updates.push_back({update, sends});
}

void membership::handle(const ping& body, const member_update& sender, instant now)
{
    const auto found = this->table.find(sender.vm);
    const bool grants_lease = found != this->table.end() && found->second.live();
    if (grants_lease) found->second.granted_at = now;
    this->send(sender, ack{body.nonce, grants_lease});
}

void membership::handle(const ack& body, const member_update& sender, instant now)
{
    const auto relay = std::ranges::find(this->relays, body.nonce, &relayed_probe::nonce);
    if (relay != this->relays.end()) {
        if (const member* requester = this->find(relay->requester)) {
            this->send(requester->info, ack{relay->requester_nonce, false});
        }
        this->relays.erase(relay);
        return;
    }
    const auto pending = std::ranges::find(this->probes, body.nonce, &pending_probe::nonce);
    if (pending == this->probes.end()) return;
    const auto found = this->table.find(pending->target);
    if (found != this->table.end()) {
        member& row = found->second;
        // A relayed ack is evidence of liveness but grants no lease.
        if (sender.vm == pending->target && body.lease) {
            row.acked_at = std::max(row.acked_at, pending->sent);
            row.ever_acked = true;
        }
        if (row.info.state == member_state::suspect) {
            this->set_state(row, member_state::alive, now);
        }
    }
    this->probes.erase(pending);
}

void membership::handle(const ping_request& body, const member_update& sender, instant now)
{
    const member* target = this->find(body.target);
    if (target == nullptr) return;
    const std::uint64_t nonce = this->random();
    this->relays.push_back({nonce, body.nonce, sender.vm, now});
    this->send(target->info, ping{nonce});
}

void membership::handle(const notice& /*body*/, const member_update& /*sender*/, instant /*now*/) {}

void membership::merge_list(std::span<const listed_vm> list, instant now)
{
    for (auto& [vm, row] : this->table)
        row.listed = false;
    for (const listed_vm& entry : list) {
        if (entry.info.vm == this->self_info.vm) continue;
        const auto found = this->table.find(entry.info.vm);
        if (found == this->table.end()) {
            // Not gossiped: every VM gets the list, and a new VM announces itself.
            if (!entry.leaving) this->add(entry.info, now);
        } else {
            found->second.listed = true;
        }
    }
}

void membership::add_seed(const std::string& address, std::uint16_t port)
{
    member_update target;
    target.address = address;
    target.port = port;
    this->send(target, ping{this->random()});
}

void membership::announce_leave()
{
    this->self_info.state = member_state::leaving;
    ++this->self_info.incarnation;
    this->queue_update(this->self_info);
    for (const auto& [vm, row] : this->table) {
        if (row.live()) this->send(row.info, notice{});
    }
}

void membership::note_link_message(const vm_id& vm)
{
    const auto found = this->table.find(vm);
    if (found != this->table.end()) found->second.link_message_received = true;
}

bool membership::seems_live(const member& row, instant now) const
{
    return row.link_message_received ||
           (row.last_link_message_at != instant{} &&
            now - row.last_link_message_at < 2 * this->settings.period);
}

void membership::apply_link_messages(instant now)
{
    for (auto& [vm, row] : this->table) {
        if (!std::exchange(row.link_message_received, false)) continue;
        row.last_link_message_at = now;
        if (row.info.state == member_state::suspect) this->set_state(row, member_state::alive, now);
    }
}

void membership::probe_early(const vm_id& vm)
{
    if (std::ranges::find(this->early_probes, vm) == this->early_probes.end())
        this->early_probes.push_back(vm);
}

void membership::tick(instant now)
{
    const bool stalled =
        this->last_tick != instant{} && now - this->last_tick > this->settings.stall_threshold;
    this->last_tick = now;
    if (stalled) this->probes.clear();
    this->apply_link_messages(now);
    this->escalate_probes(now);
    this->expire_probes(now);
    for (const vm_id& vm : std::exchange(this->early_probes, {}))
        this->probe(vm, now);
    if (now >= this->next_period) {
        this->next_period = now + this->settings.period;
        this->probe_next_in_round(now);
    }
    this->expire_members(now);
}

void membership::probe(const vm_id& target, instant now)
{
    const member* row = this->find(target);
    if (row == nullptr) return;
    const bool pending =
        std::ranges::find(this->probes, target, &pending_probe::target) != this->probes.end();
    if (pending) return;
    const std::uint64_t nonce = this->random();
    this->probes.push_back({nonce, target, now, false});
    this->send(row->info, ping{nonce});
}

void membership::probe_next_in_round(instant now)
{
    for (const vm_id& vm : this->lease_targets)
        this->probe(vm, now);
    // Dead members are probed too, once per round, so that a healed partition is noticed.
    for (std::size_t attempts = 0; attempts < 2 && !this->table.empty(); ++attempts) {
        if (this->probe_order.empty()) {
            std::ranges::transform(this->table, std::back_inserter(this->probe_order),
                                   [](const auto& entry) { return entry.first; });
            std::ranges::shuffle(this->probe_order, this->random);
        }
        const vm_id next = this->probe_order.back();
        this->probe_order.pop_back();
        if (this->table.contains(next)) {
            this->probe(next, now);
            return;
        }
    }
}

void membership::escalate_probes(instant now)
{
    for (pending_probe& pending : this->probes) {
        if (pending.indirect || now - pending.sent < this->settings.ack_timeout) continue;
        pending.indirect = true;
        std::vector<const member*> helpers;
        for (const auto& [vm, row] : this->table) {
            if (row.info.state == member_state::alive && vm != pending.target) {
                helpers.push_back(&row);
            }
        }
        std::vector<const member*> chosen;
        std::ranges::sample(helpers, std::back_inserter(chosen),
                            static_cast<std::ptrdiff_t>(this->settings.indirect_probes),
                            this->random);
        for (const member* helper : chosen) {
            this->send(helper->info, ping_request{pending.nonce, pending.target});
        }
    }
}

void membership::expire_probes(instant now)
{
    const auto timed_out = [&](const pending_probe& pending) {
        return now - pending.sent >= this->settings.period;
    };
    for (const pending_probe& pending : this->probes) {
        if (!timed_out(pending)) continue;
        const auto found = this->table.find(pending.target);
        if (found == this->table.end() || this->seems_live(found->second, now)) continue;
        if (found->second.info.state == member_state::alive) {
            this->set_state(found->second, member_state::suspect, now);
        }
    }
    std::erase_if(this->probes, timed_out);
    std::erase_if(this->relays, [&](const relayed_probe& relay) {
        return now - relay.sent >= this->settings.period;
    });
}

void membership::expire_members(instant now)
{
    for (auto& [vm, row] : this->table) {
        const duration age = now - row.changed_at;
        if (row.info.state == member_state::suspect && age >= this->settings.suspicion) {
            this->set_state(row, member_state::dead, now);
        }
    }
    const std::size_t erased = std::erase_if(this->table, [&](const auto& entry) {
        const member& row = entry.second;
        if (row.live()) return false;
        const duration age = now - row.changed_at;
        const bool unlisted = !row.listed && row.info.state == member_state::dead;
        return unlisted || age >= this->settings.dead_member_retention;
    });
    if (erased > 0) ++this->view_version;
}

gossip_message membership::make_message(gossip_body body)
{
    gossip_message message{.sender = this->self_info,
                           .config_revision = this->config_revision,
                           .body = std::move(body),
                           .updates = {},
                           .loads = {}};
    // The updates that were sent the fewest times are sent first.
    std::ranges::sort(this->pending_updates, std::greater{}, &pending_update::sends_left);
    const std::size_t count =
        std::min(this->settings.updates_per_datagram, this->pending_updates.size());
    for (pending_update& pending : std::span(this->pending_updates).first(count)) {
        message.updates.push_back(pending.update);
        --pending.sends_left;
    }
    std::erase_if(this->pending_updates,
                  [](const pending_update& pending) { return pending.sends_left == 0; });
    return message;
}

void membership::send(const member_update& to, gossip_body body)
{
    if (this->outbox.size() >= max_queued_datagrams) return;
    gossip_message message = this->make_message(std::move(body));
    // A member not considered alive must receive its own state, or it could not refute it.
    const member* row = this->find(to.vm);
    if (row != nullptr && row->info.state != member_state::alive) {
        message.updates.push_back(row->info);
    }
    this->outbox.push_back({to.vm, to.address, to.port, std::move(message)});
}

/** Notices carry no updates, only probes and acks do: notices are many, and most would repeat the
 * same updates. */
gossip_message membership::make_notice() const
{
    return {.sender = this->self_info,
            .config_revision = this->config_revision,
            .body = notice{},
            .updates = {},
            .loads = {}};
}

void membership::announce_revision()
{
    std::vector<const member*> live;
    for (const auto& [vm, row] : this->table) {
        if (row.live()) live.push_back(&row);
    }
    std::vector<const member*> chosen;
    std::ranges::sample(live, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(this->settings.revision_fanout), this->random);
    for (const member* row : chosen) {
        const member_update& to = row->info;
        this->outbox.push_back({to.vm, to.address, to.port, this->make_notice()});
    }
}

void membership::send_loads(const vm_id& to, std::vector<load_summary> loads)
{
    const member* row = this->find(to);
    if (row == nullptr || this->outbox.size() >= max_queued_datagrams) return;
    gossip_message message = this->make_notice();
    message.loads = std::move(loads);
    this->outbox.push_back({to, row->info.address, row->info.port, std::move(message)});
}

std::vector<outgoing_gossip> membership::take_datagrams()
{
    return std::exchange(this->outbox, {});
}

} // namespace worksshift
