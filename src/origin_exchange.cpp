#include "origin_exchange.h"

#include <algorithm>
#include <ranges>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

#include "errors.h"
#include "rendezvous.h"

namespace worksshift {

namespace {

/** First byte of each datagram; raised when the format changes. */
constexpr std::uint8_t known_format = 1;

} // namespace

std::string encode(const origin_message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(known_format, static_cast<std::uint8_t>(message.kind),
                static_cast<std::uint64_t>(message.origin.stream),
                static_cast<std::uint32_t>(message.origin.version));
    }
    return stream.str();
}

origin_message decode_origin_message(std::string_view bytes, const std::string& peer)
{
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t format = 0;
        std::uint8_t kind = 0;
        std::uint64_t key = 0;
        std::uint32_t version = 0;
        archive(format, kind, key, version);
        const bool known_kind = kind >= static_cast<std::uint8_t>(origin_message_kind::record) &&
                                kind <= static_cast<std::uint8_t>(origin_message_kind::answer);
        if (format != known_format || !known_kind)
            throw peer_error("origin", peer, "unsupported format");
        return {origin_message_kind{kind}, {stream_key{key}, software_version{version}}};
    } catch (const std::exception& fault) {
        throw peer_error("origin", peer, fault.what());
    }
}

std::vector<std::uint32_t> origin_exchange::highest_ranked(stream_key stream, std::size_t count,
                                                           bool with_leaving) const
{
    std::vector<std::uint32_t> chosen;
    for (const origin_vm& vm : this->vms) {
        if (with_leaving || !vm.leaving) chosen.push_back(vm.address);
    }
    if (chosen.size() <= count) return chosen;
    const auto last = chosen.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(chosen, last, std::greater{}, [stream](std::uint32_t address) {
        return rendezvous_weight(static_cast<std::uint64_t>(stream), address);
    });
    chosen.erase(last, chosen.end());
    return chosen;
}

void origin_exchange::send_to(std::span<const std::uint32_t> to, const origin_message& message)
{
    const std::string bytes = encode(message);
    for (const std::uint32_t address : to)
        this->send(address, bytes);
    this->sent_bytes += bytes.size() * to.size();
}

void origin_exchange::announce(const stream_origin& origin, instant now)
{
    this->known.record(origin, now);
    this->send_to(this->highest_ranked(origin.stream, told_vms, false),
                  {origin_message_kind::record, origin});
}

void origin_exchange::ask(stream_key stream, instant now)
{
    if (this->questions.contains(stream)) return;
    const std::vector<std::uint32_t> to = this->highest_ranked(stream, asked_vms, true);
    if (to.empty() || this->questions.size() >= max_questions) {
        this->on_result(stream, std::nullopt);
        return;
    }
    this->questions[stream] = {now, now, to};
    this->send_to(to, {origin_message_kind::question, {stream, software_version::unknown}});
}

void origin_exchange::receive(std::uint32_t from, std::string_view bytes, instant now)
{
    const origin_message message = decode_origin_message(bytes, "vm");
    switch (message.kind) {
    case origin_message_kind::record:
        this->known.record(message.origin, now);
        break;
    case origin_message_kind::question: {
        const software_version version =
            this->known.find(message.origin.stream).value_or(software_version::unknown);
        const std::uint32_t to[] = {from};
        this->send_to(to, {origin_message_kind::answer, {message.origin.stream, version}});
        break;
    }
    case origin_message_kind::answer:
        this->handle_answer(from, message.origin, now);
        break;
    }
}

void origin_exchange::handle_answer(std::uint32_t from, const stream_origin& origin, instant now)
{
    const auto found = this->questions.find(origin.stream);
    if (found == this->questions.end()) return;
    if (origin.version != software_version::unknown) {
        this->known.record(origin, now);
        this->finish(origin.stream, origin.version);
        return;
    }
    std::erase(found->second.waiting_for, from);
    if (found->second.waiting_for.empty()) this->finish(origin.stream, std::nullopt);
}

void origin_exchange::finish(stream_key stream, std::optional<software_version> version)
{
    this->questions.erase(stream);
    this->on_result(stream, version);
}

void origin_exchange::tick(instant now)
{
    this->known.expire(now);
    std::vector<stream_key> given_up;
    for (auto& [stream, asked] : this->questions) {
        if (now - asked.asked_at >= question_timeout) {
            given_up.push_back(stream);
        } else if (now - asked.sent_at >= question_period) {
            asked.sent_at = now;
            this->send_to(asked.waiting_for,
                          {origin_message_kind::question, {stream, software_version::unknown}});
        }
    }
    for (const stream_key stream : given_up)
        this->finish(stream, std::nullopt);
}

} // namespace worksshift
