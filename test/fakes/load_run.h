/** \file
 * Load generator: open-loop arrivals of chat requests with several turns a chat. Each response is
 * compared byte for byte with the one that the fake engine must give.
 */
#pragma once

#include <array>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "event_loop.h"
#include "link_hub.h"

namespace fakes {

struct load_settings {
    std::vector<worksshift::link_address> targets;
    std::string model = "assist";
    std::string key_prefix = "key-"; ///< account i uses the API key `key-i`
    std::uint32_t accounts = 10;
    double zipf = 1.0;                     ///< exponent of the distribution of chats over accounts
    double rate = 50;                      ///< requests per second
    double duration_s = 10;                ///< time in which requests are sent
    double drain_s = 60;                   ///< maximum wait for the last responses
    std::uint32_t chats = 100;             ///< number of concurrent chats
    std::uint32_t turns = 6;               ///< turns of a chat, after which a new chat replaces it
    std::uint32_t tokens = 50;             ///< tokens of a response
    std::uint32_t prompt_characters = 400; ///< length of the first message
    std::uint32_t deadline_ms = 0;         ///< 0: none is sent
    bool stream = true;
    std::uint64_t seed = 1;
};

/** Number of requests by their result, as the caller sees it. */
struct load_counts {
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;               ///< the expected response, byte for byte, with its end
    std::uint64_t not_run = 0;             ///< an error that states that the request was not run
    std::uint64_t unknown = 0;             ///< an error that states that the result is unknown
    std::uint64_t broken = 0;              ///< truncated, and recognisable as such
    std::uint64_t wrong = 0;               ///< looked complete, but was not the expected response
    std::uint64_t refused_connections = 0; ///< no connection, or closed before the first byte
    std::uint64_t unfinished = 0;          ///< not ended by the end of the run
};

class load_run {
public:
    load_run(event_base* base, load_settings options);
    ~load_run();
    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;
    load_run(load_run&&) = delete;
    load_run& operator=(load_run&&) = delete;

    /** Runs to the end and returns the report as JSON. */
    nlohmann::json run();

private:
    struct chat;
    struct call;

    void send_due_requests();
    void send(chat& item);
    void handle_end(call& item, evhttp_request* answer);
    void classify_response(call& item, int status, const std::string& outcome);
    void finish_chat_turn(call& item);
    void remove_ended_calls();
    std::uint32_t draw_account();
    chat& draw_chat();

    event_base* base;
    load_settings options;
    std::mt19937_64 random;
    std::vector<double> account_weights;
    std::vector<std::unique_ptr<chat>> chats;
    std::vector<std::unique_ptr<call>> calls;
    std::size_t next_target = 0;
    std::uint64_t next_chat = 0;
    worksshift::timer arrival_timer;
    worksshift::timer cleanup_timer;
    worksshift::instant started{};
    worksshift::instant next_arrival{};
    bool arriving = true;
    load_counts counts;
    std::size_t open_at_most = 0;
    std::vector<double> first_token_ms;
    std::vector<double> between_tokens_ms;
};

} // namespace fakes
