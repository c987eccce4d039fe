/** \file
 * Detects requests that crash servers, and blocks them after three crashes.
 *
 * Such a request is identified by its content, because each repeat has a new id and may arrive at
 * any VM. A server that crashes takes many requests with it, and usually one of them is the cause.
 * Each VM reports the contents of the requests it had in flight there, and digests distribute the
 * reports to all VMs. A content that was in flight when three servers crashed, and that got no
 * response since, is blocked. These crashes are then explained, and no longer count against the
 * other contents that were in flight there. One VM retries a blocked content after a long pause, so
 * that a content blocked by coincidence is released. The caller passes in the time.
 *
 * A part of a prompt may crash every server that begins to respond to a request with it, whatever
 * else the request contains. So the shared parts of a prompt are suspects, too: those of
 * requests to which a server had not begun to respond when it crashed. A part with which any server
 * begins to respond is cleared. Before a part is blocked, the VMs that received such a
 * response get time to report it.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_digest.h"
#include "ids.h"
#include "request_content.h"

namespace worksshift {

/** Number of server crashes after which a content is blocked. With two, a request that was resent
 * from one crashed server to another would often be taken for the cause. */
constexpr std::size_t crashes_until_blocked = 3;
/** A blocked content is retried after this pause, which doubles with each unsuccessful trial, up to
 * `max_trial_delay`. Each trial may crash a server and lose all requests in flight there. */
constexpr duration initial_trial_delay = seconds(60);
constexpr duration max_trial_delay = seconds(600);
/** The same for a part of a prompt: while requests with it arrive, hardly any trial may be made. */
constexpr duration initial_part_trial_delay = seconds(600);
constexpr duration max_part_trial_delay = seconds(3600);
/** A part is blocked this long after its third crash, unless a response to a request with it is
 * reported. */
constexpr duration part_confirmation_time = milliseconds(800);
/** A VM neither blocks a part with which a server began to respond to it within this time, nor
 * accepts that another VM does. */
constexpr duration answered_part_lifetime = seconds(30);
/** Maximum number of parts whose last response is remembered. */
constexpr std::size_t max_answered_parts = 8192;
/** A suspect is dropped after this time without a change of its state. */
constexpr duration suspect_retention = seconds(1800);
/** Maximum number of suspects; the one unchanged for longest is evicted, unblocked ones first. */
constexpr std::size_t max_suspects = 1024;
/** Maximum number of remembered crashes that a blocked content explains; the oldest are evicted. */
constexpr std::size_t max_explained_crashes = 1024;
/** Maximum number of remembered crashes per content from before a response to it. They are
 * kept so that a late report of one does not count again. */
constexpr std::size_t max_answered_crashes = 64;
/** Number of digests in which each report is sent, as datagrams may be lost. */
constexpr unsigned report_repeats = 3;
/** Maximum length of each queue of unsent reports, and of the list of attempts whose servers are
 * still to be checked. Entries beyond it are dropped. */
constexpr std::size_t max_pending_reports = 256;

/** Identifies one incarnation of a server, the time from one start to the next. A server that
 * restarts under its id gets a new one. */
enum class server_incarnation : std::uint32_t {};

/** State of a blocked content. */
struct block_state {
    duration until_trial{}; ///< time until a VM may retry it; zero: not blocked for certain yet
    bool trial_due = false; ///< the VM that makes the fleet's trials may send it once now
};

/** Contents of requests that may have crashed servers, as one VM knows of them. */
class crash_suspects {
public:
    /** The connection of an attempt of this VM broke. It counts as a crash once `on_checked`
     * confirms that the server has exited. */
    void on_attempt_broken(content_key content, server_incarnation server, instant now);
    /** Result of the check of a server whose attempts broke off. \p exited: its process no longer
     * runs. */
    void on_checked(server_incarnation server, bool exited, instant now);
    /** A server responded to a request with the content, or began to respond to one with the part,
     * which clears it. */
    void on_answered(content_key content, instant now);
    /** Whether servers crashed under the content or part, so that a request with it should not be
     * sent to another server for now. */
    [[nodiscard]] bool suspicious(content_key content, instant now) const;
    /** A request was refused because the content or part is blocked. */
    void on_refused(content_key content, instant now);

