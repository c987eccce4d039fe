/** \file
 * Tests of event streams while servers of two software versions serve side by side. Guards against
 * a stream that goes on at another version than the one that began it, within one response or when
 * its caller takes it up again at any VM, and against streams that end although a server of their
 * version could go on.
 */
#include <algorithm>
#include <array>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "support/path_rig.h"
#include "support/versioned_streams.h"
#include "support/vm_group.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_response::then;

std::size_t resumptions_at(const scripted_server& server)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(server.requests, [](const std::string& request) {
            return !header_in(request, "last-event-id").empty();
        }));
}

class streams_of_two_software_versions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(streams_of_two_software_versions);
    CPPUNIT_TEST(resumed_within_one_response);
    CPPUNIT_TEST(ends_without_a_server_of_its_version);
    CPPUNIT_TEST(begins_anew_at_any_version_before_its_first_event);
    CPPUNIT_TEST(server_that_changes_its_version);
    CPPUNIT_TEST(server_restarted_before_it_wrote_its_entry);
    CPPUNIT_TEST(server_restarted_before_the_first_event);
    CPPUNIT_TEST(server_restarted_at_the_same_version);
    CPPUNIT_TEST(server_behind_another_vm_restarted);
    CPPUNIT_TEST(caller_resumes);
    CPPUNIT_TEST(caller_resumes_at_another_vm);
    CPPUNIT_TEST(half_of_the_vms_are_killed);
    CPPUNIT_TEST(unknown_stream_is_refused);
    CPPUNIT_TEST(caller_that_names_no_stream);
    CPPUNIT_TEST(unnamed_stream_at_a_vm_that_has_just_started);
    CPPUNIT_TEST(unnamed_stream_after_the_last_server_of_its_version);
    CPPUNIT_TEST(nobody_is_asked_while_two_versions_serve);
    CPPUNIT_TEST(unnamed_stream_of_a_new_fleet);
    CPPUNIT_TEST(unnamed_stream_of_a_service_that_came_later);
    CPPUNIT_TEST(named_stream_after_all_vms_restarted);
    CPPUNIT_TEST(relayed_stream_is_resumed);
    CPPUNIT_TEST(caller_resumes_a_relayed_stream);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<path_rig> rig;

    /** Sends the requests one after the other, each when the last one has ended. */
    std::vector<raw_caller*> ask_in_turn(std::size_t count)
    {
        std::vector<raw_caller*> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(&this->rig->add_caller());
            callers.back()->send(new_stream("q" + std::to_string(i)));
            CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(callers.back()); }));
        }
        return callers;
    }

    static bool has_event(const raw_caller& caller) { return !body_in(caller.received).empty(); }

    struct begun_stream {
        std::string id;
        raw_caller* caller = nullptr;
    };

    /** Begins streams at a VM and waits for the first event of each. */
    static std::vector<begun_stream> begin_streams(vm_group& group, std::size_t vm,
                                                   std::size_t count)
    {
        std::vector<begun_stream> streams;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = "vm" + std::to_string(vm) + "q" + std::to_string(i);
            streams.push_back({id, &group.add_caller(vm)});
            streams.back().caller->send(new_stream(id));
        }
        const auto has_begun = [](const begun_stream& stream) { return has_event(*stream.caller); };
        CPPUNIT_ASSERT(group.run_until([&] { return std::ranges::all_of(streams, has_begun); }));
        return streams;
    }

    /** Callers take up the streams again, at VMs of the group in turn. All must go on, each at its
     * version. */
    static void resume_all(vm_group& group, std::span<const begun_stream> streams,
                           std::span<const std::size_t> vms)
    {
        std::vector<raw_caller*> resumed;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            resumed.push_back(&group.add_caller(vms[i % vms.size()]));
            resumed.back()->send(resumption("again" + streams[i].id, streams[i].id));
        }
        CPPUNIT_ASSERT(group.run_until([&] { return std::ranges::all_of(resumed, has_ended); }));
        for (std::size_t i = 0; i < streams.size(); ++i) {
            CPPUNIT_ASSERT_MESSAGE(resumed[i]->received, is_complete(*resumed[i]));
            CPPUNIT_ASSERT(versions_in(streams[i].caller->received) ==
                           versions_in(resumed[i]->received));
        }
    }

    static void add_two_versions(vm_group& group,
                                 scripted_server::script (*make)(const std::string&))
    {
        for (const std::string version : {"v1", "v2"}) {
            for (const std::string name : {"a", "b"})
                group.add_server(version + name, "llm", make(version), version);
        }
    }

    /** Takes up a stream without naming it; returns when the response has ended. */
    const raw_caller& resume_unnamed(const std::string& id)
    {
        raw_caller& caller = this->rig->add_caller();
        caller.send(resumption(id, ""));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&caller); }));
        return caller;
    }

    static bool is_refused(const raw_caller& caller)
    {
        return caller.received.starts_with("HTTP/1.1 503");
    }

