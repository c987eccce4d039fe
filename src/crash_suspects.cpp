#include "crash_suspects.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "log.h"

namespace worksshift {

namespace {

/** A broken attempt is not counted if its server could not be checked within this time. */
constexpr duration check_timeout = seconds(5);
/** Number of crashes from which on a content is reported to all VMs without delay. */
constexpr std::size_t crashes_until_urgent = 2;

content_key key_of(const crash_report& report)
{
    return content_key{report.content};
}

std::uint16_t to_age(duration span)
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(span / blocked_age_unit, 0, max_age));
}

duration pause_before_trial(content_key content, std::uint8_t trials)
{
    constexpr unsigned max_doublings = 8;
    const auto factor = 1U << std::min<unsigned>(trials, max_doublings);
    return is_part(content)
               ? std::min<duration>(initial_part_trial_delay * factor, max_part_trial_delay)
               : std::min<duration>(initial_trial_delay * factor, max_trial_delay);
}

/** What a key stands for, in log lines. */
std::string_view kind_of(content_key content)
{
    return is_part(content) ? "part" : "content";
}

} // namespace

void crash_suspects::on_attempt_broken(content_key content, server_incarnation server, instant now)
{
    if (this->unchecked_attempts.size() < max_pending_reports) {
        this->unchecked_attempts.push_back({content, server, now});
    }
}

void crash_suspects::on_checked(server_incarnation server, bool exited, instant now)
{
    std::vector<crash_report> reports;
    for (const broken_attempt& attempt : this->unchecked_attempts) {
        if (attempt.server != server) continue;
        reports.push_back(
            {static_cast<std::uint64_t>(attempt.content), static_cast<std::uint32_t>(server)});
    }
    std::erase_if(this->unchecked_attempts,
                  [server](const broken_attempt& attempt) { return attempt.server == server; });
    if (!exited) return;
    bool added = false;
    for (const crash_report& report : reports) {
        if (!this->add_report(report, now)) continue;
        added = true;
        this->enqueue(this->for_local_vms, report);
        this->enqueue(this->for_remote_vms, report);
    }
    if (added) this->block_suspects(now);
}

bool crash_suspects::suspicious(content_key content, instant now) const
{
    return !this->answered_recently(content, now) &&
           this->crashes_with_unchecked(content) >= crashes_until_urgent;
}

void crash_suspects::on_refused(content_key content, instant now)
{
    const auto found = this->suspects.find(content);
    if (found != this->suspects.end()) found->second.refused_at = now;
}

void crash_suspects::remember_answer(content_key part, instant now)
{
    if (this->answered_parts.size() >= max_answered_parts) {
        std::erase_if(this->answered_parts, [now](const auto& entry) {
            return now - entry.second > answered_part_lifetime;
        });
    }
    if (this->answered_parts.size() >= max_answered_parts) this->answered_parts.clear();
    this->answered_parts[part] = now;
}

/** Whether a server recently began to respond to a request of this VM with the part. */
bool crash_suspects::answered_recently(content_key part, instant now) const
{
    const auto found = this->answered_parts.find(part);
    return found != this->answered_parts.end() && now - found->second <= answered_part_lifetime;
}

void crash_suspects::on_answered(content_key content, instant now)
{
    if (is_part(content)) this->remember_answer(content, now);
    const auto found = this->suspects.find(content);
    if (found == this->suspects.end()) return;
    suspect& state = found->second;
    if (state.is_blocked) {
        log_event(log_level::info, "request_cleared",
                  {{"content", to_text(content)},
                   {"kind", kind_of(content)},
                   {"ends", state.crashes.size()},
                   {"cause", "a server responded"}});
        this->urgent = true;
    }
    // Other VMs need to know only if they have blocked it or may be about to.
    if (state.is_blocked || state.crashes.size() >= crashes_until_urgent) state.cleared = true;
    this->clear(state, now);
}

void crash_suspects::clear(suspect& found, instant now)
{
    found.is_blocked = false;
    found.trials = 0;
    found.changed = now;
    found.answered_crashes.merge(found.crashes);
    found.crashes.clear();
    while (found.answered_crashes.size() > max_answered_crashes)
        found.answered_crashes.erase(found.answered_crashes.begin());
}

/** Number of crashes with the content in flight, including attempts whose servers have not been
 * checked yet: the VM that made them stops sending without waiting for the check. */
