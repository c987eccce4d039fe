#include "assign_gates.h"

#include <algorithm>
#include <set>

#include "placement.h"
#include "rendezvous.h"

namespace worksshift {

namespace {

constexpr std::size_t max_records_per_message = 500;

/** The properties of a VM that its rank as a possible gate depends on. */
struct gate_candidate {
    vm_id vm;
    std::uint64_t hash = 0;
    data_centre_id data_centre;
    bool live = false;
};

std::vector<gate_candidate> list_candidates(const tables& t, const membership& members)
{
    std::vector<gate_candidate> candidates;
    if (!t.leaving) {
        candidates.push_back({t.self, t.self.hash(), members.self().data_centre, true});
    }
    for (const auto& [vm, row] : members.members()) {
        // A VM that announced that it is leaving admits nothing more, so it is not ranked.
        if (row.info.state == member_state::leaving) continue;
        candidates.push_back({vm, vm.hash(), row.info.data_centre, row.live()});
    }
    return candidates;
}

std::vector<gate_candidate> rank(const server_row& server,
                                 std::span<const gate_candidate> candidates)
{
    std::vector<gate_candidate> in_data_centre;
    std::ranges::copy_if(candidates, std::back_inserter(in_data_centre),
                         [&](const gate_candidate& candidate) {
                             return candidate.data_centre == server.config.data_centre;
                         });
    // With no VM in the server's data centre, any VM may be the gate.
    if (std::ranges::none_of(in_data_centre, &gate_candidate::live))
        in_data_centre.assign(candidates.begin(), candidates.end());
    const std::uint64_t key = server.config.id.hash();
    std::ranges::sort(in_data_centre, std::greater{}, [key](const gate_candidate& candidate) {
        return rendezvous_weight(key, candidate.hash);
    });
    return in_data_centre;
}

void rank_server(server_row& server, std::span<const gate_candidate> candidates,
                 gate_assignment& assignment)
{
    const std::vector<gate_candidate> ranked = rank(server, candidates);
    std::vector<vm_id>& all = assignment.ranked[server.config.id];
    all.clear();
    server.gates.clear();
    for (const gate_candidate& candidate : ranked) {
        all.push_back(candidate.vm);
        if (candidate.live && server.gates.size() < gates_per_server)
            server.gates.push_back(candidate.vm);
    }
}

/** The first live VM of \p lower_ranked, the VMs that rank below this one; null if there is none.
 */
const member* find_successor(std::span<const vm_id> lower_ranked, const membership& members)
{
    for (const vm_id& vm : lower_ranked) {
        const member* row = members.find(vm);
        if (row != nullptr && row->live()) return row;
    }
    return nullptr;
}

/** Records when the lease began. Returns whether the requests that other VMs left running have been
 * counted since: by a load report, or for servers without reports after `unreported_load_wait`. */
bool update_lease_start(gate_row& gate, const gate_claim_view& view, bool has_load_reports,
                        instant now)
{
    const bool leased = !view.has_successor || view.since_lease < lease_time;
    if (!leased) {
        gate.leased_since = instant{};
        return false;
    }
    if (gate.leased_since == instant{}) gate.leased_since = now;
    return has_load_reports ? gate.reported_at > gate.leased_since
                            : now - gate.leased_since >= unreported_load_wait;
}

gate_claim_view make_claim_view(const gate_row& gate, std::span<const vm_id> ranked,
                                const vm_id& self, const membership& members, instant now)
{
    gate_claim_view view;
    const auto own_position = std::ranges::find(ranked, self);
    view.rank = static_cast<std::size_t>(std::ranges::distance(ranked.begin(), own_position));
    for (const vm_id& vm : ranked.first(view.rank)) {
        const member* row = members.find(vm);
        if (row == nullptr) continue;
        view.higher_ranked_live = view.higher_ranked_live || row->live();
        if (row->granted_at != instant{}) {
            view.since_lease_granted = std::min(view.since_lease_granted, now - row->granted_at);
        }
    }
    view.since_became_first = gate.is_first_ranked ? now - gate.first_since : duration::zero();
    if (own_position == ranked.end()) return view;
    if (const member* successor = find_successor(ranked.subspan(view.rank + 1), members)) {
        view.has_successor = true;
        view.successor_ever_acked = successor->ever_acked;
        if (successor->ever_acked) view.since_lease = now - successor->acked_at;
    }
    return view;
}

} // namespace

bool assign_gates(tables& t, gate_assignment& assignment, const membership& members)
{
    const std::uint64_t revision = t.config == nullptr ? 0 : t.config->revision;
    if (assignment.view_version == members.version() && assignment.revision == revision) {
        return false;
    }
    assignment.view_version = members.version();
    assignment.revision = revision;
    std::erase_if(assignment.ranked,
                  [&](const auto& entry) { return !t.servers.contains(entry.first); });
    const std::vector<gate_candidate> candidates = list_candidates(t, members);
    assignment.gated_servers.clear();
    for (auto& [id, server] : t.servers) {
        rank_server(server, candidates, assignment);
        const bool first = !server.gates.empty() && server.gates.front() == t.self;
        if (first || t.gates.contains(id)) assignment.gated_servers.push_back(id);
    }
    return true;
}

void renew_shares(tables& t, const gate_assignment& assignment, membership& members,
                  const tick_time& time)
{
    std::set<vm_id> targets;
    for (const server_id& id : assignment.gated_servers) {
        server_row& server = t.servers.at(id);
        const bool first = !server.gates.empty() && server.gates.front() == t.self;
        if (!first && !t.gates.contains(id)) continue;
        gate_row& gate = t.gates[id];
        if (gate.server.empty()) {
            gate.server = id;
            gate.queue = fair_queue(t.settings.queue_capacity);
        }
        gate.service = server.service;
        if (first && !gate.is_first_ranked) gate.first_since = time.now;
        gate.is_first_ranked = first;
        if (!first) {
            gate.share = 0;
            gate.leased_since = instant{};
            continue;
        }
        const std::vector<vm_id>& ranked = assignment.ranked.at(id);
        gate_claim_view view = make_claim_view(gate, ranked, t.self, members, time.now);
        const bool has_load_reports =
            t.services.at(server.service).config.kind == service_kind::chat;
        view.foreign_load_counted = update_lease_start(gate, view, has_load_reports, time.now);
        gate.share = gate_share(view);
        const auto own_position = std::ranges::find(ranked, t.self);
        if (const member* next =
                find_successor(std::span(own_position + 1, ranked.end()), members)) {
            targets.insert(next->info.vm);
        }
    }
    members.set_lease_targets({targets.begin(), targets.end()});
    // Remove idle rows of servers that have another gate or are no longer configured.
    std::erase_if(t.gates, [&](const auto& entry) {
        const gate_row& gate = entry.second;
        const bool idle = gate.running.empty() && gate.queue.empty();
        return idle && (!gate.is_first_ranked || !t.servers.contains(entry.first));
    });
}

void hand_over_chats(tables& t, const tick_time& time)
{
    std::map<vm_id, std::vector<chat_record>> moved;
    const auto home_gate = [&](const service_id& id, chat_key chat) {
        const auto service = t.services.find(id);
        if (service == t.services.end()) return vm_id{};
        const auto server = t.servers.find(home_server(service->second, chat));
        return server == t.servers.end() ? vm_id{} : gate_of(server->second);
    };
    const auto is_gated_elsewhere = [&](const service_id& service, chat_key chat) {
        const vm_id gate = home_gate(service, chat);
        return !gate.empty() && gate != t.self;
    };
    for (chat_record& record : t.chats.extract_if(is_gated_elsewhere, time.now)) {
        moved[home_gate(record.service, record.chat)].push_back(std::move(record));
    }
    for (const auto& [vm, records] : moved) {
        for (std::size_t i = 0; i < records.size(); i += max_records_per_message) {
            const auto end = std::min(records.size(), i + max_records_per_message);
            chat_records message;
            message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(i),
                                   records.begin() + static_cast<std::ptrdiff_t>(end));
            t.counters.chats_handed_over += message.records.size();
            t.send(vm, std::move(message));
        }
    }
}

void receive_chats(tables& t, const tick_time& time)
{
    for (const chat_records& message : std::exchange(t.in.chats, {})) {
        for (const chat_record& record : message.records) {
            t.chats.record(record.service, record.chat, record.server,
                           time.now - seconds(record.age_s));
        }
    }
}

} // namespace worksshift
