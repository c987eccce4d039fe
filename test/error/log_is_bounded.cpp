/** \file
 * A log that is written faster than its bounds, or that nobody reads, holds nothing up, and tells
 * how much was left out.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include "log.h"

namespace {

using namespace worksshift;

constexpr std::size_t lines_allowed = 100;
constexpr std::size_t bytes_allowed = std::size_t{64} * 1024;

/** Standard output goes into a pipe while this lives, and standard error, to which the tests' own
 * log writes the same lines, nowhere. */
class captured_output {
public:
    captured_output() : saved(::dup(STDOUT_FILENO)), saved_error(::dup(STDERR_FILENO))
    {
        CPPUNIT_ASSERT(::pipe2(this->ends.data(), O_CLOEXEC) == 0);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        ::dup2(this->ends[1], STDOUT_FILENO);
        const int nowhere = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
        ::dup2(nowhere, STDERR_FILENO);
        ::close(nowhere);
    }
    ~captured_output()
    {
        ::dup2(this->saved, STDOUT_FILENO);
        ::dup2(this->saved_error, STDERR_FILENO);
        for (const int end : {this->saved, this->saved_error, this->ends[0], this->ends[1]})
            ::close(end);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;
    captured_output(captured_output&&) = delete;
    captured_output& operator=(captured_output&&) = delete;

    /** What came since the last call. */
    std::string read()
    {
        std::string all;
        std::array<char, 4096> part{};
        for (ssize_t size = 1; size > 0;) {
            size = ::read(this->ends[0], part.data(), part.size());
            if (size > 0) all.append(part.data(), static_cast<std::size_t>(size));
        }
        return all;
    }

private:
    int saved = -1;
    int saved_error = -1;
    std::array<int, 2> ends{};
};

std::size_t lines_in(const std::string& text, const std::string& event)
{
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(event, at)) != std::string::npos; ++at)
        ++count;
    return count;
}

class log_is_bounded : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_is_bounded);
    CPPUNIT_TEST(four_times_the_lines_and_no_reader);
    CPPUNIT_TEST_SUITE_END();

public:
    static void four_times_the_lines_and_no_reader()
    {
        start_bounded_log(log_level::info, "test", {lines_allowed, bytes_allowed});
        captured_output output;
        for (std::size_t i = 0; i < 4 * lines_allowed; ++i)
            log_event(log_level::info, "busy", {{"number", i}});
        flush_log();
        flush_log();
        const std::string first = output.read();
        CPPUNIT_ASSERT_EQUAL(lines_allowed, lines_in(first, "event=busy"));
        CPPUNIT_ASSERT(first.find("event=log_lines_left_out count=300") != std::string::npos);

        // Errors are not counted by the second, but nobody reads: a flush returns all the same.
        const std::string text(1000, 'x');
        for (std::size_t i = 0; i < 1000; ++i) {
            log_event(log_level::error, "unread", {{"text", text}});
            flush_log();
        }
        constexpr std::size_t pipe_holds = std::size_t{64} * 1024;
        std::string unread;
        for (int round = 0; round < 40; ++round) {
            unread += output.read();
            flush_log();
        }
        CPPUNIT_ASSERT(unread.size() <= bytes_allowed + pipe_holds);
        CPPUNIT_ASSERT(lines_in(unread, "event=unread") > 60);
        set_log_level(log_level::off);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_is_bounded);

} // namespace
