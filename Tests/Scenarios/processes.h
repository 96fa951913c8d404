#pragma once

/// Processes that the runner starts, known by their ids; it ends no others.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace scenarios {

struct ChildProcess
{
    pid_t id_ = 0;
    std::string standardOutput_;
    std::string standardError_;
    bool frozen_ = false;
    /// Exit code, or minus the signal that ended it; empty while it runs.
    std::optional<int> exit_;
};

/// What a program is started with. Output goes to NAME.out and NAME.err in the folder, after what
/// is there.
struct Launch
{
    std::string program_;
    std::vector<std::string> arguments_;
    std::string folder_;
    std::string name_;
};

/// Empty where the program can't be started.
std::optional<ChildProcess> startProcess(const Launch &launch);

/// True while the process runs; takes note of its end.
bool isRunning(ChildProcess &process);

/// SIGSTOP and SIGCONT change frozen_.
void sendSignal(ChildProcess &process, int signal);

/// Kills the process and waits for its end.
void killProcess(ChildProcess &process);

std::string readWholeFile(const std::string &path);
bool writeWholeFile(const std::string &path, const std::string &text);

/// A port of 127.0.0.1 that nobody listens on and that no other runner takes until this one ends;
/// empty where all are taken.
std::optional<unsigned short> takePort();

/// The same, looking from a place in the range on; moves the place past the port.
std::optional<unsigned short> takePortFrom(unsigned &next);

} // namespace scenarios
