/** \file
 * Structured logs: one line of key=value pairs for each event, by log4cplus.
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

enum class log_stream { error, output };

/** Starts logging at \p level. Call once, before the first event. */
void start_log(log_level level, std::string_view vm, log_stream to = log_stream::error);
void set_log_level(log_level level);

/** Parses a level's name. \throws user_error if there is no such level. */
log_level parse_log_level(std::string_view name);

[[nodiscard]] bool log_enabled(log_level level);

/** Writes one line `event=NAME key=value …`. Values with spaces, quotes, equals signs or control
 * characters are quoted and escaped, so that a line can be parsed back. */
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** The value as it stands in a log line. */
std::string escape_log_value(std::string_view value);

} // namespace worksshift
