/** \file
 * The typed messages between worksshift processes: link messages over TCP, gossip over UDP. All are
 * written with cereal's portable binary archive; `codec.h` frames and authenticates them.
 */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "ids.h"

namespace worksshift {

/** Incremented with each change of a message's layout; links between VMs of different versions are
 * refused. */
constexpr std::uint32_t protocol_version = 2;

/** How an attempt ended. `not_run` is guaranteed: no byte of the request reached a server, or the
 * server stated that it refused the request. `unknown` covers everything else short of a complete
 * response.
 */
enum class outcome : std::uint8_t { done, not_run, unknown };

enum class priority : std::uint8_t { interactive, batch };

/** An HTTP header that is forwarded unchanged. */
struct header {
    std::string name;
    std::string value;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->name, this->value);
    }
};

/** First message on a link, in both directions. The receiver includes `nonce` in the tags of the
 * frames it sends, so that a frame recorded on one connection is refused on any other. */
struct hello {
    std::uint32_t version = protocol_version;
    vm_id vm;
    std::array<std::uint8_t, 16> nonce{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->version, this->vm);
        for (auto& byte : this->nonce)
            archive(byte);
    }
};

/** Entry to gate: send this request to `server`, or refuse it. */
struct open_attempt {
    attempt_id id;
    std::string request_id; ///< passed to the server as X-Request-Id
    service_id service;
    server_id server;
    client_account_id account;
    chat_key chat{};
    bool returning = false;        ///< the chat had an earlier turn
    bool directed = false;         ///< a gate chose this server: no further redirect for affinity
    bool is_final_attempt = false; ///< the entry will try no other server: queue rather than refuse
    priority urgency = priority::interactive;
    std::uint32_t deadline_ms = 0; ///< remaining time when sent
    std::uint32_t cost = 0;        ///< tokens of work expected, see placement.h
    std::uint32_t resume_from = 0; ///< tokens of the response that the caller has received
    std::string version;           ///< of the model, with which a resumed response continues
    std::vector<server_id> tried;  ///< servers that refused this request before
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->request_id, this->service, this->server, this->account, this->chat,
                this->returning, this->directed, this->is_final_attempt, this->urgency,
                this->deadline_ms, this->cost, this->resume_from, this->version, this->tried,
                this->method, this->path, this->headers, this->body);
    }
};

/** Why a gate refused; every reason guarantees `not_run`. */
enum class refusal : std::uint8_t {
    wrong_gate,       ///< another VM is the gate: `next_gate`
    cached_elsewhere, ///< the chat's prompt cache is at `next_server`
    over_bound,       ///< load over the service's bound; `next_server` is below it
    draining,         ///< the server is draining
    queue_full,       ///< cannot be expected to run in time; retry after `retry_after_ms`
    deadline,         ///< the deadline passed while it waited
    connect_failed,   ///< no connection to the server could be made
    server_refused,   ///< the server stated that it did not run the request
    leaving,          ///< this VM is stopping
    unknown_server
};

/** Gate to entry: the attempt never ran. */
struct attempt_refused {
    attempt_id id;
    refusal reason = refusal::queue_full;
    server_id next_server;            ///< empty: the entry chooses
    vm_id next_gate;                  ///< empty: according to the entry's own view
    std::uint32_t retry_after_ms = 0; ///< from the measured service rate
    std::string step;
    std::string peer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->reason, this->next_server, this->next_gate, this->retry_after_ms,
                this->step, this->peer);
    }
};

/** Gate to entry: the head of the server's response. */
struct attempt_head {
    attempt_id id;
    server_id server;
    std::uint16_t status = 0;
    std::string version; ///< of the model that generates the response; may be empty
    std::vector<header> headers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->server, this->status, this->version, this->headers);
    }
};

/** Gate to entry: a piece of the response. `sequence` counts from 0 in each attempt. */
struct attempt_data {
    attempt_id id;
    std::uint32_t sequence = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->sequence, this->bytes);
    }
};

/** Gate to entry: the attempt has ended. `done` only after the server's own end marker. */
struct attempt_ended {
    attempt_id id;
    std::uint32_t sequence = 0; ///< number of data frames sent before it
    outcome result = outcome::unknown;
    std::string step;
    std::string peer;
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->sequence, this->result, this->step, this->peer, this->detail);
    }
};

/** Entry to gate: the caller has disconnected or has its response; stop the work. */
struct cancel_attempt {
    attempt_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id);
    }
};

/** Entry to gate: the caller has consumed `bytes` more; the gate may send as many again. */
struct data_credit {
    attempt_id id;
    std::uint32_t bytes = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->bytes);
    }
};

/** Entry to the claim's home VM: claim `key` for this attempt before anything is sent. */
struct claim_request {
    attempt_id id;
    std::string key; ///< account and idempotency key
    /** Hash of the request, to detect a key reused for another request. */
    std::uint64_t fingerprint = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->key, this->fingerprint);
    }
};

