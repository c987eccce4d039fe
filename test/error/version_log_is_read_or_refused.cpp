/** \file
 * A VM that reads the version log from a store that is away, stale or holds something else. Guards
 * against an answer that rests on less than all changes before the question.
 */
#include <deque>
#include <memory>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "fakes/fake_http.h"
#include "support/fleet.h"
#include "support/path_rig.h"
#include "version_log_client.h"

namespace {

using namespace support;
using namespace worksshift;

const service_id service{"llm"};

/** A store whose responses the test states. */
struct scripted_store {
    std::string logs = R"({"items":[],"truncated":false,"asOf":9})";
    std::string configurations =
        R"({"items":[{"metadata":{"name":"main","revision":5,"createRev":5},)"
        R"("spec":{}}],"truncated":false,"asOf":9})";
    std::deque<std::string> changes; ///< the last one is repeated
    int changes_status = 200;
    std::vector<std::string> watched_from;
    std::vector<std::string> written; ///< method, path and body
    bool silent = false;
    /** Called before changes are returned. */
    std::function<void()> before_changes = [] {};

    void answer(evhttp_request* request)
    {
        const std::string path = fakes::path_of(request);
        if (this->silent) return;
        if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
            const bool creates = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
            this->written.push_back((creates ? "POST " : "PUT ") + path + " " +
                                    fakes::body_of(request));
            fakes::reply_json(request, 200, "{}");
        } else if (path.ends_with("/config")) {
            fakes::reply_json(request, 200, this->configurations);
        } else if (path.ends_with("/servers")) {
            this->watched_from.push_back(fakes::query_of(request, "watch"));
            this->before_changes();
            fakes::reply_json(request, this->changes_status, this->changes.front());
            if (this->changes.size() > 1) this->changes.pop_front();
        } else {
            fakes::reply_json(request, 200, this->logs);
        }
    }
};

std::string no_changes(int revision)
{
    return R"({"events":[],"asOf":)" + std::to_string(revision) + "}";
}

std::string stored_log(int object_revision, const std::string& log)
{
    return R"({"items":[{"metadata":{"name":"log","revision":)" + std::to_string(object_revision) +
           R"(,"createRev":6},"spec":)" + log + R"(}],"truncated":false,"asOf":9})";
}

std::string log_text(int revision)
{
    return R"({"format":1,"revision":)" + std::to_string(revision) +
           R"(,"entry_revision":3,"since_first_use":true,"versions":[{"service":"llm","version":)" +
           std::to_string(static_cast<std::uint32_t>(software_version_of("v1"))) +
           R"(,"present":true,"seen_ms":0}]})";
}

class version_log_is_read_or_refused : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_log_is_read_or_refused);
    CPPUNIT_TEST(known_from_the_stored_log);
    CPPUNIT_TEST(known_from_the_history);
    CPPUNIT_TEST(silent_store);
    CPPUNIT_TEST(history_gone);
    CPPUNIT_TEST(older_revision);
    CPPUNIT_TEST(log_of_a_revision_that_was_not_reached);
    CPPUNIT_TEST(malformed_log_is_replaced);
    CPPUNIT_TEST(change_without_a_readable_name);
    CPPUNIT_TEST(registry_is_newer_than_the_read);
    CPPUNIT_TEST(registry_advances_during_the_read);
    CPPUNIT_TEST(question_during_a_read);
    CPPUNIT_TEST(created_if_there_is_none);
    CPPUNIT_TEST(written_if_nobody_else_has);
    CPPUNIT_TEST_SUITE_END();

    using result = std::optional<software_version>;

    event_ptr<event_base> base;
    std::unique_ptr<scripted_store> store;
    std::unique_ptr<fakes::fake_http> http;
    std::unique_ptr<http_client> caller;
    std::unique_ptr<metrics> telemetry;
    std::unique_ptr<server_table> servers;
    std::unique_ptr<version_log_client> client;
    std::unique_ptr<timer> ticker;
    protocol adapter = platform_protocol();
    bool writes = false;
    std::uint64_t registry_revision = 9;

    bool run_until(const std::function<bool()>& done)
    {
        const instant limit = std::chrono::steady_clock::now() + seconds(3);
        while (!done() && std::chrono::steady_clock::now() < limit)
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        return done();
    }

    /** Asks and returns the answer. */
    result ask()
    {
        std::vector<result> answers;
        this->client->ask(service, [&answers](result version) { answers.push_back(version); });
        CPPUNIT_ASSERT(this->run_until([&] { return !answers.empty(); }));
        return answers.front();
    }

