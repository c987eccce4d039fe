#include "fakes/fake_engine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "fakes/answer.h"

namespace fakes {

namespace {

using worksshift::instant;
using worksshift::milliseconds;

constexpr std::uint32_t default_tokens = 256;
constexpr std::uint32_t characters_per_token = 4;

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/** One response that is being produced. */
struct fake_engine::stream {
    fake_engine* owner = nullptr;
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    std::uint64_t key = 0;
    std::uint32_t next = 0; ///< index of the next token
    std::uint32_t tokens = 0;
    std::uint32_t prompt_cost = 0; ///< prompt tokens that are not cached
    std::uint32_t break_after = 0; ///< token index at which the connection is closed; 0: never
    bool sse = false;
    bool begun = false;
    bool over = false;
    instant due{};
    worksshift::event_ptr<event> closed;
};

fake_engine::fake_engine(event_base* base, const engine_settings& options)
    : base(base), options(options),
      http(base, options.listen,
           [this](evhttp_request* request) { this->handle_request(request); }),
      ticker(base, [this] { this->step(); })
{
    this->loaded.insert(options.version);
    this->ticker.start_every(milliseconds(1));
}

fake_engine::~fake_engine() = default;

void fake_engine::handle_request(evhttp_request* request)
{
    const std::string path = path_of(request);
    if (path == "/v1/chat/completions") {
        this->handle_chat(request);
    } else if (path == "/load") {
        this->finish_loads();
        std::vector<std::string> loading_versions;
        std::ranges::transform(this->loading, std::back_inserter(loading_versions),
                               [](const auto& entry) { return entry.first; });
        const nlohmann::json body{{"running", this->running},
                                  {"waiting", this->waiting.size()},
                                  {"versions", this->loaded},
                                  {"loading", loading_versions}};
        reply_json(request, 200, body.dump());
    } else if (path == "/orders") {
        this->handle_order(request);
    } else if (path == "/stats") {
        reply_json(request, 200, this->stats());
    } else if (path == "/fault") {
        const std::string after = query_of(request, "after");
        this->next_fault = {query_of(request, "mode"),
                            static_cast<std::uint32_t>(std::stoul(query_of(request, "count"))),
                            after.empty() ? 3U : static_cast<std::uint32_t>(std::stoul(after)),
                            body_of(request)};
        reply_json(request, 200, "{}");
    } else {
        reply_json(request, 404, "{}");
    }
}

void fake_engine::finish_loads()
{
    std::erase_if(this->loading, [this](const auto& entry) {
        if (entry.second > now()) return false;
        this->loaded.insert(entry.first);
        return true;
    });
}

void fake_engine::handle_order(evhttp_request* request)
{
    const auto order = nlohmann::json::parse(body_of(request));
    const std::uint64_t number = order.at("fence");
    if (number < this->fence) {
        reply_json(request, 409, nlohmann::json{{"fence", this->fence}}.dump());
        return;
    }
    this->fence = number;
    ++this->orders;
    const std::string version = order.at("version");
    if (order.at("order") == "unload") {
        this->loaded.erase(version);
    } else if (!this->loaded.contains(version)) {
        this->loading.try_emplace(version, now() + milliseconds(this->options.load_ms));
    }
    reply_json(request, 200, "{}");
}

/** Applies a requested fault that ends the request at once. Returns whether there was one. */
bool fake_engine::fail_on_demand(evhttp_request* request, std::uint64_t key)
{
    if (this->next_fault.count == 0) return false;
    const std::string mode = this->next_fault.mode;
    evhttp_connection* connection = evhttp_request_get_connection(request);
    bufferevent* socket = evhttp_connection_get_bufferevent(connection);
    if (mode == "refuse") {
        --this->next_fault.count;
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Not-Run", "true");
        reply_json(request, 503, "{}");
        return true;
    }
    if (mode == "garbage") {
        --this->next_fault.count;
        const std::string garbage = "this is not HTTP\r\n\r\n\x01\x02";
        evbuffer_add(bufferevent_get_output(socket), garbage.data(), garbage.size());
        bufferevent_enable(socket, EV_WRITE);
        return true;
    }
    if (mode == "silent") {
        --this->next_fault.count;
        return true;
    }
    if (mode == "too_much") {
        --this->next_fault.count;
        const std::string body = whole_body(key, 2);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body +
                                   "and more than was announced";
        evbuffer_add(bufferevent_get_output(socket), answer.data(), answer.size());
        bufferevent_enable(socket, EV_WRITE);
        return true;
    }
    if (mode == "raw") {
        --this->next_fault.count;
        reply_raw(request, this->next_fault.raw);
        return true;
    }
    if (mode == "close") {
        --this->next_fault.count;
        evhttp_connection_free(connection);
        return true;
    }
    return false;
}

/** Looks up the prompt's prefixes and adds them to the cache. Returns the number of tokens that
 * were not cached. */
std::uint32_t fake_engine::look_up_prompt(const std::string& body)
{
    const auto request = nlohmann::json::parse(body);
    std::uint64_t prefix = 0;
    std::uint32_t total = 0;
    std::uint32_t hit = 0;
    for (const auto& message : request.at("messages")) {
        const std::string text = message.dump();
        prefix = worksshift::hash_of(std::to_string(prefix) + text);
        const auto tokens = static_cast<std::uint32_t>(text.size()) / characters_per_token;
        total += tokens;
        if (const auto found = this->cache_index.find(prefix); found != this->cache_index.end()) {
            hit += tokens;
            this->cache.splice(this->cache.begin(), this->cache, found->second);
            continue;
        }
        this->cache.emplace_front(prefix, tokens);
        this->cache_index[prefix] = this->cache.begin();
        this->cached_tokens += tokens;
    }
    while (this->cached_tokens > this->options.cache_tokens) {
        this->cached_tokens -= this->cache.back().second;
        this->cache_index.erase(this->cache.back().first);
        this->cache.pop_back();
    }
    this->prompt_tokens += total;
    this->reused_tokens += hit;
    return total - hit;
}

void fake_engine::handle_chat(evhttp_request* request)
{
    const std::string body = body_of(request);
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        reply_json(request, 400, R"({"error":{"message":"invalid JSON"}})");
        return;
    }
    const std::uint64_t key = answer_key(parsed);
    if (this->fail_on_demand(request, key)) return;
    if (this->options.reject_when_full && this->running >= this->options.slots) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Not-Run", "true");
        reply_json(request, 503, "{}");
        return;
    }
    this->finish_loads();
    const std::string version = header_of(request, "X-Model-Version");
    if (!version.empty() && !this->loaded.contains(version)) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Not-Run", "true");
        reply_json(request, 503, "{}");
        return;
    }
    ++this->runs_by_version[version];
    ++this->runs[header_of(request, "X-Request-Id")];
    auto owned = std::make_unique<stream>();
    stream* item = owned.get();
    this->streams.push_back(std::move(owned));
    item->owner = this;
    item->request = request;
    item->connection = evhttp_request_get_connection(request);
    item->key = key;
    item->tokens = parsed.value("max_tokens", default_tokens);
    item->sse = parsed.value("stream", false);
    const std::string resume = header_of(request, "X-Resume-From");
    item->next = resume.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(resume));
    item->prompt_cost = this->look_up_prompt(body);
    if (this->next_fault.count > 0 && this->next_fault.mode == "break") {
        --this->next_fault.count;
        item->break_after = item->next + this->next_fault.after;
    }
    const auto on_caller_closed = [](evutil_socket_t, short, void* context) {
        auto* closed_stream = static_cast<stream*>(context);
        ++closed_stream->owner->cancelled;
        evhttp_connection* connection = closed_stream->connection;
        closed_stream->owner->remove_stream(*closed_stream);
        evhttp_connection_free(connection);
    };
    bufferevent* socket = evhttp_connection_get_bufferevent(item->connection);
    worksshift::set_no_delay(bufferevent_getfd(socket));
    item->closed.reset(
        event_new(this->base, bufferevent_getfd(socket), EV_CLOSED, on_caller_closed, item));
    event_add(item->closed.get(), nullptr);
    if (this->running < this->options.slots) {
        this->begin(*item);
    } else {
        this->waiting.push_back(item);
    }
}

