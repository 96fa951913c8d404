#pragma once

/// Limits the retries of a service's requests over all entries. Pure functions: no clock, I/O or
/// threads.

#include "Edge/windowsum.h"

#include <map>
#include <string>

namespace eelgrasscove {

struct RetryBudgetSettings
{
    /// Retries as a fraction of the requests within a window.
    double share_ = 0.2;
    /// Retries allowed in addition, over all entries.
    double slack_ = 50;
    Duration window_ = std::chrono::seconds(10);
};

struct ServiceSends
{
    WindowSum requests_;
    WindowSum retries_;
};

struct RetryBudget
{
    RetryBudgetSettings settings_;
    /// Number of entries that share the slack, including this one.
    std::size_t entries_ = 1;
    std::map<std::string, ServiceSends> services_;
};

void countRequest(RetryBudget &budget, const std::string &service, Time now);

/// Returns whether one more retry may be sent and, if so, counts it.
bool tryAcquireRetry(RetryBudget &budget, const std::string &service, Time now);

} // namespace eelgrasscove
