/** \file
 * Records the requests that callers sent, their responses and the runs at servers, and reports the
 * guarantees of the router that were violated.
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
struct route_properties {
    std::string_view path;
    std::string_view method;
    std::string_view service;
    unsigned attempts; ///< maximum number of runs of a request
    bool stream;
    bool repeatable; ///< may be run again at another server
    worksshift::milliseconds timeout{1500};
    worksshift::milliseconds deadline{2000}; ///< that its callers state
};

const std::vector<route_properties>& routes();
/** Streams that last for seconds, so that they outlast most of a stop. */
const route_properties& long_stream_route();

/** Versions of the servers' software. */
inline const std::vector<std::string> software_versions{"v1", "v2"};

/** Number of events of a complete stream. */
constexpr unsigned events_in_full_stream = 4;

/** The body of a complete response to a request, from a server of this software version; of a
 * stream, the events after \p after. */
std::string complete_body(const route_properties& route, const std::string& id,
                          const std::string& version, unsigned after = 0);

/** One request, as seen by its caller and by the servers. */
struct request_record {
    std::string id;
    const route_properties* route = nullptr;
    std::size_t router = 0;
    unsigned router_incarnation = 0;
    std::string resumes; ///< id of the request that brought the stream's first event; or empty
    unsigned resume_after = 0; ///< last event that its caller has
    std::string version;       ///< of the software that wrote the stream; empty: no event yet
    std::uint64_t key_config_version =
        0; ///< configuration version that added its API key; 0: in all versions
    worksshift::instant sent{};
    worksshift::instant left{};     ///< when the caller left; the epoch: it did not
    worksshift::instant answered{}; ///< response or end of connection; the epoch: none yet
    int status = 0;
    bool complete = false;            ///< the response is complete
    unsigned runs = 0;                ///< number of runs at servers that began
    unsigned successful_runs = 0;     ///< runs whose server responds correctly, unless cancelled
    unsigned active_runs = 0;         ///< runs that have not ended
    std::vector<std::string> servers; ///< ids of the servers that ran it
};

/** A configuration whose write the store confirmed. */
struct confirmed_config {
    std::uint64_t version = 0;
    worksshift::instant at{};
};

/** Checks the guarantees while a run goes on; violations are collected in `broken`. */
class guarantee_checker {
public:
    /** Time after which a confirmed configuration must be in force, and a leaving server must get
     * no new requests. */
    static constexpr worksshift::duration max_propagation_time = worksshift::milliseconds(2000);
    /** A router must keep guarantees with a deadline once it had no fault for this time. */
    static constexpr worksshift::duration min_undisturbed_time = worksshift::milliseconds(3000);
    /** Time after a route's timeout in which the response must reach the caller. */
    static constexpr worksshift::duration response_slack = worksshift::milliseconds(700);
    /** Time after a caller leaves in which the run of its request must be cancelled. */
    static constexpr worksshift::duration max_cancel_delay = worksshift::milliseconds(800);
    /** A stop may cut a request off from this time on, if it was sent early in the stop. */
    static constexpr worksshift::duration stop_may_cut_after = worksshift::milliseconds(6667);
    static constexpr worksshift::duration early_in_a_stop = worksshift::seconds(3);
    /** Bound on retries to a service: ratio of the requests in two windows, plus the slack. */
    static constexpr double retry_ratio = 0.2;
    static constexpr double retry_slack = 50;
    static constexpr worksshift::duration retry_window = worksshift::seconds(10);

    explicit guarantee_checker(std::size_t routers) : incarnations(routers) {}

    request_record& record_request(const request_record& request);
    [[nodiscard]] request_record* find(const std::string& id);
    void record_run(const std::string& server, const std::string& request, bool succeeds,
                    worksshift::instant now);
    void record_refusal(const std::string& request, worksshift::instant now);
    void record_run_end(const std::string& request);
    /** Called when the response is complete or the caller's connection has ended. */
    void record_response(request_record& sent_request, const std::string& received,
                         worksshift::instant now);
    /** Checks the guarantees whose deadline has passed, and forgets old requests. */
    void check(worksshift::instant now);

