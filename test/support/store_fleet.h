/** \file
 * Simulates many VMs that follow the platform's store, in one loop without sockets or clocks: the
 * product's own decisions on what to read when run against a model of the store that may answer
 * with states that are seconds old, drop its history, stop answering, or refuse some of the VMs.
 */
#pragma once

#include <set>

#include "evacuations.h"
#include "platform.h"
#include "registry_feed.h"
#include "server_registry.h"
#include "store_follow.h"
#include "store_outage.h"
#include "store_path_check.h"
#include "support/digest_fleet.h"

namespace support {

/** Model of the store that answers the VMs' calls. */
class model_store {
public:
    /** A pending call of one VM. */
    struct waiting_call {
        std::size_t vm = 0;
        worksshift::object_kind kind{};
        worksshift::store_read read;
        worksshift::instant requested_at{};
    };
    /** Outcome of a call; `none`: still pending. */
    enum class verdict : std::uint8_t { none, page, gone, refused };
    struct answer {
        verdict result = verdict::none;
        worksshift::object_page page;
    };

    void put(worksshift::object_kind kind, const std::string& name, const std::string& document,
             worksshift::instant now);
    void remove(worksshift::object_kind kind, const std::string& name, worksshift::instant now);
    /** Drops the history: watches from earlier revisions are told that it is gone. */
    void forget_history() { this->history_from = this->revision; }
    [[nodiscard]] answer answer_to(const waiting_call& call, worksshift::instant now) const;
    /** Objects of a kind as of revision \p until, by name. */
    [[nodiscard]] std::map<std::string, worksshift::stored_object>
    objects(worksshift::object_kind kind, std::uint64_t until) const;
    [[nodiscard]] std::uint64_t newest() const { return this->revision; }

    worksshift::duration lag{};    ///< age of the state that stale reads return
    bool silent = false;           ///< answers nothing
    std::set<std::size_t> refused; ///< VMs whose calls are refused
    std::set<std::size_t> cut_off; ///< VMs whose calls get no answer

private:
    struct change {
        worksshift::object_kind kind{};
        worksshift::stored_object object;
        worksshift::instant at{};
    };

    [[nodiscard]] std::uint64_t visible(worksshift::read_mode mode, worksshift::instant now) const;

    std::vector<change> log;
    std::uint64_t revision = 0;
    std::uint64_t history_from = 0;
};

/** State of one VM that follows the store. */
struct follower_vm {
    worksshift::store_follow config{worksshift::object_kind::configuration, 1};
    worksshift::store_follow servers{worksshift::object_kind::servers, 2};
    worksshift::store_follow evacuations{worksshift::object_kind::evacuations, 3};
    worksshift::store_outage outage;
    worksshift::store_path_check path_check;
    std::optional<worksshift::instant> path_checked_at; ///< when the pending call was made
    worksshift::protocol adapter = worksshift::platform_protocol();
    worksshift::evacuation_state evacuated{adapter};
    worksshift::registry_feed feed;
    std::map<std::string, worksshift::stored_object> registry;
    worksshift::server_table table{worksshift::data_centre_id{"dc"}, 4};
    worksshift::server_registry servers_in_use{table, adapter};
    worksshift::instant started{};
    bool listed = false;
    std::uint64_t version = 0; ///< version of the configuration in force
    std::uint64_t newest_reported = 0;
    bool regressed = false; ///< a version was replaced by an older one
    double call_cost = 0;   ///< number of calls, with a stale one counted as a tenth
    std::size_t calls = 0;
};

class store_fleet {
public:
    store_fleet(std::size_t vms, std::size_t data_centres, std::uint64_t seed);

    void run(worksshift::duration span) { this->fleet.run(span); }
    /** Runs until all live VMs have the store's state. Returns how long that took. */
    worksshift::duration run_until_known(worksshift::duration limit);
    void set_config(std::uint64_t version);
    /** Requests or withdraws the evacuation of a data centre of servers. */
    void evacuate(const std::string& place);
    void revoke_evacuation(const std::string& place);
    /** Whether all live VMs except \p without know exactly the evacuated data centres. */
    [[nodiscard]] bool all_evacuate(const std::set<std::string>& places,
                                    const std::set<std::size_t>& without = {}) const;
    /** Writes the entry of a server of a service. */
    void add_server(const std::string& name, const std::string& service);
    /** Removes the entry of a server. */
    void remove_server(const std::string& name);
    /** Number of live VMs that have run for at least \p running_for and would send requests to the
     * server. */
    [[nodiscard]] std::size_t vms_using(const std::string& server,
                                        worksshift::duration running_for = {}) const;
    /** Drops the pending calls without a response or an error. */
    void lose_waiting() { this->waiting.clear(); }
    /** The store's answers to these VMs are lost from now on; keep-alive probes end their pending
     * calls. */
    void cut_off_from_store(const std::set<std::size_t>& lost);
    /** Restarts a VM, which then knows nothing. */
    void restart(std::size_t vm);
    /** Whether all live VMs except \p without have the store's state. */
    [[nodiscard]] bool all_know(const std::set<std::size_t>& without = {}) const;
    [[nodiscard]] bool any_regressed() const;
    /** Sum of `call_cost` over the fleet. */
    [[nodiscard]] double call_cost() const;

    digest_fleet fleet;
    model_store store;
    std::map<std::size_t, follower_vm> vms;
    /** Low halves of the hashes of the names of the servers' data centres. */
    std::set<std::uint32_t> server_places;

private:
    struct own_call {
        std::size_t vm = 0;
        worksshift::object_kind kind{};
        std::uint64_t number = 0;
        worksshift::instant fails_at{};
    };
    struct peer_answer {
        std::size_t vm = 0;
        worksshift::object_kind kind{};
        worksshift::instant requested_at{};
        worksshift::instant at{};
        std::optional<worksshift::registry_update> update;
        std::uint64_t version = 0;
    };

    void connect(std::size_t vm);
    void tick(std::size_t vm);
    void answer_calls();
    bool check_path(std::size_t vm);
    void ask_store(std::size_t vm, worksshift::store_follow& follow);
    void request_from_peer(std::size_t vm, worksshift::object_kind kind);
    void take_peer_answers();
    void apply(follower_vm& item, const worksshift::registry_update& update,
               const worksshift::update_origin& origin);
    void take_servers(follower_vm& item, const worksshift::registry_update& accepted,
                      const worksshift::update_origin& origin) const;
    static void take_version(follower_vm& item, std::uint64_t version);
    worksshift::store_follow& follow_of(std::size_t vm, worksshift::object_kind kind);

    std::vector<model_store::waiting_call> waiting;
    std::vector<own_call> pending;
    std::vector<peer_answer> answers;
    worksshift::instant answered_at{};
    std::minstd_rand random{7};
};

} // namespace support
