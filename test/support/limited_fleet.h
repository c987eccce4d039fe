/** \file
 * Simulates a fleet in front of servers that crash when they reject more requests in a second than
 * they state, in one loop without sockets or clocks: the product's gossip, division of slots and
 * relaying run against a model of servers and callers, while VMs start, stop, lose each other and
 * are suspended.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "admission.h"
#include "relay_selection.h"
#include "server_table.h"
#include "support/digest_fleet.h"

namespace support {

struct limited_fleet_options {
    std::size_t vms = 62;
    std::size_t data_centres = 4;
    std::size_t servers = 7;
    std::uint32_t slots = 6;
    bool engines = false;        ///< model engines, which report their load
    double requests_per_s = 264; ///< of all callers
    worksshift::duration work =
        worksshift::milliseconds(60); ///< mean time of a request at a server
    std::uint32_t limit = 2;          ///< rejections per second that a server survives
    /** Share of the requests that a server goes on with after their connection was closed. */
    double orphan_share = 0.5;
    /** Engines report their load with the first event only; otherwise also with the last. */
    bool loads_in_heads_only = false;
    /** Exponent of the popularity of prompts: that of the n-th is 1 / n^skew. */
    double prompt_skew = 0;
    std::uint64_t seed = 1;
};

class limited_fleet {
public:
    explicit limited_fleet(const limited_fleet_options& options);

    void run(worksshift::duration span);
    /** The VM's process ends; the connections of its callers and to its servers are closed. */
    void stop(std::size_t vm);
    /** Starts the VM's process: one that was stopped, or a VM that is new to the fleet. */
    void start(std::size_t vm);
    /** Stops the VM's process and starts it again after \p down. */
    void restart(std::size_t vm, worksshift::duration down);
    /** The VM exchanges no digests with the others, but reaches the servers. */
    void set_cut(std::size_t vm, bool cut);
    /** The VM does nothing for \p span. */
    void suspend(std::size_t vm, worksshift::duration span);
    /** Starts counting anew. */
    void reset_counts();

    [[nodiscard]] double unserved_share() const
    {
        return this->asked == 0
                   ? 0
                   : static_cast<double>(this->unserved) / static_cast<double>(this->asked);
    }

    double rate_multiple = 1; ///< factor on the request rate
    double work_multiple = 1; ///< factor on the time of requests at the servers
    bool stated = false;      ///< responses state the limit
    bool brittle = false;     ///< servers crash beyond the limit
    double leaving_share = 0; ///< callers who leave while their request runs
    digest_fleet gossip;

    std::size_t asked = 0;    ///< requests of callers that have ended
    std::size_t unserved = 0; ///< of these, without a response
    std::size_t rejections = 0;
    std::size_t crashes = 0;
    /** Crashes whose rejections came mostly from VMs without a disturbance in the last seconds. */
    std::size_t crashes_by_settled_vms = 0;

    /** Requests that reached a server while its load was above twice the mean and three. */
    [[nodiscard]] std::size_t over_load_bound(worksshift::instant from,
                                              worksshift::instant to) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->over_bound_at, [&](auto at) { return from <= at && at < to; }));
    }
    [[nodiscard]] double mean_load() const; ///< requests at a server that is not replaced
    /** The first \p count servers hold their requests and answer nothing, until `replace_stalled`.
     */
    void stall(std::size_t count);
    /** Servers under new ids, without requests, take the place of those that answer nothing. VMs
     * know this within \p known_within. */
    void replace_stalled(worksshift::duration known_within);
    /** Mean load that a VM uses for the load bound. */
    [[nodiscard]] double known_mean_load(std::size_t vm);

private:
    struct vm_model {
        vm_model(std::size_t data_centre, unsigned seed)
            : table({std::to_string(data_centre)}, seed), admission_control(table, seed),
              selection(seed)
        {
        }
        worksshift::server_table table;
        worksshift::admission admission_control;
        worksshift::relay_selection selection;
        unsigned life = 0;
        worksshift::instant serving_at{};
        worksshift::instant disturbed_at{};
        worksshift::instant suspended_until{};
        worksshift::instant next_update_at{};
    };
    struct request {
        std::size_t vm = 0;     ///< to which the caller is connected
        std::size_t sender = 0; ///< that sends it to a server, for itself or `vm`
        unsigned life = 0;      ///< of the sender
        unsigned vm_life = 0;   ///< of `vm`
        std::uint64_t prompt = 0;
        unsigned sends = 0;
        std::size_t server = 0;
        worksshift::instant sent_at{};
        std::vector<worksshift::server_id> tried_servers;
        std::vector<std::uint32_t> tried_vms;
        bool is_retry = false; ///< of a caller whose first request was refused
        bool left = false;     ///< its caller has left
        bool ended = false;
    };
    struct server {
        std::vector<std::size_t> running;
        std::deque<std::pair<worksshift::instant, bool>> rejected; ///< when, and by a settled VM
        worksshift::instant down_until{};
        unsigned life = 0;
        bool stalled = false;
        bool replaced = false;
    };
    enum class attempt_result : std::uint8_t { served, rejected, broken };
    struct event {
        worksshift::instant at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };

    void schedule(worksshift::duration after, std::function<void()> action);
    void run_events(worksshift::instant until);
    void arrive(worksshift::instant from);
    std::uint64_t choose_prompt();
    void ask(request item);
    void dispatch(std::size_t id);
    bool relay(std::size_t id);
    worksshift::server_entry* choose(const request& item);
    void send(std::size_t id, worksshift::server_entry& row);
    void refuse(std::size_t id);
    void handle_at_server(std::size_t id);
    void reject(std::size_t id);
    void crash(server& item);
    void begin(std::size_t id);
    void send_head(std::size_t id);
    void leave_server(std::size_t id, unsigned life);
    void respond(std::size_t id, attempt_result result);
    void handle_response(std::size_t id, attempt_result result, std::uint32_t load);
    void note_response(const request& item, worksshift::server_entry& row, attempt_result result,
                       std::uint32_t load);
    void abandon(std::size_t id);
    void give_up_stalled(std::size_t id);
    void replace_known(std::size_t vm, std::size_t first_new);
    [[nodiscard]] worksshift::server_record record_of(std::size_t server) const;
    void end(request& item, bool served);
    void fill_table(worksshift::server_table& table) const;
    void update(std::size_t vm);
    void update_loads(vm_model& model, const worksshift::fleet_rounds& rounds) const;
    void describe(std::size_t vm, worksshift::local_state& state);
    void receive(std::size_t vm, const worksshift::fleet_vm& from);
    [[nodiscard]] bool is_running(std::size_t vm) const;
    [[nodiscard]] bool is_settled(std::size_t vm) const;
    [[nodiscard]] bool is_serving(std::size_t vm) const;
    [[nodiscard]] std::size_t any_serving_vm();
    worksshift::server_entry& row_at(const request& item);
    void note_load(const request& item, std::uint32_t load);

    limited_fleet_options options;
    std::mt19937_64 random;
    std::map<std::size_t, std::unique_ptr<vm_model>> vms;
    std::set<std::size_t> cut_vms;
    std::discrete_distribution<std::uint64_t> prompt_choice;
    std::vector<server> servers;
    std::vector<worksshift::instant> over_bound_at; ///< see `over_load_bound`
    std::deque<request> requests;
    worksshift::instant now;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t events_scheduled = 0;
};

} // namespace support
