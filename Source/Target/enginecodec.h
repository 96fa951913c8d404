#pragma once

/// Encodes requests to an engine and decodes its replies (JSON). Pure functions: no clock, I/O or
/// threads.

#include "Target/engineevents.h"

#include <optional>
#include <string>

namespace eelgrasscove {

/// Parses the reply of an engine to GET /state; returns nullopt if it is not valid JSON or a
/// required member is missing or has the wrong type.
std::optional<EngineState> parseEngineState(const std::string &text);

/// Returns the body of a load or unload request.
std::string adapterOrderBody(const AdapterOrder &order);

/// Returns the body of a cancel request.
std::string cancelBody(const AttemptId &attempt);

/// Returns the client's request body with "model" and "priority" replaced by those of the run, or
/// nullopt if the body is not a JSON object.
std::optional<std::string> runBody(const StartRun &run);

} // namespace eelgrasscove
