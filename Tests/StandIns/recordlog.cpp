#include "StandIns/recordlog.h"

namespace standins {

void appendRecord(RecordLog &log, std::string line)
{
    log.lines_.push_back(std::move(line));
    if (log.lines_.size() <= recordLogLines)
        return;
    log.lines_.pop_front();
    log.dropped_ += 1;
}

HttpResponse recordLogResponse(const RecordLog &log)
{
    HttpResponse response;
    response.contentType_ = "application/x-ndjson";
    response.headers_.push_back({"X-Dropped-Lines", std::to_string(log.dropped_)});
    for (const std::string &line : log.lines_) {
        response.body_ += line;
        response.body_ += '\n';
    }
    return response;
}

} // namespace standins
