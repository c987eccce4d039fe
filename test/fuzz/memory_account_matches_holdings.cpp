/** \file
 * Property test of the account of what callers hold: whatever begins, grows, completes, is sent
 * again, relayed, released or dropped, and in whatever order, the counted bytes are those that are
 * held, never over the bound, and none in the end.
 */
#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "memory_account.h"

namespace {

using namespace worksshift;

constexpr std::size_t kib = 1024;

/** Requests with their charges, and a plain sum as the oracle. */
class holdings {
public:
    explicit holdings(memory_account& account) : account(account) {}

    void begin(std::size_t announced, instant now)
    {
        if (!this->make_room(announced, now)) return;
        auto body = std::make_shared<caller_body>();
        body->charge = memory_charge(this->account, memory_use::incoming);
        body->charge.set(announced);
        this->requests[this->next++] = {std::move(body), {}, announced, now, false};
    }

    void grow(std::size_t which, std::size_t bytes, instant now)
    {
        request* item = this->pick(which);
        if (item == nullptr || item->complete || !this->make_room(bytes, now)) return;
        // The request itself may have been refused to make room.
        item = this->pick(which);
        if (item == nullptr || item->complete) return;
        item->size += bytes;
        item->progress_at = now;
        item->body->charge.set(item->size);
    }

    void complete(std::size_t which)
    {
        request* item = this->pick(which);
        if (item == nullptr || item->complete) return;
        item->complete = true;
        item->body->charge.set_use(memory_use::request);
    }

    /** An attempt or a relay refers to the body. */
    void send(std::size_t which)
    {
        request* item = this->pick(which);
        if (item != nullptr && item->complete) item->attempts.push_back(item->body);
    }

    /** An attempt is over; another one may still refer to the body. */
    void end_attempt(std::size_t which)
    {
        request* item = this->pick(which);
        if (item != nullptr && !item->attempts.empty()) item->attempts.pop_back();
    }

    /** The request is over, while an attempt's buffer may live on. */
    void drop(std::size_t which)
    {
        if (this->requests.empty()) return;
        const auto found = std::next(this->requests.begin(),
                                     static_cast<std::ptrdiff_t>(which % this->requests.size()));
        for (caller_body_ptr& attempt : found->second.attempts)
            this->buffers.push_back({std::move(attempt), found->second.size});
        this->requests.erase(found);
    }

    void flush_buffers() { this->buffers.clear(); }
    void clear()
    {
        this->requests.clear();
        this->buffers.clear();
    }

    [[nodiscard]] std::size_t held() const
    {
        std::map<const caller_body*, std::size_t> sizes;
        for (const auto& [id, item] : this->requests)
            sizes[item.body.get()] = item.size;
        for (const buffer& item : this->buffers)
            sizes[item.body.get()] = item.size;
        std::size_t sum = 0;
        for (const auto& [body, size] : sizes)
            sum += size;
        return sum;
    }

private:
    struct request {
        caller_body_ptr body;
        std::vector<caller_body_ptr> attempts;
        std::size_t size = 0;
        instant progress_at{};
        bool complete = false;
    };
    struct buffer {
        caller_body_ptr body;
        std::size_t size = 0;
    };

    request* pick(std::size_t which)
    {
        if (this->requests.empty()) return nullptr;
        return &std::next(this->requests.begin(),
                          static_cast<std::ptrdiff_t>(which % this->requests.size()))
                    ->second;
    }

    bool make_room(std::size_t bytes, instant now)
    {
        const bool large = bytes >= large_body_bytes;
        if (this->account.has_room(bytes, large)) return true;
        std::vector<std::uint64_t> ids;
        std::vector<memory_holder> partial;
        for (const auto& [id, item] : this->requests) {
            if (item.complete) continue;
            ids.push_back(id);
            partial.push_back({item.size, item.progress_at});
        }
        const std::size_t needed = this->account.missing(bytes, large);
        const std::vector<std::size_t> chosen =
            memory_account::choose_to_refuse(partial, needed, true, now);
        std::size_t freed = 0;
        for (const std::size_t index : chosen) {
            // None is refused once enough is free, and none that makes progress.
            RC_ASSERT(freed < needed);
            RC_ASSERT(now - partial[index].progress_at >= stalled_after);
            freed += partial[index].bytes;
            this->requests.erase(ids[index]);
        }
        return this->account.has_room(bytes, large);
    }

    memory_account& account;
    std::map<std::uint64_t, request> requests;
    std::vector<buffer> buffers;
    std::uint64_t next = 0;
};

class memory_account_matches_holdings : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_account_matches_holdings);
    CPPUNIT_TEST(any_order);
    CPPUNIT_TEST_SUITE_END();

public:
    static void any_order()
    {
        const bool passed = rc::check("the counted bytes are those that are held", [] {
            constexpr std::size_t bound = 1024 * kib;
            memory_account account({.memory = bound, .large_memory = bound / 4 * 3});
            {
                holdings all(account);
                instant now = instant{} + seconds(100);
                const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
                    200, rc::gen::pair(rc::gen::inRange(0, 8),
                                       rc::gen::inRange<std::size_t>(0, 300 * kib)));
                for (const auto& [kind, value] : steps) {
                    now += milliseconds(40);
                    switch (kind) {
                    case 0:
                    case 1:
                        all.begin(value, now);
                        break;
                    case 2:
                        all.grow(value, value / 4, now);
                        break;
                    case 3:
                        all.complete(value);
                        break;
                    case 4:
                        all.send(value);
                        break;
                    case 5:
                        all.end_attempt(value);
                        break;
                    case 6:
                        all.drop(value);
                        break;
                    default:
                        all.flush_buffers();
                        break;
                    }
                    RC_ASSERT(account.held() == all.held());
                    RC_ASSERT(account.held() <= bound);
                    std::size_t by_use = 0;
                    for (const memory_use use : memory_uses)
                        by_use += account.held(use);
                    RC_ASSERT(by_use == account.held());
                }
                all.clear();
                RC_ASSERT(account.held() == 0);
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_account_matches_holdings);

} // namespace
