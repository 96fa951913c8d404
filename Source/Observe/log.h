#pragma once

/// Logs as JSON lines on standard error, with stable event names.

#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace eelgrasscove {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

constexpr NameTable<LogLevel, 4> logLevelNames = {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/// One field of a log line. Values are escaped; never pass a caller's key.
struct LogField
{
    std::string_view name_;
    std::string value_;
};

/// Names the process in every later line, and sets the least level written.
void configureLog(std::string_view process, LogLevel leastLevel);

/// Writes one line: {"time":…,"level":…,"process":…,"event":…,fields…}.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// text as the inside of a JSON string.
std::string escapeJson(std::string_view text);

} // namespace eelgrasscove
