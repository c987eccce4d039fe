#include "config_follower.h"

#include <algorithm>

#include "errors.h"
#include "log.h"
#include "packed_text.h"

namespace worksshift {

namespace {

constexpr int ok = 200;
constexpr int unavailable = 503;

} // namespace

const fleet_vm* choose_newest(const fleet_table& fleet, instant now, std::minstd_rand& random,
                              std::uint64_t own,
                              const std::function<std::uint64_t(const fleet_vm&)>& revision_of)
{
    std::vector<const fleet_vm*> candidates = fleet.responsive_vms(now);
    std::erase_if(candidates, [&](const fleet_vm* vm) { return revision_of(*vm) <= own; });
    const auto local_end = std::ranges::partition(candidates, [&](const fleet_vm* vm) {
                               return fleet.is_local(*vm);
                           }).begin();
    if (local_end != candidates.begin()) candidates.erase(local_end, candidates.end());
    std::ranges::shuffle(candidates, random);
    const auto newest = std::ranges::max_element(
        candidates, {}, [&](const fleet_vm* vm) { return revision_of(*vm); });
    return newest == candidates.end() ? nullptr : *newest;
}

config_follower::config_follower(event_base* base, http_client& caller, const link_address& store,
                                 const protocol& adapter, fleet_gossip& gossip)
    : caller(caller), adapter(adapter), gossip(gossip),
      client(base, caller, store, adapter, follow.watch)
{
    const auto apply_all = [this](const std::vector<stored_object>& objects) {
        for (const stored_object& object : objects) {
            if (!object.removed) this->apply(object.document, "store");
        }
    };
    this->follow.watch.on_list.connect(apply_all);
    this->follow.watch.on_changes.connect(apply_all);
}

std::uint64_t config_follower::version() const
{
    return this->current == nullptr ? 0 : this->current->version;
}

void config_follower::apply(const std::string& document, std::string_view source)
{
    try {
        const std::shared_ptr<router_config> received = this->adapter.decode_config(document);
        const std::uint64_t previous = this->version();
        const bool newer = received->version > previous;
        log_event(log_level::info, "config_received",
                  {{"source", source},
                   {"version", received->version},
                   {"in_force", previous},
                   {"bytes", document.size()},
                   {"outcome", newer ? "in_force" : "ignored"}});
        if (!newer) return;
        if (received->unreadable_regions > 0) {
            log_event(log_level::warn, "config_regions_unreadable",
                      {{"version", received->version},
                       {"routes_and_accounts", received->unreadable_regions},
                       {"outcome", "their requests are refused"}});
        }
        this->current = received;
        this->packed = pack(document);
        this->gossip.send_early();
        this->on_config.emit();
    } catch (const error& fault) {
        log_event(log_level::error, "config_unreadable",
                  {{"source", source}, {"step", fault.step}, {"reason", fault.what()}});
    }
}

void config_follower::handle_digest(const fleet_vm& from)
{
    this->newest_version_reported =
        std::max(this->newest_version_reported, from.last.config_version);
}

void config_follower::tick(instant now, std::optional<read_mode> watched)
{
    const bool behind = this->newest_version_reported > this->version();
    this->follow.update(watched, this->current != nullptr, behind, now);
    this->client.proceed();
    if (this->follow.fetching.due(now)) this->request_from_peer(now);
}

void config_follower::request_from_peer(instant now)
{
    const fleet_vm* peer = choose_newest(this->gossip.fleet(), now, this->random, this->version(),
                                         [](const fleet_vm& vm) { return vm.last.config_version; });
    if (peer == nullptr) return;
    this->follow.fetching.begin();
    const link_address from = this->gossip.address_of(*peer);
    this->caller.call(from, "GET", config_path, {}, {}, {peer_fetch_schedule::call_timeout},
                      [this, from](const http_response& response) {
                          this->follow.fetching.end(std::chrono::steady_clock::now());
                          if (response.status != ok) {
                              log_event(log_level::warn, "config_not_fetched",
                                        {{"peer", from.address}, {"status", response.status}});
                              return;
                          }
                          try {
                              this->apply(unpack(response.body, from.address), from.address);
                          } catch (const error& fault) {
                              log_event(log_level::error, "config_unreadable",
                                        {{"source", from.address},
                                         {"step", fault.step},
                                         {"reason", fault.what()}});
                          }
                      });
}

void config_follower::serve(evhttp_request* request) const
{
    const bool available = this->current != nullptr;
    evbuffer_add(evhttp_request_get_output_buffer(request), this->packed.data(),
                 this->packed.size());
    evhttp_send_reply(request, available ? ok : unavailable, nullptr, nullptr);
}

} // namespace worksshift
