#include "response_relay.h"

namespace worksshift {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_data = "data: ";
constexpr std::uint16_t status_ok = 200;

} // namespace

std::uint32_t count_tokens(std::string_view events)
{
    std::uint32_t count = 0;
    while (!events.empty()) {
        const std::size_t end = events.find(event_end);
        const std::size_t length =
            end == std::string_view::npos ? events.size() : end + event_end.size();
        const std::string_view event = events.substr(0, length);
        if (event.starts_with(event_data) && event != stream_end) ++count;
        events.remove_prefix(length);
    }
    return count;
}

void response_relay::bind(std::uint64_t request, const attempt_id& id, const vm_id& vm, bool stream)
{
    response_row& response = this->rows[request];
    this->by_attempt.erase(response.attempt);
    response.request = request;
    response.attempt = id;
    response.vm = vm;
    response.stream = stream;
    response.next_sequence = 0;
    response.ended = false;
    this->by_attempt[id] = request;
}

void response_relay::release(std::uint64_t request)
{
    const auto found = this->rows.find(request);
    if (found == this->rows.end()) return;
    this->by_attempt.erase(found->second.attempt);
    this->rows.erase(found);
}

std::optional<std::pair<attempt_id, vm_id>>
response_relay::find_binding(std::uint64_t request) const
{
    const auto found = this->rows.find(request);
    if (found == this->rows.end() || found->second.ended) return std::nullopt;
    return std::pair{found->second.attempt, found->second.vm};
}

response_relay::response_row* response_relay::find(const attempt_id& id)
{
    const auto found = this->by_attempt.find(id);
    if (found == this->by_attempt.end()) return nullptr;
    response_row& response = this->rows.at(found->second);
    return response.ended ? nullptr : &response;
}

attempt_result response_relay::finish(response_row& response, const attempt_ended& ended)
{
    response.ended = true;
    const bool resumable =
        response.stream && (!response.head_forwarded || response.status == status_ok);
    return {ended,           response.head_forwarded, resumable,       response.tokens_forwarded,
            response.status, response.body,           response.version};
}

attempt_result response_relay::fail_attempt(response_row& response, const char* detail)
{
    return finish(response, {response.attempt, response.next_sequence, outcome::unknown, "relay",
                             response.vm.text, detail});
}

std::optional<attempt_result> response_relay::handle_frame(const attempt_head& head)
{
    response_row* response = this->find(head.id);
    if (response == nullptr) return std::nullopt;
    if (response->head_forwarded) {
        // A resumed response continues under the head that the caller already has.
        const bool same = head.status == response->status && head.version == response->version;
        if (same) return std::nullopt;
        return fail_attempt(*response, "the resumed answer has another status or version");
    }
    response->head_forwarded = true;
    response->status = head.status;
    response->version = head.version;
    this->on_head.emit(response->request, head.status, head.headers);
    return std::nullopt;
}

std::optional<attempt_result> response_relay::handle_frame(const attempt_data& data)
{
    response_row* response = this->find(data.id);
    if (response == nullptr) return std::nullopt;
    if (data.sequence != response->next_sequence || !response->head_forwarded) {
        return fail_attempt(*response, "a frame of the answer is missing");
    }
    ++response->next_sequence;
    if (response->stream) response->tokens_forwarded += count_tokens(data.bytes);
    if (response->body.size() <= max_recorded_body_bytes) response->body += data.bytes;
    this->on_data.emit(response->request, data.bytes);
    return std::nullopt;
}

std::optional<attempt_result> response_relay::handle_frame(const attempt_ended& ended)
{
    response_row* response = this->find(ended.id);
    if (response == nullptr) return std::nullopt;
    if (ended.result == outcome::done &&
        (ended.sequence != response->next_sequence || !response->head_forwarded)) {
        return fail_attempt(*response, "the end came before the whole answer");
    }
    return finish(*response, ended);
}

std::vector<attempt_result> response_relay::handle_peer_loss(const vm_id& vm)
{
    std::vector<attempt_result> results;
    for (auto& [request, response] : this->rows) {
        if (response.vm == vm && !response.ended)
            results.push_back(fail_attempt(response, "the link broke"));
    }
    return results;
}

} // namespace worksshift
