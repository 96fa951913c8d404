#pragma once

/// The target process: joins the door's decisions with the links, the platform and the target.

#include "Vm/settings.h"
#include "Vm/stopsignal.h"

namespace eelgrasscove {

/// Exit codes of a target process.
constexpr int targetExitDrained = 0;
/// It couldn't start: a wrong address, or another process holds the listening port.
constexpr int targetExitNotStarted = 1;
/// It was stopped with work in hand, by a second signal or after the graceful time.
constexpr int targetExitCutOff = 3;

/// Runs until a stop is asked for and the work in hand is done. Returns the exit code.
int runTargetProcess(const Settings &settings, StopSignal &stop);

} // namespace eelgrasscove
