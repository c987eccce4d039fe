/** \file
 * Strong identifier types and the time types of the decision code.
 *
 * Names of servers, VMs and accounts all look alike as strings; distinct types keep one from being
 * passed where another is meant.
 */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace worksshift {

using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** 64-bit hash of a name; equal on every VM, so that rendezvous ranks agree across the fleet. */
inline std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/** A name of one kind of thing, distinguished by \p Tag. */
template <class Tag>
struct strong_id {
    std::string text;

    auto operator<=>(const strong_id&) const = default;
    [[nodiscard]] bool empty() const { return this->text.empty(); }
    [[nodiscard]] std::uint64_t hash() const { return hash_of(this->text); }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->text);
    }
};

using vm_id = strong_id<struct vm_tag>;
using server_id = strong_id<struct server_tag>;
using service_id = strong_id<struct service_tag>;
using client_account_id = strong_id<struct client_account_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using model_id = strong_id<struct model_tag>;

/** Identifies a chat: the hash of the chat header or of the stable prefix of its messages. */
enum class chat_key : std::uint64_t {};

/** One try of one request at one server. `origin` is random per process start, so ids of a
 * restarted VM never meet those of its earlier life. */
struct attempt_id {
    std::uint64_t origin = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const attempt_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->origin, this->sequence);
    }
};

} // namespace worksshift

/// \cond Doxygen finds no place for specializations of std's templates.
template <class Tag>
struct std::hash<worksshift::strong_id<Tag>> {
    std::size_t operator()(const worksshift::strong_id<Tag>& id) const noexcept
    {
        return id.hash();
    }
};

template <>
struct std::hash<worksshift::attempt_id> {
    std::size_t operator()(const worksshift::attempt_id& id) const noexcept
    {
        return XXH3_64bits(&id, sizeof id);
    }
};
/// \endcond
