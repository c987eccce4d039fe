#include "support/store_fleet.h"

#include <algorithm>
#include <stdexcept>

#include "config_follower.h"
#include "visitor.h"

namespace support {

using namespace worksshift;

namespace {

/** Time from a call to the store's response. */
constexpr duration store_delay = milliseconds(4);
/** Cost of a stale call; that of a linearizable one is 1. */
constexpr double stale_price = 0.1;
/** Time from a request to another VM to its response. */
constexpr duration peer_delay = milliseconds(50);
/** Time within which keep-alive probes end a call that gets no answer; see `enable_keepalive`. */
constexpr duration keepalive_timeout = seconds(2);

} // namespace

void model_store::put(object_kind kind, const std::string& name, const std::string& document,
                      instant now)
{
    stored_object object;
    object.name = name;
    object.revision = ++this->revision;
    object.document = document;
    this->log.push_back({kind, object, now});
}

void model_store::remove(object_kind kind, const std::string& name, instant now)
{
    stored_object object;
    object.name = name;
    object.revision = ++this->revision;
    object.removed = true;
    this->log.push_back({kind, object, now});
}

/** Highest revision that a read in a mode returns. */
std::uint64_t model_store::visible(read_mode mode, instant now) const
{
    if (mode == read_mode::linearizable) return this->revision;
    std::uint64_t seen = 0;
    for (const change& each : this->log) {
        if (each.at + this->lag <= now) seen = each.object.revision;
    }
    return seen;
}

std::map<std::string, stored_object> model_store::objects(object_kind kind,
                                                          std::uint64_t until) const
{
    std::map<std::string, stored_object> all;
    for (const change& each : this->log) {
        if (each.kind != kind || each.object.revision > until) continue;
        if (each.object.removed) {
            all.erase(each.object.name);
        } else {
            all[each.object.name] = each.object;
        }
    }
    return all;
}

model_store::answer model_store::answer_to(const waiting_call& call, instant now) const
{
    if (this->silent || this->cut_off.contains(call.vm) || now - call.requested_at < store_delay)
        return {};
    if (this->refused.contains(call.vm)) return {verdict::refused, {}};
    answer response;
    response.page.revision = this->visible(call.read.mode, now);
    if (std::holds_alternative<list_read>(call.read.operation)) {
        response.result = verdict::page;
        for (const auto& [name, object] : this->objects(call.kind, response.page.revision))
            response.page.objects.push_back(object);
        return response;
    }
    const auto& watch = std::get<watch_read>(call.read.operation);
    if (watch.revision < this->history_from) return {verdict::gone, {}};
    for (const change& each : this->log) {
        const std::uint64_t at = each.object.revision;
        if (each.kind == call.kind && at > watch.revision && at <= response.page.revision) {
            response.page.objects.push_back(each.object);
        }
    }
    const bool over = now - call.requested_at >= watch.wait;
    response.result = over || !response.page.objects.empty() ? verdict::page : verdict::none;
    return response;
}

store_fleet::store_fleet(std::size_t count, std::size_t centres, std::uint64_t seed)
    : fleet(count, centres, seed)
{
    this->fleet.on_tick = [this](std::size_t vm) { this->tick(vm); };
    this->fleet.describe = [this](std::size_t vm, local_state& state) {
        fleet_digest& digest = state.digest;
        const follower_vm& item = this->vms.at(vm);
        digest.config_version = item.version;
        digest.servers_revision = item.feed.revision();
        digest.watches_store =
            item.config.watch.receives_updates() && item.servers.watch.receives_updates();
        item.evacuated.describe(digest, this->server_places);
    };
    this->fleet.on_digest = [this](std::size_t vm, const fleet_vm& from) {
        std::uint64_t& newest = this->vms.at(vm).newest_reported;
        newest = std::max(newest, from.last.config_version);
        follower_vm& item = this->vms.at(vm);
        if (from.last.evacuations_revision <= item.evacuated.revision()) return;
        item.evacuated.handle_digest(from.last);
        item.evacuations.watch.advance(from.last.evacuations_revision);
    };
    for (std::size_t vm = 0; vm < count; ++vm)
        this->connect(vm);
}

void store_fleet::connect(std::size_t vm)
{
    follower_vm& item = this->vms[vm];
    item.started = this->fleet.now;
    const auto take_configs = [&item](const std::vector<stored_object>& objects) {
        for (const stored_object& object : objects)
            take_version(item, std::stoull(object.document));
    };
    item.config.watch.on_list.connect(take_configs);
    item.config.watch.on_changes.connect(take_configs);
    item.evacuations.watch.on_list.connect([&item](const std::vector<stored_object>& all) {
        item.evacuated.apply_list(all, item.evacuations.watch.changed_revision());
    });
    item.evacuations.watch.on_changes.connect([&item](const std::vector<stored_object>& some) {
        item.evacuated.apply_changes(some, item.evacuations.watch.changed_revision());
    });
    item.servers.watch.on_list.connect([this, &item](const std::vector<stored_object>& all) {
        item.listed = true;
        this->apply(item, {item.servers.watch.changed_revision(), true, all, {}, 0},
                    store_origin{});
    });
    item.servers.watch.on_changes.connect([this, &item](const std::vector<stored_object>& some) {
        this->apply(item, {item.servers.watch.changed_revision(), false, some},
                    store_origin{.from_watch = true});
    });
}

void store_fleet::cut_off_from_store(const std::set<std::size_t>& lost)
{
    this->store.cut_off = lost;
    for (own_call& call : this->pending) {
        if (lost.contains(call.vm))
            call.fails_at = std::min(call.fails_at, this->fleet.now + keepalive_timeout);
    }
}

void store_fleet::restart(std::size_t vm)
{
    this->vms.erase(vm);
    std::erase_if(this->waiting, [vm](const auto& call) { return call.vm == vm; });
    std::erase_if(this->pending, [vm](const auto& call) { return call.vm == vm; });
    std::erase_if(this->answers, [vm](const auto& answer) { return answer.vm == vm; });
    this->fleet.start(vm);
    this->connect(vm);
}

void store_fleet::add_server(const std::string& name, const std::string& service)
{
    const std::string document =
        R"({"service":")" + service +
        R"(","address":"127.0.0.1:1","zone":"dc","version":"v1","slots":4,)"
        R"("coldRemainingMs":0,"sequence":1,"state":"ready"})";
    this->store.put(object_kind::servers, name, document, this->fleet.now);
}

