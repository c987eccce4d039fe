/** \file
 * When one VM reads one kind of object in the platform's store, and what it takes of the answers: a
 * list first, then a watch that goes on from where the last call ended, and a new list when the
 * store's history is gone.
 *
 * The store may be slow, down, refuse just this VM, or answer with a state that is seconds old. A
 * failed call is repeated after a pause that doubles up to a limit, with jitter, so that the VMs do
 * not come back all at once; what is older than what is known changes nothing. Reads no clock and
 * makes no call, so that fleets of any size can be run in one loop.
 */
#pragma once

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <sigc++/sigc++.h>

#include "call_limit.h"
#include "protocol.h"
#include "store_outage.h"

namespace worksshift {

/** A list of all objects, or of those behind the name where the last page ended. */
struct list_read {
    std::string after;
};
/** A wait for changes behind a revision. */
struct watch_read {
    std::uint64_t revision = 0;
    milliseconds wait{};
};

/** A call to the store. */
struct store_read {
    std::uint64_t number = 0; ///< its answer is to be given under this number
    read_mode mode = read_mode::stale;
    std::variant<list_read, watch_read> what;
    call_limit limit;
};

/** How one VM watches in a mode. */
struct watch_pace {
    milliseconds wait;    ///< for a change, at most
    duration gather;      ///< between an answer with changes and the next watch
    duration first_pause; ///< after a failure; each further one is twice as long
    duration longest_pause;
    duration after_list; ///< between a list and the first watch
};

class store_watch {
public:
    /** Linearizable watches bring the news, so they ask again soon after a change: a server that
     * leaves must get no new work two seconds later, and this is a fifth of that. They end soon
     * enough that one whose answer was lost is noticed before a new configuration is due. When a
     * fleet starts, its VMs know after a second which few of them watch in this way. */
    static constexpr watch_pace prompt_pace{milliseconds(4000), milliseconds(400),
                                            milliseconds(150), milliseconds(1200),
                                            milliseconds(1000)};
    /** Stale ones stand by in case that nobody else brings the news. While the store is away many
     * VMs ask for it, so each of them can do so rarely. After a start it takes three seconds until
     * all but a few know that they are not needed (295 VMs). */
    static constexpr watch_pace standby_pace{milliseconds(12000), milliseconds(1500),
                                             milliseconds(600), milliseconds(5000),
                                             milliseconds(3000)};
    /** Beyond its wait, an answer to a watch is late by so much at most. */
    static constexpr duration wait_grace = milliseconds(500);
    /** After a failure, calls do not wait for a change until one was answered: a store that is
     * silent must not hold the call that would notice its return. */
    static constexpr milliseconds probe_wait = milliseconds(1);
    static constexpr duration probe_timeout = milliseconds(700);
    /** A list without a byte for so long is given up; one that is being sent may take longer. When
     * 300 VMs start at once, each asks for a megabyte of entries, which takes the store seconds. */
    static constexpr duration list_silence = milliseconds(1500);
    static constexpr duration list_timeout = seconds(10);
    explicit store_watch(object_kind kind, unsigned seed = std::random_device{}());

    /** Watches in a mode, or not at all. A list that is needed first is made in any case. */
    void set_mode(std::optional<read_mode> wanted, instant now);
    /** What happened up to \p revision was learnt from elsewhere; the watch goes on behind it. */
    void advance(std::uint64_t known);

    /** The call that is due, if any. Its answer is to be given to one of the functions below. */
    std::optional<store_read> next(instant now);
    /** When a call is due, or was; nothing while an answer is awaited. */
    [[nodiscard]] std::optional<instant> next_at() const;
    void take_page(std::uint64_t number, object_page page, instant now);
    /** The store has dropped the history behind the watched revision. */
    void take_history_gone(std::uint64_t number, instant now);
    /** No answer, or none that is of use. */
    void take_failure(std::uint64_t number, std::string_view reason, instant now);

    /** The objects of a page of the first list; more pages follow. */
    sigc::signal<void(const std::vector<stored_object>&)> on_first_part;
    /** All objects there are. */
    sigc::signal<void(const std::vector<stored_object>&)> on_list;
    /** Objects that changed, each in its newest state. */
    sigc::signal<void(const std::vector<stored_object>&)> on_changes;

    [[nodiscard]] object_kind kind() const { return this->followed; }
    /** Watches, and is answered. */
    [[nodiscard]] bool follows() const
    {
        return this->mode.has_value() && this->listed && this->answering;
    }
    /** Whether the answer to the newest call is awaited. */
    [[nodiscard]] bool awaits() const { return this->awaiting; }
    [[nodiscard]] bool reachable() const { return this->answering; }
    /** The first of the calls that fail; nothing: the last was answered, or none has ended. */
    [[nodiscard]] const std::optional<failed_call>& failing_call() const { return this->failing; }
    /** When the store last answered any call; never: the epoch. */
    [[nodiscard]] instant answered_at() const { return this->answered; }
    /** When the store last answered a linearizable call; never: the epoch. */
    [[nodiscard]] instant confirmed_at() const { return this->confirmed; }
    /** Revision of the newest change that was received. */
    [[nodiscard]] std::uint64_t changed_revision() const { return this->changed; }

private:
    [[nodiscard]] const watch_pace& pace() const;
    void list(const std::string& after);
    void watch();
    void wait_until(instant at) { this->due_at = at; }
    void take_list(object_page page, instant now);
    void take_changes(const object_page& page, instant now);
    void note_answer(instant now);
    bool answers(std::uint64_t number);

    object_kind followed;
    std::optional<read_mode> mode = read_mode::stale;
    std::uint64_t revision = 0; ///< from which the next watch goes on
    std::uint64_t changed = 0;
    std::uint64_t list_from = 0; ///< revision of the oldest page of the list under way
    std::vector<stored_object> gathered;
    bool listed = false;
    /** The list is to be linearizable: an older one would end in the same way. */
    bool fresh_list = false;
    bool answering = false;
    std::optional<failed_call> failing;
    instant answered{};
    instant confirmed{};
    duration pause{};        ///< after the last failure; zero: it was answered since
    std::uint64_t calls = 0; ///< number of the newest call
    store_read call;         ///< the newest
    bool awaiting = false;
    instant asked_at{};
    instant due_at{};
    instant listed_at{}; ///< the last list was whole
    std::minstd_rand random;
};

} // namespace worksshift
