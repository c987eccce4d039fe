#include "version_log.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "errors.h"
#include "json_reader.h"

namespace worksshift {

namespace {

constexpr const char* decode_step = "version log";
constexpr std::uint64_t format = 1;
constexpr std::uint64_t max_version = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_revision = std::numeric_limits<std::uint64_t>::max();
/** Upper limit of the times in a stored log, in milliseconds. */
constexpr auto max_age_ms = static_cast<std::uint64_t>(version_log::lifetime / milliseconds(1));

/** At most `version_log::lifetime`, beyond which a longer time makes no difference. */
std::uint64_t age_in_ms(instant since, instant now)
{
    const auto age = std::max((now - since) / milliseconds(1), duration::rep{0});
    return std::min(static_cast<std::uint64_t>(age), max_age_ms);
}

} // namespace

version_log version_log::since_first_use(std::uint64_t revision)
{
    version_log log;
    log.newest = revision;
    log.newest_entry = revision;
    log.began_at = revision;
    return log;
}

version_log version_log::since_revision(std::uint64_t revision)
{
    version_log log = since_first_use(revision);
    log.has_gap = true;
    return log;
}

void version_log::apply(std::span<const registry_change> changes, std::uint64_t up_to)
{
    this->newest = std::max(this->newest, up_to);
    for (const registry_change& change : changes) {
        if (!change.removed) this->newest_entry = std::max(this->newest_entry, change.revision);
        if (this->began_at && this->changed_entries.insert(change.name).second) {
            const bool existed = change.created_revision <= *this->began_at;
            const bool unchanged = change.removed && change.server;
            this->has_gap = this->has_gap || (existed && !unchanged);
        }
        if (change.server) this->known[*change.server].changed = true;
    }
}

void version_log::complete(const std::set<service_version>& listed, std::uint64_t listed_revision,
                           instant now)
{
    if (this->has_gap) this->known_since = now;
    this->has_gap = false;
    this->began_at.reset();
    this->changed_entries.clear();
    for (const service_version& server : listed)
        this->known.try_emplace(server);
    // An older list does not show that a version has no servers any more.
    const bool list_is_current = listed_revision >= this->newest_entry;
    for (auto& [server, seen] : this->known)
        seen.update(listed.contains(server), list_is_current, now);
    std::erase_if(this->known,
                  [now](const auto& entry) { return now - entry.second.last_seen > lifetime; });
}

void version_log::presence::update(bool listed, bool list_is_current, instant now)
{
    const bool seen_now = this->changed || listed;
    if (this->present || seen_now) this->last_seen = now;
    if (seen_now) {
        this->present = true;
    } else if (list_is_current) {
        this->present = false;
    }
    this->changed = false;
}

bool version_log::covers_lifetime(instant now) const
{
    const bool completed = !this->began_at && !this->has_gap;
    return completed && (!this->known_since || now - *this->known_since >= lifetime);
}

std::optional<software_version> version_log::only_version(const service_id& service,
                                                          instant now) const
{
    if (!this->covers_lifetime(now)) return std::nullopt;
    std::vector<software_version> versions;
    for (const auto& [server, seen] : this->known) {
        if (server.service == service) versions.push_back(server.version);
    }
    if (versions.size() != 1) return std::nullopt;
    return versions.front() == software_version::unknown ? std::nullopt
                                                         : std::optional(versions.front());
}

nlohmann::json version_log::encode_versions(instant now) const
{
    nlohmann::json versions = nlohmann::json::array();
    for (const auto& [server, seen] : this->known) {
        versions.push_back({{"service", server.service.text},
                            {"version", static_cast<std::uint32_t>(server.version)},
                            {"present", seen.present},
                            {"seen_ms", age_in_ms(seen.last_seen, now)}});
    }
    return versions;
}

std::string version_log::encode(instant now) const
{
    nlohmann::json log{{"format", format},
                       {"revision", this->newest},
                       {"entry_revision", this->newest_entry},
                       {"since_first_use", !this->known_since},
                       {"versions", this->encode_versions(now)}};
    if (this->known_since) log["known_ms"] = age_in_ms(*this->known_since, now);
    return log.dump();
}

version_log version_log::decode(std::string_view text, instant now)
{
    try {
        const nlohmann::json document = parse_json(text, decode_step, "");
        json_reader from(document, decode_step, "");
        from.integer("format", format, format);
        version_log log;
        log.newest = from.integer("revision", 1, max_revision);
        log.newest_entry = from.integer("entry_revision", 0, log.newest);
        if (!from.flag("since_first_use", false))
            log.known_since = now - milliseconds(from.integer("known_ms", 0, max_age_ms));
        for (const nlohmann::json& item : from.list("versions")) {
            json_reader entry(item, decode_step, from.at("versions"));
            const service_version server{{entry.text("service")},
                                         software_version{static_cast<std::uint32_t>(
                                             entry.integer("version", 0, max_version))}};
            presence& seen = log.known[server];
            seen.present = entry.flag("present", true);
            seen.last_seen = now - milliseconds(entry.integer("seen_ms", 0, max_age_ms));
            entry.finish();
        }
        from.finish();
        return log;
    } catch (const user_error& fault) {
        throw peer_error(decode_step, "store", fault.what());
    } catch (const nlohmann::json::exception& fault) {
        throw peer_error(decode_step, "store", fault.what());
    }
}

} // namespace worksshift
