#include "Vm/stopsignal.h"

#include <csignal>

namespace eelgrasscove {

namespace {

// A signal handler reaches nothing but globals.
StopSignal processStopSignal;

void handleSignal(int /*signal*/)
{
    processStopSignal.notify(monotonicNow());
}

} // namespace

void StopSignal::notify(Time now)
{
    const std::int64_t micros = now.time_since_epoch().count();
    std::int64_t first = 0;
    if (requestedAtMicros_.compare_exchange_strong(first, micros))
        return;
    if (micros - first >= forceAfter.count())
        forced_ = true;
}

StopSignal &installStopSignal()
{
    std::signal(SIGTERM, handleSignal);
    std::signal(SIGINT, handleSignal);
    std::signal(SIGPIPE, SIG_IGN);
    return processStopSignal;
}

} // namespace eelgrasscove
