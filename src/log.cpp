#include "log.h"

#include <algorithm>
#include <array>
#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

bool needs_quotes(char character)
{
    return character <= ' ' || character == '"' || character == '=' || character == '\\' ||
           character == '\x7f';
}

} // namespace

void start_log(log_level level, std::string_view vm, log_stream to)
{
    static log4cplus::Initializer initializer;
    log4cplus::helpers::SharedObjectPtr<log4cplus::Appender> appender(
        new log4cplus::ConsoleAppender(to == log_stream::error, true));
    const std::string pattern =
        "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p vm=" + std::string(vm) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(appender);
    logger().setLogLevel(native_level(level));
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