public:
    void setUp() override
    {
        this->rig = std::make_unique<path_rig>();
        this->rig->path->set_config(this->rig->adapter.decode_config(example_config(1)));
    }

    /** Guards against a read of the store for each stream that cannot go on anyway. */
    void nobody_is_asked_while_two_versions_serve()
    {
        std::size_t questions = 0;
        this->rig->path->ask_only_version = [&](const service_id&, std::uint64_t request) {
            ++questions;
            this->rig->path->on_only_version(request, std::nullopt);
        };
        this->rig->add_server("a", "llm", completes_streams("v1"), "v1");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("1")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, questions);
        this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        this->rig->table.remove({"a"});
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("2")));
        raw_caller& named = this->rig->add_caller();
        named.send(resumption("3", "never-seen"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&named); }));
        CPPUNIT_ASSERT(is_refused(named));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, questions);
    }

    /** Guards against joining events of two versions when a server breaks off. */
    void resumed_within_one_response()
    {
        for (const std::string version : {"v1", "v2"}) {
            for (const std::string name : {"a", "b"})
                this->rig->add_server(version + name, "llm", breaks_new_streams(version), version);
        }
        for (const raw_caller* caller : this->ask_in_turn(8)) {
            CPPUNIT_ASSERT_MESSAGE(caller->received, is_complete(*caller));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, versions_in(caller->received).size());
        }
    }

    /** Guards against a stream that goes on at another version, or that looks complete, when no
     * other server of its version is left. */
    void ends_without_a_server_of_its_version()
    {
        this->rig->add_server("a", "llm", breaks_new_streams("v1"), "v1");
        this->rig->add_server("b", "llm", breaks_new_streams("v2"), "v2");
        for (const raw_caller* caller : this->ask_in_turn(4)) {
            CPPUNIT_ASSERT(caller->closed);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, versions_in(caller->received).size());
        }
        for (const scripted_server* server : this->rig->all_servers())
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(*server));
    }

    /** Guards against a request that is bound to a version although it has brought no event. */
    void begins_anew_at_any_version_before_its_first_event()
    {
        auto sends = std::make_shared<std::size_t>(0);
        for (const std::string version : {"v1", "v2"}) {
            const auto answer = [sends, version](const std::string& request) -> scripted_response {
                if (++*sends == 1) return {stream_head(request), then::close};
                return send_events(request, version, last_event, then::keep);
            };
            this->rig->add_server(version, "llm", answer, version);
        }
        CPPUNIT_ASSERT(is_complete(*this->ask_in_turn(1).front()));
    }

    /** Guards against taking the version in a registry entry for that of the process which wrote
     * the events, when the entry changed meanwhile. */
    void server_that_changes_its_version()
    {
        scripted_server* changing = nullptr;
        const auto answer = [&](const std::string& request) {
            this->rig->table.put(
                example_record(this->rig->adapter, "a", "llm", changing->address(), "v2", 4));
            return send_events(request, "v1", 1, then::close);
        };
        changing = &this->rig->add_server("a", "llm", answer, "v1");
        raw_caller& caller = this->rig->add_caller();
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !changing->requests.empty(); }));
        this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        this->rig->add_server("c", "llm", completes_streams("v1"), "v1");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT(versions_in(caller.received) == std::set<std::string>{"v1"});
        CPPUNIT_ASSERT(caller.closed);
    }

    /** Guards against taking the entry that a server's last process wrote for that of the process
     * which began the stream, when the server breaks off and when the caller takes it up. */
    void server_restarted_before_it_wrote_its_entry()
    {
        scripted_server& restarted =
            this->rig->add_server("a", "llm", holds_new_streams("v2"), "v1");
        raw_caller& caller = this->rig->add_caller();
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_event(caller); }));
        const scripted_server& other =
            this->rig->add_server("b", "llm", completes_streams("v1"), "v1");
        restart_entry(this->rig->table, *this->rig->path, "a", "v2");
        restarted.end();
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT(versions_in(caller.received) == std::set<std::string>{"v2"});
        CPPUNIT_ASSERT(caller.closed);
        raw_caller& again = this->rig->add_caller();
        again.send(resumption("2", "1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&again); }));
        CPPUNIT_ASSERT(is_refused(again));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    /** The same, for a stream that waits for its first event as the entry changes. */
    void server_restarted_before_the_first_event()
    {
        scripted_server* restarted = nullptr;
        const auto answer = [&](const std::string& request) {
            restart_entry(this->rig->table, *this->rig->path, "a", "v2");
            return send_events(request, "v2", 1, then::close);
        };
        restarted = &this->rig->add_server("a", "llm", answer, "v1");
        raw_caller& caller = this->rig->add_caller();
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return !restarted->requests.empty(); }));
        const scripted_server& other =
            this->rig->add_server("b", "llm", completes_streams("v1"), "v1");
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT(versions_in(caller.received) == std::set<std::string>{"v2"});
        CPPUNIT_ASSERT(other.requests.empty());
    }

    /** Guards against streams that end although a restart did not change the version. */
    void server_restarted_at_the_same_version()
    {
        scripted_server& restarted =
            this->rig->add_server("a", "llm", holds_new_streams("v1"), "v1");
        raw_caller& caller = this->rig->add_caller();
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_event(caller); }));
        this->rig->add_server("b", "llm", completes_streams("v1"), "v1");
        restart_entry(this->rig->table, *this->rig->path, "a", "v1");
        restarted.end();
        CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT_MESSAGE(caller.received, is_complete(caller));
    }

    /** Guards against a VM that forgets which server answers it through another VM. */
    void server_behind_another_vm_restarted()
    {
        vm_group group(3);
        group.set_retry_budget({1.0, seconds(10), 100.0});
        scripted_server& restarted = group.add_server("a", "llm", holds_new_streams("v2"), "v1");
        group.cut_off_and_detect(0, cut_kind::refused);
        raw_caller& caller = group.add_caller(0);
        caller.send(new_stream("1"));
        CPPUNIT_ASSERT(group.run_until([&] { return has_event(caller); }));
        const scripted_server& other = group.add_server("b", "llm", completes_streams("v1"), "v1");
        group.restart_entry("a", "v2");
        restarted.end();
        CPPUNIT_ASSERT(group.run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT(versions_in(caller.received) == std::set<std::string>{"v2"});
        CPPUNIT_ASSERT(other.requests.empty());
    }

    /** Guards against a caller that takes its stream up again and gets another version. */
    void caller_resumes()
    {
        this->rig->add_server("a", "llm", breaks_new_streams("v1"), "v1");
        this->rig->add_server("b", "llm", breaks_new_streams("v2"), "v2");
        const std::vector<raw_caller*> first = this->ask_in_turn(4);
        for (std::size_t i = 0; i < first.size(); ++i) {
            CPPUNIT_ASSERT(first[i]->closed);
            raw_caller& again = this->rig->add_caller();
            again.send(resumption("again" + std::to_string(i), "q" + std::to_string(i)));
            CPPUNIT_ASSERT(this->rig->run_until([&] { return has_ended(&again); }));
            CPPUNIT_ASSERT_MESSAGE(again.received, is_complete(again));
            CPPUNIT_ASSERT(versions_in(first[i]->received) == versions_in(again.received));
        }
    }

    /** Guards against a VM that does not know what version began a stream at another VM. */
    void caller_resumes_at_another_vm()
    {
        vm_group group(3);
        add_two_versions(group, holds_new_streams);
        const std::vector<begun_stream> streams = begin_streams(group, 0, 8);
        group.stop(0);
        constexpr std::array<std::size_t, 2> left{1, 2};
        resume_all(group, streams, left);
    }

    /** Guards against versions that are known only to VMs which are lost together. */
    void half_of_the_vms_are_killed()
    {
        vm_group group(8);
        add_two_versions(group, holds_new_streams);
        std::vector<begun_stream> streams;
        for (std::size_t vm = 0; vm < 4; ++vm)
            std::ranges::copy(begin_streams(group, vm, 4), std::back_inserter(streams));
        for (std::size_t vm = 0; vm < 4; ++vm)
            group.stop(vm);
        constexpr std::array<std::size_t, 4> left{4, 5, 6, 7};
        resume_all(group, streams, left);
    }

    /** Guards against a guess: what no VM knows is refused, and reaches no server. */
    void unknown_stream_is_refused()
    {
        vm_group group(2);
        add_two_versions(group, completes_streams);
        raw_caller& caller = group.add_caller(1);
        caller.send(resumption("1", "never-seen"));
        CPPUNIT_ASSERT(group.run_until([&] { return has_ended(&caller); }));
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 503"));
        for (const auto& server : group.servers)
            CPPUNIT_ASSERT(server->requests.empty());
    }

    /** Guards against a guess for callers that do not name the stream: they may go on only while
     * the service has one version. */
    void caller_that_names_no_stream()
    {
        this->rig->add_server("a", "llm", completes_streams("v1"), "v1");
        this->rig->age_known_servers();
        CPPUNIT_ASSERT(is_complete(this->resume_unnamed("1")));
        this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("2")));
    }

    /** Guards against a VM that takes the only version it has seen since its start for the one that
     * began a stream before. */
    void unnamed_stream_at_a_vm_that_has_just_started()
    {
        const scripted_server& server =
            this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("1")));
        CPPUNIT_ASSERT(server.requests.empty());
    }

    /** Guards against a VM that forgets a version with its last server. */
    void unnamed_stream_after_the_last_server_of_its_version()
    {
        this->rig->add_server("a", "llm", completes_streams("v1"), "v1");
        this->rig->age_known_servers();
        this->rig->table.remove({"a"});
        this->rig->table.sweep(std::chrono::steady_clock::now());
        const scripted_server& server =
            this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("1")));
        CPPUNIT_ASSERT(server.requests.empty());
    }

    /** Guards against refusing streams although none can have begun before the fleet's start. */
    void unnamed_stream_of_a_new_fleet()
    {
        this->rig->table.fleet_is_new_until = std::chrono::steady_clock::now() + seconds(10);
        this->rig->add_server("a", "llm", completes_streams("v1"), "v1");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(is_complete(this->resume_unnamed("1")));
        this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("2")));
    }

    /** Guards against a VM of a fleet that was new once, which was cut off while a service came and
     * its first version left, and takes the version that it sees first for the only one. */
    void unnamed_stream_of_a_service_that_came_later()
    {
        this->rig->table.fleet_is_new_until = std::chrono::steady_clock::now() - seconds(1);
        const scripted_server& server =
            this->rig->add_server("b", "llm", completes_streams("v2"), "v2");
        this->rig->table.sweep(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(is_refused(this->resume_unnamed("1")));
        CPPUNIT_ASSERT(server.requests.empty());
    }

    /** Guards against a guess when no VM that knew the stream is left. */
    void named_stream_after_all_vms_restarted()
    {
        vm_group group(3);
        const scripted_server& server = group.add_server("b", "llm", completes_streams("v2"), "v2");
        for (std::size_t vm = 0; vm < group.size(); ++vm) {
            raw_caller& caller = group.add_caller(vm);
            caller.send(resumption("again" + std::to_string(vm), "began-before"));
            CPPUNIT_ASSERT(group.run_until([&] { return has_ended(&caller); }));
            CPPUNIT_ASSERT(is_refused(caller));
        }
        CPPUNIT_ASSERT(server.requests.empty());
    }

    /** Guards against joining events of two versions when the stream passes a second VM. */
    void relayed_stream_is_resumed()
    {
        vm_group group(3);
        group.set_retry_budget({1.0, seconds(10), 100.0});
        add_two_versions(group, breaks_new_streams);
        group.cut_off_and_detect(0, cut_kind::refused);
        for (int i = 0; i < 6; ++i) {
            raw_caller& caller = group.add_caller(0);
            caller.send(new_stream("q" + std::to_string(i)));
            CPPUNIT_ASSERT(group.run_until([&] { return has_ended(&caller); }));
            CPPUNIT_ASSERT_MESSAGE(caller.received, is_complete(caller));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, versions_in(caller.received).size());
        }
    }

    /** Guards against a stream whose version is lost between the VM that has the caller and the one
     * that reaches the servers. */
    void caller_resumes_a_relayed_stream()
    {
        vm_group group(4);
        add_two_versions(group, holds_new_streams);
        group.cut_off_and_detect(0, cut_kind::refused);
        group.cut_off_and_detect(3, cut_kind::refused);
        const std::vector<begun_stream> streams = begin_streams(group, 0, 6);
        group.stop(0);
        constexpr std::array<std::size_t, 2> left{3, 1};
        resume_all(group, streams, left);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(streams_of_two_software_versions);

} // namespace