void store_fleet::remove_server(const std::string& name)
{
    this->store.remove(object_kind::servers, name, this->fleet.now);
}

std::size_t store_fleet::vms_using(const std::string& server, duration running_for) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->fleet.vms, [&](const auto& entry) {
        const follower_vm& item = this->vms.at(entry.first);
        const auto& rows = item.table.rows();
        const auto row = rows.find(server_id{server});
        return this->fleet.now - item.started >= running_for && row != rows.end() &&
               row->second.accepts_requests();
    }));
}

void store_fleet::set_config(std::uint64_t version)
{
    this->store.put(object_kind::configuration, "main", std::to_string(version), this->fleet.now);
}

void store_fleet::evacuate(const std::string& place)
{
    this->server_places.insert(static_cast<std::uint32_t>(hash_of(place)));
    this->store.put(object_kind::evacuations, place, "{}", this->fleet.now);
}

void store_fleet::revoke_evacuation(const std::string& place)
{
    this->store.remove(object_kind::evacuations, place, this->fleet.now);
}

bool store_fleet::all_evacuate(const std::set<std::string>& places,
                               const std::set<std::size_t>& without) const
{
    std::set<std::uint32_t> wanted;
    for (const std::string& place : places)
        wanted.insert(static_cast<std::uint32_t>(hash_of(place)));
    return std::ranges::all_of(this->fleet.vms, [&](const auto& entry) {
        return without.contains(entry.first) ||
               this->vms.at(entry.first).evacuated.data_centre_hashes() == wanted;
    });
}

store_follow& store_fleet::follow_of(std::size_t vm, object_kind kind)
{
    follower_vm& item = this->vms.at(vm);
    switch (kind) {
    case object_kind::configuration:
        return item.config;
    case object_kind::servers:
        return item.servers;
    case object_kind::evacuations:
        return item.evacuations;
    case object_kind::version_logs: // read only when a request needs it
        break;
    }
    throw std::invalid_argument("no VM follows " + std::string(name_of(kind)));
}

void store_fleet::take_version(follower_vm& item, std::uint64_t version)
{
    // Like the product's followers, never applies an older version.
    item.version = std::max(item.version, version);
}

