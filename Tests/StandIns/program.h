#pragma once

/// What every stand-in's main does the same way.

#include "StandIns/http.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// Command-line options by their long name, for example "--port".
struct Options
{
    std::string program_;
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> flags_;
};

/// Reads the command line by a docopt usage text. Ends the process after --help (0) and on a
/// command line that doesn't fit (2).
Options readOptions(const std::string &program, const std::string &usage, int argc, char **argv);

/// Empty where the option is absent.
std::string textOption(const Options &options, const std::string &name);
bool flagOption(const Options &options, const std::string &name);

/// Ends the process (2) with a clear error where the value isn't a number of zero or more.
double numberOption(const Options &options, const std::string &name);
std::uint16_t portOption(const Options &options, const std::string &name);
HostPort hostPortOption(const Options &options, const std::string &name);

/// The text of a file; ends the process (2) with a clear error where it can't be read.
std::string fileOption(const Options &options, const std::string &name);

/// Writes "PROGRAM: text" to standard error and ends the process with 2.
[[noreturn]] void fail(const std::string &program, const std::string &text);

/// Listens, prints "ready PORT" and runs until SIGTERM. The program's exit code.
int serve(EventLoop &loop, HttpServer &server, const Options &options);

} // namespace standins
