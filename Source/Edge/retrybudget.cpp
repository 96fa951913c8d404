#include "Edge/retrybudget.h"

namespace eelgrasscove {

namespace {

/// Part of the bound that is used. The rest covers requests that one entry counts in its window and
/// the judge of the bound in the next.
constexpr double usedPart = 0.8;

ServiceSends &sendsOf(RetryBudget &budget, const std::string &service)
{
    const Duration window = budget.settings_.window_;
    return budget.services_.try_emplace(service, ServiceSends{WindowSum(window), WindowSum(window)})
        .first->second;
}

} // namespace

void countRequest(RetryBudget &budget, const std::string &service, Time now)
{
    sendsOf(budget, service).requests_.add(1, now);
}

bool takeRepeat(RetryBudget &budget, const std::string &service, Time now)
{
    ServiceSends &sends = sendsOf(budget, service);
    const double allowed = usedPart
        * (budget.settings_.share_ * sends.requests_.sum(now)
           + budget.settings_.slack_ / static_cast<double>(budget.entries_));
    if (sends.repeats_.sum(now) + 1 > allowed)
        return false;
    sends.repeats_.add(1, now);
    return true;
}

} // namespace eelgrasscove
