#include "parse_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <strings.h>

#include "placement.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::uint32_t max_deadline_ms = 3'600'000;
constexpr std::uint64_t max_answer_tokens = 1'000'000;

/** Thrown by refuse() and caught in parse_request(); does not leave this file. */
struct request_error {
    bad_request response;
};

[[noreturn]] void refuse(std::uint16_t status, std::string code, std::string message)
{
    throw request_error{{status, std::move(code), std::move(message)}};
}

const account_config& find_account(const raw_request& raw, const fleet_config& config)
{
    const std::string_view value = find_header(raw.headers, "Authorization");
    if (!value.starts_with(bearer)) refuse(401, "no_key", "Authorization: Bearer KEY is missing");
    const account_config* account =
        config.accounts.find_key(sha256_hex(value.substr(bearer.size())));
    if (account == nullptr) refuse(401, "unknown_key", "the key belongs to no client account");
    return *account;
}

/** Identifies a chat without an id by its messages up to the first user message, which are the same
 * in all turns of a chat. */
std::uint64_t hash_stable_prefix(const json& messages)
{
    std::string prefix;
    for (const json& message : messages) {
        prefix += message.dump();
        if (message.value("role", "") == "user") break;
    }
    return hash_of(prefix);
}

/** Parses a body as JSON with a list of messages, each an object with a role. */
json parse_chat(const std::string& body)
{
    json value = json::parse(body, nullptr, false);
    if (value.is_discarded()) refuse(400, "invalid_json", "the body is not valid JSON");
    if (!value.is_object()) refuse(400, "invalid_body", "the body must be a JSON object");
    const auto messages = value.find("messages");
    if (messages == value.end() || !messages->is_array() || messages->empty()) {
        refuse(400, "invalid_body", "messages must be a list that is not empty");
    }
    const bool all_have_role = std::ranges::all_of(*messages, [](const json& message) {
        return message.is_object() && message.contains("role") && message["role"].is_string();
    });
    if (!all_have_role)
        refuse(400, "invalid_body", "each of messages must be an object with a role");
    return value;
}

std::uint32_t read_answer_tokens(const json& value)
{
    const auto found = value.find("max_tokens");
    if (found == value.end() || found->is_null()) return default_answer_tokens;
    const bool fits = found->is_number_unsigned() && found->get<std::uint64_t>() >= 1 &&
                      found->get<std::uint64_t>() <= max_answer_tokens;
    if (!fits) refuse(400, "invalid_body", "max_tokens must be a whole number from 1 to 1000000");
    return found->get<std::uint32_t>();
}

void read_chat(const raw_request& raw, const fleet_config& config, parsed_request& result)
{
    if (raw.method != "POST") refuse(405, "wrong_method", "use POST");
    const json value = parse_chat(raw.body);
    const auto model = value.find("model");
    if (model == value.end() || !model->is_string()) {
        refuse(400, "invalid_body", "model must be a string");
    }
    const service_config* service = config.find_service({model->get<std::string>()});
    if (service == nullptr || service->kind != service_kind::chat) {
        refuse(404, "unknown_model", "there is no model " + model->get<std::string>());
    }
    const auto stream = value.find("stream");
    if (stream != value.end() && !stream->is_boolean()) {
        refuse(400, "invalid_body", "stream must be true or false");
    }
    request_row& row = result.row;
    result.stream = stream != value.end() && stream->get<bool>();
    row.service = service->id;
    const json& messages = value["messages"];
    const std::string_view chat_id = find_header(raw.headers, "X-Chat-Id");
    const std::uint64_t chat_hash =
        chat_id.empty() ? hash_stable_prefix(messages) : hash_of(chat_id);
    // The account is part of the key, so chats of different accounts never share a cache entry,
    // even if they choose the same id.
    const std::array key{row.account.hash(), service->id.hash(), chat_hash};
    row.chat = chat_key{XXH3_64bits(key.data(), sizeof key)};
    row.returning = std::ranges::any_of(
        messages, [](const json& message) { return message["role"] == "assistant"; });
    row.cost = chat_cost(raw.body.size(), read_answer_tokens(value));
    row.idempotent = true;
}

