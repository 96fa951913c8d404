#pragma once

/// The plain service stand-in (records, ledger): takes any path; every POST appends one booking,
/// whether or not it has been sent before. GET /log tells all calls with their headers; POST
/// /control {"fail_next":N,"close_before_reply_next":N,"delay_ms":N}.

#include "StandIns/http.h"
#include "StandIns/recordlog.h"

#include <cstdint>
#include <string>

namespace standins {

struct ServiceOptions
{
    std::string name_;
    std::int64_t delayMillis_ = 0;
};

class PlainService
{
public:
    PlainService(EventLoop &loop, ServiceOptions options);
    void handle(const HttpRequest &request, const ExchangePtr &exchange);

private:
    void control(const HttpRequest &request, const ExchangePtr &exchange);
    void call(const HttpRequest &request, const ExchangePtr &exchange);
    void record(const HttpRequest &request, const std::string &outcome);

    EventLoop &loop_;
    ServiceOptions options_;
    RecordLog log_;
    std::uint64_t bookings_ = 0;
    std::int64_t failNext_ = 0;
    std::int64_t closeNext_ = 0;
};

} // namespace standins
