/** \file
 * Key of a request's content, independent of its id: the same for every repeat, at any VM.
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

#include "ids.h"
#include "protocol.h"

namespace worksshift {

/** Hash of a request's host, path, client account and body. */
enum class content_key : std::uint64_t {};

/** Key of a request. A query in \p target is ignored: a request that differs from a harmful one
 * only in its query is assumed to be as harmful. */
inline content_key content_of(std::string_view host, std::string_view target,
                              const client_account_id& account, std::string_view body)
{
    const std::array parts{hash_of(host), hash_of(target.substr(0, target.find('?'))),
                           account.hash(), hash_of(body)};
    return content_key{XXH3_64bits(parts.data(), sizeof parts)};
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
