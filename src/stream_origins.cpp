#include "stream_origins.h"

namespace worksshift {

void stream_origins::record(const stream_origin& origin, instant now)
{
    const auto [found, added] = this->streams.try_emplace(origin.stream);
    entry& known = found->second;
    if (added) {
        known.version = origin.version;
    } else if (known.version != origin.version) {
        known.version = software_version::unknown;
    }
    known.recorded_at = now;
    this->recordings.push_back({origin.stream, now});
    while (this->recordings.size() > max_streams)
        this->forget_oldest();
}

std::optional<software_version> stream_origins::find(stream_key stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? std::nullopt : std::optional(found->second.version);
}

void stream_origins::expire(instant now)
{
    while (!this->recordings.empty() && now - this->recordings.front().at > lifetime)
        this->forget_oldest();
}

/** Drops the oldest recording, and its stream unless it was recorded again since. */
void stream_origins::forget_oldest()
{
    const recording oldest = this->recordings.front();
    this->recordings.pop_front();
    const auto found = this->streams.find(oldest.stream);
    if (found != this->streams.end() && found->second.recorded_at == oldest.at)
        this->streams.erase(found);
}

} // namespace worksshift
