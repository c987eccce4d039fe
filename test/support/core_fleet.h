/** \file
 * A simulation of a fleet in one process: the decisions of many nodes in virtual time, with
 * messages passed in memory with delay and loss, and simple tables for servers and the platform. It
 * uses no sockets and models no network.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node.h"

namespace support {

using worksshift::instant;
using worksshift::milliseconds;
using worksshift::seconds;

struct core_options {
    std::size_t nodes = 8;
    std::size_t servers = 20;
    std::size_t data_centres = 4;
    std::size_t models = 1;
    std::size_t regions = 0;  ///< 0: all data centres are one region
    std::uint32_t limit = 64; ///< requests in flight at a server
    double bound = 1.25;
    std::uint32_t accounts = 10;
    std::uint64_t seed = 1;
    worksshift::duration link_delay = milliseconds(2);
    worksshift::duration report_period = seconds(1);
    worksshift::duration report_delay = milliseconds(0);
    double gossip_loss = 0;
    worksshift::duration heartbeat = milliseconds(250);
    double ms_per_cost = 5;       ///< run time of a request per token of cost
    std::uint32_t pieces = 1;     ///< data frames of a response
    std::size_t cache_tokens = 0; ///< of a server; 0: no cache
    bool plain = false;           ///< servers of a plain service rather than engines
    worksshift::node_settings settings;
};

/** The target fleet: 480 nodes, 1,400 servers and 110 services, one per model and region. */
core_options target_fleet_options();

/** A request as a caller makes it. */
struct core_request {
    std::string account = "acc-0";
    std::string service; ///< empty: the first
    std::uint64_t chat = 1;
    bool returning = false;
    bool idempotent = true;
    std::string claim_key;
    std::uint32_t cost = 100;
    std::uint32_t prompt_tokens = 0; ///< of the whole prompt, for the cache
    std::uint32_t new_tokens = 0;    ///< that the turn adds to the chat's prompt
    worksshift::duration deadline = seconds(60);
    worksshift::priority urgency = worksshift::priority::interactive;
};

enum class ending : std::uint8_t { none, complete, not_run, unknown, replayed, gone };

/** The outcome of a request. */
struct core_result {
    core_request request;
    std::string request_id;
    ending end = ending::none;
    std::string text; ///< as the caller got it
    std::string expected;
    std::uint32_t runs = 0; ///< counted at the servers
    std::uint32_t endings = 0;
    std::uint32_t retry_after_ms = 0;
    instant sent{};
    instant started{}; ///< when a server began it
    instant ended{};
    bool was_sent = false; ///< a server began it at least once
};

struct core_server {
    std::string id;
    std::uint32_t running = 0;
    std::uint32_t peak = 0;
    std::uint64_t cost = 0;
    bool up = true;
    bool crash_next = false;  ///< the next response breaks off after its first piece
    bool refuse_next = false; ///< the next request is refused without being run
    bool reports_versions = false;
    bool checks_fence = true;
    std::set<std::string> loaded;
    std::set<std::string> loading;
    std::uint64_t fence = 0;                    ///< highest seen
    std::vector<std::uint64_t> accepted_fences; ///< fencing numbers of accepted orders, in order
    std::set<std::string> versions_run;         ///< versions that requests asked for
    std::uint64_t prompt_tokens = 0;
    std::uint64_t reused_tokens = 0;
    std::uint64_t cache_used = 0;
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint32_t>> cache; ///< chat: use, tokens
    std::map<std::uint64_t, std::uint64_t> by_use;                          ///< use: chat
    std::uint64_t uses = 0;

    /** Counts the cached part of the prompt and caches all of it, evicting the chats least recently
     * used. */
    void use_cache(const core_request& request, std::size_t capacity);
};

/** An order as sent by a node. */
struct order_given {
    instant at{};
    std::size_t node = 0;
    std::uint64_t vm_incarnation = 0;
    std::uint64_t fence = 0;
    worksshift::order_kind kind = worksshift::order_kind::load;
};

/** Loads of servers when they start a request, relative to the true mean at that time. */
struct admission_stats {
    std::uint64_t admissions = 0;
    std::uint64_t over_bound = 0; ///< load before it at or above the bound times the mean after it
    double worst_ratio = 0;       ///< load before it over that mean

    void add(double load_before, double mean_after, double bound);
};

class core_fleet {
public:
    explicit core_fleet(const core_options& options);

    /** Runs events until the virtual time has advanced by \p span. */
    void run_for(worksshift::duration span);
    [[nodiscard]] instant now() const { return this->clock; }

    /** Submits a request to a node; returns the index of its result. */
    std::size_t submit(std::size_t node_index, const core_request& request);
    void disconnect_caller(std::size_t result);

    void kill(std::size_t node_index);
    void restart(std::size_t node_index);
    void leave(std::size_t node_index);
    void pause(std::size_t node_index, worksshift::duration span);
    /** Partitions two nodes: messages between them neither arrive nor fail until `heal`. */
    void cut(std::size_t a, std::size_t b);
    /** Drops only datagrams between two nodes, so that their membership views diverge. */
    void cut_gossip(std::size_t a, std::size_t b);
    void heal();
    void break_link(std::size_t a, std::size_t b);
    void set_platform(bool up) { this->platform_up = up; }
    /** Partitions one node from the platform until `heal`. */
    void cut_platform(std::size_t node_index) { this->platform_cuts.insert(node_index); }
    void lose_next_write_responses(std::uint32_t count) { this->lost_responses = count; }