void store_fleet::apply(follower_vm& item, const registry_update& update,
                        const update_origin& origin)
{
    const std::uint64_t before = item.feed.revision();
    const std::optional<registry_update> accepted = item.feed.apply(update);
    if (item.feed.revision() < before) item.regressed = true;
    if (!accepted) return;
    this->take_servers(item, *accepted, origin);
    if (accepted->complete) item.registry.clear();
    for (const stored_object& object : accepted->objects) {
        const auto known = item.registry.find(object.name);
        if (known != item.registry.end() && object.revision < known->second.revision) {
            item.regressed = true;
        }
        if (object.removed) {
            item.registry.erase(object.name);
        } else {
            item.registry[object.name] = object;
        }
    }
}

void store_fleet::take_servers(follower_vm& item, const registry_update& accepted,
                               const update_origin& origin) const
{
    if (accepted.complete) {
        item.servers_in_use.apply_list(accepted.objects, origin, this->fleet.now);
        return;
    }
    for (const stored_object& object : accepted.objects)
        item.servers_in_use.apply_change(object, origin, this->fleet.now);
}

void store_fleet::tick(std::size_t vm)
{
    if (this->answered_at != this->fleet.now) {
        this->answered_at = this->fleet.now;
        this->answer_calls();
        this->take_peer_answers();
    }
    follower_vm& item = this->vms.at(vm);
    digest_vm& digests = this->fleet.vms.at(vm);
    const instant now = this->fleet.now;
    const std::uint64_t revision = item.feed.revision();
    const std::uint64_t version = item.version;
    item.outage.update(item.servers.watch.failing_call(), item.servers.watch.answered_at(),
                       digests.rounds.fleet().store(), digests.rounds.fleet().is_isolated(now));
    digests.store = {item.outage.recovered_at(), item.servers.watch.confirmed_at()};
    digests.store_answers = item.servers.watch.reachable();
    const bool read = std::exchange(digests.reads_store, this->check_path(vm) && !digests.leaving);
    if (!read && digests.reads_store) digests.rounds.send_early();
    const std::optional<read_mode> mode = digests.watch_role.mode();
    item.config.update(digests.store_answers ? mode : std::nullopt, item.version > 0,
                       item.newest_reported > item.version, now);
    item.servers.update(mode, item.listed,
                        digests.rounds.fleet().servers_revision() > item.feed.revision(), now);
    item.evacuations.update(digests.store_answers ? mode : std::nullopt, item.evacuated.known(),
                            false, now);
    for (const object_kind kind :
         {object_kind::configuration, object_kind::servers, object_kind::evacuations}) {
        store_follow& follow = this->follow_of(vm, kind);
        this->ask_store(vm, follow);
        if (follow.fetching.due(now)) this->request_from_peer(vm, kind);
    }
    store_status known = digests.rounds.fleet().store();
    known.merge(digests.store);
    item.servers_in_use.sweep(now, known.recovered_at);
    item.table.sweep(now);
    if (item.feed.revision() != revision || item.version != version) digests.rounds.send_early();
}

/** Whether the store answers linearizable watches of a VM and its path to the store works. */
bool store_fleet::check_path(std::size_t vm)
{
    follower_vm& item = this->vms.at(vm);
    const instant now = this->fleet.now;
    const bool needed =
        item.servers.watch.reads_linearizably() && item.config.watch.reads_linearizably();
    if (item.path_checked_at) {
        const duration waited = now - *item.path_checked_at;
        const bool lost = this->store.silent || this->store.cut_off.contains(vm);
        if (waited >= (lost ? store_path_check::timeout : store_delay)) {
            item.path_checked_at.reset();
            item.path_check.end(!lost && !this->store.refused.contains(vm));
        }
    }
    if (item.path_check.begin(needed, now)) {
        item.path_checked_at = now;
        item.call_cost += stale_price;
        ++item.calls;
    }
    return needed && item.path_check.passed();
}

void store_fleet::ask_store(std::size_t vm, store_follow& follow)
{
    const instant now = this->fleet.now;
    const std::optional<store_read> read = follow.watch.next(now);
    if (!read) return;
    follower_vm& item = this->vms.at(vm);
    ++item.calls;
    item.call_cost += read->mode == read_mode::stale ? stale_price : 1;
    const object_kind kind = follow.watch.kind();
    this->waiting.push_back({vm, kind, *read, now});
    const duration limit = read->limit.idle > duration::zero()
                               ? std::min(read->limit.idle, read->limit.total)
                               : read->limit.total;
    this->pending.push_back({vm, kind, read->number, now + limit});
}

