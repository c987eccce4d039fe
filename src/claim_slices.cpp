#include "claim_slices.h"

#include <nlohmann/json.hpp>

#include "errors.h"

namespace worksshift {

namespace {

using nlohmann::json;

/** Array indices of the fields of a stored record. Arrays take half the space of JSON objects. */
enum record_field : std::uint8_t {
    origin,
    sequence,
    fingerprint,
    claimed_at,
    has_outcome,
    status,
    body
};

json write_record(const claim_record& record)
{
    return json::array({record.holder.origin, record.holder.sequence, record.fingerprint,
                        record.claimed_at_s, record.has_outcome, record.status, record.body});
}

claim_record read_record(const json& list)
{
    return {{list.at(origin), list.at(sequence)},
            list.at(fingerprint),
            list.at(claimed_at),
            list.at(has_outcome),
            list.at(status),
            list.at(body)};
}

} // namespace

bool claim_slice::expired(std::uint64_t unix_s) const
{
    return this->opened_at_s + max_claim_slice_age_s + claim_lifetime_s + max_clock_skew_s < unix_s;
}

claim_slice parse_claim_slice(const std::string& value)
{
    try {
        const json object = json::parse(value);
        claim_slice slice;
        slice.number = object.at("number");
        slice.opened_at_s = object.at("opened_at_s");
        slice.sealed = object.at("sealed");
        for (const auto& [key, list] : object.at("claims").items())
            slice.records[key] = read_record(list);
        return slice;
    } catch (const json::exception& fault) {
        throw peer_error("read claims", "platform", fault.what());
    }
}

std::string write_claim_slice(const claim_slice& slice)
{
    json claims = json::object();
    for (const auto& [key, record] : slice.records)
        claims[key] = write_record(record);
    const json object{{"number", slice.number},
                      {"opened_at_s", slice.opened_at_s},
                      {"sealed", slice.sealed},
                      {"claims", std::move(claims)}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string claim_slice_object(std::size_t bucket, std::uint64_t number)
{
    return "claims/" + std::to_string(bucket) + "/" + std::to_string(number % claim_ring_size);
}

std::uint64_t parse_claim_head(const std::string& value)
{
    try {
        return json::parse(value).at("newest");
    } catch (const json::exception& fault) {
        throw peer_error("read claims", "platform", fault.what());
    }
}

std::string write_claim_head(std::uint64_t newest)
{
    return json{{"newest", newest}}.dump();
}

std::string claim_head_object(std::size_t bucket)
{
    return "claims/" + std::to_string(bucket) + "/head";
}

} // namespace worksshift