    /** std::nullopt if the content may be sent. */
    [[nodiscard]] std::optional<block_state> blocked(content_key content, instant now) const;
    /** The part that blocks a request with these parts, and its state; std::nullopt if it may be
     * sent. Parts under which the same servers crashed block it only together, as any of them may
     * be the cause. */
    [[nodiscard]] std::optional<std::pair<content_key, block_state>>
    blocked_part(std::span<const content_key> parts, instant now) const;
    /** Records that the blocked content is sent once. The trial counts as unsuccessful until a
     * server responds. */
    void begin_trial(content_key content, instant now);

    /** Applies the reports in another VM's digest. \p local: the sender is in the same data centre.
     * Returns whether there is an update that other VMs should get soon. */
    bool handle_digest(const fleet_digest& received, bool local, instant now);
    /** Fills in the blocked contents, and the reports for VMs of this data centre. */
    void fill_digest(fleet_digest& digest, instant now);
    /** Returns the next reports for VMs of other data centres. */
    std::vector<crash_report> reports_to_remote_vms();
    /** Drops expired entries. */
    void expire(instant now);

    /** Whether a content or part was blocked since the last call. */
    bool take_newly_blocked() { return std::exchange(this->newly_blocked, false); }
    /** Whether there was an update since the last call that other VMs should get soon. */
    bool take_urgent() { return std::exchange(this->urgent, false); }
    [[nodiscard]] std::size_t blocked_contents() const;
    [[nodiscard]] std::size_t suspect_count() const { return this->suspects.size(); }

private:
    struct suspect {
        std::set<server_incarnation> crashes;          ///< crashes that count against it
        std::set<server_incarnation> answered_crashes; ///< crashes from before a response to it
        instant changed{}; ///< last time a crash was added, or it was blocked, retried or cleared
        instant suspected_at{}; ///< when the number of crashes reached the limit
        instant refused_at{};   ///< last request that was refused because of it
        bool is_blocked = false;
        bool cleared = false;    ///< a server responded to it while it was blocked or close to that
        std::uint8_t trials = 0; ///< unsuccessful trials since it was blocked
    };
    struct pending_report {
        crash_report report;
        unsigned remaining_sends = 0;
    };
    struct broken_attempt {
        content_key content{};
        server_incarnation server{};
        instant broken_at{};
    };

    bool add_report(const crash_report& report, instant now);
    void block_suspects(instant now);
    [[nodiscard]] bool includes_ties(content_key part, std::span<const content_key> parts) const;
    void clear_explained_parts(instant now);
    [[nodiscard]] bool is_candidate(content_key content, const suspect& found, instant now) const;
    [[nodiscard]] static bool is_confirmed(content_key content, const suspect& found, instant now);
    void remember_answer(content_key part, instant now);
    [[nodiscard]] bool answered_recently(content_key part, instant now) const;
    bool object_to_block(content_key part, suspect& found, instant now);
    void block_content(content_key content, suspect& found, instant now);
    void mark_explained(const std::set<server_incarnation>& crashes);
    void clear(suspect& found, instant now);
    void evict_oldest();
    bool apply_blocked(const blocked_content& received, instant now);
    void enqueue(std::vector<pending_report>& to, const crash_report& report);
    std::vector<crash_report> next_reports(std::vector<pending_report>& from) const;
    [[nodiscard]] std::size_t crashes_of(content_key content) const;
    [[nodiscard]] std::size_t crashes_with_unchecked(content_key content) const;

    std::map<content_key, suspect> suspects;
    std::vector<broken_attempt> unchecked_attempts;
    std::vector<server_incarnation> explained_crashes;
    std::vector<pending_report> for_local_vms;
    std::vector<pending_report> for_remote_vms;
    std::unordered_map<content_key, instant> answered_parts; ///< time of the last response
    bool urgent = false;
    bool newly_blocked = false;
};

} // namespace worksshift
