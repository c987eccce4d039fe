#include "store_watch_client.h"

#include "errors.h"
#include "log.h"
#include "visitor.h"

namespace worksshift {

namespace {

constexpr int ok = 200;
constexpr int gone = 410;

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

store_watch_client::store_watch_client(event_base* base, http_client& caller,
                                       const link_address& store, const protocol& adapter,
                                       store_watch& watch)
    : caller(caller), store(store), adapter(adapter), watch(watch),
      next_call(base, [this] { this->proceed(); })
{
}

std::uint64_t store_watch_client::calls(read_mode mode) const
{
    return mode == read_mode::stale ? this->stale_calls : this->linearizable_calls;
}

void store_watch_client::proceed()
{
    const instant time = now();
    if (!this->watch.call_pending()) this->caller.cancel(this->newest_call);
    if (const std::optional<store_read> call = this->watch.next(time)) {
        this->send(*call);
    } else if (const std::optional<instant> at = this->watch.next_at()) {
        this->next_call.start_once(std::max(*at - time, duration::zero()));
    }
}

void store_watch_client::send(const store_read& call)
{
    ++(call.mode == read_mode::stale ? this->stale_calls : this->linearizable_calls);
    const std::string path = std::visit(
        visitor{[&](const list_read& list) {
                    return this->adapter.list_path(this->watch.kind(), list.after, call.mode);
                },
                [&](const watch_read& changes) {
                    return this->adapter.watch_path(this->watch.kind(), changes.revision,
                                                    changes.wait, call.mode);
                }},
        call.operation);
    this->newest_call =
        this->caller.call(this->store, "GET", path, {}, {}, call.limit,
                          [this, number = call.number](const http_response& response) {
                              this->handle_response(number, response);
                          });
}

void store_watch_client::handle_response(std::uint64_t number, const http_response& response)
{
    if (response.status == gone) {
        this->watch.handle_history_gone(number, now());
    } else if (response.status != ok) {
        this->watch.handle_failure(number, "status " + std::to_string(response.status), now());
    } else {
        try {
            this->watch.handle_page(number, this->decode(response.body), now());
        } catch (const error& fault) {
            this->watch.handle_failure(number, fault.what(), now());
        }
    }
    this->proceed();
}

/** \throws peer_error if the body is not a page. */
object_page store_watch_client::decode(const std::string& body)
{
    object_page page = this->adapter.decode_page(body);
    this->unreadable_total += page.unreadable;
    if (page.unreadable > 0) {
        log_event(log_level::warn, "entries_unreadable",
                  {{"kind", name_of(this->watch.kind())},
                   {"entries", page.unreadable},
                   {"total", this->unreadable_total}});
    }
    return page;
}

} // namespace worksshift
