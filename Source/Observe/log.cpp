#include "Observe/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/core.h>
#include <mutex>

namespace eelgrasscove {

namespace {

std::string processName;
std::atomic<LogLevel> least = LogLevel::Info;
std::mutex writing;

std::int64_t wallMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

void configureLog(std::string_view process, LogLevel leastLevel)
{
    processName = process;
    least = leastLevel;
}

std::string escapeJson(std::string_view text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            escaped += '\\';
            escaped += character;
        } else if (character == '\n') {
            escaped += "\\n";
        } else if (byte < 0x20) {
            escaped += fmt::format("\\u{:04x}", byte);
        } else {
            escaped += character;
        }
    }
    return escaped;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < least)
        return;
    std::string line =
        fmt::format(R"({{"time":{},"level":"{}","process":"{}","event":"{}")", wallMillis(),
                    nameOf(logLevelNames, level), escapeJson(processName), event);
    for (const LogField &field : fields)
        line += fmt::format(R"(,"{}":"{}")", field.name_, escapeJson(field.value_));
    line += "}\n";
    const std::lock_guard guard(writing);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace eelgrasscove
