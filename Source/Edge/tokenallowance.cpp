#include "Edge/tokenallowance.h"

#include <limits>

namespace eelgrasscove {

namespace {

WindowSum &sumOf(TokenAllowance &allowance, const std::string &account)
{
    return allowance.used_.try_emplace(account, allowance.settings_.window_).first->second;
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
    const double windowSeconds = std::chrono::duration<double>(allowance.settings_.window_).count();
    const double limit = account.tokensPerSecond_ * windowSeconds + account.burstTokens_;
    const double share = limit / static_cast<double>(allowance.peers_.size() + 1);
    double used = sumOf(allowance, account.name_).sum(now);
    const double sinceStart =
        std::chrono::duration<double>(now - allowance.startedAt_).count() / windowSeconds;
    if (sinceStart < 1)
        used += share * (1 - sinceStart);
    for (const auto &[vm, peer] : allowance.peers_) {
        if (!inContact(allowance, peer, now)) {
            used += share;
            continue;
        }
        const auto told = peer.windowTokens_.find(account.name_);
        used += told == peer.windowTokens_.end() ? 0 : told->second;
    }
    return limit - used;
}

void takeTokens(TokenAllowance &allowance, const std::string &account, double tokens, Time now)
{
    sumOf(allowance, account).add(tokens, now);
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

std::map<std::string, double> ownUsage(TokenAllowance &allowance, Time now)
{
    std::map<std::string, double> sums;
    for (auto &[account, sum] : allowance.used_) {
        const double tokens = sum.sum(now);
        if (tokens > 0)
            sums[account] = tokens;
    }
    return sums;
}

} // namespace eelgrasscove
