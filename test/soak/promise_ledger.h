/** \file
 * What callers asked and got, what servers ran, and which promises that breaks.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ids.h"

namespace soak {

/** A route of the soak's configuration. */
struct route_facts {
    std::string_view path;
    std::string_view method;
    std::string_view service;
    unsigned attempts;
    bool stream;
    bool repeatable;
};

const std::vector<route_facts>& routes();

/** Events of each whole stream. */
constexpr unsigned events_in_stream = 4;

/** The body of the whole answer to a request. */
std::string whole_body(const route_facts& route, const std::string& id);

/** One request, from both sides. */
struct asked_request {
    std::string id;
    const route_facts* route = nullptr;
    std::size_t router = 0;
    unsigned router_life = 0;
    std::uint64_t key = 0; ///< version of the configuration that added its key; 0: always allowed
    worksshift::instant sent{};
    worksshift::instant left{};     ///< the caller went away; the epoch: it did not
    worksshift::instant answered{}; ///< or its connection ended; the epoch: not yet
    int status = 0;
    bool whole = false;
    unsigned runs = 0;
    unsigned sound_runs = 0;          ///< of which the server answered, or would have, as it should
    unsigned at_work = 0;             ///< runs that have not ended
    std::vector<std::string> servers; ///< that ran it
};

/** One configuration that the store confirmed. */
struct confirmed_config {
    std::uint64_t version = 0;
    worksshift::instant at{};
};

class promise_ledger {
public:
    /** After a confirmation, until it is in force; of servers that leave, too. */
    static constexpr worksshift::duration in_force_within = worksshift::milliseconds(2000);
    /** Undisturbed for so long, a router must keep the promises that have a time. */
    static constexpr worksshift::duration calm_after = worksshift::milliseconds(3000);
    /** Of the routes, and for the answer to come after it. */
    static constexpr worksshift::duration timeout = worksshift::milliseconds(1500);
    static constexpr worksshift::duration answer_slack = worksshift::milliseconds(700);
    /** After a caller has left, until its server is told. */
    static constexpr worksshift::duration cancelled_within = worksshift::milliseconds(800);
    /** Bound on repeats to a service. */
    static constexpr double retry_ratio = 0.2;
    static constexpr double retry_slack = 50;
    static constexpr worksshift::duration retry_window = worksshift::seconds(10);

    explicit promise_ledger(std::size_t routers) : lives(routers) {}

    asked_request& ask(const asked_request& given);
    [[nodiscard]] asked_request* find(const std::string& id);
    void take_run(const std::string& server, const std::string& request, bool sound,
                  worksshift::instant now);
    void take_refusal(const std::string& request, worksshift::instant now);
    void end_run(const std::string& request);
    /** The caller's connection has all that will come: the answer, or its end. */
    void take_answer(asked_request& item, const std::string& received, worksshift::instant now);
    /** Looks at what should have happened by now. */
    void check(worksshift::instant now);

    void take_config(std::uint64_t version, worksshift::instant now);
    void take_leaving(const std::string& server, worksshift::instant now);
    /** A router was killed, paused, or cut off from something. */
    void disturb(std::size_t router, worksshift::instant now);
    void disturb_all(worksshift::instant now);
    /** A router was told to stop; its bounds in time are off, what it took must be answered. */
    void stop(std::size_t router, worksshift::instant now) { this->lives[router].stopped = now; }
    /** The way to a server, or the server, fails for a while. */
    void harm(const std::string& server, worksshift::instant now) { this->harmed[server] = now; }
    void start_life(std::size_t router, worksshift::instant now);
    [[nodiscard]] unsigned life(std::size_t router) const { return this->lives[router].number; }

    std::vector<std::string> broken;
    std::size_t asked = 0;
    std::size_t served = 0;
    std::map<int, std::size_t> by_status; ///< 0: no answer; of callers that stayed

private:
    struct router_life {
        unsigned number = 0;
        std::uint64_t newest_key = 0; ///< seen in force
        worksshift::instant seen{};
        worksshift::instant disturbed{};
        worksshift::instant stopped{};
    };

    void report(const std::string& what, const asked_request& item);
    void check_forwarded(const asked_request& item, const std::string& request);
    void check_leaving(const std::string& server, const asked_request& item,
                       worksshift::instant now);
    void check_retries(const route_facts& route, worksshift::instant now, bool repeat);
    void check_body(const asked_request& item, const std::string& received);
    /** Whether a server that ran it, or the way there, failed lately. */
    [[nodiscard]] bool was_harmed(const asked_request& item, worksshift::instant now) const;
    void check_lost(const asked_request& item, worksshift::instant now);
    void check_key(const asked_request& item);
    /** Undisturbed from some seconds before a request until now; \p bounds: not stopped either. */
    [[nodiscard]] bool calm(const asked_request& item, bool bounds) const;
    [[nodiscard]] worksshift::instant replaced_at(std::uint64_t version) const;
    [[nodiscard]] worksshift::instant confirmed_at(std::uint64_t version) const;

    std::map<std::string, asked_request> requests;
    std::deque<std::string> recent; ///< ids in the order in which they were asked
    std::vector<confirmed_config> configs;
    std::map<std::string, worksshift::instant> left_at;
    std::map<std::string, worksshift::instant> harmed;
    std::vector<router_life> lives;
    struct arrivals {
        std::deque<worksshift::instant> firsts;
        std::deque<worksshift::instant> repeats;
    };
    std::map<std::string_view, arrivals> to_service;
};

} // namespace soak
