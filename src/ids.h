/** \file
 * Strong identifier types, and the time types used throughout.
 *
 * Names of servers, VMs and accounts are all strings; distinct types prevent one from being passed
 * in place of another.
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

/** 64-bit hash of a name. It is the same on every VM, so that rendezvous ranks agree across the
 * fleet. */
inline std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/** A name whose kind is distinguished by \p Tag. */
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

/** One attempt of a request at one server. `origin` is random for each start of the process, so ids
 * of a restarted VM do not collide with its earlier ones. */
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

/// \cond Doxygen cannot place specializations of templates in namespace std.
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
