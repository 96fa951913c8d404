#pragma once

/// Exit codes of the daemon.

namespace eelgrasscove {

enum ExitCode : int {
    ExitStopped = 0,
    /// The command line or the settings are wrong; nothing was started.
    ExitUsage = 2,
    /// An address can't be had.
    ExitAddress = 3,
    /// The graceful stop was cut short, by a second signal or by its time.
    ExitForced = 4,
};

} // namespace eelgrasscove
