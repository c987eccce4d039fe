#include "crash_suspects.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "log.h"

namespace worksshift {

namespace {

/** An attempt whose server nobody could check by then is not counted. */
constexpr duration checked_within = seconds(5);
/** From so many ends on, all VMs should know of a content soon. */
constexpr std::size_t ends_until_urgent = 2;

content_key key_of(const crash_report& report)
{
    return content_key{report.content};
}

std::uint16_t to_age(duration span)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(span / blocked_age_unit, 0, most));
}

duration pause_before_trial(std::uint8_t trials)
{
    constexpr unsigned doublings_at_most = 8;
    const auto factor = 1U << std::min<unsigned>(trials, doublings_at_most);
    return std::min<duration>(first_trial_after * factor, longest_until_trial);
}

} // namespace

void crash_suspects::on_broken(content_key content, server_life server, instant now)
{
    if (this->unchecked.size() < reports_waiting_at_most) {
        this->unchecked.push_back({content, server, now});
    }
}

void crash_suspects::on_checked(server_life server, bool ended, instant now)
{
    std::vector<crash_report> reports;
    for (const broken_attempt& item : this->unchecked) {
        if (item.server != server) continue;
        reports.push_back(
            {static_cast<std::uint64_t>(item.content), static_cast<std::uint32_t>(server)});
    }
    std::erase_if(this->unchecked,
                  [server](const broken_attempt& item) { return item.server == server; });
    if (!ended) return;
    bool added = false;
    for (const crash_report& report : reports) {
        if (!this->add(report, now)) continue;
        added = true;
        this->queue(this->for_near, report);
        this->queue(this->for_distant, report);
    }
    if (added) this->judge(now);
}

void crash_suspects::on_answered(content_key content, instant now)
{
    const auto found = this->suspects.find(content);
    if (found == this->suspects.end()) return;
    suspect& item = found->second;
    if (item.is_blocked) {
        log_event(log_level::info, "request_cleared",
                  {{"content", to_text(content)}, {"ends", item.ends.size()}});
        this->urgent = true;
    }
    // Others need to know only where they may be about to block it.
    if (item.is_blocked || item.ends.size() >= ends_until_urgent) item.cleared = true;
    this->clear(item, now);
}

void crash_suspects::clear(suspect& found, instant now)
{
    found.is_blocked = false;
    found.trials = 0;
    found.changed = now;
    found.settled.merge(found.ends);
    found.ends.clear();
    while (found.settled.size() > settled_at_most)
        found.settled.erase(found.settled.begin());
}

/** Ends of servers under the content, those included that are not known for certain yet: the VM
 * that saw them need not wait before it stops. */
std::size_t crash_suspects::ends_with_unchecked(content_key content) const
{
    std::set<server_life> ends;
    const auto found = this->suspects.find(content);
    if (found != this->suspects.end()) ends = found->second.ends;
    for (const broken_attempt& item : this->unchecked) {
        if (item.content == content) ends.insert(item.server);
    }
    return ends.size();
}

std::optional<block> crash_suspects::blocked(content_key content, instant now) const
{
    if (this->suspects.empty() && this->unchecked.empty()) return std::nullopt;
    const auto found = this->suspects.find(content);
    if (found == this->suspects.end() || !found->second.is_blocked) {
        const bool enough = this->ends_with_unchecked(content) >= ends_until_blocked;
        return enough ? std::optional(block{}) : std::nullopt;
    }
    const duration pause = pause_before_trial(found->second.trials);
    const duration left = found->second.changed + pause - now;
    if (left > duration::zero()) return block{left, false};
    // Unless this VM makes the trial: the one that does may get no such request for a while.
    return block{pause / 2, true};
}

void crash_suspects::begin_trial(content_key content, instant now)
{
    suspect& item = this->suspects[content];
    item.changed = now;
    if (item.trials < std::numeric_limits<std::uint8_t>::max()) ++item.trials;
    this->urgent = true;
    log_event(
        log_level::info, "request_tried",
        {{"content", to_text(content)}, {"ends", item.ends.size()}, {"trial", int{item.trials}}});
}

bool crash_suspects::add(const crash_report& report, instant now)
{
    const server_life server{report.server};
    if (std::ranges::find(this->explained, server) != this->explained.end()) return false;
    if (!this->suspects.contains(key_of(report))) this->make_room();
    suspect& found = this->suspects[key_of(report)];
    if (found.settled.contains(server) || !found.ends.insert(server).second) return false;
    found.changed = now;
    if (found.is_blocked) this->explain({server});
    if (found.ends.size() >= ends_until_urgent) this->urgent = true;
    return true;
}

/** A blocked content was under way at these ends of servers, so they say nothing of others. */
void crash_suspects::explain(const std::set<server_life>& ends)
{
    for (auto& [content, item] : this->suspects) {
        if (item.is_blocked) continue;
        std::erase_if(item.ends, [&ends](server_life each) { return ends.contains(each); });
    }
    this->explained.insert(this->explained.end(), ends.begin(), ends.end());
    if (this->explained.size() <= explained_at_most) return;
    const auto surplus = this->explained.size() - explained_at_most;
    this->explained.erase(this->explained.begin(),
                          this->explained.begin() + static_cast<std::ptrdiff_t>(surplus));
}

