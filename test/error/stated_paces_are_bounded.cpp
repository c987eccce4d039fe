/** \file
 * Malformed paces in `X-Server-Load`. Guards against a response that fails, or loses the load
 * stated with it, because of the fourth figure, and against one figure that marks a server as slow.
 */
#include <array>
#include <limits>
#include <string_view>

#include <cppunit/extensions/HelperMacros.h>

#include "fleet_digest.h"
#include "http_wire.h"
#include "platform_http.h"
#include "server_pace.h"
#include "support/path_rig.h"

namespace {

using namespace support;
using namespace worksshift;

class stated_paces_are_bounded : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stated_paces_are_bounded);
    CPPUNIT_TEST(valid_figure_is_decoded);
    CPPUNIT_TEST(malformed_figure_leaves_the_load);
    CPPUNIT_TEST(huge_figure_counts_as_the_bound);
    CPPUNIT_TEST(figures_of_no_use_are_ignored);
    CPPUNIT_TEST(one_figure_marks_no_server);
    CPPUNIT_TEST(digest_without_paces_has_the_former_encoding);
    CPPUNIT_TEST(digest_bounds_its_paces);
    CPPUNIT_TEST(responses_with_malformed_figures_are_delivered);
    CPPUNIT_TEST_SUITE_END();

    static response_metadata decode(std::string_view value)
    {
        http_head head;
        head.status = 200;
        head.headers.push_back({"X-Server-Load", std::string(value)});
        return platform::decode_response(head);
    }

    static fleet_digest digest_with_load()
    {
        fleet_digest digest;
        digest.reported_loads = {{1, 4, 2}, {2, 5, 3}};
        return digest;
    }

public:
    static void valid_figure_is_decoded()
    {
        const response_metadata metadata = decode("3,2,48,250");
        CPPUNIT_ASSERT_EQUAL(5U, metadata.load.value_or(0));
        CPPUNIT_ASSERT_EQUAL(2U, metadata.queued);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, metadata.pace.value_or(0), 1e-9);
    }

    static void malformed_figure_leaves_the_load()
    {
        constexpr std::array malformed{"3,2,48",       "3,2,48,",     "3,2,48,0",
                                       "3,2,48,-250",  "3,2,48,2.5",  "3,2,48,fast",
                                       "3,2,48,250,1", "3,2,48,250,", "3,2,48,99999999999999999999",
                                       "3,2,48,1e2",   "3,2,48,0x64", "3,2,48,+100",
                                       "3,2,48,NaN",   "3,2",         "3,2,48,100 100"};
        for (const std::string_view value : malformed) {
            const response_metadata metadata = decode(value);
            const std::string text(value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 5U, metadata.load.value_or(0));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 2U, metadata.queued);
            CPPUNIT_ASSERT_MESSAGE(text, !metadata.pace);
        }
    }

    static void huge_figure_counts_as_the_bound()
    {
        const instant now(seconds(100));
        server_pace huge;
        huge.add(decode("3,2,48,100000").pace.value_or(0), now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(server_pace::max_figure, huge.last(), 1e-9);
        server_pace tiny;
        tiny.add(decode("3,2,48,1").pace.value_or(0), now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(server_pace::min_figure, tiny.last(), 1e-9);
    }

    static void figures_of_no_use_are_ignored()
    {
        const instant now(seconds(100));
        server_pace pace;
        for (const double figure : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                                    std::numeric_limits<double>::quiet_NaN()})
            pace.add(figure, now);
        CPPUNIT_ASSERT(!pace.known());
        CPPUNIT_ASSERT_EQUAL(1.0, pace.expected(now));
    }

    /** A figure of 100000 from a server that otherwise states the usual pace. */
    static void one_figure_marks_no_server()
    {
        instant now(seconds(100));
        server_pace pace;
        for (int i = 0; i < 3; ++i)
            pace.add(1, now += seconds(1));
        pace.add(1000, now += seconds(1));
        CPPUNIT_ASSERT(pace.expected(now) < 1.75);
    }

    /** VMs of the previous version read all digests of a fleet whose servers state no pace. */
    static void digest_without_paces_has_the_former_encoding()
    {
        const std::string without = encode(digest_with_load());
        fleet_digest digest = digest_with_load();
        digest.reported_loads[1].pace = encode_pace(2.0);
        const std::string with = encode(digest);
        CPPUNIT_ASSERT(with.starts_with(without));
        // Empty rejections, size, members and limits, and two paces with their count.
        CPPUNIT_ASSERT_EQUAL(without.size() + 1 + 2 + 2 + 1 + 3, with.size());
        const fleet_digest decoded = decode_digest(with, "peer");
        CPPUNIT_ASSERT_EQUAL(0, int{decoded.reported_loads[0].pace});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, decode_pace(decoded.reported_loads[1].pace).value_or(0),
                                     0.02);
    }

    /** Each response is delivered unchanged, and only the valid figures reach the server's row. */
    static void responses_with_malformed_figures_are_delivered()
    {
        std::string figure;
        path_rig rig;
        rig.path->set_config(rig.adapter.decode_config(example_config(1)));
        rig.add_server("first", "desk", [&figure](const std::string& request) {
            return scripted_response{
                response_text(200, request, "good", "X-Server-Load: 2,1,4," + figure + "\r\n"),
                scripted_response::then::keep};
        });
        unsigned id = 0;
        const auto check = [&](const std::string& stated) {
            figure = stated;
            raw_caller& caller = rig.add_caller();
            caller.send(request_text("GET", "/safe/x", std::to_string(++id), ""));
            CPPUNIT_ASSERT(rig.run_until([&caller] { return caller.received.ends_with("good"); }));
            CPPUNIT_ASSERT_MESSAGE(stated, caller.received.starts_with("HTTP/1.1 200"));
            const server_entry& row = rig.table.rows().begin()->second;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(stated, 3U, row.reported_requests);
            return row.pace;
        };
        for (const char* malformed :
             {"", "0", "-1", "2.5", "fast", "250,1", "99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(malformed, !check(malformed).known());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, check("250").last(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(server_pace::max_figure, check("100000").last(), 1e-9);
    }

    /** More paces than loads, from another VM. */
    static void digest_bounds_its_paces()
    {
        fleet_digest digest = digest_with_load();
        digest.reported_loads[0].pace = 255;
        std::string bytes = encode(digest);
        bytes[bytes.size() - 3] = 4;
        bytes.append("\x20\x20");
        const fleet_digest decoded = decode_digest(bytes, "peer");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.reported_loads.size());
        server_pace pace;
        pace.add(decode_pace(decoded.reported_loads[0].pace).value_or(0), instant(seconds(1)));
        CPPUNIT_ASSERT(pace.last() <= server_pace::max_figure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stated_paces_are_bounded);

} // namespace