void read_plain(const raw_request& raw, const fleet_config& config, parsed_request& result)
{
    const service_config* best = nullptr;
    for (const service_config& service : config.services) {
        const bool fits =
            service.kind == service_kind::plain && raw.path.starts_with(service.path_prefix);
        if (fits && (best == nullptr || service.path_prefix.size() > best->path_prefix.size())) {
            best = &service;
        }
    }
    if (best == nullptr) refuse(404, "unknown_path", "no service has this path");
    constexpr std::array methods{"GET", "HEAD", "PUT", "DELETE", "POST"};
    if (std::ranges::find(methods, raw.method) == methods.end()) {
        refuse(405, "wrong_method", "use GET, HEAD, PUT, DELETE or POST");
    }
    result.row.service = best->id;
    result.row.cost = plain_call_cost;
    result.row.idempotent = raw.method != "POST";
}

std::uint32_t read_deadline(const raw_request& raw, std::uint32_t fallback)
{
    const std::string_view text = find_header(raw.headers, "X-Deadline-Ms");
    if (text.empty()) return fallback;
    std::uint32_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool fits = fault == std::errc{} && end == text.data() + text.size() && value > 0 &&
                      value <= max_deadline_ms;
    if (!fits) refuse(400, "invalid_header", "X-Deadline-Ms must be from 1 to 3600000");
    return value;
}

void read_option_headers(const raw_request& raw, request_row& row)
{
    const std::string_view urgency = find_header(raw.headers, "X-Priority");
    if (!urgency.empty() && urgency != "interactive" && urgency != "batch") {
        refuse(400, "invalid_header", "X-Priority must be interactive or batch");
    }
    row.urgency = urgency == "batch" ? priority::batch : priority::interactive;
    const std::string_view non_idempotent = find_header(raw.headers, "X-Non-Idempotent");
    if (!non_idempotent.empty() && non_idempotent != "true" && non_idempotent != "false") {
        refuse(400, "invalid_header", "X-Non-Idempotent must be true or false");
    }
    if (non_idempotent == "true") row.idempotent = false;
    if (non_idempotent == "false") row.idempotent = true;
    const std::string_view key = find_header(raw.headers, "Idempotency-Key");
    if (key.size() > max_idempotency_key_bytes) {
        refuse(400, "invalid_header", "Idempotency-Key is longer than 200 characters");
    }
    // Only a request that must not be repeated needs a claim.
    if (!key.empty() && !row.idempotent) {
        row.claim_key = row.account.text + "/" + std::string(key);
        row.fingerprint = hash_of(raw.method + "\n" + raw.path + "\n" + raw.body);
    }
}

/** The headers that are forwarded. Callers must not set the headers that instruct engines. */
std::vector<header> select_headers(const raw_request& raw)
{
    constexpr std::array dropped{"authorization",  "idempotency-key", "x-deadline-ms",
                                 "content-length", "expect",          "x-request-id",
                                 "x-resume-from",  "x-model-version"};
    std::vector<header> forwarded;
    std::ranges::copy_if(raw.headers, std::back_inserter(forwarded), [&](const header& entry) {
        return std::ranges::none_of(
            dropped, [&](const char* name) { return strcasecmp(name, entry.name.c_str()) == 0; });
    });
    return forwarded;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string_view find_header(std::span<const header> headers, std::string_view name)
{
    const std::string name_text(name);
    const auto found = std::ranges::find_if(headers, [&](const header& entry) {
        return strcasecmp(entry.name.c_str(), name_text.c_str()) == 0;
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::variant<parsed_request, bad_request> parse_request(const raw_request& raw,
                                                        const fleet_config& config, instant now,
                                                        std::uint32_t default_deadline_ms)
{
    try {
        parsed_request result;
        result.row.account = find_account(raw, config).id;
        if (raw.path == chat_path) {
            read_chat(raw, config, result);
        } else {
            read_plain(raw, config, result);
        }
        result.row.deadline = now + milliseconds(read_deadline(raw, default_deadline_ms));
        read_option_headers(raw, result.row);
        result.row.payload = std::make_shared<const request_payload>(
            request_payload{raw.method, raw.path, select_headers(raw), raw.body});
        return result;
    } catch (const request_error& refused) {
        return refused.response;
    } catch (const json::exception& fault) {
        return bad_request{400, "invalid_body", fault.what()};
    }
}

} // namespace worksshift
