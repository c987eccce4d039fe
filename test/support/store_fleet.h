/** \file
 * Many VMs that follow the platform's store, in one loop without sockets or clocks: the product's
 * own decisions on what to ask when, before a model of the store that may answer seconds behind,
 * drop its history, fall silent, or refuse some of the VMs.
 */
#pragma once

#include <set>

#include "evacuations.h"
#include "platform.h"
#include "registry_feed.h"
#include "server_registry.h"
#include "store_follow.h"
#include "store_outage.h"
#include "support/digest_fleet.h"

namespace support {

/** The store as the VMs' calls see it. */
class model_store {
public:
    /** Call of one VM that waits for its answer. */
    struct waiting_call {
        std::size_t vm = 0;
        worksshift::object_kind kind{};
        worksshift::store_read read;
        worksshift::instant asked_at{};
    };
    /** What became of it. */
    enum class verdict : std::uint8_t { none, page, gone, refused };
    struct answer {
        verdict result = verdict::none;
        worksshift::object_page page;
    };

    void put(worksshift::object_kind kind, const std::string& name, const std::string& document,
             worksshift::instant now);
    void remove(worksshift::object_kind kind, const std::string& name, worksshift::instant now);
    /** Forgets the history: watches from before are told that it is gone. */
    void forget_history() { this->history_from = this->revision; }
    [[nodiscard]] answer look_at(const waiting_call& call, worksshift::instant now) const;
    /** Objects of a kind as they are, by name. */
    [[nodiscard]] std::map<std::string, worksshift::stored_object>
    objects(worksshift::object_kind kind, std::uint64_t until) const;
    [[nodiscard]] std::uint64_t newest() const { return this->revision; }

    worksshift::duration lag{};    ///< by which stale reads are behind
    bool silent = false;           ///< answers nothing
    std::set<std::size_t> refused; ///< VMs that are refused

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

/** What one VM knows of the store's objects. */
struct following_vm {
    worksshift::store_follow config{worksshift::object_kind::configuration, 1};
    worksshift::store_follow servers{worksshift::object_kind::servers, 2};
    worksshift::store_follow evacuations{worksshift::object_kind::evacuations, 3};
    worksshift::store_outage outage;
    worksshift::protocol dialect = worksshift::platform_protocol();
    worksshift::evacuation_state evacuated{dialect};
    worksshift::registry_feed feed;
    std::map<std::string, worksshift::stored_object> registry;
    worksshift::server_table table{worksshift::data_centre_id{"dc"}, 4};
    worksshift::server_registry servers_in_use{table, dialect};
    worksshift::instant started{};
    bool listed = false;
    std::uint64_t version = 0; ///< of the configuration in force
    std::uint64_t newest_heard = 0;
    bool went_back = false;  ///< a version was replaced by an older one
    double calls_priced = 0; ///< linearizable ones; a stale one counts a tenth
    std::size_t calls = 0;
};

class store_fleet {
public:
    store_fleet(std::size_t vms, std::size_t data_centres, std::uint64_t seed);

    void run(worksshift::duration span) { this->fleet.run(span); }
    /** Runs until all live VMs know what the store holds. Returns how long that took. */
    worksshift::duration run_until_known(worksshift::duration limit);
    void set_config(std::uint64_t version);
    /** Asks for a data centre of servers to be evacuated, or takes that back. */
    void evacuate(const std::string& place);
    void take_back(const std::string& place);
    /** Whether all live VMs but those of \p without know what is evacuated. */
    [[nodiscard]] bool all_evacuate(const std::set<std::string>& places,
                                    const std::set<std::size_t>& without = {}) const;
    /** Writes the entry of a server of a service. */
    void add_server(const std::string& name, const std::string& service);
    /** Takes the entry of a server away. */
    void remove_server(const std::string& name);
    /** Live VMs that would send a request to the server, of those that have run for so long. */
    [[nodiscard]] std::size_t vms_using(const std::string& server,
                                        worksshift::duration running_for = {}) const;
    /** Loses the calls that wait, without a sign to the callers. */
    void lose_waiting() { this->waiting.clear(); }
    /** Starts a VM anew: it knows nothing. */
    void restart(std::size_t vm);
    [[nodiscard]] bool all_know() const;
    [[nodiscard]] bool any_went_back() const;
    /** In calls to the store of the whole fleet at the full price. */
    [[nodiscard]] double calls_priced() const;

    digest_fleet fleet;
    model_store store;
    std::map<std::size_t, following_vm> vms;
    /** Where servers are, by the low half of the names' hashes. */
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
        worksshift::instant asked_at{};
        worksshift::instant at{};
        std::optional<worksshift::registry_update> update;
        std::uint64_t version = 0;
    };

    void connect(std::size_t vm);
    void tick(std::size_t vm);
    void answer_calls();
    void ask_store(std::size_t vm, worksshift::store_follow& follow);
    void ask_peer(std::size_t vm, worksshift::object_kind kind);
    void take_peer_answers();
    void apply(following_vm& item, const worksshift::registry_update& update,
               const worksshift::news_origin& origin);
    void take_servers(following_vm& item, const worksshift::registry_update& news,
                      const worksshift::news_origin& origin) const;
    static void take_version(following_vm& item, std::uint64_t version);
    worksshift::store_follow& follow_of(std::size_t vm, worksshift::object_kind kind);

    std::vector<model_store::waiting_call> waiting;
    std::vector<own_call> pending;
    std::vector<peer_answer> answers;
    worksshift::instant answered_at{};
    std::minstd_rand random{7};
};

} // namespace support
