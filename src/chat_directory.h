/** \file
 * Maps each chat to the server that holds its prompt cache. Entries are stored by the gate of the
 * chat's home server.
 *
 * Bounded in entries and age, with eviction of the least recently used. An entry is a hint: if it
 * is lost, the chat goes to its home server, and at worst its prompt is prefilled once more.
 */
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "ids.h"
#include "messages.h"

namespace worksshift {

class chat_directory {
public:
    chat_directory(std::size_t capacity, duration max_age) : capacity(capacity), max_age(max_age) {}

    /** Records that a turn of the chat went to \p server at \p used_at, unless a later turn is
     * recorded already. */
    void record(const service_id& service, chat_key chat, const server_id& server, instant used_at);
    /** The server of the chat's latest turn; std::nullopt if there is no entry below the maximum
     * age. */
    [[nodiscard]] std::optional<server_id> find(const service_id& service, chat_key chat,
                                                instant now) const;
    void forget(const service_id& service, chat_key chat);
    /** Removes entries above the maximum age. */
    void expire(instant now);
    [[nodiscard]] std::size_t size() const { return this->index.size(); }

    /** Removes and returns the entries that satisfy \p should_extract, to be sent to another VM. */
    template <class Predicate>
    std::vector<chat_record> extract_if(Predicate should_extract, instant now);

private:
    struct entry {
        service_id service;
        chat_key chat{};
        server_id server;
        instant used_at{};
    };
    struct key {
        std::uint64_t service = 0;
        chat_key chat{};
        bool operator==(const key&) const = default;
    };
    struct key_hash {
        std::size_t operator()(const key& id) const noexcept
        {
            return id.service ^ static_cast<std::uint64_t>(id.chat);
        }
    };

    std::size_t capacity;
    duration max_age;
    std::list<entry> by_use; ///< most recently used first
    std::unordered_map<key, std::list<entry>::iterator, key_hash> index;
};

template <class Predicate>
std::vector<chat_record> chat_directory::extract_if(Predicate should_extract, instant now)
{
    std::vector<chat_record> records;
    for (auto position = this->by_use.begin(); position != this->by_use.end();) {
        if (!should_extract(position->service, position->chat)) {
            ++position;
            continue;
        }
        const auto age = std::chrono::duration_cast<seconds>(now - position->used_at);
        records.push_back({position->service, position->chat, position->server,
                           static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()))});
        this->index.erase({position->service.hash(), position->chat});
        position = this->by_use.erase(position);
    }
    return records;
}

} // namespace worksshift
