/** \file
 * Remembers which software version began each stream, so that the stream goes on at that version
 * when its caller takes it up again at this VM.
 */
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "software_version.h"

namespace worksshift {

/** Hash of the id of the request that brought a stream's first event. */
enum class stream_key : std::uint64_t {};

inline stream_key stream_key_of(std::string_view request_id)
{
    return stream_key{hash_of(request_id)};
}

struct stream_origin {
    stream_key stream{};
    software_version version = software_version::unknown;
};

class stream_origins {
public:
    /** How long a stream can be taken up after its last record: longer than callers wait. */
    static constexpr duration lifetime = seconds(60);
    /** Streams that are remembered; the oldest are forgotten first. They take about 5 MB. */
    static constexpr std::size_t max_streams = 65'536;

    /** A stream that is recorded with two versions has none from then on: no one can say which of
     * them the caller got. */
    void record(const stream_origin& origin, instant now);
    /** std::nullopt if the stream is not known; `unknown` if it has no version. */
    [[nodiscard]] std::optional<software_version> find(stream_key stream) const;
    /** Forgets streams whose lifetime is over. */
    void expire(instant now);
    [[nodiscard]] std::size_t size() const { return this->streams.size(); }

private:
    struct entry {
        software_version version = software_version::unknown;
        instant recorded_at{};
    };
    struct recording {
        stream_key stream{};
        instant at{};
    };

    void forget_oldest();

    std::unordered_map<stream_key, entry> streams;
    std::deque<recording> recordings; ///< oldest first; those recorded again come twice
};

} // namespace worksshift
