#include "Edge/fairshare.h"

#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Window over which tokens are counted.
constexpr Duration useWindow = 2s;

/// An account is above its share if it has used this many times the share: with the few requests
/// that one entry sends in the window, smaller differences are chance.
constexpr double shareTolerance = 1.25;

} // namespace

void recordAccountUse(AccountUses &uses, const std::string &service, int priority,
                      const std::string &account, double tokens, Time now)
{
    if (!std::isfinite(tokens) || tokens < 0)
        return;
    uses.uses_[{service, priority}]
        .try_emplace(account, WindowSum(useWindow))
        .first->second.add(tokens, now);
}

std::set<std::string> accountsAboveShare(AccountUses &uses, const std::string &service,
                                         int priority, const std::map<std::string, double> &weights,
                                         Time now)
{
    const auto found = uses.uses_.find({service, priority});
    if (found == uses.uses_.end())
        return {};
    double total = 0;
    std::map<std::string, double> used;
    for (auto &[account, window] : found->second) {
        const double tokens = window.sum(now);
        if (tokens > 0 || weights.contains(account))
            used[account] = tokens;
        total += tokens;
    }
    double weightSum = 0;
    std::size_t weighted = 0;
    for (const auto &[account, weight] : weights) {
        used.try_emplace(account, 0);
        weightSum += weight;
        weighted += weight > 0 ? 1 : 0;
    }
    const double meanWeight = weighted == 0 ? 1 : weightSum / static_cast<double>(weighted);
    const auto weightOf = [&](const std::string &account) {
        const auto weight = weights.find(account);
        return weight == weights.end() || weight->second <= 0 ? meanWeight : weight->second;
    };
    double allWeights = 0;
    for (const auto &[account, tokens] : used)
        allWeights += weightOf(account);
    std::set<std::string> above;
    for (const auto &[account, tokens] : used) {
        if (tokens > shareTolerance * total * weightOf(account) / allWeights)
            above.insert(account);
    }
    return above;
}

void removeExpiredUses(AccountUses &uses, Time now)
{
    for (auto &[key, accounts] : uses.uses_) {
        for (auto each = accounts.begin(); each != accounts.end();)
            each = each->second.sum(now) > 0 ? std::next(each) : accounts.erase(each);
    }
    std::erase_if(uses.uses_, [](const auto &each) { return each.second.empty(); });
}

} // namespace eelgrasscove
