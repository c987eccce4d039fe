/** \file
 * A log that receives lines faster than its limit, or whose output is not read, never blocks the
 * process, and reports how many lines it dropped.
 */
#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include "log.h"

namespace {

using namespace worksshift;

constexpr std::size_t max_lines_per_s = 100;
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

/** Redirects standard output to a pipe during its lifetime, and standard error, to which the log of
 * the test program writes the same lines, to /dev/null. */
class captured_output {
public:
    captured_output() : saved(::dup(STDOUT_FILENO)), saved_error(::dup(STDERR_FILENO))
    {
        CPPUNIT_ASSERT(::pipe2(this->ends.data(), O_CLOEXEC) == 0);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        ::dup2(this->ends[1], STDOUT_FILENO);
        const int null_device = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
        ::dup2(null_device, STDERR_FILENO);
        ::close(null_device);
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

    /** Output since the last call. */
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
    CPPUNIT_TEST(excess_lines_and_unread_output);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a log that blocks, exceeds its limits or drops lines silently. */
    static void excess_lines_and_unread_output()
    {
        start_bounded_log(log_level::info, "test", {max_lines_per_s, max_buffered_bytes});
        captured_output output;
        for (std::size_t i = 0; i < 4 * max_lines_per_s; ++i)
            log_event(log_level::info, "busy", {{"number", i}});
        flush_log();
        flush_log();
        const std::string first = output.read();
        CPPUNIT_ASSERT_EQUAL(max_lines_per_s, lines_in(first, "event=busy"));
        CPPUNIT_ASSERT(first.find("event=log_lines_left_out count=300") != std::string::npos);

        // Errors have no limit per second. Nobody reads the pipe, but each flush must return.
        const std::string text(1000, 'x');
        for (std::size_t i = 0; i < 1000; ++i) {
            log_event(log_level::error, "unread", {{"text", text}});
            flush_log();
        }
        constexpr std::size_t pipe_capacity = std::size_t{64} * 1024;
        std::string unread;
        for (int round = 0; round < 40; ++round) {
            unread += output.read();
            flush_log();
        }
        CPPUNIT_ASSERT(unread.size() <= max_buffered_bytes + pipe_capacity);
        CPPUNIT_ASSERT(lines_in(unread, "event=unread") > 60);
        set_log_level(log_level::off);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_is_bounded);

} // namespace