std::size_t crash_suspects::crashes_with_unchecked(content_key content) const
{
    std::set<server_incarnation> crashes;
    const auto found = this->suspects.find(content);
    if (found != this->suspects.end()) crashes = found->second.crashes;
    for (const broken_attempt& attempt : this->unchecked_attempts) {
        if (attempt.content == content) crashes.insert(attempt.server);
    }
    return crashes.size();
}

std::optional<block_state> crash_suspects::blocked(content_key content, instant now) const
{
    if (this->suspects.empty() && this->unchecked_attempts.empty()) return std::nullopt;
    const auto found = this->suspects.find(content);
    if (found == this->suspects.end() || !found->second.is_blocked) {
        const bool enough =
            !is_part(content) && this->crashes_with_unchecked(content) >= crashes_until_blocked;
        return enough ? std::optional(block_state{}) : std::nullopt;
    }
    const duration pause = pause_before_trial(content, found->second.trials);
    const duration left = found->second.changed + pause - now;
    if (left > duration::zero()) return block_state{left, false};
    // If this VM does not make the trials, its caller waits further: the VM that does may get no
    // request with this content for a while.
    return block_state{pause / 2, true};
}

/** Whether \p parts include all blocked parts that explain the crashes of \p part as well. True if
 * no crashes are known here, as another VM reported the block. */
bool crash_suspects::includes_ties(content_key part, std::span<const content_key> parts) const
{
    const std::set<server_incarnation>& crashes = this->suspects.at(part).crashes;
    if (crashes.empty()) return true;
    return std::ranges::all_of(this->suspects, [&](const auto& entry) {
        const auto& [other, state] = entry;
        const bool tied =
            state.is_blocked && is_part(other) && std::ranges::includes(state.crashes, crashes);
        return !tied || std::ranges::find(parts, other) != parts.end();
    });
}

std::optional<std::pair<content_key, block_state>>
crash_suspects::blocked_part(std::span<const content_key> parts, instant now) const
{
    for (const content_key part : parts) {
        const std::optional<block_state> found = this->blocked(part, now);
        if (found && this->includes_ties(part, parts)) return std::pair(part, *found);
    }
    return std::nullopt;
}

/** Clears the blocked parts whose crashes all belong to another one with further crashes. Waits
 * until the reports of these have arrived for all parts. */
void crash_suspects::clear_explained_parts(instant now)
{
    const auto is_settled = [now](const auto& entry) {
        const auto& [content, state] = entry;
        return state.is_blocked && is_part(content) &&
               now - state.changed >= part_confirmation_time;
    };
    for (auto& entry : this->suspects) {
        auto& [content, state] = entry;
        if (!is_settled(entry) || state.crashes.empty()) continue;
        const bool explained = std::ranges::any_of(this->suspects, [&](const auto& other) {
            const std::set<server_incarnation>& crashes = other.second.crashes;
            return is_settled(other) && crashes.size() > state.crashes.size() &&
                   std::ranges::includes(crashes, state.crashes);
        });
        if (!explained) continue;
        log_event(log_level::info, "request_cleared",
                  {{"content", to_text(content)},
                   {"kind", kind_of(content)},
                   {"ends", state.crashes.size()},
                   {"cause", "another part explains them"}});
        state.cleared = true;
        this->urgent = true;
        this->clear(state, now);
    }
}

void crash_suspects::begin_trial(content_key content, instant now)
{
    suspect& state = this->suspects[content];
    state.changed = now;
    if (state.trials < std::numeric_limits<std::uint8_t>::max()) ++state.trials;
    this->urgent = true;
    log_event(log_level::info, "request_tried",
              {{"content", to_text(content)},
               {"ends", state.crashes.size()},
               {"trial", int{state.trials}}});
}

bool crash_suspects::add_report(const crash_report& report, instant now)
{
    const server_incarnation server{report.server};
    // A crash may be explained by several blocked parts.
    const auto known = this->suspects.find(key_of(report));
    const bool is_blocked = known != this->suspects.end() && known->second.is_blocked;
    if (!is_blocked &&
        std::ranges::find(this->explained_crashes, server) != this->explained_crashes.end())
        return false;
    if (!this->suspects.contains(key_of(report))) this->evict_oldest();
    suspect& found = this->suspects[key_of(report)];
    if (found.answered_crashes.contains(server) || !found.crashes.insert(server).second)
        return false;
    found.changed = now;
    if (found.crashes.size() == crashes_until_blocked) found.suspected_at = now;
    if (found.is_blocked) this->mark_explained({server});
    if (found.crashes.size() >= crashes_until_urgent) this->urgent = true;
    return true;
}

