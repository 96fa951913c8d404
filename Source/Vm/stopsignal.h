#pragma once

/// SIGTERM and SIGINT as flags: the first asks for a graceful stop, a second one, later than
/// forceAfter, for an immediate one.

#include <eelgrasscove/time.h>

#include <atomic>

namespace eelgrasscove {

class StopSignal
{
public:
    /// A second signal within this time of the first counts as the same request.
    static constexpr Duration forceAfter = std::chrono::milliseconds(500);

    /// Whether a stop was asked for.
    bool requested() const { return requestedAtMicros_.load() != 0; }
    /// Whether the graceful stop was cut short by a second signal.
    bool forced() const { return forced_.load(); }

    /// Takes note of one signal. Safe in a signal handler.
    void notify(Time now);

private:
    std::atomic<std::int64_t> requestedAtMicros_ = 0;
    std::atomic<bool> forced_ = false;
};

/// Routes SIGTERM and SIGINT to the process's one StopSignal, and ignores SIGPIPE.
StopSignal &installStopSignal();

} // namespace eelgrasscove
