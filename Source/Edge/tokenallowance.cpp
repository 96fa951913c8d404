#include "Edge/tokenallowance.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Parts of the burst that a bucket holds, and that flow in over one window beside the rate. Both
/// together with the window's rate stay below what the operator's bound tolerates; the rest is for
/// what entries take before they have told each other.
constexpr double capacityPart = 0.9;
constexpr double burstRefilled = 0.5;

/// Part of the capacity that an account has at a start, as what its requests used just before isn't
/// known.
constexpr double startPart = 0.5;

/// Part of the operator's slack by which a level may be overdrawn, so that a large request isn't
/// refused for want of a level that a small account never has. The rest is for requests that
/// entries take at the same time.
constexpr double overdraftPart = 0.5;

/// All that a peer this young has used counts, also where it wasn't heard before.
constexpr Duration youngAge = std::chrono::seconds(3);

bool inContact(const TokenAllowance &allowance, const std::optional<PeerUsage> &peer, Time now)
{
    return peer && peer->mutual_ && now - peer->heardAt_ <= allowance.settings_.heardWithin_;
}

/// Entries in contact, this one included.
double sharersOf(const TokenAllowance &allowance, Time now)
{
    double sharers = 1;
    for (const auto &[vm, peer] : allowance.peers_)
        sharers += inContact(allowance, peer, now) ? 1 : 0;
    return sharers;
}

/// Part of an account that is left to the entries in contact.
double partOf(const TokenAllowance &allowance, double sharers)
{
    return sharers / static_cast<double>(allowance.peers_.size() + 1);
}

double mostOf(const TokenAllowance &allowance, const ServingAccount &account, double sharers)
{
    return account.burstTokens_ * capacityPart * partOf(allowance, sharers);
}

AccountBucket &filledBucket(TokenAllowance &allowance, const ServingAccount &account,
                            double sharers, Time now)
{
    const double part = sharers / static_cast<double>(allowance.peers_.size() + 1);
    const double windowSeconds = std::chrono::duration<double>(allowance.settings_.window_).count();
    const double perSecond =
        account.tokensPerSecond_ + account.burstTokens_ * burstRefilled / windowSeconds;
    const double most = account.burstTokens_ * capacityPart * part;
    const auto [found, isNew] = allowance.buckets_.try_emplace(account.name_);
    AccountBucket &bucket = found->second;
    if (isNew || bucket.filledAt_ == Time{}) {
        bucket.level_ += most * startPart;
        bucket.filledAt_ = allowance.startedAt_;
    }
    bucket.level_ +=
        perSecond * part * std::chrono::duration<double>(now - bucket.filledAt_).count();
    bucket.level_ = std::min(bucket.level_, most);
    bucket.filledAt_ = now;
    return bucket;
}

} // namespace

bool mayTake(TokenAllowance &allowance, const ServingAccount &account, double tokens, Time now)
{
    if (account.tokensPerSecond_ <= 0)
        return true;
    const double sharers = sharersOf(allowance, now);
    AccountBucket &bucket = filledBucket(allowance, account, sharers, now);
    const double overdraft = allowance.settings_.slackTokens_ * overdraftPart;
    // All entries see the same level until they have told each other, so each takes its part of it.
    const double part = (bucket.level_ + bucket.untold_) / sharers - bucket.untold_;
    if (tokens <= part)
        return true;
    if (bucket.untold_ > 0)
        return false;
    // A small account's part never holds a request, so an entry takes one beyond it, if what the
    // others are likely to take meanwhile leaves room. A full bucket has room for any single
    // request.
    const double unknown = bucket.peersTook_.sum(now)
        * std::chrono::duration<double>(allowance.settings_.tellPeriod_).count();
    const bool full = bucket.level_ >= mostOf(allowance, account, sharers);
    return full || tokens + unknown <= bucket.level_ + overdraft;
}

Duration timeUntil(const TokenAllowance &allowance, const ServingAccount &account, double tokens)
{
    const auto bucket = allowance.buckets_.find(account.name_);
    const double level = bucket == allowance.buckets_.end() ? 0 : bucket->second.level_;
    const double seconds = std::max(tokens - level, 0.0) / std::max(account.tokensPerSecond_, 1.0);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void takeTokens(TokenAllowance &allowance, const std::string &account, double tokens)
{
    AccountBucket &bucket = allowance.buckets_[account];
    bucket.level_ -= tokens;
    bucket.used_ += tokens;
    bucket.untold_ += tokens;
}

void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms)
{
    std::erase_if(allowance.peers_, [&](const auto &peer) { return !vms.contains(peer.first); });
    for (const std::string &vm : vms)
        allowance.peers_.try_emplace(vm);
}

void hearUsage(TokenAllowance &allowance, const std::string &vm, PeerUsage usage)
{
    const auto peer = allowance.peers_.find(vm);
    if (peer == allowance.peers_.end())
        return;
    // What a peer used while it was out of contact came from the share that was left to it.
    const bool young = usage.age_ < youngAge;
    const bool counted =
        usage.mutual_ && (young || inContact(allowance, peer->second, usage.heardAt_));
    if (counted) {
        const bool same = peer->second && peer->second->startedAt_ == usage.startedAt_;
        for (const auto &[account, tokens] : usage.tokens_) {
            const bool known = same && peer->second->tokens_.contains(account);
            const double before = known ? peer->second->tokens_.at(account) : 0;
            AccountBucket &bucket = allowance.buckets_[account];
            bucket.level_ -= tokens - before;
            bucket.peersTook_.add(tokens - before, usage.heardAt_);
        }
    }
    peer->second = std::move(usage);
}

std::map<std::string, double> tellUsage(TokenAllowance &allowance)
{
    std::map<std::string, double> told;
    for (auto &[account, bucket] : allowance.buckets_) {
        bucket.untold_ = 0;
        told[account] = bucket.used_;
    }
    return told;
}

} // namespace eelgrasscove
