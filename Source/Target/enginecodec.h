#pragma once

/// The JSON that goes to an engine and comes from it. Pure.

#include "Target/engineevents.h"

#include <optional>
#include <string>

namespace eelgrasscove {

/// Reads an engine's state; empty where the text isn't one.
std::optional<EngineState> parseEngineState(const std::string &text);

std::string adapterOrderBody(const AdapterOrder &order);

std::string cancelBody(const AttemptId &attempt);

/// The request's body with its model and priority set to what the run is for; empty where the body
/// isn't a JSON object.
std::optional<std::string> runBody(const StartRun &run);

} // namespace eelgrasscove