/** Attributes these crashes to a blocked content, so that they no longer count against others. */
void crash_suspects::mark_explained(const std::set<server_incarnation>& crashes)
{
    for (auto& [content, state] : this->suspects) {
        if (state.is_blocked) continue;
        std::erase_if(state.crashes,
                      [&crashes](server_incarnation each) { return crashes.contains(each); });
    }
    this->explained_crashes.insert(this->explained_crashes.end(), crashes.begin(), crashes.end());
    if (this->explained_crashes.size() <= max_explained_crashes) return;
    const auto surplus = this->explained_crashes.size() - max_explained_crashes;
    this->explained_crashes.erase(this->explained_crashes.begin(),
                                  this->explained_crashes.begin() +
                                      static_cast<std::ptrdiff_t>(surplus));
}

/** Whether the suspect may be blocked once there are enough crashes. */
bool crash_suspects::is_candidate(content_key content, const suspect& found, instant now) const
{
    return !found.is_blocked && !this->answered_recently(content, now);
}

/** Whether responses to requests with the part would have been reported by now. */
bool crash_suspects::is_confirmed(content_key content, const suspect& found, instant now)
{
    return !is_part(content) || now - found.suspected_at >= part_confirmation_time;
}

/** Blocks the contents with the most crashes, which explains these crashes. Repeats with the
 * crashes that remain until no content reaches `crashes_until_blocked`. Waits while a part that may
 * explain the most crashes is not confirmed yet. */
void crash_suspects::block_suspects(instant now)
{
    for (;;) {
        std::size_t max_crashes = 0;
        for (const auto& [content, state] : this->suspects) {
            if (this->is_candidate(content, state, now))
                max_crashes = std::max(max_crashes, state.crashes.size());
        }
        if (max_crashes < crashes_until_blocked) return;
        const auto has_most = [&](const auto& entry) {
            const auto& [content, state] = entry;
            return state.crashes.size() == max_crashes && this->is_candidate(content, state, now);
        };
        const bool all_confirmed = std::ranges::all_of(this->suspects, [&](const auto& entry) {
            return !has_most(entry) || is_confirmed(entry.first, entry.second, now);
        });
        if (!all_confirmed) return;
        std::set<server_incarnation> crashes;
        for (auto& entry : this->suspects) {
            if (!has_most(entry)) continue;
            this->block_content(entry.first, entry.second, now);
            crashes.insert(entry.second.crashes.begin(), entry.second.crashes.end());
        }
        this->mark_explained(crashes);
    }
}

void crash_suspects::block_content(content_key content, suspect& found, instant now)
{
    found.is_blocked = true;
    found.cleared = false;
    found.changed = now;
    this->urgent = true;
    this->newly_blocked = true;
    log_event(log_level::warn, "request_blocked",
              {{"content", to_text(content)},
               {"kind", kind_of(content)},
               {"ends", found.crashes.size()},
               {"source", "here"}});
}

void crash_suspects::evict_oldest()
{
    if (this->suspects.size() < max_suspects) return;
    const auto oldest = std::ranges::min_element(this->suspects, {}, [](const auto& entry) {
        return std::pair(entry.second.is_blocked, entry.second.changed);
    });
    this->suspects.erase(oldest);
}

bool crash_suspects::apply_blocked(const blocked_content& received, instant now)
{
    const content_key content{received.content};
    const instant since = now - received.age * blocked_age_unit;
    const bool known = this->suspects.contains(content);
    if (!known && received.cleared) return false;
    if (!known) this->evict_oldest();
    suspect& found = this->suspects[content];
    if (!received.cleared && !found.is_blocked && is_part(content) &&
        this->answered_recently(content, now))
        return this->object_to_block(content, found, now);
    const bool same_state = received.cleared ? found.cleared : found.is_blocked;
    if ((same_state && found.trials == received.trials) || since <= found.changed) return false;
    const bool was_blocked = found.is_blocked;
    if (received.cleared) {
        found.cleared = true;
        this->clear(found, now);
    } else {
        found.is_blocked = true;
        found.cleared = false;
        found.trials = received.trials;
    }
    found.changed = since;
    if (found.is_blocked == was_blocked) return true;
    if (found.is_blocked) this->newly_blocked = true;
    log_event(log_level::info, received.cleared ? "request_cleared" : "request_blocked",
              {{"content", to_text(content)},
               {"kind", kind_of(content)},
               {"ends", found.crashes.size()},
               {"trials", int{received.trials}},
               {"age_ms", (now - since) / milliseconds(1)},
               {"source", "another VM"}});
    return true;
}