void fake_engine::begin(stream& item)
{
    item.begun = true;
    this->peak_running = std::max(this->peak_running, ++this->running);
    const auto prefill = std::chrono::microseconds(
        static_cast<std::int64_t>(item.prompt_cost * this->options.prefill_us_per_token));
    item.due = now() + prefill + milliseconds(this->options.token_interval_ms);
    if (!item.sse) return;
    evkeyvalq* headers = evhttp_request_get_output_headers(item.request);
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(item.request, 200, nullptr);
}

void fake_engine::step()
{
    const instant time = now();
    std::vector<stream*> due;
    for (const auto& item : this->streams) {
        if (item->begun && !item->over && item->due <= time) due.push_back(item.get());
    }
    for (stream* item : due)
        this->advance(*item);
    std::erase_if(this->streams, [](const auto& item) { return item->over; });
    this->start_waiting();
}

void fake_engine::start_waiting()
{
    while (!this->waiting.empty() && this->running < this->options.slots) {
        stream* item = this->waiting.front();
        this->waiting.pop_front();
        this->begin(*item);
    }
}

void fake_engine::advance(stream& item)
{
    item.due += milliseconds(this->options.token_interval_ms);
    if (item.break_after > 0 && item.next >= item.break_after) {
        evhttp_connection* connection = item.connection;
        this->remove_stream(item);
        evhttp_connection_free(connection);
        return;
    }
    if (item.next < item.tokens) {
        ++this->tokens_sent;
        if (item.sse) {
            const std::string event_text = stream_event(item.key, item.next);
            worksshift::event_ptr<evbuffer> piece(evbuffer_new());
            evbuffer_add(piece.get(), event_text.data(), event_text.size());
            evhttp_send_reply_chunk(item.request, piece.get());
        }
        ++item.next;
        return;
    }
    this->finish(item);
}

