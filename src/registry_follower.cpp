#include "registry_follower.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

#include <event2/keyvalq_struct.h>

#include "config_follower.h"
#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr const char* since_parameter = "since";
constexpr int ok = 200;
/** In which digests tell for how long the store has been back. */
constexpr duration store_back_unit = milliseconds(10);

} // namespace

registry_follower::registry_follower(event_base* base, http_caller& caller,
                                     const link_address& store, const protocol& dialect,
                                     server_table& table, fleet_gossip& gossip)
    : caller(caller), gossip(gossip), table(table), registry(table, dialect),
      watch(base, caller, store, dialect, object_kind::servers)
{
    this->watch.on_first_part.connect([this](const std::vector<stored_object>& part) {
        this->registry.take_part(part, std::chrono::steady_clock::now());
    });
    this->watch.on_list.connect([this](const std::vector<stored_object>& all) {
        this->apply({this->watch.changed_revision(), true, all});
        this->gossip.hasten();
    });
    this->watch.on_change.connect([this](const stored_object& item) {
        this->apply({this->watch.changed_revision(), false, {item}});
        this->gossip.hasten();
    });
    this->registry.on_leaving.connect([this](const server_id& id) { this->on_leaving.emit(id); });
    this->registry.on_restarted.connect(
        [this](const server_id& id) { this->on_restarted.emit(id); });
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

void registry_follower::tick(instant now, bool watching)
{
    this->watch.set_active(watching || !this->known());
    this->ask_peer(now);
    this->registry.sweep(now, this->store_regained_at(now));
}

/** When the store last came back, as far as this VM or one that watches knows. */
instant registry_follower::store_regained_at(instant now) const
{
    instant newest = this->watch.regained_at();
    for (const fleet_vm* item : this->gossip.fleet().heard(now)) {
        if (!item->last.watches_store) continue;
        newest = std::max(newest, item->heard_at - item->last.store_back * store_back_unit);
    }
    return newest;
}

void registry_follower::ask_peer(instant now)
{
    const std::uint64_t own = this->feed.revision();
    const fleet_vm* newest =
        choose_newest(this->gossip.fleet(), now, this->random, own,
                      [](const fleet_vm& item) { return item.last.servers_revision; });
    if (newest == nullptr) {
        this->behind_since = instant{};
        return;
    }
    if (this->behind_since == instant{}) this->behind_since = now;
    const bool by_store = this->watch.follows() || !this->known();
    const duration patience = by_store ? store_tells_within : duration::zero();
    if (this->asking || now - this->behind_since < patience) return;
    this->asking = true;
    const link_address from = this->gossip.address_of(*newest);
    const std::string path =
        std::string(registry_path) + "?" + since_parameter + "=" + std::to_string(own);
    this->caller.call(from, EVHTTP_REQ_GET, path, {}, {}, {peer_call_timeout},
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
    constexpr std::int64_t longest = std::numeric_limits<std::uint16_t>::max();
    const std::int64_t back = (now - this->watch.regained_at()) / store_back_unit;
    digest.servers_revision = this->feed.revision();
    digest.store_back = static_cast<std::uint16_t>(std::min(back, longest));
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
    if (std::exchange(this->answers_at, this->feed.revision()) != this->feed.revision()) {
        this->answers.clear();
    }
    const auto [found, added] = this->answers.try_emplace(since);
    if (added) found->second = encode(this->feed.since(since));
    const std::string& body = found->second;
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, ok, nullptr, nullptr);
}

} // namespace worksshift
