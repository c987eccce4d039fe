/** \file
 * Decides when one VM reads one kind of object from the platform's store, and processes the
 * responses: a list first, then watches that each continue from the revision of the last response,
 * and a new list if the store no longer holds the history since then.
 *
 * The store may be slow, be down, refuse only this VM, or answer with a state that is seconds old.
 * A failed call is repeated after a pause that doubles up to a limit, with jitter, so that the VMs
 * do not all return at once. Responses that are older than the known state change nothing. The
 * class reads no clock and makes no calls, so that fleets of any size can be simulated in one loop.
 */
#pragma once

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <sigc++/sigc++.h>

#include "call_timeouts.h"
#include "protocol.h"
#include "store_outage.h"

namespace worksshift {

/** Lists all objects, or the next page: those whose names sort after the last one of the previous
 * page. */
struct list_read {
    std::string after;
};
/** Waits for changes after a revision. */
struct watch_read {
    std::uint64_t revision = 0;
    milliseconds wait{};
};

/** A call to the store that is to be made. */
struct store_read {
    std::uint64_t number = 0; ///< identifies the call when its response is passed in
    read_mode mode = read_mode::stale;
    std::variant<list_read, watch_read> operation;
    call_timeouts limit;
};

/** Timing of the watches in one read mode. */
struct watch_timing {
    milliseconds wait;      ///< longest wait of a watch for a change
    duration batch_delay;   ///< pause between a response with changes and the next watch
    duration initial_pause; ///< pause after the first failure; doubles with each further one
    duration max_pause;
    duration first_watch_delay; ///< pause between a list and the first watch
};

class store_watch {
public:
    /** For linearizable watches, from which the fleet learns of changes. They are repeated 400 ms
     * after a change: a server that leaves must get no new work after two seconds, and this is a
     * fifth of that. A watch ends after at most 4 s, so that a lost response is noticed before a
     * new configuration is due. The first watch waits 1 s after the list: by then the VMs of a
     * fleet that starts know which few of them are to watch in this mode. */
    static constexpr watch_timing linearizable_timing{milliseconds(4000), milliseconds(400),
                                                      milliseconds(150), milliseconds(1200),
                                                      milliseconds(1000)};
    /** For stale watches, which are a fallback for when no VM gets responses to linearizable ones.
     * While the store is unavailable many VMs call it, so each of them calls rarely. The first
     * watch waits 3 s after the list: in a fleet of 295 VMs it takes that long until all but a few
     * know that they need not watch. */
    static constexpr watch_timing stale_timing{milliseconds(12000), milliseconds(1500),
                                               milliseconds(600), milliseconds(5000),
                                               milliseconds(3000)};
    /** Allowance for the response to a watch, beyond the wait that was asked for. */
    static constexpr duration wait_grace = milliseconds(500);
    /** After a failure, watches use this wait until one is answered: with a long wait, a call to a
     * store that does not respond would delay noticing its return. So does the first linearizable
     * watch, which shows whether the store answers such calls. */
    static constexpr milliseconds probe_wait = milliseconds(1);
    static constexpr duration probe_timeout = milliseconds(700);
    /** A list is given up if no byte arrives for this long; one that is being received may take
     * longer. When 300 VMs start at once, each asks for a megabyte of entries, which takes the
     * store seconds. */
    static constexpr duration list_idle_timeout = milliseconds(1500);
    static constexpr duration list_timeout = seconds(10);
    explicit store_watch(object_kind kind, unsigned seed = std::random_device{}());

    /** Sets the read mode of the watches; std::nullopt: does not watch. If no list has been
     * completed, one is made in any case. */
    void set_mode(std::optional<read_mode> new_mode, instant now);
    /** The changes up to \p revision_received were received from another VM; the watch continues
     * after it. */
    void advance(std::uint64_t revision_received);

    /** The call to make now, or std::nullopt if none is due. Its response is to be passed to one of
     * the functions below. */
    std::optional<store_read> next(instant now);
    /** When the next call is due, or was; std::nullopt while a response is awaited or if there is
     * nothing to read. */
    [[nodiscard]] std::optional<instant> next_at() const;
    void handle_page(std::uint64_t number, object_page page, instant now);
    /** The store no longer holds the history since the watched revision. */
    void handle_history_gone(std::uint64_t number, instant now);
    /** The call failed, or its response is unusable. */
    void handle_failure(std::uint64_t number, std::string_view reason, instant now);

    /** Objects of one page of the first list, if more pages follow. */
    sigc::signal<void(const std::vector<stored_object>&)> on_partial_list;
    /** A complete list of the objects. */
    sigc::signal<void(const std::vector<stored_object>&)> on_list;
    /** Objects that changed, each once and in its newest state. */
    sigc::signal<void(const std::vector<stored_object>&)> on_changes;

    [[nodiscard]] object_kind kind() const { return this->watched_kind; }
    /** Whether this VM watches the store and the store answers. */
    [[nodiscard]] bool receives_updates() const
    {
        return this->mode.has_value() && this->listed && this->responding;
    }
    /** Whether a change reaches this VM as soon as the store has it: it watches linearizably, the
     * store has answered such a call since the mode was set, and no call has failed since. */
    [[nodiscard]] bool reads_linearizably() const
    {
        return this->receives_updates() && this->mode == read_mode::linearizable &&
               !this->awaits_confirmation();
    }
    /** Whether a response to the newest call is awaited. */
    [[nodiscard]] bool call_pending() const { return this->awaiting; }
    [[nodiscard]] bool reachable() const { return this->responding; }
    /** The first failed call since the store last answered; std::nullopt if the last call was
     * answered or none has ended. */
    [[nodiscard]] const std::optional<failed_call>& failing_call() const { return this->failing; }
    /** When the store last answered any call; the epoch: never. */
    [[nodiscard]] instant answered_at() const { return this->answered; }
    /** When the store last answered a linearizable call; the epoch: never. */
    [[nodiscard]] instant confirmed_at() const { return this->confirmed; }
    /** Revision of the newest change that was received. */
    [[nodiscard]] std::uint64_t changed_revision() const { return this->changed; }

private:
    [[nodiscard]] const watch_timing& timing() const;
    /** Whether this VM is to watch linearizably, and the store has answered no such call since. */
    [[nodiscard]] bool awaits_confirmation() const
    {
        return this->mode == read_mode::linearizable && this->confirmed < this->mode_set_at;
    }
    void prepare_list(const std::string& after);
    void prepare_watch();
    void wait_until(instant at) { this->due_at = at; }
    void apply_list(object_page page, instant now);
    void apply_changes(const object_page& page, instant now);
    void record_response(instant now);
    bool accept_response(std::uint64_t number);

    object_kind watched_kind;
    std::optional<read_mode> mode = read_mode::stale;
    instant mode_set_at{};
    std::uint64_t revision = 0; ///< the next watch asks for changes after this one
    std::uint64_t changed = 0;
    std::uint64_t list_revision = 0; ///< lowest revision of the pages of the list in progress
    std::vector<stored_object> listed_objects;
    bool listed = false;
    /** The next list must be linearizable, as a stale one would again be older than the known
     * revision. */
    bool list_linearizably = false;
    bool responding = false;
    std::optional<failed_call> failing;
    instant answered{};
    instant confirmed{};
    duration retry_pause{};  ///< after the last failure; zero: answered since
    std::uint64_t calls = 0; ///< number of the newest call
    store_read call;         ///< the newest
    bool awaiting = false;
    instant requested_at{};
    instant due_at{};
    instant listed_at{}; ///< when the last list was completed
    std::minstd_rand random;
};

} // namespace worksshift
