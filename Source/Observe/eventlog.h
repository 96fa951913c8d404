#pragma once

/// Structured log lines on standard output: collected, written in blocks, never waited for.

#include <cstdint>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <string_view>

namespace eelgrasscove {

class EventLog
{
public:
    /// Lines a second beyond which lines are dropped and counted. At 200 bytes a line this is a
    /// fifth of a 10 Mbit/s link, and more than twice the requests an entry takes.
    static constexpr std::uint32_t mostLinesPerSecond = 1000;
    /// Bytes kept for a reader that is slow.
    static constexpr std::size_t mostBufferedBytes = 256 * 1024;

    /// Names the process in every line and makes standard output non-blocking.
    void open(std::string_view vm);

    /// Adds {"t":unixMillis,"vm":…,"event":…,NAME:VALUE…}. Values are numbers, bools or text; never
    /// pass a caller's key.
    template <class... Fields>
    void note(std::string_view event, const Fields &...fields)
    {
        if (!begin(event))
            return;
        add(fields...);
        buffer_ += "}\n";
    }

    /// Writes what has been collected as far as the reader takes it; a timer calls it.
    void flush();

private:
    bool begin(std::string_view event);
    void addText(std::string_view text);

    void add() { }
    template <class Value, class... Rest>
    void add(std::string_view name, const Value &value, const Rest &...rest)
    {
        buffer_ += ",\"";
        buffer_ += name;
        buffer_ += "\":";
        if constexpr (std::is_convertible_v<Value, std::string_view>)
            addText(value);
        else
            fmt::format_to(std::back_inserter(buffer_), "{}", value);
        add(rest...);
    }

    std::string vm_;
    std::string buffer_;
    std::int64_t second_ = 0;
    std::uint32_t linesInSecond_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTold_ = 0;
};

/// The process's log.
EventLog &eventLog();

} // namespace eelgrasscove
