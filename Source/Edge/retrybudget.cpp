#include "Edge/retrybudget.h"

namespace eelgrasscove {

namespace {

/// Fraction of the limit that is used. The rest covers requests that an entry counts in one window
/// and the operator's check of the limit counts in the next.
constexpr double usedFraction = 0.8;

ServiceSends &serviceSends(RetryBudget &budget, const std::string &service)
{
    const Duration window = budget.settings_.window_;
    return budget.services_.try_emplace(service, ServiceSends{WindowSum(window), WindowSum(window)})
        .first->second;
}

} // namespace

void countRequest(RetryBudget &budget, const std::string &service, Time now)
{
    serviceSends(budget, service).requests_.add(1, now);
}

bool tryAcquireRetry(RetryBudget &budget, const std::string &service, Time now)
{
    ServiceSends &sends = serviceSends(budget, service);
    const double allowed = usedFraction
        * (budget.settings_.share_ * sends.requests_.sum(now)
           + budget.settings_.slack_ / static_cast<double>(budget.entries_));
    if (sends.retries_.sum(now) + 1 > allowed)
        return false;
    sends.retries_.add(1, now);
    return true;
}

} // namespace eelgrasscove
