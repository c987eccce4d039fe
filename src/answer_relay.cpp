#include "answer_relay.h"

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

void answer_relay::bind(std::uint64_t request, const attempt_id& id, const vm_id& vm, bool stream)
{
    row& item = this->rows[request];
    this->by_attempt.erase(item.attempt);
    item.request = request;
    item.attempt = id;
    item.vm = vm;
    item.stream = stream;
    item.next_sequence = 0;
    item.over = false;
    this->by_attempt[id] = request;
}

void answer_relay::release(std::uint64_t request)
{
    const auto found = this->rows.find(request);
    if (found == this->rows.end()) return;
    this->by_attempt.erase(found->second.attempt);
    this->rows.erase(found);
}

std::optional<std::pair<attempt_id, vm_id>> answer_relay::bound(std::uint64_t request) const
{
    const auto found = this->rows.find(request);
    if (found == this->rows.end() || found->second.over) return std::nullopt;
    return std::pair{found->second.attempt, found->second.vm};
}

answer_relay::row* answer_relay::find(const attempt_id& id)
{
    const auto found = this->by_attempt.find(id);
    if (found == this->by_attempt.end()) return nullptr;
    row& item = this->rows.at(found->second);
    return item.over ? nullptr : &item;
}

attempt_result answer_relay::finish(row& item, const attempt_ended& ended)
{
    item.over = true;
    const bool resumable = item.stream && (!item.head_forwarded || item.status == status_ok);
    return {ended,       item.head_forwarded, resumable,   item.tokens_forwarded,
            item.status, item.body,           item.version};
}

attempt_result answer_relay::fail_attempt(row& item, const char* detail)
{
    return finish(
        item, {item.attempt, item.next_sequence, outcome::unknown, "relay", item.vm.text, detail});
}

std::optional<attempt_result> answer_relay::take(const attempt_head& head)
{
    row* item = this->find(head.id);
    if (item == nullptr) return std::nullopt;
    if (item->head_forwarded) {
        // A resumed response continues under the head that the caller already has.
        const bool same = head.status == item->status && head.version == item->version;
        if (same) return std::nullopt;
        return fail_attempt(*item, "the resumed answer has another status or version");
    }
    item->head_forwarded = true;
    item->status = head.status;
    item->version = head.version;
    this->on_head.emit(item->request, head.status, head.headers);
    return std::nullopt;
}

std::optional<attempt_result> answer_relay::take(const attempt_data& data)
{
    row* item = this->find(data.id);
    if (item == nullptr) return std::nullopt;
    if (data.sequence != item->next_sequence || !item->head_forwarded) {
        return fail_attempt(*item, "a frame of the answer is missing");
    }
    ++item->next_sequence;
    if (item->stream) item->tokens_forwarded += count_tokens(data.bytes);
    if (item->body.size() <= max_recorded_body_bytes) item->body += data.bytes;
    this->on_data.emit(item->request, data.bytes);
    return std::nullopt;
}

std::optional<attempt_result> answer_relay::take(const attempt_ended& ended)
{
    row* item = this->find(ended.id);
    if (item == nullptr) return std::nullopt;
    if (ended.result == outcome::done &&
        (ended.sequence != item->next_sequence || !item->head_forwarded)) {
        return fail_attempt(*item, "the end came before the whole answer");
    }
    return finish(*item, ended);
}

std::vector<attempt_result> answer_relay::handle_peer_loss(const vm_id& vm)
{
    std::vector<attempt_result> results;
    for (auto& [request, item] : this->rows) {
        if (item.vm == vm && !item.over) results.push_back(fail_attempt(item, "the link broke"));
    }
    return results;
}

} // namespace worksshift
