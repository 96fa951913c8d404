#pragma once

/// Runs one scenario: every step in turn, then the graceful stop of what still runs, then the
/// checker over what was left behind.

#include "scenario.h"

#include <string>
#include <vector>

namespace scenarios {

/// What went wrong: steps and expectations by file and line, then violated invariants. Empty where
/// the scenario passed.
std::vector<std::string> runScenario(const Scenario &scenario);

} // namespace scenarios
