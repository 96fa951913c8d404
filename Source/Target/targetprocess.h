#pragma once

/// The target process: joins the door's decisions with the links, the platform and the target.

#include "Vm/settings.h"
#include "Vm/stopsignal.h"

namespace eelgrasscove {

/// Runs until a stop is asked for and the work in hand is done. Returns the exit code of
/// Vm/exitcode.h.
int runTargetProcess(const Settings &settings, StopSignal &stop);

} // namespace eelgrasscove
