#include "fleet_digest.h"

#include <algorithm>
#include <limits>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

#include "errors.h"

namespace worksshift {

namespace {

constexpr std::uint8_t known_format = fleet_digest{}.format;

/** Writes a vector with a one-byte count; items beyond 255 are dropped. */
template <class Item>
void save_items(cereal::PortableBinaryOutputArchive& archive, const std::vector<Item>& items)
{
    constexpr std::size_t max_count = std::numeric_limits<std::uint8_t>::max();
    const std::size_t count = std::min(items.size(), max_count);
    archive(static_cast<std::uint8_t>(count));
    for (std::size_t i = 0; i < count; ++i)
        archive(items[i]);
}

template <class Item>
void load_items(cereal::PortableBinaryInputArchive& archive, std::vector<Item>& items)
{
    std::uint8_t count = 0;
    archive(count);
    items.resize(count);
    for (Item& item : items)
        archive(item);
}

} // namespace

template <class Archive>
void serialize(Archive& archive, load_entry& item)
{
    archive(item.server, item.requests);
}

template <class Archive>
void serialize(Archive& archive, reported_load& item)
{
    archive(item.server, item.requests, item.age);
}

template <class Archive>
void serialize(Archive& archive, outcome_counts& item)
{
    archive(item.server, item.answered, item.failed, item.mean);
}

template <class Archive>
void serialize(Archive& archive, rejection_report& item)
{
    archive(item.server, item.count, item.limit);
}

template <class Archive>
void serialize(Archive& archive, service_limit& item)
{
    archive(item.service, item.per_s, item.age);
}

template <class Archive>
void serialize(Archive& archive, service_requests& item)
{
    archive(item.service, item.requests);
}

template <class Archive>
void serialize(Archive& archive, crash_report& item)
{
    archive(item.content, item.server);
}

template <class Archive>
void serialize(Archive& archive, blocked_content& item)
{
    archive(item.content, item.trials, item.cleared, item.age);
}

template <class Archive>
void serialize(Archive& archive, vm_liveness_report& item)
{
    archive(item.address, item.data_centre, item.age);
}

template <class Archive>
void serialize(Archive& archive, store_reader_report& item)
{
    archive(item.address, item.age);
}

template <class Archive>
void serialize(Archive& archive, store_reader_notice& item)
{
    archive(item.format, item.reads_store);
}

template <class Archive>
void save(Archive& archive, const load_part& item)
{
    archive(item.part, item.parts);
    save_items(archive, item.entries);
}

template <class Archive>
void load(Archive& archive, load_part& item)
{
    archive(item.part, item.parts);
    load_items(archive, item.entries);
}

template <class Archive>
void save(Archive& archive, const fleet_digest& item)
{
    archive(item.format, item.incarnation, item.sequence, item.data_centre, item.period_ms,
            item.config_version, item.servers_revision, item.store_restored_age,
            item.store_confirmed_age, item.watches_store, item.leaving, item.joining,
            item.own_loads, item.centre_loads, item.remote_loads, item.requests_per_s,
            item.evacuations_revision);
    save_items(archive, item.evacuated);
    save_items(archive, item.reported_loads);
    save_items(archive, item.outcomes);
    save_items(archive, item.crash_reports);
    save_items(archive, item.blocked);
    save_items(archive, item.leaving_servers);
    save_items(archive, item.vms);
    // Fields at the end are left out together with all after them.
    std::vector<std::uint8_t> paces(item.reported_loads.size());
    std::ranges::transform(item.reported_loads, paces.begin(), &reported_load::pace);
    const bool has_store_readers = !item.store_readers.empty();
    const bool has_engine_requests = has_store_readers || !item.engine_requests.empty();
    const bool has_paces = has_engine_requests ||
                           std::ranges::any_of(paces, [](std::uint8_t pace) { return pace != 0; });
    const bool has_limits = has_paces || !item.limits.empty();
    const bool has_members = has_limits || item.local_members != 0;
    const bool has_size = has_members || item.fleet_vms != 0;
    if (has_size || !item.rejections.empty()) save_items(archive, item.rejections);
    if (has_size) archive(item.fleet_vms);
    if (has_members) archive(item.local_members);
    if (has_limits) save_items(archive, item.limits);
    if (has_paces) save_items(archive, paces);
    if (has_engine_requests) save_items(archive, item.engine_requests);
    if (has_store_readers) save_items(archive, item.store_readers);
}

template <class Archive>
void load(Archive& archive, fleet_digest& item)
{
    archive(item.format);
    if (item.format != known_format) throw peer_error("digest", "", "unsupported digest format");
    archive(item.incarnation, item.sequence, item.data_centre, item.period_ms, item.config_version,
            item.servers_revision, item.store_restored_age, item.store_confirmed_age,
            item.watches_store, item.leaving, item.joining, item.own_loads, item.centre_loads,
            item.remote_loads, item.requests_per_s, item.evacuations_revision);
    load_items(archive, item.evacuated);
    load_items(archive, item.reported_loads);
    load_items(archive, item.outcomes);
    load_items(archive, item.crash_reports);
    load_items(archive, item.blocked);
    load_items(archive, item.leaving_servers);
    load_items(archive, item.vms);
}

namespace {

template <class Message>
std::string to_bytes(const Message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return stream.str();
}

} // namespace

std::string encode(const fleet_digest& digest)
{
    return to_bytes(digest);
}

std::string encode(const store_reader_notice& notice)
{
    return to_bytes(notice);
}

gossip_datagram decode_datagram(std::string_view bytes, const std::string& peer)
{
    static const std::string reads = encode(store_reader_notice{.reads_store = true});
    static const std::string stopped = encode(store_reader_notice{.reads_store = false});
    if (bytes == reads || bytes == stopped)
        return store_reader_notice{.reads_store = bytes == reads};
    return decode_digest(bytes, peer);
}

fleet_digest decode_digest(std::string_view bytes, const std::string& peer)
{
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        fleet_digest digest;
        archive(digest);
        const auto has_more = [&stream] {
            return stream.peek() != std::istringstream::traits_type::eof();
        };
        if (has_more()) load_items(archive, digest.rejections);
        if (has_more()) archive(digest.fleet_vms);
        if (has_more()) archive(digest.local_members);
        if (has_more()) load_items(archive, digest.limits);
        std::vector<std::uint8_t> paces;
        if (has_more()) load_items(archive, paces);
        const std::size_t known = std::min(paces.size(), digest.reported_loads.size());
        for (std::size_t i = 0; i < known; ++i)
            digest.reported_loads[i].pace = paces[i];
        if (has_more()) load_items(archive, digest.engine_requests);
        if (has_more()) load_items(archive, digest.store_readers);
        return digest;
    } catch (const std::exception& fault) {
        throw peer_error("digest", peer, fault.what());
    }
}

} // namespace worksshift
