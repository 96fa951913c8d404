#include "Observe/eventlog.h"

#include "Observe/log.h"

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace eelgrasscove {

namespace {

std::int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

EventLog &eventLog()
{
    static EventLog log;
    return log;
}

void EventLog::open(std::string_view vm)
{
    vm_ = escapeJson(vm);
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::begin(std::string_view event)
{
    const std::int64_t now = unixMillis();
    if (now / 1000 != second_) {
        second_ = now / 1000;
        linesInSecond_ = 0;
    }
    if (++linesInSecond_ > mostLinesPerSecond || buffer_.size() > mostBufferedBytes) {
        ++dropped_;
        return false;
    }
    fmt::format_to(std::back_inserter(buffer_), R"({{"t":{},"vm":"{}","event":"{}")", now, vm_,
                   event);
    return true;
}

void EventLog::addText(std::string_view text)
{
    buffer_ += '"';
    buffer_ += escapeJson(text);
    buffer_ += '"';
}

void EventLog::flush()
{
    if (dropped_ != droppedTold_ && buffer_.size() <= mostBufferedBytes) {
        fmt::format_to(std::back_inserter(buffer_),
                       R"({{"t":{},"vm":"{}","event":"log.dropped","lines":{}}})", unixMillis(),
                       vm_, dropped_ - droppedTold_);
        buffer_ += '\n';
        droppedTold_ = dropped_;
    }
    if (buffer_.empty())
        return;
    const ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0)
        buffer_.erase(0, static_cast<std::size_t>(written));
}

} // namespace eelgrasscove
