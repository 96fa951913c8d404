#pragma once

/// The operators' tool from its command line to its exit code.

#include <string>
#include <vector>

namespace eelgrasscove {

/// Usage and options, as "--help" shows them.
extern const char *const operatorUsage;

/// Runs the command; returns the exit code. arguments don't hold the program's name.
int runOperatorTool(const std::vector<std::string> &arguments);

} // namespace eelgrasscove
