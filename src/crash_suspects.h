/** \file
 * Requests under which servers end: such a request is known by its content, as each of its repeats
 * has an id of its own and may come to any VM, and is not sent any more once three servers have
 * ended under it.
 *
 * A server that ends takes many requests with it, and one of them is to blame. Each VM reports
 * which contents it had under way there, digests carry the reports to all VMs, and a content that
 * was under way at the end of three servers, and was not answered by any since, is blocked. The
 * three ends then clear the others that were there. One VM tries a blocked content after a long
 * pause, so that one blocked by coincidence comes free. Reads no clock.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fleet_digest.h"
#include "ids.h"
#include "request_content.h"

namespace worksshift {

/** Servers that end under a content until it is blocked. With two, requests that were sent on from
 * one failing server to another would often be taken for the cause. */
constexpr std::size_t ends_until_blocked = 3;
/** A blocked content is tried after this pause, doubled with each trial under which a server ended,
 * up to the longest. Each trial may cost a server and all that runs there. */
constexpr duration first_trial_after = seconds(60);
constexpr duration longest_until_trial = seconds(600);
/** Nothing is remembered of a content for longer than this after a server last ended under it. */
constexpr duration suspects_remembered_for = seconds(1800);
/** Contents that are remembered; the oldest make room. */
constexpr std::size_t suspects_at_most = 1024;
/** Ends of servers that are remembered as explained by a blocked content; likewise. */
constexpr std::size_t explained_at_most = 1024;
/** Ends that are remembered of a content which was answered since, so that a late report of one
 * does not count. */
constexpr std::size_t settled_at_most = 64;
/** Each report is told in so many rounds, as datagrams get lost. */
constexpr unsigned report_tellings = 3;
/** Reports that wait to be told, and attempts whose servers are to be checked; further ones are
 * left out. */
constexpr std::size_t reports_waiting_at_most = 256;

/** One life of a server. A server that starts again under its id has another. */
enum class server_life : std::uint32_t {};

/** Why a content is not sent. */
struct block {
    duration until_trial{}; ///< until a VM may try it again; zero: not decided yet
    bool trial_due = false; ///< the VM that makes the fleet's trials may send it once
};

class crash_suspects {
public:
    /** This VM's attempt at a server broke off. It counts once the server is known to have ended.
     */
    void on_broken(content_key content, server_life server, instant now);
    /** Whether the server of broken attempts has ended. */
    void on_checked(server_life server, bool ended, instant now);
    /** A server ran the content and gave an answer of its own. */
    void on_answered(content_key content, instant now);

    /** Nothing: the content may be sent. */
    [[nodiscard]] std::optional<block> blocked(content_key content, instant now) const;
    /** The content, which is blocked, is sent once. It counts as in vain until a server answers. */
    void begin_trial(content_key content, instant now);

    /** \p near: the sender is of this VM's data centre. Returns whether it told something new that
     * others should hear soon. */
    bool take_digest(const fleet_digest& told, bool near, instant now);
    /** Fills in which contents are blocked, and the reports for VMs of this data centre. */
    void describe(fleet_digest& digest, instant now);
    /** Reports for VMs of other data centres. */
    std::vector<crash_report> reports_to_distant();
    /** Drops what is too old. */
    void forget(instant now);

    /** Whether others should hear soon of what was learnt since the last call. */
    bool take_urgent() { return std::exchange(this->urgent, false); }
    [[nodiscard]] std::size_t blocked_contents() const;
    [[nodiscard]] std::size_t remembered() const { return this->suspects.size(); }

private:
    struct suspect {
        std::set<server_life> ends;    ///< under which it is not cleared
        std::set<server_life> settled; ///< before a server answered it
        instant changed{}; ///< a server ended under it, it was blocked, tried or cleared
        bool is_blocked = false;
        bool cleared = false; ///< a server answered it when it was blocked or nearly so
        std::uint8_t trials = 0;
    };
    struct told_report {
        crash_report report;
        unsigned tellings = 0;
    };
    struct broken_attempt {
        content_key content{};
        server_life server{};
        instant at{};
    };

    bool add(const crash_report& report, instant now);
    void judge(instant now);
    void convict(content_key content, suspect& found, instant now);
    void explain(const std::set<server_life>& ends);
    void clear(suspect& found, instant now);
    void make_room();
    bool take_blocked(const blocked_content& told, instant now);
    void queue(std::vector<told_report>& to, const crash_report& report);
    std::vector<crash_report> next_reports(std::vector<told_report>& from) const;
    [[nodiscard]] std::size_t ends_of(content_key content) const;
    [[nodiscard]] std::size_t ends_with_unchecked(content_key content) const;

    std::map<content_key, suspect> suspects;
    std::vector<broken_attempt> unchecked;
    std::vector<server_life> explained;
    std::vector<told_report> for_near;
    std::vector<told_report> for_distant;
    bool urgent = false;
};

} // namespace worksshift
