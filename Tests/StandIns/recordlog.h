#pragma once

/// What a stand-in saw, as JSON lines for GET /log.

#include "StandIns/http.h"

#include <cstddef>
#include <deque>
#include <string>

namespace standins {

/// Most lines kept; the oldest go first. A header tells how many went.
constexpr std::size_t recordLogLines = 400000;

struct RecordLog
{
    std::deque<std::string> lines_;
    std::size_t dropped_ = 0;
};

void appendRecord(RecordLog &log, std::string line);

/// All lines as one answer, with the number dropped in X-Dropped-Lines.
HttpResponse recordLogResponse(const RecordLog &log);

} // namespace standins
