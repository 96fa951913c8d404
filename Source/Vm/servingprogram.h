#pragma once

/// What the main functions of the serving programs share: command line, settings, log, loop.

#include "Net/eventloop.h"
#include "Vm/servingsettings.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrasscove {

/// Sets the program's parts up on the loop and returns them; null where an address can't be had.
/// They end before the loop, as they cancel their timers then.
using StartServing = std::function<std::shared_ptr<void>(
    EventLoop &loop, const ServingSettings &settings, const std::string &file)>;

/// Runs NAME [--check-settings] FILE until it is stopped. The exit code: 0 stopped as asked, or the
/// settings are sound; 2 wrong command line or settings; 3 an address can't be had.
int runServingProgram(const std::string &name, int argc, char **argv, const StartServing &start);

} // namespace eelgrasscove
