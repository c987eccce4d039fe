#include "registry_feed.h"

#include <algorithm>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "errors.h"
#include "packed_text.h"

namespace worksshift {

template <class Archive>
void serialize(Archive& archive, stored_object& object)
{
    archive(object.name, object.revision, object.document, object.removed);
}

template <class Archive>
void serialize(Archive& archive, retained_server& server)
{
    archive(server.name, server.missing_ms);
}

template <class Archive>
void serialize(Archive& archive, registry_update& update)
{
    archive(update.revision, update.complete, update.objects, update.retained,
            update.oldest_known_revision);
}

std::string encode(const registry_update& update)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(update);
    }
    return pack(stream.str());
}

registry_update decode_registry_update(const std::string& bytes, const std::string& peer)
{
    try {
        std::istringstream stream(unpack(bytes, peer));
        cereal::PortableBinaryInputArchive archive(stream);
        registry_update update;
        archive(update);
        return update;
    } catch (const std::exception& fault) {
        throw peer_error("registry update", peer, fault.what());
    }
}

void registry_feed::apply_list(std::span<const stored_object> all, std::uint64_t revision)
{
    this->entries.clear();
    for (const stored_object& object : all)
        this->entries[object.name] = object;
    this->changes.clear();
    this->compacted_revision = revision;
    this->newest_revision = revision;
}

void registry_feed::apply_change(const stored_object& object, std::uint64_t revision)
{
    if (object.removed) {
        this->entries.erase(object.name);
    } else {
        this->entries[object.name] = object;
    }
    this->changes.push_back({revision, object});
    if (this->changes.size() > std::max(min_retained_changes, this->entries.size())) {
        this->compacted_revision = this->changes.front().revision;
        this->changes.pop_front();
    }
}

/** Whether the object is newer than the known one. A list of several pages can hold an object that
 * is newer than the list's revision. */
bool registry_feed::is_newer(const stored_object& object) const
{
    const auto known = this->entries.find(object.name);
    // The removal of an object that was added and removed between two updates is new as well:
    // another VM may have sent the object to other VMs.
    if (known == this->entries.end()) return true;
    return object.removed ? object.revision >= known->second.revision
                          : object.revision > known->second.revision;
}

std::optional<registry_update> registry_feed::apply(const registry_update& update)
{
    if (update.revision <= this->newest_revision && this->newest_revision != 0) return std::nullopt;
    if (this->newest_revision == 0) this->first = update.revision;
    if (update.complete) {
        this->apply_list(update.objects, update.revision);
        return update;
    }
    registry_update newer_part{
        update.revision, false, {}, update.retained, update.oldest_known_revision};
    std::ranges::copy_if(update.objects, std::back_inserter(newer_part.objects),
                         [this](const stored_object& object) { return this->is_newer(object); });
    for (const stored_object& object : newer_part.objects)
        this->apply_change(object, update.revision);
    this->newest_revision = update.revision;
    return newer_part;
}

registry_update registry_feed::since(std::uint64_t revision) const
{
    registry_update update;
    update.revision = this->newest_revision;
    update.oldest_known_revision = this->first;
    update.complete = revision < this->compacted_revision;
    if (update.complete) {
        for (const auto& [name, object] : this->entries)
            update.objects.push_back(object);
        return update;
    }
    for (const change& item : this->changes) {
        if (item.revision > revision) update.objects.push_back(item.object);
    }
    return update;
}

} // namespace worksshift
