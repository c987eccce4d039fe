/** \file
 * The load tool reads responses through evhttp. Guards against counting a malformed response, or a
 * part of one whose connection was reset, as the whole.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "fakes/load_run.h"
#include "support/early_server.h"

namespace {

using namespace support;
using namespace worksshift;

class load_tool_counts_broken_responses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_tool_counts_broken_responses);
    CPPUNIT_TEST(status_that_does_not_exist);
    CPPUNIT_TEST(reset_during_an_upload);
    CPPUNIT_TEST_SUITE_END();

    static fakes::load_settings settings_for(const link_address& target)
    {
        fakes::load_settings options;
        options.targets = {target};
        options.rate = 100;
        options.duration_s = 0.2;
        options.drain_s = 5;
        return options;
    }

    /** All requests ended and none of them with a response that counts as the whole. */
    static void check(const nlohmann::json& report)
    {
        CPPUNIT_ASSERT_MESSAGE(report.dump(), report.at("sent") > 0);
        CPPUNIT_ASSERT_MESSAGE(report.dump(), report.at("whole") == 0);
        CPPUNIT_ASSERT_MESSAGE(report.dump(), report.at("unfinished") == 0);
    }

public:
    static void status_that_does_not_exist()
    {
        const event_ptr<event_base> base = make_event_base();
        const scripted_server server(base.get(), [](const std::string&) {
            return scripted_response{"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                                     scripted_response::then::close};
        });
        check(fakes::load_run(base.get(), settings_for(server.address())).run());
    }

    static void reset_during_an_upload()
    {
        for (const ending how : {ending::reset, ending::end_of_input_then_reset}) {
            const event_ptr<event_base> base = make_event_base();
            const early_server server(
                base.get(), [](const std::string&) { return "HTTP/1.1 200 OK\r\n\r\npart"; }, how,
                milliseconds(1));
            fakes::load_settings options = settings_for(server.address());
            options.prompt_characters = 1'000'000;
            check(fakes::load_run(base.get(), options).run());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_tool_counts_broken_responses);

} // namespace
