#pragma once

/// Runs the target process: connects the target scheduler, which decides, with the links to
/// other processes, the platform and the target itself.

#include "Vm/settings.h"
#include "Vm/stopsignal.h"

namespace eelgrasscove {

/// Runs until a stop is requested and the work in progress is finished. Returns an exit code of
/// Vm/exitcode.h.
int runTargetProcess(const Settings &settings, StopSignal &stop);

} // namespace eelgrasscove
