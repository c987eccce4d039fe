/** \file
 * Parses and validates a caller's HTTP request into a row of the request table, or returns the
 * error.
 *
 * Headers that callers may set: `Authorization: Bearer KEY` (required), `X-Chat-Id`,
 * `Idempotency-Key`, `X-Non-Idempotent: true`, `X-Priority: interactive|batch`, `X-Deadline-Ms`.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "tables.h"

namespace worksshift {

/** A request as it was read, before parsing. */
struct raw_request {
    std::string method;
    std::string path; ///< including the query
    std::vector<header> headers;
    std::string body;
};

/** The error response to a request that is refused without being executed. */
struct bad_request {
    std::uint16_t status = 400;
    std::string code;
    std::string message;
};

struct parsed_request {
    request_row row;
    bool stream = false; ///< whether the caller requested a stream of server-sent events
};

/** SHA-256 as lower-case hex, the form in which accounts store their keys. */
std::string sha256_hex(std::string_view text);

/** The value of a header, whose name is compared without regard to case; empty if absent. */
std::string_view find_header(std::span<const header> headers, std::string_view name);

/** Validates the key, the path, the headers and the body. The function's caller sets the row's `id`
 * and `request_id`. */
std::variant<parsed_request, bad_request> parse_request(const raw_request& raw,
                                                        const fleet_config& config, instant now,
                                                        std::uint32_t default_deadline_ms);

} // namespace worksshift
