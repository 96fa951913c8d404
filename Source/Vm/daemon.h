#pragma once

/// The daemon: reads its command line and settings, then runs its role until it is told to stop.

namespace eelgrasscove {

/// Returns the exit code of Vm/exitcode.h.
int runDaemon(int argc, const char *const *argv);

} // namespace eelgrasscove
