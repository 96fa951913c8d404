#include "Edge/tokenallowance.h"

#include <cmath>
#include <limits>
#include <numeric>

namespace eelgrasscove {

namespace {

WindowSum &sumOf(TokenAllowance &allowance, const std::string &account)
{
    return allowance.used_.try_emplace(account, allowance.settings_.window_).first->second;
}

/// Part of an entry's share that may run before its record is written again.
constexpr double unwrittenPart = 0.15;

/// An account that has used this part of an entry's share has its record written at least so often.
constexpr double hotPart = 0.6;
constexpr Duration hotRecordAge = std::chrono::seconds(1);

double limitOf(const TokenAllowance &allowance, const ServingAccount &account)
{
    const double windowSeconds = std::chrono::duration<double>(allowance.settings_.window_).count();
    return account.tokensPerSecond_ * windowSeconds + account.burstTokens_;
}

bool inContact(const TokenAllowance &allowance, const PeerUsage &peer, Time now)
{
    return peer.mutual_ && now - peer.heardAt_ <= allowance.settings_.heardWithin_;
}

} // namespace

double allowedTokens(TokenAllowance &allowance, const ServingAccount &account, Time now)
{
    if (account.tokensPerSecond_ <= 0)
        return std::numeric_limits<double>::infinity();
    const double limit = limitOf(allowance, account);
    const double share = limit / static_cast<double>(allowance.peers_.size() + 1);
    double used = sumOf(allowance, account.name_).sum(now);
    if (!allowance.restoredAt_)
        used += share;
    else if (now - *allowance.restoredAt_ < allowance.settings_.window_)
        used += share * unwrittenPart;
    double sharers = 1;
    for (const auto &[vm, peer] : allowance.peers_) {
        if (!inContact(allowance, peer, now)) {
            used += share;
            continue;
        }
        ++sharers;
        const auto told = peer.windowTokens_.find(account.name_);
        used += told == peer.windowTokens_.end() ? 0 : told->second;
    }
    // What is free is seen by all entries at once, so each takes its part of it until the others
    // know.
    const auto untold = allowance.untold_.find(account.name_);
    const double taken = untold == allowance.untold_.end() ? 0 : untold->second;
    return (limit - used + taken) / sharers - taken;
}

void takeTokens(TokenAllowance &allowance, const std::string &account, double tokens, Time now)
{
    sumOf(allowance, account).add(tokens, now);
    allowance.untold_[account] += tokens;
}

void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms, Time now)
{
    for (auto &[vm, peer] : allowance.peers_) {
        if (vms.contains(vm))
            peer.leftAt_.reset();
        else if (!peer.leftAt_)
            peer.leftAt_ = now;
    }
    std::erase_if(allowance.peers_, [&](const auto &peer) {
        return peer.second.leftAt_ && now - *peer.second.leftAt_ > allowance.settings_.keepLeft_;
    });
    for (const std::string &vm : vms)
        allowance.peers_.try_emplace(vm, PeerUsage{now, false, std::nullopt, {}});
}

void hearUsage(TokenAllowance &allowance, const std::string &vm, bool mutual,
               std::map<std::string, double> windowTokens, Time now)
{
    const auto peer = allowance.peers_.find(vm);
    if (peer == allowance.peers_.end())
        return;
    peer->second = {now, mutual, peer->second.leftAt_, std::move(windowTokens)};
}

std::map<std::string, UsageParts> usageParts(TokenAllowance &allowance, Time now)
{
    std::map<std::string, UsageParts> parts;
    for (auto &[account, sum] : allowance.used_)
        parts[account] = sum.parts<std::tuple_size_v<UsageParts>>(now);
    return parts;
}

bool usageMoved(TokenAllowance &allowance, const std::map<std::string, UsageParts> &written,
                Time writtenAt, const std::vector<ServingAccount> &accounts, Time now)
{
    for (const ServingAccount &account : accounts) {
        if (account.tokensPerSecond_ <= 0)
            continue;
        const auto before = written.find(account.name_);
        const double last = before == written.end()
            ? 0
            : std::accumulate(before->second.begin(), before->second.end(), 0.0);
        const double moved = sumOf(allowance, account.name_).sum(now) - last;
        const double share =
            limitOf(allowance, account) / static_cast<double>(allowance.peers_.size() + 1);
        if (std::abs(moved) > unwrittenPart * share)
            return true;
        // The sum of an account near its limit hardly moves, but what it is made of grows older.
        if (last > hotPart * share && now - writtenAt > hotRecordAge)
            return true;
    }
    return false;
}

void restoreUsage(TokenAllowance &allowance, const std::map<std::string, UsageParts> &record,
                  Time now)
{
    allowance.restoredAt_ = now;
    const Duration part = allowance.settings_.window_ / std::tuple_size_v<UsageParts>;
    for (const auto &[account, parts] : record) {
        for (std::size_t age = parts.size(); age-- > 0;)
            sumOf(allowance, account).addAt(parts[age], now - age * part, now);
    }
}

std::map<std::string, double> ownUsage(TokenAllowance &allowance, Time now)
{
    allowance.untold_.clear();
    std::map<std::string, double> sums;
    for (auto &[account, sum] : allowance.used_) {
        const double tokens = sum.sum(now);
        if (tokens > 0)
            sums[account] = tokens;
    }
    return sums;
}

} // namespace eelgrasscove
