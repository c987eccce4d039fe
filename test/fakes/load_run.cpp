#include "fakes/load_run.h"

#include <algorithm>
#include <cmath>

#include "fakes/answer.h"
#include "http_client.h"
#include "support/benchmark_report.h"

namespace fakes {

namespace {

using worksshift::instant;
using worksshift::milliseconds;

constexpr double milliseconds_per_second = 1000;

instant now()
{
    return std::chrono::steady_clock::now();
}

double ms_between(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

/** A chat with its history; it has at most one request in flight. */
struct load_run::chat {
    std::string id;
    std::uint32_t account = 0;
    std::uint32_t turn = 0;
    nlohmann::json messages = nlohmann::json::array();
    bool busy = false;
};

struct load_run::call {
    load_run* owner = nullptr;
    chat* about = nullptr;
    worksshift::event_ptr<evhttp_connection> connection;
    std::uint64_t key = 0;
    std::string received;
    bool over = false;
    bool head = false;
    instant sent{};
    instant last_chunk_at{};
};

load_run::load_run(event_base* base, load_settings options)
    : base(base), options(std::move(options)), random(this->options.seed),
      arrival_timer(base, [this] { this->send_due_requests(); }),
      cleanup_timer(base, [this] { this->remove_ended_calls(); })
{
    for (std::uint32_t i = 0; i < this->options.accounts; ++i) {
        this->account_weights.push_back(1 / std::pow(i + 1, this->options.zipf));
    }
}

load_run::~load_run() = default;

std::uint32_t load_run::draw_account()
{
    std::discrete_distribution<std::uint32_t> draw(this->account_weights.begin(),
                                                   this->account_weights.end());
    return draw(this->random);
}

load_run::chat& load_run::draw_chat()
{
    if (this->chats.size() >= this->options.chats) {
        std::uniform_int_distribution<std::size_t> draw(0, this->chats.size() - 1);
        for (int tries = 0; tries < 20; ++tries) {
            chat& item = *this->chats[draw(this->random)];
            if (!item.busy) return item;
        }
    }
    auto fresh = std::make_unique<chat>();
    fresh->id =
        "chat-" + std::to_string(this->options.seed) + "-" + std::to_string(this->next_chat++);
    fresh->account = this->draw_account();
    const std::string topic(this->options.prompt_characters, 'x');
    fresh->messages.push_back({{"role", "system"}, {"content", "You check records. " + topic}});
    this->chats.push_back(std::move(fresh));
    return *this->chats.back();
}

void load_run::send_due_requests()
{
    const instant time = now();
    const auto span = std::chrono::duration<double>(time - this->started).count();
    if (span > this->options.duration_s) {
        this->arriving = false;
        this->arrival_timer.stop();
        return;
    }
    std::exponential_distribution<double> gap(this->options.rate);
    while (this->next_arrival <= time) {
        this->send(this->draw_chat());
        this->next_arrival += std::chrono::duration_cast<worksshift::duration>(
            std::chrono::duration<double>(gap(this->random)));
    }
}

void load_run::send(chat& item)
{
    item.busy = true;
    item.messages.push_back(
        {{"role", "user"}, {"content", item.id + " asks " + std::to_string(item.turn)}});
    const nlohmann::json body{{"model", this->options.model},
                              {"messages", item.messages},
                              {"max_tokens", this->options.tokens},
                              {"stream", this->options.stream}};
    auto owned = std::make_unique<call>();
    call* request = owned.get();
    this->calls.push_back(std::move(owned));
    request->owner = this;
    request->about = &item;
    request->key = answer_key(body);
    request->sent = now();
    const worksshift::link_address& target =
        this->options.targets[this->next_target++ % this->options.targets.size()];
    request->connection.reset(evhttp_connection_base_bufferevent_new(
        this->base, nullptr, nullptr, target.address.c_str(), target.port));
    const auto done = [](evhttp_request* answer, void* context) {
        auto* ended = static_cast<call*>(context);
        ended->owner->handle_end(*ended, answer);
    };
    const auto on_chunk = [](evhttp_request* answer, void* context) {
        auto* receiver = static_cast<call*>(context);
        const instant time = now();
        load_run& owner = *receiver->owner;
        if (receiver->received.empty()) {
            owner.first_token_ms.push_back(ms_between(receiver->sent, time));
        } else {
            owner.between_tokens_ms.push_back(ms_between(receiver->last_chunk_at, time));
        }
        receiver->last_chunk_at = time;
        receiver->received += worksshift::read_all(evhttp_request_get_input_buffer(answer));
    };
    evhttp_request* http = evhttp_request_new(done, request);
    evhttp_request_set_chunked_cb(http, on_chunk);
    evkeyvalq* headers = evhttp_request_get_output_headers(http);
    evhttp_add_header(headers, "Host", target.address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", "application/json");
    const std::string key = "Bearer " + this->options.key_prefix + std::to_string(item.account);
    evhttp_add_header(headers, "Authorization", key.c_str());
    evhttp_add_header(headers, "X-Chat-Id", item.id.c_str());
    if (this->options.deadline_ms > 0) {
        evhttp_add_header(headers, "X-Deadline-Ms",
                          std::to_string(this->options.deadline_ms).c_str());
    }
    const std::string text = body.dump();
    evbuffer_add(evhttp_request_get_output_buffer(http), text.data(), text.size());
    ++this->counts.sent;
    this->open_at_most = std::max(this->open_at_most, this->calls.size());
    if (evhttp_make_request(request->connection.get(), http, EVHTTP_REQ_POST,
                            "/v1/chat/completions") != 0) {
        this->handle_end(*request, nullptr);
    }
}

void load_run::handle_end(call& item, evhttp_request* answer)
{
    if (item.over) return;
    item.over = true;
    const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    std::string outcome;
    if (status != 0) {
        const char* value =
            evhttp_find_header(evhttp_request_get_input_headers(answer), "X-Worksshift-Outcome");
        outcome = value == nullptr ? "" : value;
    }
    this->classify_response(item, status, outcome);
}

void load_run::classify_response(call& item, int status, const std::string& outcome)
{
    constexpr int status_ok = 200;
    if (status == 0) {
        ++(item.received.empty() ? this->counts.refused_connections : this->counts.broken);
    } else if (outcome == "not_run") {
        ++this->counts.not_run;
    } else if (outcome == "unknown") {
        ++this->counts.unknown;
    } else {
        const std::string expected = this->options.stream
                                         ? stream_text(item.key, this->options.tokens)
                                         : whole_body(item.key, this->options.tokens);
        const bool is_expected = status == status_ok && item.received == expected;
        ++(is_expected ? this->counts.whole : this->counts.wrong);
        if (is_expected) {
            this->finish_chat_turn(item);
            return;
        }
    }
    // The turn failed: its message is removed, so that a later request repeats it.
    item.about->messages.erase(item.about->messages.size() - 1);
    item.about->busy = false;
}

void load_run::finish_chat_turn(call& item)
{
    chat& about = *item.about;
    about.messages.push_back(
        {{"role", "assistant"}, {"content", answer_text(item.key, this->options.tokens)}});
    about.busy = false;
    if (++about.turn < this->options.turns) return;
    std::erase_if(this->chats, [&](const auto& entry) { return entry.get() == &about; });
}

void load_run::remove_ended_calls()
{
    std::erase_if(this->calls, [](const auto& item) { return item->over; });
    const auto span = std::chrono::duration<double>(now() - this->started).count();
    const bool drain_expired = span > this->options.duration_s + this->options.drain_s;
    if (!this->arriving && (this->calls.empty() || drain_expired)) event_base_loopbreak(this->base);
}

nlohmann::json load_run::run()
{
    this->started = now();
    this->next_arrival = this->started;
    this->arrival_timer.start_every(milliseconds(2));
    this->cleanup_timer.start_every(milliseconds(20));
    event_base_dispatch(this->base);
    this->counts.unfinished = static_cast<std::uint64_t>(
        std::ranges::count_if(this->calls, [](const auto& item) { return !item->over; }));
    const double total_s = ms_between(this->started, now()) / milliseconds_per_second;
    return {{"sent", this->counts.sent},
            {"whole", this->counts.whole},
            {"not_run", this->counts.not_run},
            {"unknown", this->counts.unknown},
            {"broken", this->counts.broken},
            {"wrong", this->counts.wrong},
            {"refused_connections", this->counts.refused_connections},
            {"unfinished", this->counts.unfinished},
            {"open_at_most", this->open_at_most},
            {"seconds", total_s},
            {"first_token_ms",
             {{"p50", support::percentile(this->first_token_ms, 0.5)},
              {"p95", support::percentile(this->first_token_ms, 0.95)},
              {"p99", support::percentile(this->first_token_ms, 0.99)}}},
            {"between_tokens_ms",
             {{"p50", support::percentile(this->between_tokens_ms, 0.5)},
              {"p95", support::percentile(this->between_tokens_ms, 0.95)},
              {"p99", support::percentile(this->between_tokens_ms, 0.99)}}}};
}

} // namespace fakes