    /** Changes the configuration and offers it to one node. */
    void change_config(const std::function<void(worksshift::fleet_config&)>& change,
                       std::size_t node_index = 0);
    [[nodiscard]] const worksshift::fleet_config& config() const { return this->current; }

    [[nodiscard]] bool up(std::size_t node_index) const { return this->vms[node_index].up; }
    worksshift::node& node_at(std::size_t index) { return *this->vms[index].core; }
    [[nodiscard]] std::size_t size() const { return this->vms.size(); }

    std::vector<core_result> results;
    std::map<std::string, core_server> servers;
    std::uint64_t gossip_bytes = 0;
    std::uint64_t gossip_datagrams = 0;
    std::uint64_t control_link_bytes = 0;
    std::uint64_t link_messages = 0;
    std::uint64_t platform_calls = 0;
    std::uint64_t platform_writes = 0;
    std::uint64_t platform_bytes_written = 0;
    std::uint64_t hops = 0; ///< attempts opened
    admission_stats admissions;
    bool tally_admissions = false;
    std::vector<order_given> orders_given;
    worksshift::duration order_delay =
        milliseconds(5);                         ///< longest delay between a node and an engine
    worksshift::duration load_time = seconds(3); ///< of a version
    std::size_t max_loading_engines = 0;         ///< engines at once, as counted
    /** Saves the platform's objects for a later `restore_backup`. */
    void back_up() { this->backup = this->objects; }
    /** Restores the saved objects under new versions, as a platform does from its backup. */
    void restore_backup();
    std::map<std::string, std::uint64_t> gossip_by_kind;

private:
    struct vm {
        std::unique_ptr<worksshift::node> core;
        worksshift::member_update self;
        bool up = true;
        std::uint64_t vm_incarnation = 0;
        instant paused_until{};
        bool tick_due = false;
        std::vector<std::function<void()>> held;       ///< events deferred until a pause ends
        std::map<std::uint64_t, std::size_t> requests; ///< request id to index of its result
    };
    struct event {
        instant at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };
    struct run {
        std::string server;
        std::size_t gate = 0;
        std::uint64_t gate_incarnation = 0;
        std::uint32_t cost = 0;
        std::size_t result = 0;
        std::uint32_t pieces_sent = 0;
        bool over = false;
    };
    struct object {
        std::uint64_t version = 0;
        std::string value;
    };

    void at(instant when, std::function<void()> action);
    void for_vm(std::size_t index, std::uint64_t vm_incarnation,
                const std::function<void()>& action);
    void build_node(std::size_t index);
    [[nodiscard]] std::string data_centre_of(std::size_t server) const;
    void note_admission(const core_server& server, const worksshift::service_id& service,
                        std::uint32_t cost);
    void heartbeat(std::size_t index, std::uint64_t vm_incarnation);
    void schedule_tick(std::size_t index);
    void tick(std::size_t index);
    void carry_out(std::size_t index, const worksshift::action& item);
    void send(std::size_t from, const worksshift::vm_id& to, worksshift::link_message message);
    void send_gossip(std::size_t from, const worksshift::outgoing_gossip& item);
    void start_run(std::size_t gate, const worksshift::start_call& order);
    void send_piece(const std::shared_ptr<run>& item, const worksshift::start_call& order,
                    std::uint32_t piece);
    void end_run(const std::shared_ptr<run>& item, const worksshift::attempt_id& id,
                 worksshift::outcome result, bool fault);
    void cancel_run(std::size_t gate, const worksshift::attempt_id& id);
    void run_object_call(std::size_t index, const worksshift::object_call& call);
    void report_loads(std::size_t index, std::uint64_t vm_incarnation);
    void send_order(std::size_t index, const worksshift::start_order& order);
    void take_order(std::size_t index, std::uint64_t vm_incarnation,
                    const worksshift::start_order& order);
    [[nodiscard]] bool reachable(std::size_t a, std::size_t b) const;
    [[nodiscard]] std::size_t index_of(const worksshift::vm_id& vm) const;
    [[nodiscard]] std::uint64_t unix_now() const;
    void finish(std::size_t index, std::uint64_t request, ending how);

    core_options options;
    instant clock{};
    std::uint64_t orders = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<vm> vms;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::set<std::pair<std::size_t, std::size_t>> gossip_cuts;
    std::set<std::size_t> platform_cuts;
    std::map<worksshift::attempt_id, std::shared_ptr<run>> runs;
    std::map<std::string, std::size_t> by_request_id;
    std::map<std::string, object> objects;
    std::map<std::string, object> backup;
    std::uint64_t last_version = 0;
    bool platform_up = true;
    std::uint32_t lost_responses = 0;
    worksshift::fleet_config current;
    std::mt19937_64 random;
    std::uint64_t next_request = 1;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> link_epochs; ///< raised by a break
    std::map<std::pair<std::size_t, std::size_t>, instant> last_arrival;      ///< links keep order
};

/** Text of one data frame of the response to a request. */
std::string piece_text(const std::string& request_id, std::uint32_t piece);

} // namespace support
