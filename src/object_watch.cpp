#include "object_watch.h"

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr int ok = 200;
constexpr int gone = 410;

std::string_view name_of(object_kind kind)
{
    return kind == object_kind::configuration ? "configuration" : "servers";
}

} // namespace

object_watch::object_watch(event_base* base, http_caller& caller, const link_address& store,
                           const protocol& dialect, object_kind kind)
    : caller(caller), store(store), dialect(dialect), kind(kind),
      next(base, [this] { this->go_on(); })
{
}

void object_watch::go_on()
{
    if (this->listed) {
        this->watch();
    } else {
        this->list({});
    }
}

/** Makes a call; answers to earlier ones are passed over from now on. */
void object_watch::call(const std::string& path, const call_limit& limit,
                        void (object_watch::*take)(const http_response&))
{
    const std::uint64_t number = ++this->calls;
    this->caller.call(this->store, EVHTTP_REQ_GET, path, {}, {}, limit,
                      [this, number, take](const http_response& response) {
                          if (number == this->calls) (this->*take)(response);
                      });
}

void object_watch::list(const std::string& after)
{
    if (after.empty()) this->gathered.clear();
    this->call(this->dialect.list_path(this->kind, after), {list_timeout, list_silence},
               &object_watch::take_list);
}

void object_watch::watch()
{
    // Between three quarters and the whole, so that the VMs' calls do not end all at once.
    const double part = 0.75 + 0.25 * std::uniform_real_distribution<>()(this->random);
    const auto wait =
        this->answering ? std::chrono::duration_cast<milliseconds>(this->span * part) : probe_wait;
    const duration timeout = this->answering ? wait + wait_grace : probe_timeout;
    this->call(this->dialect.watch_path(this->kind, this->revision, wait), {timeout},
               &object_watch::take_changes);
}

void object_watch::set_active(bool value)
{
    if (this->active == value) return;
    this->active = value;
    log_event(log_level::info, value ? "watch_started" : "watch_stopped",
              {{"kind", name_of(this->kind)}, {"revision", this->revision}});
    ++this->calls;
    this->next.stop();
    if (value) this->next.start_once(duration::zero());
}

void object_watch::advance(std::uint64_t known)
{
    if (known <= this->revision) return;
    this->revision = known;
    this->changed = known;
    this->listed = true;
}

void object_watch::take_list(const http_response& response)
{
    std::optional<object_page> answer = this->decode(response, "list");
    if (!answer) return;
    this->note_answer();
    object_page& page = *answer;
    if (page.truncated && this->changed == 0) this->on_first_part.emit(page.objects);
    std::ranges::move(page.objects, std::back_inserter(this->gathered));
    if (page.truncated && !this->gathered.empty()) {
        this->list(this->gathered.back().name);
        return;
    }
    this->revision = page.revision;
    this->changed = page.revision;
    this->listed = true;
    const std::vector<stored_object> all = std::exchange(this->gathered, {});
    this->on_list.emit(all);
    this->next.start_once(after_list);
}

void object_watch::take_changes(const http_response& response)
{
    if (response.status == gone) {
        log_event(log_level::info, "store_history_gone",
                  {{"kind", name_of(this->kind)}, {"revision", this->revision}});
        this->listed = false;
        this->note_answer();
        this->next.start_once(duration::zero());
        return;
    }
    const std::optional<object_page> answer = this->decode(response, "watch");
    if (!answer) return;
    this->note_answer();
    const object_page& page = *answer;
    this->revision = std::max(this->revision, page.revision);
    if (!page.objects.empty()) this->changed = this->revision;
    for (const stored_object& item : page.objects)
        this->on_change.emit(item);
    this->next.start_once(page.objects.empty() ? duration::zero() : gather);
}

void object_watch::note_answer()
{
    this->pause = first_pause;
    if (this->answering) return;
    this->answering = true;
    this->regained = std::chrono::steady_clock::now();
    log_event(log_level::info, "store_regained", {{"kind", name_of(this->kind)}});
    this->on_reachable.emit(true);
}

/** The page that the answer holds; nothing when the call failed. */
std::optional<object_page> object_watch::decode(const http_response& response, const char* step)
{
    if (response.status != ok) {
        this->fail(response.status, step, {});
        return std::nullopt;
    }
    try {
        object_page page = this->dialect.decode_page(response.body);
        this->unreadable_total += page.unreadable;
        if (page.unreadable > 0) {
            log_event(log_level::warn, "entries_unreadable",
                      {{"kind", name_of(this->kind)},
                       {"step", step},
                       {"entries", page.unreadable},
                       {"total", this->unreadable_total}});
        }
        return page;
    } catch (const error& fault) {
        this->fail(response.status, step, fault.what());
        return std::nullopt;
    }
}

void object_watch::fail(int status, const char* step, std::string_view reason)
{
    if (this->answering) {
        this->answering = false;
        log_event(log_level::warn, "store_lost",
                  {{"kind", name_of(this->kind)},
                   {"step", step},
                   {"status", status},
                   {"reason", reason}});
        this->on_reachable.emit(false);
    }
    // Between half of the pause and the whole.
    const double part = 0.5 + 0.5 * std::uniform_real_distribution<>()(this->random);
    this->next.start_once(std::chrono::duration_cast<duration>(this->pause * part));
    this->pause = std::min(this->pause * 2, longest_pause);
}

} // namespace worksshift