enum class claim_state : std::uint8_t {
    granted,    ///< this attempt, and no other, may send the request
    repeated,   ///< completed before; `status` and `body` are the recorded response
    in_doubt,   ///< claimed before, outcome not recorded
    mismatch,   ///< the key was used for another request
    unavailable ///< the platform did not respond: nothing was sent
};

/** The claim's home VM to the entry. */
struct claim_reply {
    attempt_id id;
    claim_state state = claim_state::unavailable;
    std::uint16_t status = 0;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->state, this->status, this->body);
    }
};

/** Entry to the claim's home VM: the outcome of a granted claim. */
struct claim_outcome {
    attempt_id id;
    std::string key;
    outcome result = outcome::unknown;
    std::uint16_t status = 0;
    std::string body; ///< recorded when short, see claims.h

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->key, this->result, this->status, this->body);
    }
};

/** The server that has a chat's prompt cache. */
struct chat_record {
    service_id service;
    chat_key chat{};
    server_id server;
    std::uint32_t age_s = 0; ///< since its last turn

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->chat, this->server, this->age_s);
    }
};

/** Entries of the chat directory that the receiver is now responsible for. */
struct chat_records {
    std::vector<chat_record> records;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->records);
    }
};

/** Requests a peer's configuration if it is newer. */
struct config_pull {
    std::uint64_t have_revision = 0;
    std::vector<std::string> have_shards;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->have_revision, this->have_shards);
    }
};

/** One immutable, content-addressed piece of the configuration. */
struct config_shard {
    std::string key;
    std::string content;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->content);
    }
};

/** A configuration: the manifest, and the shards that the receiver lacked. */
struct config_push {
    std::string manifest;
    std::vector<config_shard> shards;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->manifest, this->shards);
    }
};

enum class order_kind : std::uint8_t { load, unload };

/** Gate to the VM that issues orders: an engine should load or unload a version of its model. */
struct order_request {
    server_id server;
    order_kind kind = order_kind::load;
    std::string version;
    bool already_loading = false; ///< the engine reports that it is loading the version

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->kind, this->version, this->already_loading);
    }
};

/** Entry to an account's home VM: requests tokens of the account's rate, see account_quota.h. */
struct quota_request {
    client_account_id account;
    std::uint64_t sequence = 0;   ///< sequence number at the entry, to recognise late replies
    std::uint64_t tokens = 0;     ///< requested
    std::uint64_t min_tokens = 0; ///< smallest grant that is of use

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->account, this->sequence, this->tokens, this->min_tokens);
    }
};

/** The account's home VM to the entry. */
struct quota_reply {
    client_account_id account;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;         ///< granted
    std::uint32_t retry_after_ms = 0; ///< when none were granted

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->account, this->sequence, this->tokens, this->retry_after_ms);
    }
};

using link_message =
    std::variant<hello, open_attempt, attempt_refused, attempt_head, attempt_data, attempt_ended,
                 cancel_attempt, data_credit, claim_request, claim_reply, claim_outcome,
                 chat_records, config_pull, config_push, order_request, quota_request, quota_reply>;

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/** State of a VM as reported by itself or another. A higher incarnation overrides a lower one. */
struct member_update {
    vm_id vm;
    data_centre_id data_centre;
    std::string address;    ///< IPv4, in numbers
    std::uint16_t port = 0; ///< of both the link (TCP) and the gossip (UDP)
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->vm, this->data_centre, this->address, this->port, this->incarnation,
                this->state);
    }
};

/** The load of one server, reported by its gate. */
struct load_summary {
    service_id service;
    server_id server;
    std::uint32_t running = 0; ///< requests
    std::uint64_t cost = 0;    ///< tokens of work in flight
    bool accepting = true;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->server, this->running, this->cost, this->accepting);
    }
};

struct ping {
    std::uint64_t nonce = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->nonce);
    }
};

/** Reply to a ping. With `lease` it also grants a gate lease (gate_share.h): the sender considers
 * the receiver live. A member considered dead gets an ack without a lease. */
struct ack {
    std::uint64_t nonce = 0;
    bool lease = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->nonce, this->lease);
    }
};

/** Asks the receiver to ping `target` and to relay the ack. */
struct ping_request {
    std::uint64_t nonce = 0;
    vm_id target;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->nonce, this->target);
    }
};

/** A datagram that only carries updates and load summaries. */
struct notice {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

using gossip_body = std::variant<ping, ack, ping_request, notice>;

/** One UDP datagram. */
struct gossip_message {
    member_update sender;
    std::uint64_t config_revision = 0;
    gossip_body body;
    std::vector<member_update> updates;
    std::vector<load_summary> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->sender, this->config_revision, this->body, this->updates, this->loads);
    }
};

} // namespace worksshift
