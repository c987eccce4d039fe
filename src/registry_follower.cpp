#include "registry_follower.h"

#include <algorithm>
#include <cstdlib>

#include <event2/keyvalq_struct.h>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr const char* since_parameter = "since";
constexpr int ok = 200;
/** Digests tell no longer time than this. */
constexpr std::int64_t longest_back_ms = 3'600'000;

} // namespace

registry_follower::registry_follower(event_base* base, http_caller& caller,
                                     const link_address& store, const protocol& dialect,
                                     server_table& table, fleet_gossip& gossip)
    : caller(caller), gossip(gossip), registry(table, dialect),
      watch(base, caller, store, dialect, object_kind::servers)
{
    this->watch.on_list.connect([this](const std::vector<stored_object>& all) {
        this->apply({this->watch.changed_revision(), true, all});
        this->gossip.hasten();
    });
    this->watch.on_change.connect([this](const stored_object& item) {
        this->apply({this->watch.changed_revision(), false, {item}});
        this->gossip.hasten();
    });
    this->registry.on_leaving.connect([this](const server_id& id) { this->on_leaving.emit(id); });
}

void registry_follower::apply(const registry_update& update)
{
    const instant time = std::chrono::steady_clock::now();
    this->feed.take(update);
    if (update.whole) {
        this->registry.take_list(update.objects, time);
        return;
    }
    for (const stored_object& item : update.objects)
        this->registry.take_change(item, time);
}

void registry_follower::tick(instant now)
{
    this->choose_source(now);
    this->ask_peer(now);
    this->registry.sweep(now, this->store_regained_at(now));
}

/** The VMs of the lowest incarnations that the store answers are the ones that watch. */
void registry_follower::choose_source(instant now)
{
    const auto heard = this->gossip.heard(now);
    const duration period = std::min<duration>(this->gossip.period(), followed_period);
    const duration limit = std::max<duration>(watcher_heard_within, period * watcher_periods);
    const auto others = std::ranges::count_if(heard, [&](const fleet_gossip::peer* item) {
        return item->last.watches_servers && !item->last.leaving && now - item->heard_at < limit &&
               item->last.incarnation < this->gossip.own_incarnation();
    });
    if (static_cast<std::size_t>(others) < watchers_wanted) {
        this->watched_since = instant{};
        this->watch.set_active(true);
    } else if (this->watched_since == instant{}) {
        this->watched_since = now;
    } else if (now - this->watched_since > watched_enough_for && this->known()) {
        this->watch.set_active(false);
    }
}

/** When the store last came back, as far as this VM or one that watches knows. */
instant registry_follower::store_regained_at(instant now) const
{
    instant newest = this->watch.regained_at();
    for (const fleet_gossip::peer* item : this->gossip.heard(now)) {
        if (!item->last.watches_servers) continue;
        newest = std::max(newest, item->heard_at - milliseconds(item->last.store_back_ms));
    }
    return newest;
}

void registry_follower::ask_peer(instant now)
{
    auto heard = this->gossip.heard(now);
    // Any of those that know the most: if all asked the same one, it would be swamped.
    std::ranges::shuffle(heard, this->random);
    const auto newest = std::ranges::max_element(
        heard, {}, [](const fleet_gossip::peer* item) { return item->last.servers_revision; });
    const std::uint64_t own = this->feed.revision();
    if (newest == heard.end() || (*newest)->last.servers_revision <= own) {
        this->behind_since = instant{};
        return;
    }
    if (this->behind_since == instant{}) this->behind_since = now;
    const bool by_store = this->watch.follows() || !this->known();
    const duration patience = by_store ? store_tells_within : duration::zero();
    if (this->asking || now - this->behind_since < patience) return;
    this->asking = true;
    const link_address from = this->gossip.address_of(**newest);
    const std::string path =
        std::string(registry_path) + "?" + since_parameter + "=" + std::to_string(own);
    this->caller.call(from, EVHTTP_REQ_GET, path, {}, {}, peer_call_timeout,
                      [this, from](const http_response& response) {
                          this->asking = false;
                          this->behind_since = instant{};
                          this->take(response, from.address);
                      });
}

void registry_follower::take(const http_response& response, const std::string& peer)
{
    if (response.status != ok) {
        log_event(log_level::warn, "registry_not_fetched",
                  {{"peer", peer}, {"status", response.status}});
        return;
    }
    try {
        const registry_update update = decode_registry_update(response.body, peer);
        if (update.revision <= this->feed.revision()) return;
        log_event(log_level::info, "registry_fetched",
                  {{"peer", peer},
                   {"revision", update.revision},
                   {"before", this->feed.revision()},
                   {"objects", update.objects.size()},
                   {"whole", update.whole ? 1 : 0}});
        this->apply(update);
        this->watch.advance(update.revision);
    } catch (const error& fault) {
        log_event(log_level::error, "registry_unreadable",
                  {{"peer", fault.peer}, {"step", fault.step}, {"reason", fault.what()}});
    }
}

void registry_follower::describe(fleet_digest& digest, instant now) const
{
    const auto back =
        std::chrono::duration_cast<milliseconds>(now - this->watch.regained_at()).count();
    digest.servers_revision = this->feed.revision();
    digest.watches_servers = this->watch.follows();
    digest.store_back_ms =
        static_cast<std::uint32_t>(std::min<std::int64_t>(back, longest_back_ms));
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
    const std::string body = encode(this->feed.since(since));
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, ok, nullptr, nullptr);
}

} // namespace worksshift
