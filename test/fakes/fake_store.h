/** \file
 * Fake of the platform's store that implements its published protocol: lists in pages, watches with
 * a wait, a single revision counter, a history that may be dropped, and the store's faults.
 */
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_http.h"

namespace fakes {

enum class store_fault : std::uint8_t {
    none,
    busy,   ///< 503
    many,   ///< 429
    silent, ///< accepts calls and does not answer
};

class fake_store {
public:
    fake_store(event_base* base, const worksshift::link_address& listen);

    /** Creates or replaces an object whose `spec` is the JSON text \p spec. */
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /** Drops the history: watches from earlier revisions are answered with 410. */
    void forget_history() { this->history_from = this->revision; }
    /** Drops the history of all but the newest changes, as `forget_history`. */
    void forget_history_but(std::uint64_t changes)
    {
        this->history_from = this->revision - changes;
    }
    /** Whether an object exists. */
    [[nodiscard]] bool holds(const std::string& kind, const std::string& name) const;
    /** Drops the pending calls without a response, as when a connection fails silently. */
    void lose_waiting() { this->waiting.clear(); }

    /** Number of pending watches of a kind, each of which a change would complete. */
    [[nodiscard]] std::size_t waiting_for(const std::string& kind) const;
    /** Number of these that allow a response that is seconds old. */
    [[nodiscard]] std::size_t stale_waiting_for(const std::string& kind) const;

    /** Addresses from which linearizable watches of a kind are pending. */
    [[nodiscard]] std::set<std::string> linearizable_watchers(const std::string& kind) const;

    store_fault fault = store_fault::none;
    /** Age of the state that stale watches return. */
    worksshift::duration stale_by{};
    std::size_t page_size = 500;
    std::size_t lists = 0;      ///< calls that came
    std::size_t watches = 0;    ///< calls that came
    bool accepts_writes = true; ///< otherwise they are answered with 404

private:
    struct stored {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string text; ///< as it is sent
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event; ///< as it is sent
        worksshift::instant at{};
    };
    struct waiter {
        evhttp_request* request = nullptr;
        std::string kind;
        std::uint64_t from = 0;
        worksshift::instant until{};
        bool stale = false;
    };

    void take(evhttp_request* request);
    void list(evhttp_request* request, const std::string& kind);
    void write(evhttp_request* request, const std::string& path, bool create);
    void watch(evhttp_request* request, const std::string& kind, std::uint64_t from);
    [[nodiscard]] std::uint64_t visible(bool stale, worksshift::instant now) const;
    bool answer(const waiter& item, worksshift::instant now);
    void answer_waiting();
    void add_change(const std::string& kind, const std::string& object, bool removed);

    std::map<std::string, std::map<std::string, stored>> objects; ///< by kind and name
    std::vector<change> history;
    std::list<waiter> waiting;
    std::uint64_t revision = 0;
    std::uint64_t history_from = 0;
    fake_http http;
    worksshift::timer ticker;
};

} // namespace fakes
