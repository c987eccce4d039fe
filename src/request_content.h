/** \file
 * Keys by which requests with the same content, or with a part of their prompts in common, are
 * recognised at any VM.
 *
 * A caller that retries sends a new request id, so repeats can only be recognised by content.
 */
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ids.h"
#include "protocol.h"

namespace worksshift {

/** Hash of a request's host, path, client account and body, or of a service and a part of a prompt.
 * The highest bit tells the two apart. */
enum class content_key : std::uint64_t {};

constexpr std::uint64_t part_bit = std::uint64_t{1} << 63U;

/** Whether the key is that of a part of a prompt. */
constexpr bool is_part(content_key key)
{
    return (static_cast<std::uint64_t>(key) & part_bit) != 0;
}

/** Key of a request. A query in \p target is ignored: a request that differs from a harmful one
 * only in its query is assumed to be as harmful. */
inline content_key content_of(std::string_view host, std::string_view target,
                              const client_account_id& account, std::string_view body)
{
    const std::array parts{hash_of(host), hash_of(target.substr(0, target.find('?'))),
                           account.hash(), hash_of(body)};
    return content_key{XXH3_64bits(parts.data(), sizeof parts) & ~part_bit};
}

/** Maximum number of parts of one prompt that are observed. */
constexpr std::size_t max_observed_parts = 16;

/** Keys of the parts that other requests may share: all but the last one. The client account does
 * not count, as accounts share parts. */
inline std::vector<content_key> part_keys_of(const service_id& service,
                                             std::span<const prompt_part> prompt)
{
    const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
    std::vector<content_key> keys;
    for (const prompt_part& part : prompt.first(std::min(shared, max_observed_parts))) {
        const std::array both{service.hash(), part.id};
        keys.push_back(content_key{XXH3_64bits(both.data(), sizeof both) | part_bit});
    }
    return keys;
}

/** Hexadecimal form of a hash in log lines. */
inline std::string to_text(std::uint64_t hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_of_digit = 4;
    std::string text(2 * sizeof hash, '0');
    for (auto at = text.rbegin(); at != text.rend(); ++at, hash >>= bits_of_digit)
        *at = digits[hash % digits.size()];
    return text;
}

inline std::string to_text(content_key key)
{
    return to_text(static_cast<std::uint64_t>(key));
}

/** The shared parts of a prompt in log lines: all but the last, which belongs to one request or
 * chat; at most `max_logged_parts` of them. */
inline std::string to_text(std::span<const prompt_part> prompt)
{
    constexpr std::size_t max_logged_parts = 4;
    std::string text;
    const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
    for (const prompt_part& part : prompt.first(std::min(shared, max_logged_parts)))
        text.append(text.empty() ? "" : ",").append(to_text(part.id));
    return text;
}

} // namespace worksshift
