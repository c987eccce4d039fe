/** \file
 * Follows one kind of object in the platform's store: a list first, then a watch that goes on from
 * where the last call ended, and a new list when the store's history is gone.
 *
 * The store may be slow, down, or refuse just this VM. Every call has a timeout of its own, and a
 * failed one is repeated after a pause that doubles up to a limit, with jitter, so that the VMs do
 * not come back all at once. What was learnt stays in force meanwhile.
 */
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "http_call.h"
#include "protocol.h"

namespace worksshift {

class object_watch {
public:
    /** Time a watch waits for a change unless told otherwise. Longer ones cost fewer calls; after a
     * cut, a watch whose answer was lost is noticed within this and the grace. */
    static constexpr milliseconds default_wait = milliseconds(3000);
    static constexpr duration wait_grace = milliseconds(500);
    /** After a failure, calls do not wait for a change until one was answered: a store that is
     * silent must not hold the call that would notice its return. */
    static constexpr milliseconds probe_wait = milliseconds(1);
    static constexpr duration probe_timeout = milliseconds(700);
    /** A list without a byte for so long is given up; one that is being sent may take longer. When
     * 300 VMs start at once, each asks for a megabyte of entries, which takes the store seconds. */
    static constexpr duration list_silence = milliseconds(1500);
    static constexpr duration list_timeout = seconds(10);
    static constexpr duration first_pause = milliseconds(150);
    static constexpr duration longest_pause = milliseconds(1200);
    /** Between an answer and the next watch, so that changes in quick succession share a call. A
     * server that leaves must get no new work two seconds later; this is a fifth of that. */
    static constexpr duration gather = milliseconds(400);
    /** Between a list and the first watch. When a fleet starts, its servers register one by one,
     * and by then it is known which VMs watch: at 80 VMs the calls of the first five seconds fell
     * from 1,080 to 380. */
    static constexpr duration after_list = milliseconds(500);

    object_watch(event_base* base, http_caller& caller, const link_address& store,
                 const protocol& dialect, object_kind kind);

    void start() { this->list({}); }

    /** Stops to ask, or goes on from where it is. */
    void set_active(bool value);
    /** What happened up to \p revision was learnt from elsewhere; the watch goes on behind it. */
    void advance(std::uint64_t revision);
    /** Time that a watch waits, with jitter. */
    void set_wait(milliseconds span) { this->span = span; }

    /** The objects of a page of the first list; more pages follow. */
    sigc::signal<void(const std::vector<stored_object>&)> on_first_part;
    /** All objects there are. */
    sigc::signal<void(const std::vector<stored_object>&)> on_list;
    sigc::signal<void(const stored_object&)> on_change;
    /** The store answers again after a failure, or has stopped to. */
    sigc::signal<void(bool)> on_reachable;

    [[nodiscard]] bool reachable() const { return this->answering; }
    /** Asks, and is answered. */
    [[nodiscard]] bool follows() const { return this->active && this->listed && this->answering; }
    /** When the store last came back. */
    [[nodiscard]] instant regained_at() const { return this->regained; }
    /** How often an object was met whose name cannot be read. */
    [[nodiscard]] std::uint64_t unreadable() const { return this->unreadable_total; }
    /** Revision of the newest change that was received. */
    [[nodiscard]] std::uint64_t changed_revision() const { return this->changed; }

private:
    void list(const std::string& after);
    void watch();
    void go_on();
    void call(const std::string& path, const call_limit& limit,
              void (object_watch::*take)(const http_response&));
    void take_list(const http_response& response);
    void take_changes(const http_response& response);
    std::optional<object_page> decode(const http_response& response, const char* step);
    void fail(int status, const char* step, std::string_view reason);
    void note_answer();

    http_caller& caller;
    link_address store;
    const protocol& dialect;
    object_kind kind;
    timer next;
    std::vector<stored_object> gathered;
    std::uint64_t revision = 0;
    std::uint64_t changed = 0;
    std::uint64_t unreadable_total = 0;
    std::uint64_t calls = 0; ///< number of the call whose answer is awaited
    milliseconds span = default_wait;
    bool active = true;
    bool listed = false;
    bool answering = false;
    instant regained{};
    duration pause = first_pause;
    std::minstd_rand random{std::random_device{}()};
};

} // namespace worksshift
