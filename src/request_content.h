/** \file
 * What a request asks, whatever its id: the same for each time that it comes again, at any VM.
 *
 * A caller that tries again sends a new id, so only the content ties a request's tries together.
 */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace worksshift {

/** Hash of a request's path, client account and body. */
enum class content_key : std::uint64_t {};

/** \p target may have a query, which does not count: a request that differs in nothing else from
 * one that does harm does the same harm. */
inline content_key content_of(std::string_view host, std::string_view target,
                              const client_account_id& account, std::string_view body)
{
    const std::array parts{hash_of(host), hash_of(target.substr(0, target.find('?'))),
                           account.hash(), hash_of(body)};
    return content_key{XXH3_64bits(parts.data(), sizeof parts)};
}

/** As it stands in log lines. */
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
