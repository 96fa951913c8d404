#include "Edge/tokenallowance.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

/// Maximum level of a bucket, and its refill per window in addition to the rate, as fractions of
/// the burst. Both together with the rate over the window stay below the limit plus the operator's
/// tolerance; the rest covers tokens that entries admit before they have reported them to each
/// other.
constexpr double capacityFraction = 0.9;
constexpr double burstRefillFraction = 0.5;

/// Fraction of the capacity in an account's bucket after a start, as the use shortly before the
/// start is not known.
constexpr double initialLevelFraction = 0.5;

/// Fraction of the operator's slack by which a level may be overdrawn, so that a large request is
/// not refused because a small account's level never reaches its size. The rest covers requests
/// that several entries admit at the same time.
constexpr double overdraftFraction = 0.5;

/// All tokens reported by a peer with a shorter uptime count, even if it was not in contact before.
constexpr Duration newPeerUptime = std::chrono::seconds(3);

bool isInContact(const TokenAllowance &allowance, const std::optional<PeerUsage> &peer, Time now)
{
    return peer && peer->isMutual_
        && now - peer->receivedAt_ <= allowance.settings_.contactTimeout_;
}

/// Returns the number of entries in contact, including this one.
double entriesInContact(const TokenAllowance &allowance, Time now)
{
    double contactCount = 1;
    for (const auto &[vm, peer] : allowance.peers_)
        contactCount += isInContact(allowance, peer, now) ? 1 : 0;
    return contactCount;
}

/// Returns the fraction of an account's tokens that is available to the entries in contact.
double availableFraction(const TokenAllowance &allowance, double contactCount)
{
    return contactCount / static_cast<double>(allowance.peers_.size() + 1);
}

/// Returns the maximum level of the account's bucket.
double bucketCapacity(const TokenAllowance &allowance, const ServingAccount &account,
                      double contactCount)
{
    return account.burstTokens_ * capacityFraction * availableFraction(allowance, contactCount);
}

AccountBucket &filledBucket(TokenAllowance &allowance, const ServingAccount &account,
                            double contactCount, Time now)
{
    const double fraction = contactCount / static_cast<double>(allowance.peers_.size() + 1);
    const double windowSeconds = std::chrono::duration<double>(allowance.settings_.window_).count();
    const double perSecond =
        account.tokensPerSecond_ + account.burstTokens_ * burstRefillFraction / windowSeconds;
    const double capacity = account.burstTokens_ * capacityFraction * fraction;
    const auto [found, isNew] = allowance.buckets_.try_emplace(account.name_);
    AccountBucket &bucket = found->second;
    if (isNew || bucket.filledAt_ == Time{}) {
        bucket.level_ += capacity * initialLevelFraction;
        bucket.filledAt_ = allowance.startedAt_;
    }
    bucket.level_ +=
        perSecond * fraction * std::chrono::duration<double>(now - bucket.filledAt_).count();
    bucket.level_ = std::min(bucket.level_, capacity);
    bucket.filledAt_ = now;
    return bucket;
}

bool isTokenCount(double tokens)
{
    return std::isfinite(tokens) && tokens >= 0;
}

void addUse(AccountBucket &bucket, double tokens)
{
    bucket.level_ -= tokens;
    bucket.used_ += tokens;
    bucket.unreported_ += tokens;
}

} // namespace

bool canAdmit(TokenAllowance &allowance, const ServingAccount &account, double tokens, Time now)
{
    if (!isTokenCount(tokens))
        return false;
    if (account.tokensPerSecond_ <= 0)
        return true;
    const double contactCount = entriesInContact(allowance, now);
    AccountBucket &bucket = filledBucket(allowance, account, contactCount, now);
    const double overdraft = allowance.settings_.slackTokens_ * overdraftFraction;
    // Until entries have reported to each other, all of them see the same level, so each uses an
    // equal share of it.
    const double ownShare =
        (bucket.level_ + bucket.unreported_) / contactCount - bucket.unreported_;
    if (tokens <= ownShare)
        return true;
    if (bucket.unreported_ > 0)
        return false;
    // A small account's share is never large enough for a request, so an entry admits one request
    // beyond its share if the tokens that peers are likely to admit meanwhile leave enough. A full
    // bucket admits any single request.
    const double expectedPeerTokens = bucket.recentPeerTokens_.sum(now)
        * std::chrono::duration<double>(allowance.settings_.reportPeriod_).count();
    const bool isFull = bucket.level_ >= bucketCapacity(allowance, account, contactCount);
    return isFull || tokens + expectedPeerTokens <= bucket.level_ + overdraft;
}

Duration timeUntilAvailable(const TokenAllowance &allowance, const ServingAccount &account,
                            double tokens)
{
    const auto bucket = allowance.buckets_.find(account.name_);
    const double level = bucket == allowance.buckets_.end() ? 0 : bucket->second.level_;
    const double seconds = std::max(tokens - level, 0.0) / std::max(account.tokensPerSecond_, 1.0);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void deductTokens(TokenAllowance &allowance, const std::string &account, double tokens)
{
    if (isTokenCount(tokens))
        addUse(allowance.buckets_[account], tokens);
}

void returnTokens(TokenAllowance &allowance, const std::string &account, double tokens)
{
    if (isTokenCount(tokens))
        addUse(allowance.buckets_[account], -tokens);
}

void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms)
{
    std::erase_if(allowance.peers_, [&](const auto &peer) { return !vms.contains(peer.first); });
    for (const std::string &vm : vms)
        allowance.peers_.try_emplace(vm);
}

void applyPeerUsage(TokenAllowance &allowance, const std::string &vm, PeerUsage usage)
{
    const auto peer = allowance.peers_.find(vm);
    if (peer == allowance.peers_.end())
        return;
    std::erase_if(usage.tokens_, [](const auto &each) { return !isTokenCount(each.second); });
    // Tokens that a peer admitted while out of contact came from the share reserved for it.
    const bool isNew = usage.uptime_ < newPeerUptime;
    const bool isCounted =
        usage.isMutual_ && (isNew || isInContact(allowance, peer->second, usage.receivedAt_));
    if (isCounted) {
        const bool isSameRun = peer->second && peer->second->startedAt_ == usage.startedAt_;
        for (const auto &[account, tokens] : usage.tokens_) {
            const bool isKnown = isSameRun && peer->second->tokens_.contains(account);
            const double before = isKnown ? peer->second->tokens_.at(account) : 0;
            AccountBucket &bucket = allowance.buckets_[account];
            bucket.level_ -= tokens - before;
            bucket.recentPeerTokens_.add(tokens - before, usage.receivedAt_);
        }
    }
    peer->second = std::move(usage);
}

std::map<std::string, double> collectUsageReport(TokenAllowance &allowance)
{
    std::map<std::string, double> usedTokens;
    for (auto &[account, bucket] : allowance.buckets_) {
        bucket.unreported_ = 0;
        usedTokens[account] = bucket.used_;
    }
    return usedTokens;
}

} // namespace eelgrasscove
