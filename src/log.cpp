#include "log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <climits>
#include <memory>
#include <sstream>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include "errors.h"

namespace worksshift {

namespace {

struct level_name {
    std::string_view name;
    log_level level;
    log4cplus::LogLevel native;
};

constexpr std::array level_names{
    level_name{"trace", log_level::trace, log4cplus::TRACE_LOG_LEVEL},
    level_name{"debug", log_level::debug, log4cplus::DEBUG_LOG_LEVEL},
    level_name{"info", log_level::info, log4cplus::INFO_LOG_LEVEL},
    level_name{"warn", log_level::warn, log4cplus::WARN_LOG_LEVEL},
    level_name{"error", log_level::error, log4cplus::ERROR_LOG_LEVEL},
    level_name{"off", log_level::off, log4cplus::OFF_LOG_LEVEL},
};

log4cplus::LogLevel native_level(log_level level)
{
    return std::ranges::find(level_names, level, &level_name::level)->native;
}

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("worksshift");
    return instance;
}

/** Buffers lines, up to its limits, until they can be written without blocking. */
class bounded_appender : public log4cplus::Appender {
public:
    explicit bounded_appender(const log_limits& bounds) : bounds(bounds) {}
    ~bounded_appender() override { this->destructorImpl(); }
    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;
    bounded_appender(bounded_appender&&) = delete;
    bounded_appender& operator=(bounded_appender&&) = delete;

    void close() override {}

    void flush()
    {
        this->report_dropped_lines();
        const std::string_view all = this->buffered;
        std::size_t written = 0;
        while (written < all.size() && writable()) {
            // A pipe that polls as writable accepts at least PIPE_BUF bytes without blocking.
            const std::string_view part = all.substr(written, PIPE_BUF);
            const ssize_t count = ::write(STDOUT_FILENO, part.data(), part.size());
            if (count <= 0) break;
            written += static_cast<std::size_t>(count);
        }
        this->buffered.erase(0, written);
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const bool bounded = event.getLogLevel() <= log4cplus::INFO_LOG_LEVEL;
        if (bounded && !this->count_line()) return;
        std::ostringstream line;
        this->layout->formatAndAppend(line, event);
        this->buffer_line(line.str());
    }

private:
    static bool writable()
    {
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    void buffer_line(const std::string& line)
    {
        if (this->buffered.size() + line.size() > this->bounds.max_buffered_bytes) {
            ++this->dropped_lines;
        } else {
            this->buffered += line;
        }
    }

    bool count_line()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - this->second > std::chrono::seconds(1)) {
            this->second = now;
            this->lines_this_second = 0;
        }
        if (this->lines_this_second >= this->bounds.lines_per_s) {
            ++this->dropped_lines;
            return false;
        }
        ++this->lines_this_second;
        return true;
    }

    void report_dropped_lines()
    {
        const auto now = std::chrono::steady_clock::now();
        if (this->dropped_lines == 0 || now - this->dropped_reported_at < std::chrono::seconds(1))
            return;
        if (this->buffered.size() * 2 > this->bounds.max_buffered_bytes) return;
        this->dropped_reported_at = now;
        const std::size_t count = std::exchange(this->dropped_lines, 0);
        log_event(log_level::warn, "log_lines_left_out", {{"count", count}});
    }

    log_limits bounds;
    std::string buffered;
    std::size_t dropped_lines = 0;
    std::size_t lines_this_second = 0;
    std::chrono::steady_clock::time_point second; ///< start of the current second
    std::chrono::steady_clock::time_point dropped_reported_at;
};

/** The appender of `start_bounded_log`, owned by the logger; nullptr: none. */
bounded_appender* bounded_output = nullptr;

void add_appender(log_level level, std::string_view vm, log4cplus::SharedAppenderPtr appender)
{
    static log4cplus::Initializer initializer;
    const std::string pattern =
        "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p vm=" + std::string(vm) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(std::move(appender));
    logger().setLogLevel(native_level(level));
}

bool needs_quotes(char character)
{
    return character <= ' ' || character == '"' || character == '=' || character == '\\' ||
           character == '\x7f';
}

} // namespace

void start_log(log_level level, std::string_view vm)
{
    add_appender(level, vm,
                 log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)));
}

void start_bounded_log(log_level level, std::string_view vm, const log_limits& bounds)
{
    bounded_output = new bounded_appender(bounds);
    add_appender(level, vm, log4cplus::SharedAppenderPtr(bounded_output));
}

void flush_log()
{
    if (bounded_output != nullptr) bounded_output->flush();
}

void set_log_level(log_level level)
{
    logger().setLogLevel(native_level(level));
}

log_level parse_log_level(std::string_view name)
{
    const auto* found = std::ranges::find(level_names, name, &level_name::name);
    if (found == level_names.end()) {
        throw user_error("settings", "",
                         "log-level=" + std::string(name) +
                             " is not one of trace, debug, info, warn, error, off");
    }
    return found->level;
}

bool log_enabled(log_level level)
{
    return logger().isEnabledFor(native_level(level));
}

std::string escape_log_value(std::string_view value)
{
    if (!value.empty() && std::ranges::none_of(value, needs_quotes)) return std::string(value);
    constexpr std::string_view hex = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (static_cast<unsigned char>(character) < ' ' || character == '\x7f') {
            quoted += "\\x";
            quoted += hex[static_cast<unsigned char>(character) >> 4U];
            quoted += hex[static_cast<unsigned char>(character) & 15U];
        } else {
            quoted += character;
        }
    }
    return quoted + '"';
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!log_enabled(level)) return;
    std::string line = "event=" + escape_log_value(event);
    for (const log_field& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += escape_log_value(field.value);
    }
    logger().log(native_level(level), line);
}

} // namespace worksshift
