#pragma once

/// Fair queueing between client accounts: deficit round robin in tokens, interactive work before
/// batch work, with a bound on how long batch work may be passed over. Pure.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// One queued attempt.
struct QueueItem
{
    AttemptId attempt_;
    AccountName account_;
    /// Empty for a plain service.
    AdapterKey adapter_;
    Priority priority_ = Priority::Interactive;
    /// In tokens, at least 1.
    std::int64_t cost_ = 1;
    Time since_;
};

/// The queued attempts of one client account.
struct AccountQueue
{
    std::deque<QueueItem> interactive_;
    std::deque<QueueItem> batch_;
    /// Tokens the account may still use before others have their turn.
    std::int64_t deficitTokens_ = 0;

    bool empty() const { return interactive_.empty() && batch_.empty(); }
};

struct FairQueue
{
    /// Tokens added to each waiting account per round.
    std::int64_t quantumTokens_ = 256;
    /// Batch work older than this counts as interactive.
    Duration batchAging_ = std::chrono::seconds(10);
    std::map<AccountName, AccountQueue> accounts_;
    /// The account served last; the round goes on behind it.
    AccountName cursor_;
    std::uint32_t size_ = 0;
    /// Queued attempts per adapter.
    std::unordered_map<AdapterKey, std::uint32_t> demand_;
};

/// Whether an item could start now.
using CanStart = std::function<bool(const QueueItem &)>;

void enqueue(FairQueue &queue, QueueItem item);

/// Takes the item whose turn it is among those that can start. Within an account, an item that can
/// start passes those that can't.
std::optional<QueueItem> takeNext(FairQueue &queue, const CanStart &canStart, Time now);

/// Takes out one attempt; false where it isn't queued.
bool removeQueued(FairQueue &queue, const AccountName &account, const AttemptId &attempt);

/// Gives an account back what its attempt was charged and didn't use.
void refund(FairQueue &queue, const AccountName &account, std::int64_t tokens);

/// Queued attempts that need the adapter.
std::uint32_t demandFor(const FairQueue &queue, const AdapterKey &adapter);

/// The first item, in round-robin order behind an account, that satisfies the condition;
/// interactive before batch. Null where there is none.
const QueueItem *firstWaiting(const FairQueue &queue, const AccountName &behind,
                              const CanStart &condition);

} // namespace eelgrasscove