/** Another VM blocked a part with which a server began to respond to this VM. Tells the others.
 * Returns whether that is new. */
bool crash_suspects::object_to_block(content_key part, suspect& found, instant now)
{
    this->clear(found, now);
    if (std::exchange(found.cleared, true)) return false;
    log_event(log_level::info, "request_cleared",
              {{"content", to_text(part)},
               {"kind", kind_of(part)},
               {"cause", "a server responded before another VM blocked it"}});
    return true;
}

bool crash_suspects::handle_digest(const fleet_digest& received, bool local, instant now)
{
    bool added = false;
    for (const crash_report& report : received.crash_reports) {
        if (!this->add_report(report, now)) continue;
        added = true;
        this->enqueue(local ? this->for_remote_vms : this->for_local_vms, report);
    }
    if (added) this->block_suspects(now);
    for (const blocked_content& entry : received.blocked) {
        if (this->apply_blocked(entry, now)) this->urgent = true;
    }
    return this->urgent;
}

void crash_suspects::enqueue(std::vector<pending_report>& to, const crash_report& report)
{
    if (to.size() < max_pending_reports) to.push_back({report, report_repeats});
}

std::size_t crash_suspects::crashes_of(content_key content) const
{
    const auto found = this->suspects.find(content);
    return found == this->suspects.end() ? 0 : found->second.crashes.size();
}

/** Reports of contents with the most crashes come first, then those sent least often. */
std::vector<crash_report> crash_suspects::next_reports(std::vector<pending_report>& from) const
{
    std::ranges::stable_sort(from, std::greater{}, [this](const pending_report& pending) {
        return std::pair(this->crashes_of(key_of(pending.report)), pending.remaining_sends);
    });
    const std::size_t count = std::min(from.size(), max_crash_reports);
    std::vector<crash_report> reports(count);
    for (std::size_t at = 0; at < count; ++at) {
        --from[at].remaining_sends;
        reports[at] = from[at].report;
    }
    std::erase_if(from, [](const pending_report& pending) { return pending.remaining_sends == 0; });
    return reports;
}

void crash_suspects::fill_digest(fleet_digest& digest, instant now)
{
    digest.crash_reports = next_reports(this->for_local_vms);
    for (const auto& [content, state] : this->suspects) {
        if (!state.is_blocked && !state.cleared) continue;
        digest.blocked.push_back({static_cast<std::uint64_t>(content), state.trials, state.cleared,
                                  to_age(now - state.changed)});
    }
    // A blocked part stands for any number of requests.
    std::ranges::sort(digest.blocked, {}, [](const blocked_content& entry) {
        return std::pair(entry.cleared || !is_part(content_key{entry.content}), entry.age);
    });
    digest.blocked.resize(std::min(digest.blocked.size(), max_blocked_contents));
}

std::vector<crash_report> crash_suspects::reports_to_remote_vms()
{
    return next_reports(this->for_remote_vms);
}

void crash_suspects::expire(instant now)
{
    std::erase_if(this->unchecked_attempts, [now](const broken_attempt& attempt) {
        return now - attempt.broken_at > check_timeout;
    });
    std::erase_if(this->suspects, [now](const auto& entry) {
        return now - std::max(entry.second.changed, entry.second.refused_at) > suspect_retention;
    });
    const bool may_block = std::ranges::any_of(this->suspects, [this, now](const auto& entry) {
        const auto& [content, state] = entry;
        return state.crashes.size() >= crashes_until_blocked &&
               this->is_candidate(content, state, now) && is_confirmed(content, state, now);
    });
    if (may_block) this->block_suspects(now);
    this->clear_explained_parts(now);
}

std::size_t crash_suspects::blocked_contents() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->suspects, [](const auto& entry) { return entry.second.is_blocked; }));
}

} // namespace worksshift
