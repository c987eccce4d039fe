#include "store_watch.h"

#include <algorithm>
#include <map>

#include "log.h"

namespace worksshift {

namespace {

/** Returns each changed object once, in its newest state. */
std::vector<stored_object> newest_of(const std::vector<stored_object>& changes)
{
    std::map<std::string_view, const stored_object*> newest;
    for (const stored_object& object : changes)
        newest[object.name] = &object;
    std::vector<stored_object> objects(newest.size());
    std::ranges::transform(newest, objects.begin(),
                           [](const auto& entry) { return *entry.second; });
    return objects;
}

} // namespace

store_watch::store_watch(object_kind kind, unsigned seed) : watched_kind(kind), random(seed) {}

const watch_timing& store_watch::timing() const
{
    return this->mode == read_mode::linearizable ? linearizable_timing : stale_timing;
}

void store_watch::set_mode(std::optional<read_mode> new_mode, instant now)
{
    if (this->mode == new_mode) return;
    log_event(log_level::info, new_mode ? "watch_started" : "watch_stopped",
              {{"kind", name_of(this->watched_kind)},
               {"mode", new_mode ? name_of(*new_mode) : "none"},
               {"revision", this->revision}});
    const bool relaxed = this->mode == read_mode::linearizable && new_mode == read_mode::stale;
    this->mode = new_mode;
    this->mode_set_at = now;
    // A pending linearizable call also serves a stale watch, and a pending list serves any mode.
    if (relaxed || !this->listed) return;
    const bool pending = std::exchange(this->awaiting, false);
    // The pause between stale watches, which ends later, does not delay a linearizable one.
    const bool pauses = this->responding && new_mode == read_mode::linearizable;
    if (pending || pauses) this->wait_until(now);
}

void store_watch::advance(std::uint64_t revision_received)
{
    if (revision_received <= this->revision) return;
    this->revision = revision_received;
    this->changed = revision_received;
    if (this->listed) return;
    this->listed = true;
    this->listed_objects.clear();
    this->awaiting = false;
}

std::optional<instant> store_watch::next_at() const
{
    if (this->awaiting || (this->listed && !this->mode)) return std::nullopt;
    return this->listed ? std::max(this->due_at, this->listed_at + this->timing().first_watch_delay)
                        : this->due_at;
}

std::optional<store_read> store_watch::next(instant now)
{
    const std::optional<instant> at = this->next_at();
    if (!at || now < *at) return std::nullopt;
    if (this->listed) {
        this->prepare_watch();
    } else {
        this->prepare_list(this->listed_objects.empty() ? std::string()
                                                        : this->listed_objects.back().name);
    }
    this->call.number = ++this->calls;
    this->awaiting = true;
    this->requested_at = now;
    return this->call;
}

void store_watch::prepare_list(const std::string& after)
{
    const bool linearizable = this->list_linearizably || this->mode == read_mode::linearizable;
    this->call.mode = linearizable ? read_mode::linearizable : read_mode::stale;
    this->call.operation = list_read{after};
    this->call.limit = {list_timeout, list_idle_timeout};
}

void store_watch::prepare_watch()
{
    // Jitter: 75% to 100% of the wait, so that the VMs' calls do not all end at once.
    const double jitter = 0.75 + 0.25 * std::uniform_real_distribution<>()(this->random);
    const bool probes = !this->responding || this->awaits_confirmation();
    const auto wait = probes
                          ? probe_wait
                          : std::chrono::duration_cast<milliseconds>(this->timing().wait * jitter);
    this->call.mode = this->mode.value_or(read_mode::stale);
    this->call.operation = watch_read{this->revision, wait};
    this->call.limit = {probes ? probe_timeout : wait + wait_grace};
}

/** Whether the response belongs to the newest call, which is then no longer pending. */
bool store_watch::accept_response(std::uint64_t number)
{
    return number == this->calls && std::exchange(this->awaiting, false);
}

void store_watch::handle_page(std::uint64_t number, object_page page, instant now)
{
    if (!this->accept_response(number)) return;
    if (this->call.mode == read_mode::linearizable) this->confirmed = now;
    this->record_response(now);
    if (std::holds_alternative<list_read>(this->call.operation)) {
        this->apply_list(std::move(page), now);
    } else {
        this->apply_changes(page, now);
    }
}

void store_watch::apply_list(object_page page, instant now)
{
    const bool first = this->listed_objects.empty();
    this->list_revision = first ? page.revision : std::min(this->list_revision, page.revision);
    if (page.truncated && this->changed == 0) this->on_partial_list.emit(page.objects);
    const bool more_pages = page.truncated && !page.objects.empty();
    std::ranges::move(page.objects, std::back_inserter(this->listed_objects));
    this->wait_until(now);
    if (more_pages) return;
    const std::vector<stored_object> all = std::exchange(this->listed_objects, {});
    if (this->list_revision < this->revision) {
        // The list is older than the state that is already known.
        this->list_linearizably = true;
        this->wait_until(now + this->timing().initial_pause);
        return;
    }
    // Changes made while the pages were read are after the oldest page's revision.
    this->revision = this->list_revision;
    this->changed = this->list_revision;
    this->listed = true;
    this->list_linearizably = false;
    this->listed_at = now;
    this->on_list.emit(all);
}

void store_watch::apply_changes(const object_page& page, instant now)
{
    const bool early =
        now - this->requested_at < std::get<watch_read>(this->call.operation).wait / 2;
    this->wait_until(early ? now + this->timing().batch_delay : now);
    // A response that is no newer than the known revision holds nothing new.
    if (page.revision <= this->revision) return;
    this->revision = page.revision;
    if (page.objects.empty()) return;
    this->changed = page.revision;
    this->wait_until(now + this->timing().batch_delay);
    this->on_changes.emit(newest_of(page.objects));
}

void store_watch::handle_history_gone(std::uint64_t number, instant now)
{
    if (!this->accept_response(number)) return;
    log_event(log_level::info, "store_history_gone",
              {{"kind", name_of(this->watched_kind)}, {"revision", this->revision}});
    this->record_response(now);
    this->listed = false;
    this->list_linearizably = true;
    this->wait_until(now);
}

void store_watch::record_response(instant now)
{
    this->retry_pause = {};
    this->answered = now;
    if (std::exchange(this->responding, true)) return;
    const duration unavailable = this->failing ? now - this->failing->failed_at : duration::zero();
    log_event(log_level::info, "store_regained",
              {{"kind", name_of(this->watched_kind)},
               {"first", this->failing ? 0 : 1},
               {"lost_ms", unavailable / milliseconds(1)}});
    this->failing.reset();
}

void store_watch::handle_failure(std::uint64_t number, std::string_view reason, instant now)
{
    if (!this->accept_response(number)) return;
    if (!this->failing) this->failing = failed_call{this->requested_at, now};
    if (std::exchange(this->responding, false)) {
        log_event(log_level::warn, "store_lost",
                  {{"kind", name_of(this->watched_kind)},
                   {"mode", name_of(this->call.mode)},
                   {"reason", reason}});
    }
    // Pages received before the failure may be older than those after the pause.
    this->listed_objects.clear();
    const watch_timing& limits = this->timing();
    this->retry_pause = std::clamp(this->retry_pause * 2, limits.initial_pause, limits.max_pause);
    // Jitter: 50% to 100% of the pause.
    const double jitter = 0.5 + 0.5 * std::uniform_real_distribution<>()(this->random);
    this->wait_until(now + std::chrono::duration_cast<duration>(this->retry_pause * jitter));
}

} // namespace worksshift