/** Blocks the contents under which the most servers ended, which explains these ends; then looks
 * again at what is left of the others. */
void crash_suspects::judge(instant now)
{
    for (;;) {
        std::size_t most = 0;
        for (const auto& [content, item] : this->suspects) {
            if (!item.is_blocked) most = std::max(most, item.ends.size());
        }
        if (most < ends_until_blocked) return;
        std::set<server_life> ends;
        for (auto& [content, item] : this->suspects) {
            if (item.is_blocked || item.ends.size() != most) continue;
            this->convict(content, item, now);
            ends.insert(item.ends.begin(), item.ends.end());
        }
        this->explain(ends);
    }
}

void crash_suspects::convict(content_key content, suspect& found, instant now)
{
    found.is_blocked = true;
    found.cleared = false;
    found.changed = now;
    this->urgent = true;
    log_event(log_level::warn, "request_blocked",
              {{"content", to_text(content)}, {"ends", found.ends.size()}, {"source", "here"}});
}

void crash_suspects::make_room()
{
    if (this->suspects.size() < suspects_at_most) return;
    const auto oldest = std::ranges::min_element(this->suspects, {}, [](const auto& entry) {
        return std::pair(entry.second.is_blocked, entry.second.changed);
    });
    this->suspects.erase(oldest);
}

bool crash_suspects::take_blocked(const blocked_content& told, instant now)
{
    const content_key content{told.content};
    const instant since = now - told.age * blocked_age_unit;
    const bool known = this->suspects.contains(content);
    if (!known && told.cleared) return false;
    if (!known) this->make_room();
    suspect& found = this->suspects[content];
    const bool same = told.cleared ? found.cleared : found.is_blocked;
    if ((same && found.trials == told.trials) || since <= found.changed) return false;
    const bool was_blocked = found.is_blocked;
    if (told.cleared) {
        found.cleared = true;
        this->clear(found, now);
    } else {
        found.is_blocked = true;
        found.cleared = false;
        found.trials = told.trials;
    }
    found.changed = since;
    if (found.is_blocked == was_blocked) return true;
    log_event(log_level::info, told.cleared ? "request_cleared" : "request_blocked",
              {{"content", to_text(content)},
               {"ends", found.ends.size()},
               {"trials", int{told.trials}},
               {"age_ms", (now - since) / milliseconds(1)},
               {"source", "another VM"}});
    return true;
}

bool crash_suspects::take_digest(const fleet_digest& told, bool near, instant now)
{
    bool added = false;
    for (const crash_report& report : told.crash_reports) {
        if (!this->add(report, now)) continue;
        added = true;
        this->queue(near ? this->for_distant : this->for_near, report);
    }
    if (added) this->judge(now);
    for (const blocked_content& item : told.blocked) {
        if (this->take_blocked(item, now)) this->urgent = true;
    }
    return this->urgent;
}

void crash_suspects::queue(std::vector<told_report>& to, const crash_report& report)
{
    if (to.size() < reports_waiting_at_most) to.push_back({report, report_tellings});
}

std::size_t crash_suspects::ends_of(content_key content) const
{
    const auto found = this->suspects.find(content);
    return found == this->suspects.end() ? 0 : found->second.ends.size();
}

/** The most suspect come first, then those that were told least. */
std::vector<crash_report> crash_suspects::next_reports(std::vector<told_report>& from) const
{
    std::ranges::stable_sort(from, std::greater{}, [this](const told_report& item) {
        return std::pair(this->ends_of(key_of(item.report)), item.tellings);
    });
    const std::size_t count = std::min(from.size(), crash_reports_at_most);
    std::vector<crash_report> reports(count);
    for (std::size_t at = 0; at < count; ++at) {
        --from[at].tellings;
        reports[at] = from[at].report;
    }
    std::erase_if(from, [](const told_report& item) { return item.tellings == 0; });
    return reports;
}

void crash_suspects::describe(fleet_digest& digest, instant now)
{
    digest.crash_reports = next_reports(this->for_near);
    for (const auto& [content, item] : this->suspects) {
        if (!item.is_blocked && !item.cleared) continue;
        digest.blocked.push_back({static_cast<std::uint64_t>(content), item.trials, item.cleared,
                                  to_age(now - item.changed)});
    }
    std::ranges::sort(digest.blocked, {}, &blocked_content::age);
    digest.blocked.resize(std::min(digest.blocked.size(), blocked_contents_at_most));
}

std::vector<crash_report> crash_suspects::reports_to_distant()
{
    return next_reports(this->for_distant);
}

void crash_suspects::forget(instant now)
{
    std::erase_if(this->unchecked,
                  [now](const broken_attempt& item) { return now - item.at > checked_within; });
    std::erase_if(this->suspects, [now](const auto& entry) {
        return now - entry.second.changed > suspects_remembered_for;
    });
}

std::size_t crash_suspects::blocked_contents() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->suspects, [](const auto& entry) { return entry.second.is_blocked; }));
}

} // namespace worksshift