void store_fleet::answer_calls()
{
    const instant now = this->fleet.now;
    std::vector<std::pair<model_store::waiting_call, model_store::answer>> done;
    std::erase_if(this->waiting, [&](const model_store::waiting_call& call) {
        if (this->fleet.suspended.contains(call.vm)) return false;
        model_store::answer answer = this->store.answer_to(call, now);
        if (answer.result == model_store::verdict::none) return false;
        done.emplace_back(call, std::move(answer));
        return true;
    });
    for (auto& [call, answer] : done) {
        store_watch& watch = this->follow_of(call.vm, call.kind).watch;
        if (answer.result == model_store::verdict::page) {
            watch.handle_page(call.read.number, std::move(answer.page), now);
        } else if (answer.result == model_store::verdict::gone) {
            watch.handle_history_gone(call.read.number, now);
        } else {
            watch.handle_failure(call.read.number, "refused", now);
        }
    }
    std::erase_if(this->pending, [&](const own_call& call) {
        if (now < call.fails_at || this->fleet.suspended.contains(call.vm)) return false;
        this->follow_of(call.vm, call.kind).watch.handle_failure(call.number, "late", now);
        return true;
    });
}

void store_fleet::request_from_peer(std::size_t vm, object_kind kind)
{
    follower_vm& item = this->vms.at(vm);
    const fleet_table& known = this->fleet.vms.at(vm).rounds.fleet();
    const instant now = this->fleet.now;
    const bool config = kind == object_kind::configuration;
    const fleet_vm* peer =
        choose_newest(known, now, this->random, config ? item.version : item.feed.revision(),
                      [config](const fleet_vm& other) {
                          return config ? other.last.config_version : other.last.servers_revision;
                      });
    if (peer == nullptr) return;
    this->follow_of(vm, kind).fetching.begin();
    const auto peer_vm = this->vms.find(digest_fleet::vm_at(peer->address));
    const bool is_running = this->fleet.vms.contains(digest_fleet::vm_at(peer->address));
    peer_answer answer{
        vm, kind, now, now + (is_running ? peer_delay : peer_fetch_schedule::call_timeout), {}, 0};
    if (is_running && config) answer.version = peer_vm->second.version;
    if (is_running && !config) {
        answer.update = peer_vm->second.feed.since(item.feed.revision());
        answer.update->retained = peer_vm->second.servers_in_use.retained_servers(now);
    }
    this->answers.push_back(answer);
}

void store_fleet::take_peer_answers()
{
    const instant now = this->fleet.now;
    std::erase_if(this->answers, [&](const peer_answer& answer) {
        if (answer.at > now) return false;
        follower_vm& item = this->vms.at(answer.vm);
        this->follow_of(answer.vm, answer.kind).fetching.end(now);
        take_version(item, answer.version);
        if (answer.update) {
            const update_origin origin =
                origin_of(*answer.update, item.feed.revision(), answer.requested_at);
            this->apply(item, *answer.update, origin);
            item.servers.watch.advance(answer.update->revision);
        }
        return true;
    });
}

bool store_fleet::all_know(const std::set<std::size_t>& without) const
{
    const auto truth = this->store.objects(object_kind::servers, this->store.newest());
    const auto config = this->store.objects(object_kind::configuration, this->store.newest());
    const std::uint64_t version = config.empty() ? 0 : std::stoull(config.begin()->second.document);
    return std::ranges::all_of(this->fleet.vms, [&](const auto& entry) {
        if (without.contains(entry.first)) return true;
        const follower_vm& item = this->vms.at(entry.first);
        return item.version == version &&
               std::ranges::equal(item.registry, truth, [](const auto& left, const auto& right) {
                   return left.first == right.first &&
                          left.second.revision == right.second.revision;
               });
    });
}

duration store_fleet::run_until_known(duration limit)
{
    return this->fleet.run_until([this] { return this->all_know(); }, limit);
}

bool store_fleet::any_regressed() const
{
    return std::ranges::any_of(this->vms, [](const auto& entry) { return entry.second.regressed; });
}

double store_fleet::call_cost() const
{
    double sum = 0;
    for (const auto& [vm, item] : this->vms)
        sum += item.call_cost;
    return sum;
}

} // namespace support
