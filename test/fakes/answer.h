/** \file
 * The response of the fake engine to a request, computed from the request alone. The load tool
 * computes it too and compares byte for byte, so that mixed-up, truncated or swapped responses are
 * detected.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace fakes {

/** Identifies the response: a hash of the model, the last message and the number of messages. */
std::uint64_t answer_key(const nlohmann::json& request);

/** The text of one token of the response. */
std::string answer_token(std::uint64_t key, std::uint32_t index);
/** The text of all tokens. */
std::string answer_text(std::uint64_t key, std::uint32_t tokens);
/** One server-sent event with one token. */
std::string stream_event(std::uint64_t key, std::uint32_t index);
/** A complete stream with its end marker. */
std::string stream_text(std::uint64_t key, std::uint32_t tokens);
/** The complete body of a response that is not streamed. */
std::string whole_body(std::uint64_t key, std::uint32_t tokens);

} // namespace fakes
