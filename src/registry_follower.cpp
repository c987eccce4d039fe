#include "registry_follower.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <event2/keyvalq_struct.h>

#include "config_follower.h"
#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr const char* since_parameter = "since";
constexpr int ok = 200;

} // namespace

registry_follower::registry_follower(event_base* base, http_client& caller,
                                     const link_address& store, const protocol& adapter,
                                     server_table& table, fleet_gossip& gossip)
    : caller(caller), gossip(gossip), table(table), registry(table, adapter),
      client(base, caller, store, adapter, follow.watch)
{
    store_watch& watch = this->follow.watch;
    watch.on_partial_list.connect([this](const std::vector<stored_object>& part) {
        this->registry.apply_partial_list(part, store_origin{}, std::chrono::steady_clock::now());
    });
    watch.on_list.connect([this](const std::vector<stored_object>& all) {
        this->apply({this->follow.watch.changed_revision(), true, all}, store_origin{});
    });
    watch.on_changes.connect([this](const std::vector<stored_object>& changed) {
        this->apply({this->follow.watch.changed_revision(), false, changed},
                    store_origin{.from_watch = true});
    });
    this->registry.on_leaving.connect([this](const server_id& id) { this->on_leaving.emit(id); });
    this->registry.on_restarted.connect(
        [this](const server_id& id) { this->on_restarted.emit(id); });
}

void registry_follower::apply(const registry_update& update, const update_origin& origin)
{
    const std::optional<registry_update> newer_part = this->feed.apply(update);
    if (!newer_part) return;
    this->gossip.send_early();
    const instant time = std::chrono::steady_clock::now();
    if (newer_part->complete) {
        this->registry.apply_list(newer_part->objects, origin, time);
        return;
    }
    for (const stored_object& object : newer_part->objects)
        this->registry.apply_change(object, origin, time);
}

void registry_follower::tick(instant now, std::optional<read_mode> watched)
{
    const bool behind = this->gossip.fleet().servers_revision() > this->revision();
    this->follow.update(watched, this->known(), behind, now);
    this->client.proceed();
    if (this->follow.fetching.due(now)) this->request_from_peer(now);
    this->outage.update(this->follow.watch.failing_call(), this->follow.watch.answered_at(),
                        this->gossip.fleet().store(), this->gossip.fleet().is_isolated(now));
    this->registry.sweep(now, this->store().recovered_at);
}

store_status registry_follower::store() const
{
    store_status status = this->gossip.fleet().store();
    status.merge({this->outage.recovered_at(), this->follow.watch.confirmed_at()});
    return status;
}

void registry_follower::request_from_peer(instant now)
{
    const std::uint64_t own = this->feed.revision();
    const fleet_vm* newest =
        choose_newest(this->gossip.fleet(), now, this->random, own,
                      [](const fleet_vm& vm) { return vm.last.servers_revision; });
    if (newest == nullptr) return;
    this->follow.fetching.begin();
    const link_address from = this->gossip.address_of(*newest);
    const std::string path =
        std::string(registry_path) + "?" + since_parameter + "=" + std::to_string(own);
    this->caller.call(from, "GET", path, {}, {}, {peer_fetch_schedule::call_timeout},
                      [this, from, now](const http_response& response) {
                          this->follow.fetching.end(std::chrono::steady_clock::now());
                          this->handle_response(response, from.address, now);
                      });
}

void registry_follower::handle_response(const http_response& response, const std::string& peer,
                                        instant requested_at)
{
    if (response.status != ok) {
        log_event(log_level::warn, "registry_not_fetched",
                  {{"peer", peer}, {"status", response.status}});
        return;
    }
    try {
        const registry_update update = decode_registry_update(response.body, peer);
        log_event(log_level::info, "registry_fetched",
                  {{"peer", peer},
                   {"revision", update.revision},
                   {"before", this->feed.revision()},
                   {"objects", update.objects.size()},
                   {"kept", update.retained.size()},
                   {"whole", update.complete ? 1 : 0}});
        this->apply(update, origin_of(update, this->feed.revision(), requested_at));
        this->follow.watch.advance(update.revision);
    } catch (const error& fault) {
        log_event(log_level::error, "registry_unreadable",
                  {{"peer", fault.peer}, {"step", fault.step}, {"reason", fault.what()}});
    }
}

void registry_follower::describe(fleet_digest& digest, instant now) const
{
    digest.servers_revision = this->feed.revision();
    this->store().describe(digest, now);
}

void registry_follower::serve(evhttp_request* request) const
{
    const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq parameters{};
    std::uint64_t since = 0;
    constexpr int decimal = 10;
    if (query != nullptr && evhttp_parse_query_str(query, &parameters) == 0) {
        const char* text = evhttp_find_header(&parameters, since_parameter);
        if (text != nullptr) since = std::strtoull(text, nullptr, decimal);
        evhttp_clear_headers(&parameters);
    }
    const instant time = std::chrono::steady_clock::now();
    const bool changed =
        std::exchange(this->cached_revision, this->feed.revision()) != this->feed.revision();
    if (changed || time - this->cached_at > response_cache_lifetime) {
        this->cached_responses.clear();
        this->cached_at = time;
    }
    const auto [found, added] = this->cached_responses.try_emplace(since);
    if (added) {
        registry_update update = this->feed.since(since);
        update.retained = this->registry.retained_servers(time);
        found->second = encode(update);
    }
    const std::string& body = found->second;
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, ok, nullptr, nullptr);
}

} // namespace worksshift
