#pragma once

/// How often requests of a service may be sent again, over all entries. Pure.

#include "Edge/windowsum.h"

#include <map>
#include <string>

namespace eelgrasscove {

struct RetryBudgetSettings
{
    /// Sends beyond the first, as a share of the requests in a window.
    double share_ = 0.2;
    double slack_ = 50;
    Duration window_ = std::chrono::seconds(10);
};

struct ServiceSends
{
    WindowSum requests_;
    WindowSum repeats_;
};

struct RetryBudget
{
    RetryBudgetSettings settings_;
    /// Entries that share the slack, this one included.
    std::size_t entries_ = 1;
    std::map<std::string, ServiceSends> services_;
};

void countRequest(RetryBudget &budget, const std::string &service, Time now);

/// Whether one more repeat may be sent; if so it is counted.
bool takeRepeat(RetryBudget &budget, const std::string &service, Time now);

} // namespace eelgrasscove
