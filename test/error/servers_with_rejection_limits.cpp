/** \file
 * Servers that state in their responses how many requests they may reject in a second before they
 * crash. Guards against requests to such a server while it is full: it gets no more of them than it
 * survives, and callers are refused at once.
 */
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "support/router_fleet.h"
#include "support/vm_group.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

class servers_with_rejection_limits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(servers_with_rejection_limits);
    CPPUNIT_TEST(full_server_gets_few_requests);
    CPPUNIT_TEST(full_engine_gets_few_requests);
    CPPUNIT_TEST(callers_are_refused_at_once);
    CPPUNIT_TEST(server_gets_no_more_requests_than_it_has_slots);
    CPPUNIT_TEST(engine_gets_no_more_requests_than_it_has_slots);
    CPPUNIT_TEST(engine_with_a_queue_gets_no_requests);
    CPPUNIT_TEST(requests_are_relayed_to_vms_with_slots);
    CPPUNIT_TEST(rejections_of_other_vms_count);
    CPPUNIT_TEST(limits_are_learned_from_other_vms);
    CPPUNIT_TEST(limit_ends_when_it_is_no_longer_stated);
    CPPUNIT_TEST(invalid_limits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint16_t limit = 2;

    std::unique_ptr<path_rig> rig;
    scripted_server* server = nullptr;
    unsigned ids = 0;

    void start(const std::string& service, scripted_server::script answer)
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
        this->server = &this->rig->add_server("a", service, std::move(answer));
    }

    static scripted_response reject(const std::string& request)
    {
        return {response_text(503, request, "full", "X-Not-Executed: 1\r\nServer-Brittle: 2\r\n"),
                then::keep};
    }

    std::string ask(const std::string& method, const std::string& target)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(
            request_text(method, target, std::to_string(++this->ids), method == "POST" ? "x" : ""));
        const auto answered = [&caller] {
            const std::string length = header_in(caller.received, "content-length");
            return !length.empty() && body_in(caller.received).size() >= std::stoul(length);
        };
        CPPUNIT_ASSERT(this->rig->run_until(answered));
        return caller.received;
    }

    static scripted_response serve(const std::string& request)
    {
        return {response_text(200, request, "ok", "Server-Brittle: 2\r\n"), then::keep};
    }

    static scripted_response stall(const std::string&) { return {{}, then::stay_silent}; }

    /** The VM is the only one of its fleet. */
    void divide_slots() const
    {
        const fleet_members members{1, 1, {1}, {1}, true, share_state::full};
        this->rig->table.update_rejection_limits(members, 1, std::chrono::steady_clock::now());
    }

    /** Sends \p count requests at once. Returns how many reach the server. */
    std::size_t count_arrivals(std::size_t count, const std::string& method,
                               const std::string& target)
    {
        const std::size_t before = this->server->requests.size();
        for (std::size_t i = 0; i < count; ++i) {
            this->rig->add_caller().send(request_text(method, target, std::to_string(++this->ids),
                                                      method == "POST" ? "x" : ""));
        }
        this->rig->run_for(milliseconds(200));
        return this->server->requests.size() - before;
    }

    /** Asks for half a second, and checks that the server had to reject no more than its limit. */
    void check_rejections(const std::string& method, const std::string& target)
    {
        const std::size_t before = this->server->requests.size();
        const instant end = std::chrono::steady_clock::now() + milliseconds(500);
        while (std::chrono::steady_clock::now() < end) {
            this->ask(method, target);
            this->rig->run_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(this->ids > 2 * limit);
        CPPUNIT_ASSERT(this->server->requests.size() - before <= limit);
    }

public:
    /** Guards against sending every request to a server that rejects them all. */
    void full_server_gets_few_requests()
    {
        this->start("desk", reject);
        this->check_rejections("GET", "/safe/x");
    }

    /** The same for model engines, which admission control limits by their load otherwise. */
    void full_engine_gets_few_requests()
    {
        this->start("llm", reject);
        this->check_rejections("POST", "/stream/x");
    }

    /** Guards against callers that wait while no request may be sent. */
    void callers_are_refused_at_once()
    {
        this->start("desk", reject);
        this->ask("GET", "/safe/x");
        const instant start = std::chrono::steady_clock::now();
        const std::string answer = this->ask("GET", "/safe/x");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(200));
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(!header_in(answer, "retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->requests.size());
    }

    /** Guards against relying on a queue that the server may shorten at any time. */
    void server_gets_no_more_requests_than_it_has_slots()
    {
        this->start("desk", serve);
        this->ask("GET", "/safe/x");
        this->divide_slots();
        this->server->answer = stall;
        constexpr std::size_t slots = 4; // of the fixture's servers
        CPPUNIT_ASSERT_EQUAL(slots, this->count_arrivals(2 * slots, "POST", "/unsafe/x"));
    }

    /** The same for engines, whose slots all VMs share by the load that the engine reports. */
    void engine_gets_no_more_requests_than_it_has_slots()
    {
        this->start("llm", serve);
        this->ask("GET", "/safe/nested/x");
        this->divide_slots();
        this->server->answer = stall;
        CPPUNIT_ASSERT(this->count_arrivals(8, "POST", "/once/x") <= 4);
    }

    /** Guards against filling the queue of an engine whose memory is full before its slots are. */
    void engine_with_a_queue_gets_no_requests()
    {
        this->start("llm", [](const std::string& request) {
            return scripted_response{
                response_text(200, request, "ok", "X-Server-Load: 2,1,4\r\nServer-Brittle: 2\r\n"),
                then::keep};
        });
        this->ask("GET", "/safe/nested/x");
        this->divide_slots();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_arrivals(3, "POST", "/once/x"));
        this->server->answer = [](const std::string& request) {
            return scripted_response{
                response_text(200, request, "ok", "X-Server-Load: 1,0,4\r\nServer-Brittle: 2\r\n"),
                then::keep};
        };
        this->rig->table.rows().begin()->second.set_reported_load(0,
                                                                  std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(this->count_arrivals(1, "POST", "/once/x") > 0);
    }

    /** Guards against refusing all callers of a VM that has no slot of its own. */
    static void requests_are_relayed_to_vms_with_slots()
    {
        vm_group group(2);
        const scripted_server& desk = group.add_server("d", "desk", serve);
        constexpr std::uint32_t first_vm = 0x7f00003c;
        const std::vector<std::uint32_t> vms{first_vm, first_vm + 1};
        const auto ask = [&](std::size_t vm, const std::string& id) {
            raw_caller& caller = group.add_caller(vm);
            caller.send(request_text("POST", "/unsafe/x", id, "x"));
            group.run_until([&] { return is_complete_response(caller.received); });
            return caller.received;
        };
        for (std::size_t vm = 0; vm < group.size(); ++vm) {
            CPPUNIT_ASSERT_EQUAL(200, status_in(ask(vm, std::to_string(vm))));
            server_entry& row = group.table(vm).rows().begin()->second;
            row.record.slots = 1;
            group.table(vm).update_rejection_limits({vms[vm], 1, vms, {1}, true, share_state::full},
                                                    2, std::chrono::steady_clock::now());
        }
        const std::size_t before = desk.requests.size();
        for (std::size_t vm = 0; vm < group.size(); ++vm)
            CPPUNIT_ASSERT_EQUAL(200, status_in(ask(vm, "again" + std::to_string(vm))));
        CPPUNIT_ASSERT_EQUAL(before + 2, desk.requests.size());
        const std::size_t owners =
            static_cast<std::size_t>(group.table(0).rows().begin()->second.slot_share) +
            group.table(1).rows().begin()->second.slot_share;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners);
    }

    /** Guards against VMs that each try a full server once. */
    void rejections_of_other_vms_count()
    {
        this->start("desk", serve);
        this->ask("GET", "/safe/x");
        this->divide_slots();
        const server_entry& row = this->rig->table.rows().begin()->second;
        const auto hash = static_cast<std::uint32_t>(row.hash);
        this->rig->table.apply_rejections({hash, 1, limit}, std::chrono::steady_clock::now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->count_arrivals(3, "GET", "/safe/x"));
        this->rig->run_for(milliseconds(800));
        CPPUNIT_ASSERT(this->count_arrivals(3, "GET", "/safe/x") > 0);
    }

    /** Guards against VMs with few requests, which would not know the limit in time, and against
     * reports that keep it in force by themselves. */
    void limits_are_learned_from_other_vms()
    {
        this->start("desk", serve);
        this->ask("GET", "/safe/x");
        const instant now = std::chrono::steady_clock::now();
        const auto reports = this->rig->table.drain_rejections(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT_EQUAL(limit, reports.front().limit);
        path_rig other;
        other.table.put(this->rig->table.rows().begin()->second.record);
        other.table.apply_rejections(reports.front(), now);
        CPPUNIT_ASSERT(other.table.rejections_limited({"desk"}));
        CPPUNIT_ASSERT(other.table.drain_rejections(now).empty());
        CPPUNIT_ASSERT(this->rig->table.drain_rejections(now + seconds(2)).empty());
    }

    /** Guards against limits that outlast the time for which servers state them. */
    void limit_ends_when_it_is_no_longer_stated()
    {
        this->start("desk", serve);
        this->ask("GET", "/safe/x");
        CPPUNIT_ASSERT(this->rig->table.rejections_limited({"desk"}));
        this->server->answer = [](const std::string& request) {
            return scripted_response{response_text(200, request, "ok"), then::keep};
        };
        this->divide_slots();
        this->rig->run_for(rejection_limit::overtaking_time + milliseconds(100));
        this->ask("GET", "/safe/x");
        CPPUNIT_ASSERT(!this->rig->table.rejections_limited({"desk"}));
    }

    /** Guards against a limit that is not a number, and against division by zero. */
    void invalid_limits()
    {
        this->start("desk", serve);
        for (const char* text : {"", "x", "-1", "1.5", "99999999999"}) {
            this->server->answer = [text](const std::string& request) {
                const std::string header = std::string("Server-Brittle: ") + text + "\r\n";
                return scripted_response{response_text(200, request, "ok", header), then::keep};
            };
            this->ask("GET", "/safe/x");
            CPPUNIT_ASSERT(!this->rig->table.rejections_limited({"desk"}));
        }
        this->server->answer = [](const std::string& request) {
            return scripted_response{
                response_text(503, request, "", "X-Not-Executed: 1\r\nServer-Brittle: 0\r\n"),
                then::keep};
        };
        this->check_rejections("GET", "/safe/x");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(servers_with_rejection_limits);

} // namespace
