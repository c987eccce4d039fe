/** \file
 * Structured logging with log4cplus: one line of key=value pairs per event.
 */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace worksshift {

enum class log_level { trace, debug, info, warn, error, off };

/** One key=value pair of a log line; numbers are written in decimal. */
struct log_field {
    log_field(std::string_view key, std::string_view value) : key(key), value(value) {}
    log_field(std::string_view key, const std::string& value) : key(key), value(value) {}
    log_field(std::string_view key, const char* value) : key(key), value(value) {}
    template <class Number>
        requires std::is_arithmetic_v<Number>
    log_field(std::string_view key, Number value) : key(key), value(std::to_string(value))
    {
    }

    std::string_view key;
    std::string value;
};

/** Starts logging to standard error at \p level. Call once, before the first event. */
void start_log(log_level level, std::string_view vm);
void set_log_level(log_level level);

/** Limits of a log that must never block its process. */
struct log_limits {
    /** Lines per second at level info and below. A quarter of a core serves about 200 requests per
     * second, and a request logs one line plus one for each failed attempt. */
    std::size_t lines_per_s = 500;
    /** Bytes buffered until the output can be written: a few seconds of the lines above. */
    std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
};

/** Starts logging to standard output. Lines are buffered in memory until `flush_log` can write them
 * without blocking. Lines over the limits are dropped, and a log line reports their number. */
void start_bounded_log(log_level level, std::string_view vm, const log_limits& bounds);
/** Writes buffered lines as far as the output accepts them without blocking. */
void flush_log();

/** Parses the name of a level. \throws user_error if there is no such level. */
log_level parse_log_level(std::string_view name);

[[nodiscard]] bool log_enabled(log_level level);

/** Writes one line `event=NAME key=value …`. Values with spaces, quotes, equals signs or control
 * characters are quoted and escaped, so that a line can be parsed back. */
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Returns the value as it is written to a log line, quoted and escaped if necessary. */
std::string escape_log_value(std::string_view value);

} // namespace worksshift
