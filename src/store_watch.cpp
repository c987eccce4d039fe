#include "store_watch.h"

#include <algorithm>
#include <map>

#include "log.h"

namespace worksshift {

namespace {

/** Each object once, in its newest state. */
std::vector<stored_object> newest_of(const std::vector<stored_object>& changes)
{
    std::map<std::string_view, const stored_object*> newest;
    for (const stored_object& item : changes)
        newest[item.name] = &item;
    std::vector<stored_object> objects(newest.size());
    std::ranges::transform(newest, objects.begin(),
                           [](const auto& entry) { return *entry.second; });
    return objects;
}

} // namespace

store_watch::store_watch(object_kind kind, unsigned seed) : followed(kind), random(seed) {}

const watch_pace& store_watch::pace() const
{
    return this->mode == read_mode::linearizable ? prompt_pace : standby_pace;
}

void store_watch::set_mode(std::optional<read_mode> wanted, instant now)
{
    if (this->mode == wanted) return;
    log_event(log_level::info, wanted ? "watch_started" : "watch_stopped",
              {{"kind", name_of(this->followed)},
               {"mode", wanted ? name_of(*wanted) : "none"},
               {"revision", this->revision}});
    const bool milder = this->mode == read_mode::linearizable && wanted == read_mode::stale;
    this->mode = wanted;
    // A call under way serves for a milder mode, and a list for any.
    if (milder || !this->listed) return;
    if (std::exchange(this->awaiting, false)) this->wait_until(now);
}

void store_watch::advance(std::uint64_t known)
{
    if (known <= this->revision) return;
    this->revision = known;
    this->changed = known;
    if (this->listed) return;
    this->listed = true;
    this->gathered.clear();
    this->awaiting = false;
}

std::optional<instant> store_watch::next_at() const
{
    if (this->awaiting || (this->listed && !this->mode)) return std::nullopt;
    return this->listed ? std::max(this->due_at, this->listed_at + this->pace().after_list)
                        : this->due_at;
}

std::optional<store_read> store_watch::next(instant now)
{
    const std::optional<instant> at = this->next_at();
    if (!at || now < *at) return std::nullopt;
    if (this->listed) {
        this->watch();
    } else {
        this->list(this->gathered.empty() ? std::string() : this->gathered.back().name);
    }
    this->call.number = ++this->calls;
    this->awaiting = true;
    this->asked_at = now;
    return this->call;
}

void store_watch::list(const std::string& after)
{
    const bool fresh = this->fresh_list || this->mode == read_mode::linearizable;
    this->call.mode = fresh ? read_mode::linearizable : read_mode::stale;
    this->call.what = list_read{after};
    this->call.limit = {list_timeout, list_silence};
}

void store_watch::watch()
{
    // Between three quarters and the whole, so that the VMs' calls do not end all at once.
    const double part = 0.75 + 0.25 * std::uniform_real_distribution<>()(this->random);
    const auto wait = this->answering
                          ? std::chrono::duration_cast<milliseconds>(this->pace().wait * part)
                          : probe_wait;
    this->call.mode = this->mode.value_or(read_mode::stale);
    this->call.what = watch_read{this->revision, wait};
    this->call.limit = {this->answering ? wait + wait_grace : probe_timeout};
}

/** Whether the answer is to the newest call. */
bool store_watch::answers(std::uint64_t number)
{
    return number == this->calls && std::exchange(this->awaiting, false);
}

void store_watch::take_page(std::uint64_t number, object_page page, instant now)
{
    if (!this->answers(number)) return;
    if (this->call.mode == read_mode::linearizable) this->confirmed = now;
    this->note_answer(now);
    if (std::holds_alternative<list_read>(this->call.what)) {
        this->take_list(std::move(page), now);
    } else {
        this->take_changes(page, now);
    }
}

void store_watch::take_list(object_page page, instant now)
{
    const bool first = this->gathered.empty();
    this->list_from = first ? page.revision : std::min(this->list_from, page.revision);
    if (page.truncated && this->changed == 0) this->on_first_part.emit(page.objects);
    const bool more = page.truncated && !page.objects.empty();
    std::ranges::move(page.objects, std::back_inserter(this->gathered));
    this->wait_until(now);
    if (more) return;
    const std::vector<stored_object> all = std::exchange(this->gathered, {});
    if (this->list_from < this->revision) {
        // More is known than the list holds.
        this->fresh_list = true;
        this->wait_until(now + this->pace().first_pause);
        return;
    }
    // What changed while the pages came is behind the oldest of them.
    this->revision = this->list_from;
    this->changed = this->list_from;
    this->listed = true;
    this->fresh_list = false;
    this->listed_at = now;
    this->on_list.emit(all);
}

void store_watch::take_changes(const object_page& page, instant now)
{
    const bool early = now - this->asked_at < std::get<watch_read>(this->call.what).wait / 2;
    this->wait_until(early ? now + this->pace().gather : now);
    // A state that is seconds old holds nothing new.
    if (page.revision <= this->revision) return;
    this->revision = page.revision;
    if (page.objects.empty()) return;
    this->changed = page.revision;
    this->wait_until(now + this->pace().gather);
    this->on_changes.emit(newest_of(page.objects));
}

void store_watch::take_history_gone(std::uint64_t number, instant now)
{
    if (!this->answers(number)) return;
    log_event(log_level::info, "store_history_gone",
              {{"kind", name_of(this->followed)}, {"revision", this->revision}});
    this->note_answer(now);
    this->listed = false;
    this->fresh_list = true;
    this->wait_until(now);
}

void store_watch::note_answer(instant now)
{
    this->pause = {};
    this->answered = now;
    if (std::exchange(this->answering, true)) return;
    const duration lost = this->failing ? now - this->failing->failed_at : duration::zero();
    log_event(log_level::info, "store_regained",
              {{"kind", name_of(this->followed)},
               {"first", this->failing ? 0 : 1},
               {"lost_ms", lost / milliseconds(1)}});
    this->failing.reset();
}

void store_watch::take_failure(std::uint64_t number, std::string_view reason, instant now)
{
    if (!this->answers(number)) return;
    if (!this->failing) this->failing = failed_call{this->asked_at, now};
    if (std::exchange(this->answering, false)) {
        log_event(log_level::warn, "store_lost",
                  {{"kind", name_of(this->followed)},
                   {"mode", name_of(this->call.mode)},
                   {"reason", reason}});
    }
    // Pages that came before may be older than those that come after the pause.
    this->gathered.clear();
    const watch_pace& allowed = this->pace();
    this->pause = std::clamp(this->pause * 2, allowed.first_pause, allowed.longest_pause);
    // Between half of the pause and the whole.
    const double part = 0.5 + 0.5 * std::uniform_real_distribution<>()(this->random);
    this->wait_until(now + std::chrono::duration_cast<duration>(this->pause * part));
}

} // namespace worksshift