public:
    void setUp() override
    {
        this->base = make_event_base();
        this->store = std::make_unique<scripted_store>();
        this->store->changes = {no_changes(9)};
        const link_address at{"127.0.0.1", free_port()};
        this->http = std::make_unique<fakes::fake_http>(
            this->base.get(), at,
            [this](evhttp_request* request) { this->store->answer(request); });
        this->caller = std::make_unique<http_client>(this->base.get());
        this->telemetry = std::make_unique<metrics>();
        this->servers = std::make_unique<server_table>(data_centre_id{"dc"}, 1);
        this->servers->put(example_record(this->adapter, "a", "llm", {"127.0.0.1", 1}, "v1", 4));
        this->client = std::make_unique<version_log_client>(
            *this->caller, at, this->adapter, *this->servers,
            [this] { return this->registry_revision; }, *this->telemetry);
        this->writes = false;
        this->registry_revision = 9;
        this->ticker = std::make_unique<timer>(this->base.get(), [this] {
            this->caller->sweep();
            this->client->tick(this->writes, 1, std::chrono::steady_clock::now());
        });
        this->ticker->start_every(milliseconds(5));
    }

    void tearDown() override
    {
        this->ticker.reset();
        this->client.reset();
        this->caller.reset();
        this->http.reset();
    }

    void known_from_the_stored_log()
    {
        this->store->logs = stored_log(8, log_text(7));
        CPPUNIT_ASSERT(this->ask() == software_version_of("v1"));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), this->store->watched_from.front());
    }

    void known_from_the_history()
    {
        CPPUNIT_ASSERT(this->ask() == software_version_of("v1"));
        CPPUNIT_ASSERT_EQUAL(std::string("5"), this->store->watched_from.front());
    }

    /** Guards against a request that waits until its deadline for a store that is away. */
    void silent_store()
    {
        this->store->silent = true;
        const instant asked_at = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(!this->ask());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - asked_at <
                       2 * version_log_client::read_timeout);
    }

    void history_gone()
    {
        this->store->changes_status = 410;
        CPPUNIT_ASSERT(!this->ask());
    }

    void older_revision()
    {
        CPPUNIT_ASSERT(this->ask() == software_version_of("v1"));
        this->store->changes = {no_changes(8)};
        CPPUNIT_ASSERT(!this->ask());
        this->store->changes = {no_changes(10)};
        CPPUNIT_ASSERT(this->ask() == software_version_of("v1"));
    }

    /** Guards against a log that no VM of this store has written, and against keeping it. */
    void log_of_a_revision_that_was_not_reached()
    {
        this->store->logs = stored_log(8, log_text(1000));
        CPPUNIT_ASSERT(!this->ask());
        this->writes = true;
        CPPUNIT_ASSERT(this->run_until([&] { return !this->store->written.empty(); }));
        CPPUNIT_ASSERT(this->store->written.front().find(R"("revision":9,)") != std::string::npos);
    }

    void malformed_log_is_replaced()
    {
        this->store->logs = stored_log(8, R"({"format":"other"})");
        this->writes = true;
        CPPUNIT_ASSERT(this->run_until([&] { return !this->store->written.empty(); }));
        CPPUNIT_ASSERT(this->store->written.front().starts_with("PUT "));
    }

    void change_without_a_readable_name()
    {
        this->store->changes = {R"({"events":[{"removed":true,"object":7}],"asOf":9})",
                                no_changes(9)};
        CPPUNIT_ASSERT(!this->ask());
    }

    /** The first call shows no change, the next one that a server of v2 was removed. */
    void remove_second_version_after_the_first_call()
    {
        this->store->changes = {
            no_changes(9),
            R"({"events":[{"removed":true,"object":{"metadata":{"name":"b","revision":12,)"
            R"("createRev":3},"spec":{"service":"llm","address":"127.0.0.1:2","zone":"dc",)"
            R"("version":"v2","slots":4,"coldRemainingMs":0,"sequence":1,"state":"ready"}}}],)"
            R"("asOf":12})",
            no_changes(12)};
    }

    /** Guards against a version whose removal the registry has seen and the log has not. */
    void registry_is_newer_than_the_read()
    {
        this->remove_second_version_after_the_first_call();
        this->registry_revision = 12;
        CPPUNIT_ASSERT(!this->ask());
    }

    /** The same if the registry learns of the removal while the store is being read. */
    void registry_advances_during_the_read()
    {
        this->remove_second_version_after_the_first_call();
        this->store->before_changes = [this] { this->registry_revision = 12; };
        CPPUNIT_ASSERT(!this->ask());
    }

    /** Guards against an answer from a read that may have ended before the stream began. */
    void question_during_a_read()
    {
        std::optional<result> first;
        std::optional<result> second;
        std::size_t reads_before_second = 0;
        this->client->ask(service, [&](result version) {
            first = version;
            this->client->ask(service, [&](result later) { second = later; });
            reads_before_second = this->store->watched_from.size();
        });
        CPPUNIT_ASSERT(this->run_until([&] { return second.has_value(); }));
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT(this->store->watched_from.size() > reads_before_second);
    }

    void created_if_there_is_none()
    {
        this->writes = true;
        CPPUNIT_ASSERT(this->run_until([&] { return !this->store->written.empty(); }));
        CPPUNIT_ASSERT(this->store->written.front().starts_with("POST /api/objects/version-logs "));
    }

    /** Guards against a log that replaces a newer one, also if the store executes it later. */
    void written_if_nobody_else_has()
    {
        this->store->logs = stored_log(8, log_text(7));
        this->writes = true;
        CPPUNIT_ASSERT(this->run_until([&] { return !this->store->written.empty(); }));
        const std::string& written = this->store->written.front();
        CPPUNIT_ASSERT(written.starts_with("PUT /api/objects/version-logs/log "));
        CPPUNIT_ASSERT(written.find(R"("metadata":{"name":"log","revision":8})") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_log_is_read_or_refused);

} // namespace