    void record_config(std::uint64_t version, worksshift::instant now);
    void record_leaving(const std::string& server, worksshift::instant now);
    /** A router was killed, paused, or a connection of it failed. */
    void note_disturbance(std::size_t router, worksshift::instant now);
    void note_disturbance_of_all(worksshift::instant now);
    /** A router was asked to stop. Guarantees with a deadline are off, but it must still answer
     * the requests that it accepted. */
    void stop(std::size_t router, worksshift::instant now)
    {
        worksshift::instant& stopped = this->incarnations[router].stopped;
        if (stopped == worksshift::instant{}) stopped = now;
    }
    /** A server or the connections to it have a fault. */
    void note_server_fault(const std::string& server, worksshift::instant now)
    {
        this->faulty_since[server] = now;
    }
    /** The way to a server delays or holds bytes. */
    void note_link_fault(const std::string& server, worksshift::instant now)
    {
        this->note_server_fault(server, now);
        this->link_faulty_since[server] = now;
    }
    void start_incarnation(std::size_t router, worksshift::instant now);
    [[nodiscard]] unsigned incarnation(std::size_t router) const
    {
        return this->incarnations[router].number;
    }

    std::vector<std::string> broken;
    std::size_t requests_sent = 0;
    std::size_t served = 0;
    std::size_t resumed = 0; ///< streams that callers took up and that were served to their end
    std::map<int, std::size_t> by_status; ///< responses to callers that did not leave; 0: none

private:
    struct router_incarnation {
        unsigned number = 0;
        std::uint64_t newest_key = 0;             ///< newest configuration whose key was accepted
        worksshift::instant newest_key_seen_at{}; ///< when it was first accepted
        worksshift::instant disturbed{};
        worksshift::instant stopped{};
    };

    void report(const std::string& violation, const request_record& sent_request);
    void check_forwarded(const request_record& sent_request, const std::string& request);
    void check_leaving(const std::string& server, const request_record& sent_request,
                       worksshift::instant now);
    void check_retries(const route_properties& route, worksshift::instant now, bool is_retry);
    void check_body(request_record& sent_request, const std::string& received);
    /** Whether a server that ran it, or the connections to that server, had a fault recently. */
    [[nodiscard]] bool had_server_fault(const request_record& sent_request,
                                        worksshift::instant now) const;
    /** Whether the way to the server may have held the request on its way there. */
    [[nodiscard]] bool may_have_been_held(const std::string& server,
                                          const request_record& sent_request) const;
    /** When the server or the connections to it last had a fault, for reports. */
    [[nodiscard]] std::string describe_fault(const std::string& server,
                                             worksshift::instant now) const;
    void check_lost(const request_record& sent_request, worksshift::instant now);
    [[nodiscard]] bool may_be_cut_by_stop(const request_record& sent_request,
                                          worksshift::instant now) const;
    void check_key(const request_record& sent_request);
    /** Whether the router had no fault from min_undisturbed_time before the request until now; with
     * \p must_be_running, whether it was not asked to stop either. */
    [[nodiscard]] bool is_undisturbed(const request_record& sent_request,
                                      bool must_be_running) const;
    [[nodiscard]] worksshift::instant replaced_at(std::uint64_t version) const;
    [[nodiscard]] worksshift::instant confirmed_at(std::uint64_t version) const;

    std::map<std::string, request_record> requests;
    std::deque<std::string> recent; ///< ids, oldest first
    std::vector<confirmed_config> configs;
    std::map<std::string, worksshift::instant> leaving_since;
    std::map<std::string, worksshift::instant> faulty_since;      ///< latest fault, by server
    std::map<std::string, worksshift::instant> link_faulty_since; ///< the same, of the way there
    std::vector<router_incarnation> incarnations;
    struct arrivals {
        std::deque<worksshift::instant> first_attempts;
        std::deque<worksshift::instant> retries;
    };
    std::map<std::string_view, arrivals> arrivals_by_service;
};

} // namespace soak
