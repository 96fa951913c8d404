#pragma once

/// An entry as a process: the callers' thread, the link threads, the platform's and the timer's
/// feed one ring; one thread decides.

#include "Vm/settings.h"
#include "Vm/stopsignal.h"

namespace eelgrasscove {

/// Runs until a stop is asked for and everything in hand is finished. Returns the exit code of
/// Vm/exitcode.h.
int runEntryProcess(const Settings &settings, StopSignal &stop);

} // namespace eelgrasscove
