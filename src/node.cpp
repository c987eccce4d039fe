#include "node.h"

#include "admit_attempts.h"
#include "log.h"
#include "placement.h"
#include "route_requests.h"
#include "share_loads.h"

namespace worksshift {

namespace {

constexpr duration expiry_interval = seconds(10);

/** Runs one named system; at log level trace, logs each run with its duration. */
template <class System>
void run(const char* name, System system)
{
    if (!log_enabled(log_level::trace)) {
        system();
        return;
    }
    const auto start = std::chrono::steady_clock::now();
    system();
    const auto elapsed = std::chrono::steady_clock::now() - start;
    log_event(log_level::trace, "system",
              {{"name", name},
               {"ns", std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count()}});
}

} // namespace

node::node(const member_update& self, node_settings settings, membership_settings member_settings,
           std::uint64_t origin, std::uint64_t seed)
    : member_table(self, member_settings, seed)
{
    this->rows.self = self.vm;
    this->rows.origin = origin;
    this->rows.settings = settings;
    this->rows.random.seed(seed + 1);
    this->rows.chats = chat_directory(settings.chat_capacity, settings.max_chat_age);
    this->rows.config = std::make_shared<const fleet_config>();
}

void node::tick(const tick_time& time)
{
    tables& t = this->rows;
    run("age_members", [&] { this->member_table.tick(time.now); });
    run("pull_config", [&] { pull_config(t, this->configuration, time); });
    run("apply_config", [&] { this->apply_config(time); });
    run("assign_gates", [&] {
        if (!assign_gates(t, this->assignment, this->member_table)) return;
        this->update_homes();
        hand_over_chats(t, time);
    });
    run("renew_shares", [&] { renew_shares(t, this->assignment, this->member_table, time); });
    run("take_chats", [&] { receive_chats(t, time); });
    run("take_load_reports", [&] { apply_load_reports(t); });
    run("finish_calls", [&] { finish_calls(t, time); });
    run("cancel_attempts", [&] { cancel_attempts(t); });
    run("open_attempts", [&] { open_attempts(t, time); });
    run("run_queues", [&] { run_queues(t, time); });
    run("hold_lease", [&] { maintain_lease(t, time); });
    run("want_orders", [&] { request_orders(t, this->next_order_request, time); });
    run("give_orders", [&] { issue_orders(t, time); });
    run("settle_claims", [&] { process_claims(t, time); });
    run("grant_quotas", [&] { grant_quotas(t, time); });
    run("start_requests", [&] { start_requests(t, time); });
    run("follow_accounts", [&] { handle_quota_replies(t, time); });
    run("follow_claims", [&] { handle_claim_replies(t, time); });
    run("follow_refusals", [&] { handle_refusals(t, time); });
    run("end_attempts", [&] { end_attempts(t, time); });
    run("expire_requests", [&] { expire_requests(t, time); });
    run("share_loads", [&] { share_loads(t, this->member_table, this->next_loads, time); });
    run("expire_chats", [&] {
        if (time.now < this->next_expiry) return;
        this->next_expiry = time.now + expiry_interval;
        t.chats.expire(time.now);
        refresh_mature_servers(t, time.unix_s);
        hand_over_chats(t, time);
    });
    t.in.lost_peers.clear();
    t.in.object_results.clear();
}

void node::apply_config(const tick_time& time)
{
    if (this->configuration.revision() == this->applied_revision) return;
    this->applied_revision = this->configuration.revision();
    load_config(this->rows, this->configuration.config, time.unix_s);
    this->member_table.set_config_revision(this->applied_revision);
    this->member_table.announce_revision();
    log_event(log_level::info, "config_in_force", {{"revision", this->applied_revision}});
}

void node::update_homes()
{
    std::vector<vm_id> homes;
    if (!this->rows.leaving) homes.push_back(this->rows.self);
    for (const auto& [vm, row] : this->member_table.members()) {
        if (row.live()) homes.push_back(vm);
    }
    if (homes == this->rows.homes) return;
    this->rows.homes = homes;
    invalidate_claim_buckets(this->rows);
    this->rows.home_hashes.clear();
    std::ranges::transform(homes, std::back_inserter(this->rows.home_hashes),
                           [](const vm_id& vm) { return vm.hash(); });
}

void node::receive(const vm_id& from, link_message message)
{
    inbox& in = this->rows.in;
    this->member_table.note_link_message(from);
    std::visit(
        [&]<class Message>(Message& body) {
            if constexpr (std::is_same_v<Message, open_attempt>) {
                in.opened.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, cancel_attempt>) {
                in.cancelled.push_back({from, body});
            } else if constexpr (std::is_same_v<Message, attempt_refused>) {
                in.refused.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, claim_request>) {
                in.claim_requests.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, claim_outcome>) {
                in.claim_outcomes.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, claim_reply>) {
                in.claim_replies.push_back(std::move(body));
            } else if constexpr (std::is_same_v<Message, order_request>) {
                in.order_requests.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, quota_request>) {
                in.quota_requests.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, quota_reply>) {
                in.quota_replies.push_back({from, std::move(body)});
            } else if constexpr (std::is_same_v<Message, chat_records>) {
                in.chats.push_back(std::move(body));
            } else if constexpr (std::is_same_v<Message, config_pull>) {
                if (auto push = answer_pull(this->configuration, body)) {
                    this->rows.send(from, std::move(*push));
                }
            } else if constexpr (std::is_same_v<Message, config_push>) {
                config_documents documents{std::move(body.manifest), {}};
                for (config_shard& shard : body.shards) {
                    documents.shards[shard.key] = std::move(shard.content);
                }
                this->offer(std::move(documents));
                this->configuration.pull_target = {};
            } else if constexpr (std::is_same_v<Message, attempt_head> ||
                                 std::is_same_v<Message, attempt_data>) {
                if (auto broken = this->relay.handle_frame(body))
                    in.ended.push_back(std::move(*broken));
            } else if constexpr (std::is_same_v<Message, attempt_ended>) {
                if (auto ended = this->relay.handle_frame(body))
                    in.ended.push_back(std::move(*ended));
            }
        },
        message);
}

void node::receive(const gossip_message& message, instant now)
{
    this->member_table.receive(message, now);
    note_peer_revision(this->configuration, message.config_revision, message.sender.vm);
    std::ranges::copy(message.loads, std::back_inserter(this->rows.in.loads));
}

void node::handle_peer_loss(const vm_id& vm)
{
    this->rows.in.lost_peers.push_back(vm);
    this->member_table.probe_early(vm);
    for (attempt_result& result : this->relay.handle_peer_loss(vm)) {
        this->rows.in.ended.push_back(std::move(result));
    }
}

offer_result node::offer(config_documents documents)
{
    return offer_config(this->configuration, std::move(documents));
}

void node::leave()
{
    if (this->rows.leaving) return;
    this->rows.leaving = true;
    this->member_table.announce_leave();
    this->assignment.view_version = 0;
}

std::size_t node::end_requests()
{
    return worksshift::end_requests(this->rows);
}

bool node::idle() const
{
    const tables& t = this->rows;
    const bool gates_idle = std::ranges::all_of(t.gates, [](const auto& entry) {
        return entry.second.running.empty() && entry.second.queue.empty();
    });
    const bool claims_idle = std::ranges::all_of(t.claims.buckets, [](const auto& entry) {
        return entry.second.queue.empty() && entry.second.in_write.empty();
    });
    return gates_idle && claims_idle && t.requests.empty();
}

} // namespace worksshift