void fake_engine::finish(stream& item)
{
    this->remove_stream(item);
    if (!item.sse) {
        reply_json(item.request, 200, whole_body(item.key, item.tokens));
        return;
    }
    const std::string end = "data: [DONE]\n\n";
    worksshift::event_ptr<evbuffer> piece(evbuffer_new());
    evbuffer_add(piece.get(), end.data(), end.size());
    evhttp_send_reply_chunk(item.request, piece.get());
    evhttp_send_reply_end(item.request);
}

/** Ends the stream and removes it from the counts and the queue. */
void fake_engine::remove_stream(stream& item)
{
    item.over = true;
    item.closed.reset();
    if (item.begun) --this->running;
    this->waiting.remove(&item);
}

std::string fake_engine::stats() const
{
    nlohmann::json max_runs = 0;
    const auto busiest =
        std::ranges::max_element(this->runs, {}, [](const auto& entry) { return entry.second; });
    if (busiest != this->runs.end()) max_runs = busiest->second;
    const nlohmann::json body{{"requests", this->runs.size()},
                              {"most_runs_of_one_request", max_runs},
                              {"runs", this->runs},
                              {"runs_by_version", this->runs_by_version},
                              {"loaded", this->loaded},
                              {"fence", this->fence},
                              {"orders", this->orders},
                              {"running", this->running},
                              {"peak_running", this->peak_running},
                              {"cancelled", this->cancelled},
                              {"prompt_tokens", this->prompt_tokens},
                              {"reused_tokens", this->reused_tokens},
                              {"tokens_sent", this->tokens_sent}};
    return body.dump();
}

} // namespace fakes
