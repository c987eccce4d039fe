/** \file
 * Key of a request's content, independent of its id: the same for every repeat, at any VM.
 *
 * A caller that retries sends a new request id, so repeats can only be recognised by content.
 */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

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

/** Hexadecimal form of the key in log lines. */
inline std::string to_text(content_key key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_of_digit = 4;
    std::string text(2 * sizeof key, '0');
    auto rest = static_cast<std::uint64_t>(key);
    for (auto at = text.rbegin(); at != text.rend(); ++at, rest >>= bits_of_digit)
        *at = digits[rest % digits.size()];
    return text;
}

} // namespace worksshift
